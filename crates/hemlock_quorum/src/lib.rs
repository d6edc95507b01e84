//! The replicated log of the keepers: elections, replication, snapshots and changes of the keeper
//! set, as a pure core, and the storage that it relies on.
//!
//! ```
//! use hemlock_quorum::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let me = KeeperId(1);
//! let disk = Incarnation(7);
//! let mut storage = MemoryStorage::new(disk);
//! let config = QuorumConfig::new(me, disk, vec![me]);
//! let mut quorum = Quorum::new(config, 42, storage.recover()?)?;
//!
//! let mut out = Vec::new();
//! quorum.handle(Instant::ZERO, Event::Tick, &mut out);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A shell around the core has three duties. Its control thread feeds each
//! [`Event`](event::Event) and does the [`Action`](action::Action)s in the order given; events that
//! wait are fed together by [`Quorum::handle_all`](quorum::Quorum::handle_all). Its disk thread takes
//! all [`DiskWork`](disk_work::DiskWork) that waits, calls [`perform`](storage::perform), and reports
//! the result by [`Event::Synced`](event::Event::Synced); after an error the process stops. Its
//! transport proves who sent a message, and may lose, repeat, delay and reorder messages.

pub mod action;
pub mod config;
pub mod disk_work;
mod durable;
pub mod entry;
pub mod error;
pub mod event;
pub mod ids;
mod log;
pub mod member;
pub mod message;
pub mod quorum;
pub mod snapshot;
pub mod status;
pub mod storage;

/// The items that most callers need.
pub mod prelude {
    pub use crate::action::Action;
    pub use crate::config::QuorumConfig;
    pub use crate::disk_work::{DiskWork, HardState, PersistBatch, RecoveredState};
    pub use crate::entry::{Entry, Payload};
    pub use crate::error::{ProposeError, QuorumError};
    pub use crate::event::Event;
    pub use crate::ids::{KeeperId, LogIndex, ProposalToken, Term, WorkId};
    pub use crate::member::{Member, MemberChange, MemberKind, MemberSet};
    pub use crate::message::Message;
    pub use crate::quorum::Quorum;
    pub use crate::snapshot::Snapshot;
    pub use crate::status::{QuorumRole, QuorumStatus};
    pub use crate::storage::{
        DiskIdentity, FileStorage, MemoryStorage, Storage, StorageError, perform,
    };
}
