//! Output of the core: actions that the caller has to perform.

use crate::disk_work::DiskWork;
use crate::entry::Entry;
use crate::error::ProposeError;
use crate::ids::{KeeperId, LogIndex, ProposalToken, Term};
use crate::message::Message;
use crate::snapshot::Snapshot;

/// An action returned by [`Quorum::handle`](crate::quorum::Quorum::handle). Actions must be
/// performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a message. Delivery is not guaranteed.
    Send {
        /// The receiving keeper.
        to: KeeperId,
        /// The message.
        message: Message,
    },
    /// Hands work to the disk thread. The disk thread performs all work in the order given and
    /// reports it with [`Event::Synced`](crate::event::Event::Synced).
    Persist(DiskWork),
    /// Replaces the state of the state machine with the snapshot.
    Restore(Snapshot),
    /// Applies a committed entry. Entries come in log order, each at most once in the lifetime of
    /// the process.
    Apply(Entry),
    /// Requests a snapshot of the state machine, taken right after the entry at `index` was
    /// applied. The caller replies with
    /// [`Event::SnapshotTaken`](crate::event::Event::SnapshotTaken).
    TakeSnapshot {
        /// Index of the last applied entry.
        index: LogIndex,
    },
    /// Completes a proposal or a change of the member set. It follows the [`Apply`](Self::Apply) of
    /// the committed entry.
    ProposalDone {
        /// Token of the proposal.
        token: ProposalToken,
        /// Index at which the entry was committed.
        result: Result<LogIndex, ProposeError>,
    },
    /// Completes an [`Event::ConfirmRead`](crate::event::Event::ConfirmRead).
    ReadDone {
        /// Token of the read request.
        token: ProposalToken,
        /// Index of the last applied entry. Every entry that was committed before the request has
        /// been applied.
        result: Result<LogIndex, ProposeError>,
    },
    /// This keeper has become leader and has applied all entries of earlier leaders, so it may
    /// serve requests.
    BecameLeader {
        /// The term of the leadership.
        term: Term,
    },
    /// This keeper has lost the leadership. Emitted only after a
    /// [`BecameLeader`](Self::BecameLeader).
    LostLeadership {
        /// The term of the lost leadership.
        term: Term,
    },
}
