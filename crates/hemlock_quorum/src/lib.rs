//! Raft-style replicated log of the keepers: elections, replication, snapshots and membership
//! changes as a core without I/O, and the durable storage that it needs.
//!
//! ```
//! use hemlock_quorum::prelude::*;
//! use hemlock_types::prelude::*;
//!
//! let id = KeeperId(1);
//! let incarnation = Incarnation(7);
//! let mut storage = MemoryStorage::new(incarnation);
//! let config = QuorumConfig::new(id, incarnation, vec![id]);
//! let mut quorum = Quorum::new(config, 42, storage.recover()?)?;
//!
//! let mut out = Vec::new();
//! quorum.handle(Instant::ZERO, Event::Tick, &mut out);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! The caller has three parts:
//!
//! - A control thread passes each [`Event`](event::Event) to the core and performs the returned
//!   [`Action`](action::Action)s in order. It passes events that are waiting together, with
//!   [`Quorum::handle_all`](quorum::Quorum::handle_all).
//! - A disk thread takes all queued [`DiskWork`](disk_work::DiskWork), calls
//!   [`perform`](storage::perform), and reports the result with
//!   [`Event::Synced`](event::Event::Synced). After an error the process must stop.
//! - A transport authenticates the sender of each message. It may lose, duplicate, delay and reorder
//!   messages.

pub mod action;
pub mod config;
pub mod disk_work;
mod durability;
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

/// The most commonly used items.
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
