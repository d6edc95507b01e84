//! The thread pool that sends tasks to the endpoint instance over HTTP.

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

use crate::agent_metrics::AgentMetrics;
use crate::command::Command;

/// Longest time to open a connection to the endpoint, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Largest answer accepted from the endpoint, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

const US_PER_MS: f64 = 1_000.0;

/// Pause before a probe connects to a suspect endpoint.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// A command to a thread of the pool.
pub(crate) enum PoolCommand {
    /// Call the endpoint to run a task.
    Call {
        run: RunKey,
        offer: Offer,
        spec: Box<TaskSpec>,
        received: Instant,
    },
    /// Check whether the endpoint accepts connections.
    Probe(SocketAddr),
}

/// The threads that call the endpoint. Dropping the pool joins them.
pub(crate) struct EndpointClientPool {
    commands: Option<Sender<PoolCommand>>,
    command_receiver: Receiver<PoolCommand>,
    client: EndpointClient,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Clone)]
struct EndpointClient {
    commands: Sender<Command>,
    client: HttpClient,
    clock: Arc<dyn Clock>,
    endpoint_ms: Histogram,
    gate_ms: Histogram,
}

impl EndpointClientPool {
    pub(crate) fn new(
        commands: Sender<Command>,
        clock: Arc<dyn Clock>,
        metrics: &AgentMetrics,
    ) -> Self {
        let (pool_commands, command_receiver) = unbounded();
        let config = HttpClientConfig::default()
            .with_connect_timeout_ms(CONNECT_TIMEOUT_MS)
            .with_max_body_bytes(MAX_ANSWER_BYTES);
        let client = EndpointClient {
            commands,
            client: HttpClient::new(config),
            clock,
            endpoint_ms: metrics.histogram("hemlock_endpoint_ms"),
            gate_ms: metrics.histogram("hemlock_gate_ms"),
        };
        Self {
            commands: Some(pool_commands),
            command_receiver,
            client,
            threads: Vec::new(),
        }
    }

    /// Passes a command to the pool, after starting threads until it has at least `min_threads`.
    pub(crate) fn submit(&mut self, command: PoolCommand, min_threads: usize) {
        while self.threads.len() < min_threads.max(1) {
            let client = self.client.clone();
            let receiver = self.command_receiver.clone();
            let spawned = std::thread::Builder::new()
                .name("traffic".to_owned())
                .spawn(move || client.serve(&receiver));
            match spawned {
                Ok(thread) => self.threads.push(thread),
                Err(error) => {
                    tracing::warn!(%error, "can't start another thread to call the endpoint");
                    break;
                }
            }
        }
        match (&self.commands, self.threads.is_empty()) {
            (Some(commands), false) => drop(commands.send(command)),
            _ => self.client.reject(&command),
        }
    }
}

impl Drop for EndpointClientPool {
    fn drop(&mut self) {
        self.commands = None;
        for thread in self.threads.drain(..) {
            if let Err(panic) = thread.join() {
                std::panic::resume_unwind(panic);
            }
        }
    }
}

impl EndpointClient {
    fn serve(&self, commands: &Receiver<PoolCommand>) {
        for command in commands {
            match command {
                PoolCommand::Call {
                    run,
                    offer,
                    spec,
                    received,
                } => self.call(run, &offer, &spec, received),
                PoolCommand::Probe(address) => self.probe(address),
            }
        }
    }

    fn send_event(&self, event: Event) {
        // The control thread outlives the pool unless the agent is killed.
        let _ = self.commands.send(Command::Event(event));
    }

    /// Ends the run of a command that no thread can execute. The run has not started.
    fn reject(&self, command: &PoolCommand) {
        if let PoolCommand::Call { run, .. } = command {
            self.send_event(Event::Ended {
                run: *run,
                outcome: not_run(NotRunReason::NoEndpoint),
                service_us: 0,
            });
        }
    }

    fn call(&self, run: RunKey, offer: &Offer, spec: &TaskSpec, received: Instant) {
        let sent = self.clock.now();
        let trace = SpanContexts::of(spec);
        let gate_us = sent.micros_since(received);
        trace.emit_gate(gate_us);
        self.gate_ms.record(gate_us as f64 / US_PER_MS);
        let result = self
            .client
            .send(&endpoint_call(offer.address, spec, &trace));
        let service_us = self.clock.now().micros_since(sent);
        trace.emit_endpoint(service_us);
        self.endpoint_ms.record(service_us as f64 / US_PER_MS);
        let unreachable = matches!(result, Err(HttpClientError::NeverSent(_)));
        self.send_event(Event::Ended {
            run,
            outcome: outcome(result),
            service_us,
        });
        if unreachable {
            self.send_event(Event::Unreachable);
        }
    }

    fn probe(&self, address: SocketAddr) {
        std::thread::sleep(PROBE_PAUSE);
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        self.send_event(match TcpStream::connect_timeout(&address, timeout) {
            Ok(_) => Event::Reached,
            Err(_) => Event::Unreachable,
        });
    }
}

/// Trace contexts of a task's spans in the agent, each with the id of its parent span.
struct SpanContexts {
    gate: Option<(TraceContext, u64)>,
    endpoint: Option<(TraceContext, u64)>,
}

impl SpanContexts {
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
        emit_span(Hop::Gate, self.gate, duration_micros);
    }

    fn emit_endpoint(&self, duration_micros: u64) {
        emit_span(Hop::Endpoint, self.endpoint, duration_micros);
    }
}

fn emit_span(hop: Hop, context_and_parent: Option<(TraceContext, u64)>, duration_micros: u64) {
    let Some((context, parent_id)) = context_and_parent else {
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

fn endpoint_call(address: SocketAddr, spec: &TaskSpec, trace: &SpanContexts) -> HttpCall {
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
    match trace.endpoint {
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
        Err(HttpClientError::NeverSent(_)) => not_run(NotRunReason::NoEndpoint),
        Err(HttpClientError::BadRequest) => not_run(NotRunReason::Infeasible),
        Err(HttpClientError::Lost(_)) => Outcome::Failed(FailureKind::ConnectionLost),
        Err(HttpClientError::MalformedReply(_)) => Outcome::Failed(FailureKind::BrokenAnswer),
        Err(HttpClientError::TooLarge(_)) => Outcome::Failed(FailureKind::AnswerTooLarge),
        Err(HttpClientError::Timeout) => Outcome::Failed(FailureKind::Deadline),
    }
}

fn not_run(reason: NotRunReason) -> Outcome {
    Outcome::NotRun(reason, NotRunProof::RefusedByGate)
}
