//! Settings of the replicated log.

use hemlock_types::ids::Incarnation;

use crate::error::QuorumError;
use crate::ids::KeeperId;

/// Settings of one keeper's core. All keepers of a cluster should have the same times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuorumConfig {
    /// This keeper.
    pub me: KeeperId,
    /// The life of this keeper's disk, as the storage tells it.
    pub incarnation: Incarnation,
    /// The keepers that found the cluster, and whom this keeper calls when no leader talks to it.
    /// The one with the lowest id founds the cluster once all of them have told it that their disks
    /// are empty, and no other message came for a little longer than `election_max_ms`. After a
    /// change of the set the settings should name the present keepers: founders that all run on
    /// empty disks, out of reach of the present keepers, would found a second cluster.
    pub founders: Vec<KeeperId>,
    /// Whether this keeper may found a cluster at all. Where the settings can't tell the present
    /// keepers for certain, only the very first start of a cluster should allow it.
    pub may_found: bool,
    /// Voters that the leader keeps the set at by itself: it takes in keepers that call, as
    /// learners, makes learners voters up to this number, and lets a learner take the place of a
    /// voter that has fallen silent. `None` leaves all additions and removals to operators.
    pub target_voters: Option<usize>,
    /// How long a voter must be silent before another takes its place.
    pub replace_after_ms: u64,
    /// Time between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// The shortest time without a leader before a follower campaigns.
    pub election_min_ms: u64,
    /// The longest time without a leader before a follower campaigns. A leader that has not heard
    /// from a quorum for this time steps down.
    pub election_max_ms: u64,
    /// How long a quorum's answer lets the leader serve reads. Shorter than `election_min_ms` by
    /// more than the keepers' clocks may drift apart in that time.
    pub lease_ms: u64,
    /// Entries applied since the last snapshot that call for a new one.
    pub snapshot_after_entries: u64,
    /// Bytes applied since the last snapshot that call for a new one.
    pub snapshot_after_bytes: u64,
    /// Entries kept in memory behind a snapshot, for followers that are a little late.
    pub keep_entries: u64,
    /// Most bytes of the entries so kept.
    pub keep_bytes: usize,
    /// Largest command, in bytes.
    pub max_command_bytes: usize,
    /// Most bytes of entries in one message.
    pub max_message_bytes: usize,
    /// Most entries sent to a follower ahead of its answers.
    pub max_ahead_entries: u64,
    /// Most bytes of entries sent to a follower ahead of its answers.
    pub max_ahead_bytes: usize,
    /// Most proposals that may wait to be committed.
    pub max_waiting: usize,
    /// Most bytes of proposals that may wait to be committed.
    pub max_waiting_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub chunk_bytes: usize,
}

impl QuorumConfig {
    /// Settings for a cluster within one region, whose keepers are `founders`.
    pub fn new(me: KeeperId, incarnation: Incarnation, founders: Vec<KeeperId>) -> Self {
        Self {
            me,
            incarnation,
            founders,
            may_found: true,
            target_voters: None,
            replace_after_ms: 1_500,
            heartbeat_ms: 100,
            election_min_ms: 400,
            election_max_ms: 800,
            lease_ms: 300,
            snapshot_after_entries: 10_000,
            snapshot_after_bytes: 8 * 1024 * 1024,
            keep_entries: 1_000,
            keep_bytes: 2 * 1024 * 1024,
            max_command_bytes: 1024 * 1024,
            max_message_bytes: 512 * 1024,
            max_ahead_entries: 4_096,
            max_ahead_bytes: 4 * 1024 * 1024,
            max_waiting: 65_536,
            max_waiting_bytes: 16 * 1024 * 1024,
            chunk_bytes: 256 * 1024,
        }
    }

    /// The same settings with other times, in milliseconds.
    #[must_use]
    pub fn with_times(
        mut self,
        heartbeat_ms: u64,
        lease_ms: u64,
        election_min_ms: u64,
        election_max_ms: u64,
    ) -> Self {
        self.heartbeat_ms = heartbeat_ms;
        self.lease_ms = lease_ms;
        self.election_min_ms = election_min_ms;
        self.election_max_ms = election_max_ms;
        self
    }

    /// The same settings with elections that take a fraction of a second, for keepers that answer
    /// each other within tens of milliseconds. The lease is as much shorter than the shortest
    /// election as by default; slower connections than these only cause needless elections.
    #[must_use]
    pub fn with_prompt_elections(self) -> Self {
        self.with_times(50, 120, 160, 360)
    }

    /// The same settings with other bounds for the log in memory and on disk.
    #[must_use]
    pub fn with_snapshots(mut self, after_entries: u64, keep_entries: u64) -> Self {
        self.snapshot_after_entries = after_entries;
        self.keep_entries = keep_entries;
        self
    }

    /// The same settings with a keeper set that the leader keeps at `voters` by itself.
    #[must_use]
    pub fn with_target_voters(mut self, voters: usize) -> Self {
        self.target_voters = Some(voters);
        self
    }

    /// The same settings with or without the right to found a cluster.
    #[must_use]
    pub fn with_founding(mut self, may_found: bool) -> Self {
        self.may_found = may_found;
        self
    }

    /// The same settings with another bound on the bytes between two snapshots.
    #[must_use]
    pub fn with_bytes_per_snapshot(mut self, bytes: u64) -> Self {
        self.snapshot_after_bytes = bytes;
        self
    }

    /// Checks that the times fit together.
    ///
    /// # Errors
    ///
    /// [`QuorumError::InvalidTimes`] names the first field that does not.
    pub fn check(&self) -> Result<(), QuorumError> {
        let faults = [
            ("heartbeat_ms", self.heartbeat_ms == 0),
            ("lease_ms", self.lease_ms <= self.heartbeat_ms),
            ("election_min_ms", self.election_min_ms <= self.lease_ms),
            (
                "election_max_ms",
                self.election_max_ms <= self.election_min_ms,
            ),
        ];
        match faults.into_iter().find(|(_, wrong)| *wrong) {
            Some((field, _)) => Err(QuorumError::InvalidTimes(field)),
            None => Ok(()),
        }
    }
}
