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
