//! When a runner reports its load to the gateways that follow it.
//!
//! Gateways place work by these reports, so a report that changes a decision must be newer than the
//! shortest tasks are long. Most changes at a busy instance decide nothing: whether three or four
//! further tasks fit is the same to a gateway that places one. Such changes are not reported by
//! themselves; answers to orders and reports of ends carry the load as well.

use hemlock_dispatch::prelude::{LoadReport, URGENCY_LEVELS};
use hemlock_types::time::{DurationMs, Instant};

/// Least time between two reports for each gateway that receives them, in microseconds. It bounds
/// the processor time that a runner spends on reports.
const MIN_INTERVAL_PER_GATEWAY_US: u64 = 700;
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

/// Times the load reports of one runner.
#[derive(Debug, Default)]
pub struct LoadReports {
    sent_at: Instant,
    sent: Option<LoadSummary>,
}

impl LoadReports {
    /// Returns the instant at which the current load is to be reported to `gateways` gateways.
    pub fn due_at(&self, current: &LoadSummary, gateways: usize) -> Instant {
        let interval_us = MIN_INTERVAL_PER_GATEWAY_US * gateways as u64;
        let earliest = Instant::from_micros(self.sent_at.as_micros() + interval_us);
        match &self.sent {
            Some(sent) if sent == current => earliest.max(self.sent_at + MAX_AGE),
            Some(_) => earliest,
            None => Instant::ZERO,
        }
    }

    /// Notes that the current load is reported now.
    pub fn note_sent(&mut self, now: Instant, current: LoadSummary) {
        self.sent_at = now;
        self.sent = Some(current);
    }
}
