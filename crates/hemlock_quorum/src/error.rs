//! Errors of the replicated log.

use hemlock_types::ids::Incarnation;
use quick_error::quick_error;

use crate::ids::{KeeperId, LogIndex};

quick_error! {
    /// Reasons why this keeper did not commit a proposal.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ProposeError {
        /// Not proposed: this keeper is not the leader.
        NotLeader(leader: Option<KeeperId>) {
            display("this keeper does not lead; ask keeper {leader:?}")
        }
        /// This keeper lost the leadership before the result was known. The entry may or may not be
        /// committed.
        Undecided(leader: Option<KeeperId>) {
            display("leadership was lost before the entry was known to be committed; ask keeper \
                     {leader:?}")
        }
        /// Not proposed: a leadership transfer is in progress.
        TransferInProgress(to: KeeperId) {
            display("leadership is being handed to keeper {to}; ask again shortly")
        }
        /// Not proposed: too many proposals are pending.
        Busy {
            display("too many entries wait to be committed; ask again shortly")
        }
        /// Not proposed: the command exceeds the size limit.
        TooLarge(limit_bytes: usize) {
            display("the command is larger than {limit_bytes} bytes; split it")
        }
        /// Not proposed: the previous change of the member set is not committed.
        ChangeInProgress {
            display("an earlier change of the keeper set is not committed yet; ask again shortly")
        }
        /// Not proposed: the keeper to add has sent no join request to the leader.
        UnknownKeeper(id: KeeperId) {
            display("keeper {id} has not called yet; start it first, then add it")
        }
        /// Not proposed: the learner has not caught up with the log.
        NotCaughtUp(id: KeeperId) {
            display("keeper {id} has not caught up; it is made a voter by itself once it has")
        }
        /// Not proposed: the change would leave the member set without voters, with too many
        /// voters, or unchanged.
        InvalidChange(id: KeeperId) {
            display("the change of keeper {id} would leave the set empty, too large or as it is")
        }
    }
}

quick_error! {
    /// Reasons why the replicated log can't start.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum QuorumError {
        /// The configured incarnation differs from that of the disk.
        ForeignIncarnation(disk: Incarnation, configured: Incarnation) {
            display("the disk has incarnation {disk}, but {configured} is configured; take the \
                     incarnation from the disk")
        }
        /// The recovered log has a gap.
        Gap(expected: LogIndex, found: LogIndex) {
            display("the recovered log has entry {found} where {expected} is expected; \
                     restore the disk, or clear the folder to join again as a learner")
        }
        /// The configured timeouts are inconsistent.
        InvalidTimes(field: &'static str) {
            display("{field} is out of range: heartbeat_ms < lease_ms < election_min_ms < \
                     election_max_ms is required")
        }
    }
}
