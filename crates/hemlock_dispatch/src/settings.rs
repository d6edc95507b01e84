//! Times of the dispatcher.

use hemlock_types::time::DurationMs;

/// Per mille of true time that an instance's clock may lose.
const SLOW_CLOCK_PER_MILLE: u64 = 20;

/// How a dispatcher knows what instances have left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityView {
    /// It is the only one that orders starts, and counts by itself.
    Own,
    /// Others order starts too, and the agents tell what is left.
    Shared,
}

/// Times and bounds of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// How it knows what instances have left.
    pub capacity: CapacityView,
    /// Whether the ends of its runs must be recorded before their instances forget them.
    pub records_ends: bool,
    /// How long an agent may act on a confirmation, counted from its request, in milliseconds.
    pub authority_ms: u64,
    /// Longest lease of a run on the instance's clock, in milliseconds.
    pub lease_ms: u64,
    /// Added to both, for the agent's own timers and the time that a stop takes, in milliseconds.
    pub margin_ms: u64,
    /// Multiple of a job's objective beyond which its result serves nobody.
    pub useless_after_objectives: f64,
    /// Share of a job's slack, which is what its objective leaves beside its work, that it may be
    /// expected to wait and is still taken in. The rest is for what the expectation misses.
    pub admit_slack_share: f64,
    /// Least time after which a request that was rejected may be sent again, in milliseconds.
    pub retry_after_min_ms: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            capacity: CapacityView::Own,
            records_ends: true,
            authority_ms: 2_000,
            lease_ms: 1_000,
            margin_ms: 250,
            useless_after_objectives: 3.0,
            admit_slack_share: 0.5,
            retry_after_min_ms: 1_000,
        }
    }
}

impl DispatchSettings {
    /// Time from an agent's last confirmation until none of its runs can be alive.
    pub fn expiry(&self) -> DurationMs {
        let lease_ms = longest_lease(self.lease_ms).as_ms();
        DurationMs::new(self.authority_ms + lease_ms + self.margin_ms)
    }
}

/// The longest true time that a lease of `lease_ms` on an instance's clock lasts.
pub fn longest_lease(lease_ms: u64) -> DurationMs {
    DurationMs::new(lease_ms * 1_000 / (1_000 - SLOW_CLOCK_PER_MILLE))
}
