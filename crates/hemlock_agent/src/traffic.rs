//! The threads that call the endpoint instance.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender, unbounded};
use hemlock_gate::prelude::*;
use hemlock_http::prelude::*;
use hemlock_telemetry::prelude::*;
use hemlock_types::prelude::*;
use metrics::Histogram;

use crate::command::Command;
use crate::meters::Meters;

/// Longest time to connect to the endpoint, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Largest answer taken from the endpoint, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Pause before a suspect endpoint is tried again.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Work for a traffic thread.
pub(crate) enum Job {
    /// Call the endpoint.
    Call {
        run: RunKey,
        offer: Offer,
        spec: Box<TaskSpec>,
        received: Instant,
    },
    /// Try whether the endpoint takes connections.
    Probe(SocketAddr),
}

/// The threads that call the endpoint. Dropping it joins them.
pub(crate) struct TrafficPool {
    jobs: Option<Sender<Job>>,
    taken: Receiver<Job>,
    worker: Worker,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Clone)]
struct Worker {
    commands: Sender<Command>,
    client: HttpClient,
    clock: Arc<dyn Clock>,
    endpoint_ms: Histogram,
    gate_ms: Histogram,
}

impl TrafficPool {
    pub(crate) fn new(commands: Sender<Command>, clock: Arc<dyn Clock>, meters: &Meters) -> Self {
        let (jobs, taken) = unbounded();
        let config = HttpClientConfig::default()
            .with_connect_timeout_ms(CONNECT_TIMEOUT_MS)
            .with_max_body_bytes(MAX_ANSWER_BYTES);
        let worker = Worker {
            commands,
            client: HttpClient::new(config),
            clock,
            endpoint_ms: meters.time("hemlock_endpoint_ms"),
            gate_ms: meters.time("hemlock_gate_ms"),
        };
        Self {
            jobs: Some(jobs),
            taken,
            worker,
            threads: Vec::new(),
        }
    }

    /// Hands a job to the threads, of which there are at least `busy` afterwards.
    pub(crate) fn submit(&mut self, job: Job, busy: usize) {
        while self.threads.len() < busy.max(1) {
            let worker = self.worker.clone();
            let taken = self.taken.clone();
            let spawned = std::thread::Builder::new()
                .name("traffic".to_owned())
                .spawn(move || worker.serve(&taken));
            match spawned {
                Ok(thread) => self.threads.push(thread),
                Err(error) => {
                    tracing::warn!(%error, "no further traffic thread");
                    break;
                }
            }
        }
        match (&self.jobs, self.threads.is_empty()) {
            (Some(jobs), false) => drop(jobs.send(job)),
            _ => self.worker.reject(&job),
        }
    }
}

impl Drop for TrafficPool {
    fn drop(&mut self) {
        self.jobs = None;
        for thread in self.threads.drain(..) {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
    }
}

impl Worker {
    fn serve(&self, jobs: &Receiver<Job>) {
        for job in jobs {
            match job {
                Job::Call {
                    run,
                    offer,
                    spec,
                    received,
                } => self.call(run, &offer, &spec, received),
                Job::Probe(address) => self.probe(address),
            }
        }
    }

    fn tell(&self, event: Event) {
        // The control thread outlives its traffic threads, except after a kill.
        let _ = self.commands.send(Command::Event(event));
    }

    /// Ends a run that no thread could take; it has not started.
    fn reject(&self, job: &Job) {
        if let Job::Call { run, .. } = job {
            self.tell(Event::Ended {
                run: *run,
                outcome: not_sent(NotRunReason::NoEndpoint),
                service_us: 0,
            });
        }
    }

    fn call(&self, run: RunKey, offer: &Offer, spec: &TaskSpec, received: Instant) {
        let sent = self.clock.now();
        let trace = Hops::of(spec);
        let gate_us = sent.micros_since(received);
        trace.emit_gate(gate_us);
        self.gate_ms.record(gate_us as f64 / MICROS_PER_MS);
        let result = self
            .client
            .send(&endpoint_call(offer.address, spec, &trace));
        let service_us = self.clock.now().micros_since(sent);
        trace.emit_endpoint(service_us);
        self.endpoint_ms.record(service_us as f64 / MICROS_PER_MS);
        let unreachable = matches!(result, Err(HttpClientError::NeverSent(_)));
        self.tell(Event::Ended {
            run,
            outcome: outcome(result),
            service_us,
        });
        if unreachable {
            self.tell(Event::Unreachable);
        }
    }

    fn probe(&self, address: SocketAddr) {
        std::thread::sleep(PROBE_PAUSE);
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        self.tell(match TcpStream::connect_timeout(&address, timeout) {
            Ok(_) => Event::Reached,
            Err(_) => Event::Unreachable,
        });
    }
}

/// The spans of a task's way through the agent.
struct Hops {
    gate: Option<(TraceContext, u64)>,
    endpoint: Option<(TraceContext, u64)>,
}

impl Hops {
    fn of(spec: &TaskSpec) -> Self {
        let header = std::str::from_utf8(&spec.traceparent).ok();
        let Some(parent) = header.and_then(TraceContext::parse) else {
            return Self {
                gate: None,
                endpoint: None,
            };
        };
        let gate = parent.child(rand::random());
        let endpoint = gate.child(rand::random());
        Self {
            gate: Some((gate, parent.span_id)),
            endpoint: Some((endpoint, gate.span_id)),
        }
    }

    fn emit_gate(&self, duration_micros: u64) {
        emit(Hop::Gate, self.gate, duration_micros);
    }

    fn emit_endpoint(&self, duration_micros: u64) {
        emit(Hop::Endpoint, self.endpoint, duration_micros);
    }
}

fn emit(hop: Hop, place: Option<(TraceContext, u64)>, duration_micros: u64) {
    let Some((context, parent_id)) = place else {
        return;
    };
    let span = SpanRecord {
        hop,
        context,
        parent_id,
        duration_micros,
    };
    span.emit();
}

fn endpoint_call(address: SocketAddr, spec: &TaskSpec, hops: &Hops) -> HttpCall {
    let target = format!("/{}/{}", spec.service, spec.operation);
    let mut call = HttpCall::new(Method::Post, address, target)
        .with_body(spec.body.clone(), "application/json")
        .with_timeout_ms(spec.deadline_ms)
        .with_header("Hemlock-Deadline-Ms", spec.deadline_ms.to_string());
    if let Some(submission) = spec.submission {
        call = call
            .with_header("Hemlock-Submission", submission.to_string())
            .with_header("Hemlock-Task", spec.task.0.to_string())
            .with_header("Idempotency-Key", format!("{submission}-{}", spec.task.0));
    }
    match hops.endpoint {
        Some((context, _)) => call.with_header("traceparent", context.to_header()),
        None => call,
    }
}

fn outcome(result: Result<HttpReply, HttpClientError>) -> Outcome {
    match result {
        Ok(reply) => Outcome::Complete(Answer {
            status: reply.status,
            content_type: Bytes::copy_from_slice(reply.content_type().as_bytes()),
            body: reply.body,
        }),
        Err(HttpClientError::NeverSent(_)) => not_sent(NotRunReason::NoEndpoint),
        Err(HttpClientError::BadRequest) => not_sent(NotRunReason::Infeasible),
        Err(HttpClientError::Lost(_)) => Outcome::Failed(FailureKind::ConnectionLost),
        Err(HttpClientError::MalformedReply(_)) => Outcome::Failed(FailureKind::BrokenAnswer),
        Err(HttpClientError::TooLarge(_)) => Outcome::Failed(FailureKind::AnswerTooLarge),
        Err(HttpClientError::Timeout) => Outcome::Failed(FailureKind::Deadline),
    }
}

fn not_sent(reason: NotRunReason) -> Outcome {
    Outcome::NotRun(reason, NotRunProof::RefusedByGate)
}
