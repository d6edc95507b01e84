//! Settings of the dispatcher.

use hemlock_types::time::DurationMs;

/// Largest share of true time that an instance's clock may lose, in per mille.
const MAX_CLOCK_LAG_PER_MILLE: u64 = 20;

/// The source of the free capacity of instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacitySource {
    /// The dispatcher counts its own starts, because no other dispatcher uses the instances.
    Local,
    /// The agents send load reports, because other dispatchers use the same instances.
    Reported,
}

/// Time limits and thresholds of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// The source of the free capacity of instances.
    pub capacity: CapacitySource,
    /// Whether the end of a run must be in the job store before the instance may forget it.
    pub records_ends: bool,
    /// How long an agent may act on a confirmation of its authority, in milliseconds from the
    /// agent's request.
    pub authority_ms: u64,
    /// Longest lease of a run, in milliseconds on the instance's clock.
    pub lease_ms: u64,
    /// Margin added to the sum of both for the agent's timers and the duration of a stop, in
    /// milliseconds.
    pub margin_ms: u64,
    /// Multiple of a job's latency objective after which its result is of no use.
    pub expire_after_objectives: f64,
    /// Share of a job's slack that its expected wait may take for the job to be admitted. Slack is
    /// the latency objective minus the critical path. The rest covers errors of the expected wait.
    pub admit_slack_share: f64,
    /// Same as [`admit_slack_share`](Self::admit_slack_share), for jobs that displace less urgent
    /// ones: those of a class between the most and the least urgent one of their service, while a
    /// less urgent class is admitted less often.
    pub admit_displacing_slack_share: f64,
    /// Largest share of a job's slack that its expected wait may take, however small the job is.
    pub max_admit_slack_share: f64,
    /// Shortest retry delay given to rejected callers, in milliseconds.
    pub retry_after_min_ms: u64,
    /// Ratio of a task's duration on another rack than the one that it prefers to that on the
    /// preferred one; 1 if unknown.
    pub remote_factor: f64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            capacity: CapacitySource::Local,
            records_ends: true,
            authority_ms: 2_000,
            lease_ms: 1_000,
            margin_ms: 250,
            expire_after_objectives: 3.0,
            admit_slack_share: 0.5,
            admit_displacing_slack_share: 0.25,
            max_admit_slack_share: 0.9,
            retry_after_min_ms: 1_000,
            remote_factor: 1.0,
        }
    }
}

impl DispatchSettings {
    /// Time after an agent's last confirmation from which none of its runs can be alive.
    pub fn expiry(&self) -> DurationMs {
        let lease_ms = longest_lease(self.lease_ms).as_ms();
        DurationMs::new(self.authority_ms + lease_ms + self.margin_ms)
    }
}

/// The lease, measured by an instance's clock, that is over within this time even if the clock runs
/// slow, in milliseconds.
pub fn lease_within(duration: DurationMs) -> u64 {
    duration.as_ms() * (1_000 - MAX_CLOCK_LAG_PER_MILLE) / 1_000
}

/// Longest true duration of a lease of `lease_ms` measured by an instance's clock, which may run
/// slow.
pub fn longest_lease(lease_ms: u64) -> DurationMs {
    DurationMs::new(lease_ms * 1_000 / (1_000 - MAX_CLOCK_LAG_PER_MILLE))
}
