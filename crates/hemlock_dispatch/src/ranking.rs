//! The order in which waiting jobs get free room.
//!
//! Answers the load pattern of a burst: more work arrives for seconds than the instances can take.
//! Serving strictly in the order of arrival then makes every job late. Instead jobs that can still
//! be prompt go first, those that have begun before all others, then by urgency and due time; jobs that can only be late follow; jobs
//! whose result serves nobody any more come last, and still get done.

use hemlock_jobs::prelude::JobId;
use hemlock_types::time::{DurationMs, Instant};

/// What a job's result can still be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Promise {
    /// In time, if its work begins now.
    Prompt,
    /// Late, but of some use.
    Late,
    /// Of no use to its caller.
    Useless,
}

/// A job's place; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) promise: Promise,
    /// False for jobs of which something runs or has run: it is wasted unless the rest follows.
    pub(crate) untouched: bool,
    pub(crate) priority: u32,
    pub(crate) due: Instant,
    pub(crate) job: JobId,
}

/// What a job's result can still be, and when that changes if nothing is done.
pub(crate) fn judge_promise(
    now: Instant,
    remaining: DurationMs,
    due: Instant,
    useless_at: Instant,
) -> (Promise, Option<Instant>) {
    let before = |end: Instant| {
        let span_us = remaining.as_ms().saturating_mul(1_000);
        Instant::from_micros(end.as_micros().saturating_sub(span_us))
    };
    let (last_prompt, last_late) = (before(due), before(useless_at));
    match now {
        now if now <= last_prompt => (Promise::Prompt, Some(last_prompt)),
        now if now <= last_late => (Promise::Late, Some(last_late)),
        _ => (Promise::Useless, None),
    }
}
