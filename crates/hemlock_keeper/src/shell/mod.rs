//! Shell of the keeper core: the threads, sockets and files of a running keeper.

mod control;
mod disk;
mod encoder;
mod handle;
mod http_api;
mod input;
mod lane;
mod peers;
mod pending_replies;
mod start;
mod storage;

pub use handle::KeeperHandle;
pub use start::Keeper;
