//! The agent's counters, as `/metrics` tells them.

use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use metrics::{Histogram, Label, counter, gauge, histogram};

/// Publishes a gate's totals under the labels of one agent.
pub(crate) struct Meters {
    labels: Vec<Label>,
}

impl Meters {
    pub(crate) fn new(agent: Incarnation) -> Self {
        let labels = vec![
            Label::new("role", "agent"),
            Label::new("instance", agent.to_string()),
        ];
        Self { labels }
    }

    /// A histogram of times in milliseconds.
    pub(crate) fn time(&self, name: &'static str) -> Histogram {
        histogram!(name, self.labels.iter())
    }

    pub(crate) fn publish(&self, counters: &Counters, status: &GateStatus) {
        self.count("hemlock_starts_total", counters.started);
        self.count("hemlock_ends_total", counters.ended);
        self.count("hemlock_starts_with_credit_total", counters.with_credit);
        self.count("hemlock_credits_granted_total", counters.granted);
        self.count("hemlock_credits_recalled_total", counters.recalled);
        self.count("hemlock_cancels_running_total", counters.withdrawn);
        self.count("hemlock_cancels_revoked_total", counters.revoked);
        for (refusal, count) in Refusal::ALL.iter().zip(counters.refused) {
            self.count_by(
                "hemlock_refusals_total",
                "reason",
                refusal.to_string(),
                count,
            );
        }
        let refused = counters.refused.iter().sum();
        let wasted = [
            ("refused", refused),
            ("duplicate", counters.duplicates),
            ("unclaimed", counters.unclaimed),
            ("endpoint-unreachable", counters.released),
        ];
        for (cause, count) in wasted {
            let name = "hemlock_wasted_messages_total";
            self.count_by(name, "cause", cause.to_owned(), count);
        }
        self.publish_status(status);
    }

    fn publish_status(&self, status: &GateStatus) {
        self.set("hemlock_slots", f64::from(status.slots));
        self.set("hemlock_running", f64::from(status.running));
        self.set("hemlock_credits_held", f64::from(status.reserved));
        self.set("hemlock_waiting_links", size(status.waiting));
        self.set("hemlock_remembered_tasks", size(status.tasks));
        self.set("hemlock_kept_outcome_bytes", size(status.outcome_bytes));
    }

    fn count(&self, name: &'static str, value: u64) {
        counter!(name, self.labels.iter()).absolute(value);
    }

    fn count_by(&self, name: &'static str, key: &'static str, label: String, value: u64) {
        let mut labels = self.labels.clone();
        labels.push(Label::new(key, label));
        counter!(name, labels).absolute(value);
    }

    fn set(&self, name: &'static str, value: f64) {
        gauge!(name, self.labels.iter()).set(value);
    }
}

fn size(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
