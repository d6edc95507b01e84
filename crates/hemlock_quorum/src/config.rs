//! Settings of the replicated log.

use hemlock_types::ids::Incarnation;

use crate::error::QuorumError;
use crate::ids::KeeperId;

/// Settings of the replicated log on one keeper. All keepers of a cluster should use the same
/// timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuorumConfig {
    /// Id of this keeper.
    pub id: KeeperId,
    /// Incarnation of this keeper's disk, as returned by the storage.
    pub incarnation: Incarnation,
    /// Initial members of the cluster. This keeper also contacts them while it knows no leader.
    ///
    /// The one with the lowest id bootstraps the cluster once all others have reported empty disks
    /// and no message from an existing cluster has arrived for slightly longer than
    /// `election_max_ms`. Keep this list up to date when the member set changes: listed keepers
    /// that all start with empty disks and can't reach the current members would bootstrap a second
    /// cluster.
    pub bootstrap_keepers: Vec<KeeperId>,
    /// Whether this keeper may bootstrap a cluster. If the settings may not list the current
    /// members, allow it only for the first start of a cluster.
    pub allow_bootstrap: bool,
    /// Number of voters that the leader maintains automatically. It adds keepers that ask to join
    /// as learners, promotes learners up to this number, and replaces an unresponsive voter with a
    /// learner. With `None`, keepers are added and removed only by operators.
    pub target_voters: Option<usize>,
    /// Time without contact after which a voter is replaced.
    pub replace_after_ms: u64,
    /// Interval between heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Shortest election timeout of a follower.
    pub election_min_ms: u64,
    /// Longest election timeout of a follower. A leader that has had no contact with a quorum for
    /// this time steps down.
    pub election_max_ms: u64,
    /// Duration of the read lease that a leader holds after contact with a quorum. It must be
    /// shorter than `election_min_ms` by more than the keepers' clocks can drift apart in that
    /// time.
    pub lease_ms: u64,
    /// Number of entries applied since the last snapshot after which a new one is taken.
    pub snapshot_after_entries: u64,
    /// Number of bytes applied since the last snapshot after which a new one is taken.
    pub snapshot_after_bytes: u64,
    /// Number of entries kept in memory before a snapshot, so that slightly lagging followers don't
    /// need the snapshot.
    pub keep_entries: u64,
    /// Limit for the size of these entries, in bytes.
    pub keep_bytes: usize,
    /// Largest size of a command, in bytes.
    pub max_command_bytes: usize,
    /// Limit for the entries in one message, in bytes.
    pub max_message_bytes: usize,
    /// Largest number of unacknowledged entries in flight to a follower.
    pub max_inflight_entries: u64,
    /// Limit for the unacknowledged entries in flight to a follower, in bytes.
    pub max_inflight_bytes: usize,
    /// Largest number of proposals that wait to be committed.
    pub max_pending_proposals: usize,
    /// Limit for the proposals that wait to be committed, in bytes.
    pub max_pending_bytes: usize,
    /// Size of the snapshot chunk in one message, in bytes.
    pub chunk_bytes: usize,
}

impl QuorumConfig {
    /// Creates the default settings, meant for a cluster within one region.
    pub fn new(id: KeeperId, incarnation: Incarnation, bootstrap_keepers: Vec<KeeperId>) -> Self {
        Self {
            id,
            incarnation,
            bootstrap_keepers,
            allow_bootstrap: true,
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
            max_inflight_entries: 4_096,
            max_inflight_bytes: 4 * 1024 * 1024,
            max_pending_proposals: 65_536,
            max_pending_bytes: 16 * 1024 * 1024,
            chunk_bytes: 256 * 1024,
        }
    }

    /// Sets the timeouts, in milliseconds.
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

    /// Shortens the timeouts so that elections take a fraction of a second. Meant for keepers that
    /// answer each other within tens of milliseconds; slower connections cause needless elections.
    /// As with the default timeouts, the lease is a quarter shorter than the shortest election
    /// timeout.
    #[must_use]
    pub fn with_fast_elections(self) -> Self {
        self.with_times(50, 120, 160, 360)
    }

    /// Sets when snapshots are taken and how many entries are kept in memory before them.
    #[must_use]
    pub fn with_snapshots(mut self, after_entries: u64, keep_entries: u64) -> Self {
        self.snapshot_after_entries = after_entries;
        self.keep_entries = keep_entries;
        self
    }

    /// Makes the leader maintain `voters` voters automatically.
    #[must_use]
    pub fn with_target_voters(mut self, voters: usize) -> Self {
        self.target_voters = Some(voters);
        self
    }

    /// Sets whether this keeper may bootstrap a cluster.
    #[must_use]
    pub fn with_bootstrap(mut self, allow_bootstrap: bool) -> Self {
        self.allow_bootstrap = allow_bootstrap;
        self
    }

    /// Sets the number of applied bytes after which a snapshot is taken.
    #[must_use]
    pub fn with_bytes_per_snapshot(mut self, bytes: u64) -> Self {
        self.snapshot_after_bytes = bytes;
        self
    }

    /// Checks that the timeouts are consistent.
    ///
    /// # Errors
    ///
    /// [`QuorumError::InvalidTimes`] with the first invalid field.
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
