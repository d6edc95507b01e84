//! The agent's metrics, which `/metrics` exposes.

use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use metrics::{Histogram, Label, counter, gauge, histogram};

/// Publishes the counters and the status of a gate, labelled with the agent's role and instance.
pub(crate) struct AgentMetrics {
    labels: Vec<Label>,
}

impl AgentMetrics {
    pub(crate) fn new(agent: Incarnation) -> Self {
        let labels = vec![
            Label::new("role", "agent"),
            Label::new("instance", agent.to_string()),
        ];
        Self { labels }
    }

    /// Returns the histogram with this name.
    pub(crate) fn histogram(&self, name: &'static str) -> Histogram {
        histogram!(name, self.labels.iter())
    }

    pub(crate) fn publish(&self, counters: &Counters, status: &GateStatus) {
        self.set_counter("hemlock_starts_total", counters.started);
        self.set_counter("hemlock_ends_total", counters.ended);
        self.set_counter("hemlock_starts_with_credit_total", counters.with_credit);
        self.set_counter("hemlock_credits_granted_total", counters.granted);
        self.set_counter("hemlock_credits_recalled_total", counters.recalled);
        self.set_counter("hemlock_cancels_running_total", counters.withdrawn);
        self.set_counter("hemlock_cancels_revoked_total", counters.revoked);
        for (refusal, count) in Refusal::ALL.iter().zip(counters.refused) {
            self.set_labelled_counter(
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
            self.set_labelled_counter(name, "cause", cause.to_owned(), count);
        }
        self.publish_status(status);
    }

    fn publish_status(&self, status: &GateStatus) {
        self.set_gauge("hemlock_slots", f64::from(status.slots));
        self.set_gauge("hemlock_running", f64::from(status.running));
        self.set_gauge("hemlock_credits_held", f64::from(status.reserved));
        self.set_gauge("hemlock_waiting_links", gauge_value(status.waiting));
        self.set_gauge("hemlock_remembered_tasks", gauge_value(status.tasks));
        self.set_gauge(
            "hemlock_kept_outcome_bytes",
            gauge_value(status.outcome_bytes),
        );
    }

    fn set_counter(&self, name: &'static str, value: u64) {
        counter!(name, self.labels.iter()).absolute(value);
    }

    fn set_labelled_counter(
        &self,
        name: &'static str,
        key: &'static str,
        label: String,
        value: u64,
    ) {
        let mut labels = self.labels.clone();
        labels.push(Label::new(key, label));
        counter!(name, labels).absolute(value);
    }

    fn set_gauge(&self, name: &'static str, value: f64) {
        gauge!(name, self.labels.iter()).set(value);
    }
}

fn gauge_value(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
