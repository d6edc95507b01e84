//! Logs and metrics of queues that are confined to a part of the instances.

use hemlock_dispatch::prelude::ConfinementChange;
use tracing::warn;

/// Logs and counts changes of the confined queues.
pub(crate) fn log_confinement_changes(changes: Vec<ConfinementChange>) {
    for change in changes {
        match change {
            ConfinementChange::Confined { queue, task } => {
                warn!(event = "queue-confined", queue, task = %task);
                metrics::counter!("hemlock_confinements_total", "queue" => queue.clone())
                    .increment(1);
                metrics::gauge!("hemlock_queue_confined", "queue" => queue).set(1.0);
            }
            ConfinementChange::Released { queue } => {
                warn!(event = "queue-released", queue);
                metrics::gauge!("hemlock_queue_confined", "queue" => queue).set(0.0);
            }
        }
    }
}
