//! The order in which waiting jobs receive free capacity.
//!
//! The ranking handles bursts, in which more work arrives for some seconds than the instances can
//! run. First come, first served would then make every job late. Instead, jobs that can still be
//! on time go first: started jobs before the others, then by priority and due time. Jobs that can
//! only be late follow. Expired jobs, whose result is of no use to anyone, come last but still run.

use hemlock_jobs::prelude::JobId;
use hemlock_types::time::{DurationMs, Instant};

/// How timely a job's result can still be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    /// The result meets the latency objective if work starts now. A started job also counts as on
    /// time while its caller may still receive the result.
    OnTime,
    /// The result misses the objective but is still of use.
    Late,
    /// The result is of no use to the caller.
    Expired,
}

/// A job's scheduling rank. The lowest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) timeliness: Timeliness,
    /// False for started jobs, which go first because their finished work is wasted unless the rest
    /// follows.
    pub(crate) not_started: bool,
    pub(crate) priority: u32,
    pub(crate) due: Instant,
    pub(crate) job: JobId,
}

/// The timeliness of a result that still takes `remaining`, and the instant after which it drops if
/// work has not started.
pub(crate) fn assess_timeliness(
    now: Instant,
    remaining: DurationMs,
    due: Instant,
    expires_at: Instant,
) -> (Timeliness, Option<Instant>) {
    let latest_start = |end: Instant| {
        let remaining_us = remaining.as_ms().saturating_mul(1_000);
        Instant::from_micros(end.as_micros().saturating_sub(remaining_us))
    };
    let (latest_on_time_start, latest_useful_start) = (latest_start(due), latest_start(expires_at));
    match now {
        now if now <= latest_on_time_start => (Timeliness::OnTime, Some(latest_on_time_start)),
        now if now <= latest_useful_start => (Timeliness::Late, Some(latest_useful_start)),
        _ => (Timeliness::Expired, None),
    }
}
