//! Metrics of an entry: counters, gauges and histograms.

use std::collections::HashMap;

use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};

use crate::spans::emit_task_spans;

const US_PER_MS: f64 = 1_000.0;
/// Time between two updates of the gauges, in milliseconds.
const GAUGE_INTERVAL_MS: u64 = 250;

#[derive(Debug)]
struct TaskHistograms {
    response_ms: Histogram,
    queued_ms: Histogram,
    service_ms: Histogram,
    overhead_ms: Histogram,
}

/// The metrics of one entry.
pub(crate) struct Counters {
    instance: String,
    task_histograms: HashMap<CustomerName, TaskHistograms>,
    messages: HashMap<&'static str, Counter>,
    claim_ms: Histogram,
    admitted: Counter,
    requeued: Counter,
    retried: Counter,
    hedged: Counter,
    adopted: Counter,
    config_version: Gauge,
    lease_left_ms: Gauge,
    queued: Gauge,
    in_flight: Gauge,
    last_published: Instant,
}

impl Counters {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        let instance = incarnation.to_string();
        let new_counter =
            |name: &'static str| counter!(name, "role" => "entry", "instance" => instance.clone());
        let new_gauge =
            |name: &'static str| gauge!(name, "role" => "entry", "instance" => instance.clone());
        Self {
            task_histograms: HashMap::new(),
            messages: HashMap::new(),
            claim_ms: histogram!("hemlock_entry_claim_ms", "role" => "entry", "instance" => instance.clone()),
            admitted: new_counter("hemlock_entry_tasks_admitted_total"),
            requeued: new_counter("hemlock_entry_tasks_requeued_total"),
            retried: new_counter("hemlock_entry_retries_total"),
            hedged: new_counter("hemlock_entry_hedges_total"),
            adopted: new_counter("hemlock_entry_submissions_adopted_total"),
            config_version: new_gauge("hemlock_entry_config_version"),
            lease_left_ms: new_gauge("hemlock_entry_lease_left_ms"),
            queued: new_gauge("hemlock_entry_tasks_queued"),
            in_flight: new_gauge("hemlock_entry_starts_in_flight"),
            last_published: Instant::ZERO,
            instance,
        }
    }

    /// Counts a message to or from another process.
    pub(crate) fn count_message(&mut self, kind: &'static str) {
        let instance = &self.instance;
        let new_counter = || counter!("hemlock_messages_total", "role" => "entry", "instance" => instance.clone(), "kind" => kind);
        self.messages
            .entry(kind)
            .or_insert_with(new_counter)
            .increment(1);
    }

    /// Counts an answer to a caller by its outcome.
    pub(crate) fn count_answer(&self, result: &CallResult) {
        let outcome = match result {
            CallResult::Complete(_) | CallResult::CompleteElsewhere => "complete",
            CallResult::Failed(_) => "failed",
            CallResult::NotRun(..) => "not-run",
            CallResult::Rejected(_) => "rejected",
            CallResult::Running | CallResult::CancelRecorded => "accepted",
        };
        counter!("hemlock_entry_answers_total", "role" => "entry", "instance" => self.instance.clone(), "outcome" => outcome).increment(1);
    }

    /// Records an observation of the router.
    pub(crate) fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Admitted { tasks } => self.admitted.increment(u64::from(tasks)),
            Observation::Refused(reason) => {
                self.count_cause("hemlock_entry_refusals_total", reason.to_string());
            }
            Observation::TaskDone {
                customer,
                traceparent,
                response_us,
                queued_us,
                service_us,
            } => {
                emit_task_spans(&traceparent, response_us, queued_us);
                self.record_task(customer, response_us, queued_us, service_us);
            }
            Observation::ClaimDone {
                traceparent,
                claim_us,
            } => {
                crate::spans::emit_claim_span(&traceparent, claim_us);
                self.claim_ms.record(claim_us as f64 / US_PER_MS);
            }
            Observation::Requeued => self.requeued.increment(1),
            Observation::Retried => self.retried.increment(1),
            Observation::Hedged => self.hedged.increment(1),
            Observation::Adopted => self.adopted.increment(1),
            Observation::Ejected(agent) => {
                tracing::info!(event = "endpoint-ejected", %agent);
                self.count_cause("hemlock_entry_ejections_total", "ejected".to_owned());
            }
            Observation::Reinstated(agent) => {
                tracing::info!(event = "endpoint-reinstated", %agent);
                self.count_cause("hemlock_entry_ejections_total", "reinstated".to_owned());
            }
            Observation::Wasted(cause) => {
                self.count_cause("hemlock_wasted_messages_total", cause.to_string());
            }
        }
    }

    fn count_cause(&self, name: &'static str, cause: String) {
        counter!(name, "role" => "entry", "instance" => self.instance.clone(), "cause" => cause)
            .increment(1);
    }

    fn record_task(
        &mut self,
        customer: CustomerName,
        response_us: u64,
        queued_us: u64,
        service_us: u64,
    ) {
        let instance = &self.instance;
        let histograms = self.task_histograms.entry(customer).or_insert_with_key(|customer| {
            let new_histogram = |name: &'static str| histogram!(name, "role" => "entry", "instance" => instance.clone(), "customer" => customer.to_string());
            TaskHistograms {
                response_ms: new_histogram("hemlock_entry_response_ms"),
                queued_ms: new_histogram("hemlock_entry_queued_ms"),
                service_ms: new_histogram("hemlock_entry_service_ms"),
                overhead_ms: new_histogram("hemlock_entry_overhead_ms"),
            }
        });
        let overhead_us = response_us.saturating_sub(queued_us + service_us);
        histograms
            .response_ms
            .record(response_us as f64 / US_PER_MS);
        histograms.queued_ms.record(queued_us as f64 / US_PER_MS);
        histograms.service_ms.record(service_us as f64 / US_PER_MS);
        histograms
            .overhead_ms
            .record(overhead_us as f64 / US_PER_MS);
    }

    /// Updates the gauges if the interval since the last update has passed.
    pub(crate) fn publish(&mut self, now: Instant, router: &Router) {
        if now.since(self.last_published) < DurationMs::new(GAUGE_INTERVAL_MS) {
            return;
        }
        self.last_published = now;
        self.config_version
            .set(router.contracts().version().0 as f64);
        self.lease_left_ms
            .set(router.lease_until().since(now).as_ms() as f64);
        self.queued.set(router.queued() as f64);
        self.in_flight.set(router.in_flight() as f64);
    }
}
