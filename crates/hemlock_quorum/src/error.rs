//! Typed errors of the replicated log.

use hemlock_types::ids::Incarnation;
use quick_error::quick_error;

use crate::ids::{KeeperId, LogIndex};

quick_error! {
    /// Why a proposal was not committed by this keeper.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ProposeError {
        /// Not proposed: another keeper leads, or nobody does.
        NotLeader(leader: Option<KeeperId>) {
            display("this keeper does not lead; ask keeper {leader:?}")
        }
        /// The keeper lost its leadership before it knew: the entry may or may not be committed.
        Undecided(leader: Option<KeeperId>) {
            display("leadership was lost before the entry was known to be committed; ask keeper \
                     {leader:?}")
        }
        /// Not proposed: the leader is handing over.
        HandingOver(to: KeeperId) {
            display("leadership is being handed to keeper {to}; ask again shortly")
        }
        /// Not proposed: too much is waiting already.
        Busy {
            display("too many entries wait to be committed; ask again shortly")
        }
        /// Not proposed: the command is larger than an entry may be.
        TooLarge(limit_bytes: usize) {
            display("the command is larger than {limit_bytes} bytes; split it")
        }
        /// Not proposed: an earlier change of the keeper set is not finished.
        ChangeInProgress {
            display("an earlier change of the keeper set is not committed yet; ask again shortly")
        }
        /// Not proposed: the keeper has not made itself known to the leader.
        UnknownKeeper(id: KeeperId) {
            display("keeper {id} has not called yet; start it first, then add it")
        }
        /// Not proposed: the learner lacks entries.
        NotCaughtUp(id: KeeperId) {
            display("keeper {id} has not caught up; it is made a voter by itself once it has")
        }
        /// Not proposed: the set would be empty, too large or unchanged.
        InvalidChange(id: KeeperId) {
            display("the change of keeper {id} would leave the set empty, too large or as it is")
        }
    }
}

quick_error! {
    /// Why a keeper's core can't start.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum QuorumError {
        /// The disk belongs to another life of the keeper.
        ForeignIncarnation(disk: Incarnation, configured: Incarnation) {
            display("the disk is of incarnation {disk}, but {configured} is configured; take the \
                     incarnation from the disk")
        }
        /// The recovered entries have a gap.
        Gap(expected: LogIndex, found: LogIndex) {
            display("the recovered log has entry {found} where {expected} is due; restore the \
                     disk, or clear the folder to join again as a learner")
        }
        /// The configured times contradict each other.
        InvalidTimes(field: &'static str) {
            display("{field} is out of range: heartbeat_ms < lease_ms < election_min_ms < \
                     election_max_ms is needed")
        }
    }
}
