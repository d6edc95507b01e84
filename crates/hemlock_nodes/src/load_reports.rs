//! When a runner reports its load to the gateways that follow it.
//!
//! Gateways place work by these reports, so a report that changes a decision must be newer than the
//! shortest tasks are long. Most changes at a busy instance decide nothing: whether three or four
//! further tasks fit is the same to a gateway that places one. Such changes are not reported by
//! themselves; answers to orders and reports of ends carry the load as well.
//!
//! Load pattern: gateways that are short of processor time. They follow dozens of runners, and
//! reports of all of them would take the time that callers' requests need. A gateway that takes long
//! to answer is therefore sent reports less often.

use hemlock_dispatch::prelude::{LoadReport, URGENCY_LEVELS};
use hemlock_types::time::{DurationMs, Instant};

/// Least time between two reports for each gateway that receives them, in microseconds. It bounds
/// the processor time that a runner spends on reports.
const MIN_INTERVAL_PER_GATEWAY_US: u64 = 700;
/// Time between two reports to a gateway as a multiple of the time by which it answers later than its
/// fastest answer, which is the delay of the network. It bounds the share of its processor time that
/// a busy gateway spends on reports.
const ANSWER_DELAYS: u64 = 4;
/// Longest time between two reports because of slow answers, in microseconds. It is shorter than the
/// shortest tasks.
const MAX_ANSWER_INTERVAL_US: u64 = 30_000;
/// Weight of the latest answer time in the mean, as a divisor.
const ANSWER_WEIGHT_DIVISOR: u64 = 4;
/// Age at which any change is reported.
const MAX_AGE: DurationMs = DurationMs::new(50);
/// Number of further tasks from which on it makes no difference to a gateway how many fit.
const MAX_FURTHER_TASKS: u64 = 2;
/// Granularity in which waits in the instance's queue are compared, in milliseconds.
const WAIT_BUCKET_MS: u64 = 12;
/// Number of tasks that an instance is assumed to hold while it runs none.
const TASKS_PER_IDLE_INSTANCE: u64 = 8;

/// The load of an instance, as far as decisions of gateways depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// Number of further tasks of the usual size that fit, up to [`MAX_FURTHER_TASKS`].
    further_tasks: u64,
    /// Expected wait of a start of each level, in units of [`WAIT_BUCKET_MS`].
    waits: [u64; URGENCY_LEVELS],
    suspended: bool,
}

impl LoadSummary {
    /// Summarizes a report of an instance with `capacity_cpu_milli`, at which `running` runs take
    /// `used_cpu_milli`.
    pub fn new(
        report: &LoadReport,
        capacity_cpu_milli: u64,
        used_cpu_milli: u64,
        running: usize,
    ) -> Self {
        let usual_cpu_milli = match running as u64 {
            0 => capacity_cpu_milli / TASKS_PER_IDLE_INSTANCE,
            running => used_cpu_milli / running,
        };
        let mut waits = [0; URGENCY_LEVELS];
        let mut work = 0;
        for (wait, queued) in waits.iter_mut().zip(report.queued_work) {
            work += queued;
            *wait = work / capacity_cpu_milli.max(1) / WAIT_BUCKET_MS;
        }
        Self {
            further_tasks: (report.free.cpu_milli / usual_cpu_milli.max(1)).min(MAX_FURTHER_TASKS),
            waits,
            suspended: report.suspended,
        }
    }
}

/// Times the load reports from one runner to one gateway.
#[derive(Debug, Default)]
pub struct LoadReports {
    sent_at: Instant,
    sent: Option<LoadSummary>,
    /// Whether the load may have changed since the last report.
    changed: bool,
    /// Mean time until an update is answered, in microseconds.
    answer_us: u64,
    /// Shortest time until an update was answered, in microseconds; `None` before the first answer.
    fastest_answer_us: Option<u64>,
}

impl LoadReports {
    /// Notes that the load may have changed.
    pub fn note_changed(&mut self) {
        self.changed = true;
    }

    /// Whether the load may have changed since the last report.
    pub fn is_changed(&self) -> bool {
        self.changed
    }

    /// Notes that an update was answered after `took_us` microseconds.
    pub fn note_answered(&mut self, took_us: u64) {
        let earlier_us = match self.fastest_answer_us {
            None => took_us,
            Some(_) => self.answer_us,
        };
        let fastest_us = self.fastest_answer_us.unwrap_or(took_us);
        self.fastest_answer_us = Some(fastest_us.min(took_us));
        let weighted_us = earlier_us * (ANSWER_WEIGHT_DIVISOR - 1) + took_us;
        self.answer_us = weighted_us / ANSWER_WEIGHT_DIVISOR;
    }

    /// Returns the instant at which the current load is to be reported, if `gateways` gateways
    /// receive reports.
    pub fn due_at(&self, current: &LoadSummary, gateways: usize) -> Instant {
        let fastest_us = self.fastest_answer_us.unwrap_or(self.answer_us);
        let delay_us = self.answer_us.saturating_sub(fastest_us);
        let delay_interval_us = (delay_us * ANSWER_DELAYS).min(MAX_ANSWER_INTERVAL_US);
        let interval_us = delay_interval_us.max(MIN_INTERVAL_PER_GATEWAY_US * gateways as u64);
        let earliest = Instant::from_micros(self.sent_at.as_micros() + interval_us);
        match &self.sent {
            Some(sent) if sent == current => earliest.max(self.sent_at + MAX_AGE),
            Some(_) => earliest,
            None => Instant::ZERO,
        }
    }

    /// Notes that the current load is reported now, by itself or with another message.
    pub fn note_sent(&mut self, now: Instant, current: LoadSummary) {
        self.sent_at = now;
        self.sent = Some(current);
        self.changed = false;
    }
}
