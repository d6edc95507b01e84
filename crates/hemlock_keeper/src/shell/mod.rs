//! The threads, sockets and files around the keeper's core.

mod answers;
mod control;
mod disk;
mod edge;
mod encoder;
mod handle;
mod input;
mod lane;
mod peers;
mod start;
mod storage;

pub use handle::KeeperHandle;
pub use start::Keeper;
