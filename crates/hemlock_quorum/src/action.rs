//! What the core tells the shell to do.

use crate::disk_work::DiskWork;
use crate::entry::Entry;
use crate::error::ProposeError;
use crate::ids::{KeeperId, LogIndex, ProposalToken, Term};
use crate::message::Message;
use crate::snapshot::Snapshot;

/// Output of [`Quorum::handle`](crate::quorum::Quorum::handle), to be done in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message. It may be lost.
    Send {
        /// The receiver.
        to: KeeperId,
        /// What to say.
        message: Message,
    },
    /// Hands work to the disk thread, which does all work in the order given and then tells of it
    /// by [`Event::Synced`](crate::event::Event::Synced).
    Persist(DiskWork),
    /// Replaces the state machine's state by the snapshot's.
    Restore(Snapshot),
    /// Applies a committed entry. Each comes once in a process's life, in the order of the log.
    Apply(Entry),
    /// Asks for the state machine's state as it is now, after the entry at `index`. Answered by
    /// [`Event::SnapshotTaken`](crate::event::Event::SnapshotTaken).
    TakeSnapshot {
        /// The last entry applied.
        index: LogIndex,
    },
    /// Answers a proposal or a change of the keeper set. It follows the entry's own
    /// [`Apply`](Self::Apply).
    ProposalDone {
        /// The proposal.
        token: ProposalToken,
        /// Where it was committed.
        result: Result<LogIndex, ProposeError>,
    },
    /// Answers [`Event::ConfirmRead`](crate::event::Event::ConfirmRead).
    ReadDone {
        /// The question.
        token: ProposalToken,
        /// The last entry applied, which covers all that was committed before the question.
        result: Result<LogIndex, ProposeError>,
    },
    /// This keeper leads and all earlier entries have been applied: it may serve.
    BecameLeader {
        /// The term that it leads in.
        term: Term,
    },
    /// This keeper leads no more. Follows a [`BecameLeader`](Self::BecameLeader) only.
    LostLeadership {
        /// The term that it led in.
        term: Term,
    },
}
