//! Jobs that arrive while the gateway can't serve yet, after its start.
//!
//! Load pattern addressed: all processes lose power and start again. For some tenths of a second
//! the gateways are up, but no leader is elected, while the instances are idle and the callers come
//! back. A job that may wait that long without being late is held, so that the idle capacity is
//! used as soon as service is back. A job that would be late by then is rejected at once.
//!
//! Once the gateway serves, the held jobs are submitted in the order in which they would have been
//! served: the most urgent queue first, and within a queue the one that is due first. Admission
//! then rejects those for which there is no room.

use hemlock_dispatch::prelude::{latency_objective, spec_critical_path_ms};
use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};
use tokio::sync::oneshot;

/// Shortest time for which a job is held, in milliseconds. Even the shortest tasks have such a
/// target latency.
const MIN_HOLD_MS: u64 = 60;
/// Longest time for which a job is held, in milliseconds. A service that takes longer to come back
/// has lost more than its processes.
const MAX_HOLD_MS: u64 = 1_000;
/// Share of a job's critical path for which it is held. Latency objectives are proportional to the
/// critical path, but the factor is unknown before the configuration.
const HOLD_SHARE: f64 = 0.5;

/// How long a job may be held before it can no longer be on time, or can't be answered.
pub(crate) fn hold_limit(spec: &JobSpec, time_left: DurationMs) -> DurationMs {
    let critical_path_ms = spec_critical_path_ms(spec);
    let hold_ms = (critical_path_ms as f64 * HOLD_SHARE) as u64;
    let usable_ms = time_left.as_ms().saturating_sub(critical_path_ms);
    DurationMs::new(hold_ms.clamp(MIN_HOLD_MS, MAX_HOLD_MS).min(usable_ms))
}

/// A held job.
#[derive(Debug)]
struct HeldJob {
    host: String,
    path: String,
    critical_path_ms: u64,
    received_at: Instant,
    released: oneshot::Sender<()>,
}

/// The jobs that are held until the gateway serves.
#[derive(Debug, Default)]
pub(crate) struct StartupQueue {
    held: Vec<HeldJob>,
    serves: bool,
}

impl StartupQueue {
    /// Whether the gateway serves, so that nothing is held any more.
    pub(crate) fn serves(&self) -> bool {
        self.serves
    }

    /// Holds a job. The receiver is notified when it may be submitted.
    pub(crate) fn hold(
        &mut self,
        now: Instant,
        host: &str,
        path: &str,
        spec: &JobSpec,
    ) -> oneshot::Receiver<()> {
        let (released, receiver) = oneshot::channel();
        self.held.push(HeldJob {
            host: host.to_owned(),
            path: path.to_owned(),
            critical_path_ms: spec_critical_path_ms(spec),
            received_at: now,
            released,
        });
        receiver
    }

    /// Releases all held jobs in the order in which they are to be submitted, and returns how many
    /// of their callers still wait.
    pub(crate) fn release(&mut self, configuration: &Configuration) -> usize {
        self.serves = true;
        let mut held = std::mem::take(&mut self.held);
        held.retain(|job| !job.released.is_closed());
        held.sort_by_cached_key(|job| {
            let queue = configuration.find(&job.host, &job.path);
            let queue = queue.map(|found| found.queue);
            let priority = queue.map_or(u32::MAX, |queue| queue.priority);
            let objective = queue.map(|queue| latency_objective(queue, job.critical_path_ms));
            (priority, job.received_at + objective.unwrap_or_default())
        });
        let count = held.len();
        for job in held {
            // The caller may have left.
            let _ = job.released.send(());
        }
        count
    }
}
