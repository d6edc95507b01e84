//! Input of the core.

use bytes::Bytes;

use crate::ids::{KeeperId, LogIndex, ProposalToken, WorkId};
use crate::member::MemberChange;
use crate::message::Message;

/// An event passed to [`Quorum::handle`](crate::quorum::Quorum::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Needed at [`Quorum::next_deadline`](crate::quorum::Quorum::next_deadline)
    /// at the latest.
    Tick,
    /// A message was received.
    Received {
        /// The sender, whose identity the transport has verified.
        from: KeeperId,
        /// The message.
        message: Message,
    },
    /// Proposes a command for the state machine. Completed by
    /// [`Action::ProposalDone`](crate::action::Action::ProposalDone).
    Propose {
        /// Identifies the proposal in the reply.
        token: ProposalToken,
        /// The command.
        command: Bytes,
    },
    /// Changes the member set. Completed like a proposal.
    ChangeMembers {
        /// Identifies the change in the reply.
        token: ProposalToken,
        /// The change.
        change: MemberChange,
    },
    /// All disk work up to and including `up_to` is durable.
    Synced {
        /// Id of the last durable work.
        up_to: WorkId,
    },
    /// Reply to [`Action::TakeSnapshot`](crate::action::Action::TakeSnapshot).
    SnapshotTaken {
        /// Index of the last entry that the state includes.
        index: LogIndex,
        /// The encoded state.
        data: Bytes,
    },
    /// Transfers the leadership to `to`, or to the most up-to-date voter. Ignored unless this
    /// keeper is the leader.
    TransferLeadership {
        /// The next leader.
        to: Option<KeeperId>,
    },
    /// Requests confirmation that this keeper is still the leader. Completed by
    /// [`Action::ReadDone`](crate::action::Action::ReadDone), after all entries that were committed
    /// before the request have been applied.
    ConfirmRead {
        /// Identifies the request in the reply.
        token: ProposalToken,
    },
}
