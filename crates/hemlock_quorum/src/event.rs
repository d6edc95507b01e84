//! What the shell tells the core.

use bytes::Bytes;

use crate::ids::{KeeperId, LogIndex, ProposalToken, WorkId};
use crate::member::MemberChange;
use crate::message::Message;

/// Input of [`Quorum::handle`](crate::quorum::Quorum::handle).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed. Due at [`Quorum::next_deadline`](crate::quorum::Quorum::next_deadline).
    Tick,
    /// A message came from the keeper that proved to be `from`.
    Received {
        /// The sender.
        from: KeeperId,
        /// What it said.
        message: Message,
    },
    /// A command for the state machine. Answered by
    /// [`Action::ProposalDone`](crate::action::Action::ProposalDone).
    Propose {
        /// Names the proposal in the answer.
        token: ProposalToken,
        /// The command.
        command: Bytes,
    },
    /// A change of the keeper set. Answered like a proposal.
    ChangeMembers {
        /// Names the change in the answer.
        token: ProposalToken,
        /// The change.
        change: MemberChange,
    },
    /// All disk work up to and including this number is durable.
    Synced {
        /// The last durable work.
        up_to: WorkId,
    },
    /// The answer to [`Action::TakeSnapshot`](crate::action::Action::TakeSnapshot).
    SnapshotTaken {
        /// The last entry that the state contains.
        index: LogIndex,
        /// The state.
        data: Bytes,
    },
    /// Hands leadership to `to`, or to the voter that is furthest along. Ignored by others than the
    /// leader.
    TransferLeadership {
        /// The next leader.
        to: Option<KeeperId>,
    },
    /// Asks whether this keeper still leads. Answered by
    /// [`Action::ReadDone`](crate::action::Action::ReadDone): everything committed before the
    /// question has been applied by then.
    ConfirmRead {
        /// Names the question in the answer.
        token: ProposalToken,
    },
}
