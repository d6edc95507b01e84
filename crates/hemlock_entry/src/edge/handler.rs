//! Reads callers' requests and hands them to the control thread.

use std::sync::Arc;

use bytes::Bytes;
use hemlock_http::prelude::*;
use hemlock_router::prelude::*;
use hemlock_telemetry::prelude::*;
use hemlock_types::names::is_valid_name;
use hemlock_types::prelude::*;

use super::job::{JobFault, parse_job};
use crate::inbox::{Call, CallKind, CallShape, Inbox, Input, post};
use crate::status::Status;

/// Longest name of a submission, in bytes.
const SUBMISSION_MAX_BYTES: usize = 256;
/// Largest deadline that a caller may ask for, in milliseconds.
const DEADLINE_MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// A request that can't be understood or is not allowed; nothing ran for it.
struct BadCall {
    status: u16,
    code: &'static str,
    message: &'static str,
}

const fn bad(status: u16, code: &'static str, message: &'static str) -> BadCall {
    BadCall {
        status,
        code,
        message,
    }
}

impl From<JobFault> for BadCall {
    fn from(fault: JobFault) -> Self {
        bad(400, fault.code(), fault.message())
    }
}

/// The handler of an entry's HTTP server.
#[derive(Debug)]
pub(crate) struct Edge {
    inbox: Inbox,
    status: Arc<Status>,
    instance: String,
}

impl Edge {
    pub(crate) fn new(inbox: Inbox, status: Arc<Status>, incarnation: Incarnation) -> Self {
        Self {
            inbox,
            status,
            instance: incarnation.to_string(),
        }
    }

    fn readiness(&self) -> HttpResponse {
        match self.status.is_ready() {
            true => HttpResponse::text(200, "ready\n"),
            false => HttpResponse::text(503, "not ready\n"),
        }
    }

    fn authenticate(&self, request: &HttpRequest) -> Result<CustomerName, BadCall> {
        let refused = bad(
            401,
            "unauthorized",
            "send a key of a contract as `Authorization: Bearer KEY`",
        );
        let Some(key) = request.bearer() else {
            return Err(refused);
        };
        match self.status.keys().find(key) {
            Some(customer) => Ok(customer),
            None if self.status.is_ready() => Err(refused),
            None => Err(NOT_READY),
        }
    }

    fn post(&self, call: Call) {
        post(&self.inbox, Input::Call(Box::new(call)));
    }

    fn take_request(
        &self,
        request: &HttpRequest,
        service: &str,
        operation: &str,
    ) -> Result<Submit, BadCall> {
        let customer = self.authenticate(request)?;
        check_name(service)?;
        check_name(operation)?;
        let task = TaskRequest {
            operation: operation.into(),
            body: request.body.clone(),
            cores: 0,
            memory_mb: 0,
        };
        let submission = match request.header("idempotency-key") {
            None => None,
            Some(key) => {
                check_submission(key)?;
                let id = SubmissionId::derive(&customer, key);
                let digest = content_digest(service, std::slice::from_ref(&task));
                Some((id, digest))
            }
        };
        Ok(Submit {
            call: CallId(0),
            customer,
            service: service.into(),
            submission,
            tasks: vec![task],
            deadline_ms: deadline_of(request)?,
            traceparent: own_context(request),
            detached: false,
        })
    }

    fn take_job(&self, request: &HttpRequest) -> Result<(String, Submit), BadCall> {
        let customer = self.authenticate(request)?;
        let job = parse_job(&request.body)?;
        check_name(&job.service)?;
        check_submission(&job.submission)?;
        for task in &job.tasks {
            check_name(task.operation.as_str())?;
        }
        let id = SubmissionId::derive(&customer, &job.submission);
        let digest = content_digest(&job.service, &job.tasks);
        let deadline_ms = match (job.deadline_ms, deadline_of(request)?) {
            (Some(0), _) => return Err(BAD_DEADLINE),
            (Some(asked), _) => Some(asked.min(DEADLINE_MAX_MS)),
            (None, header) => header,
        };
        let detached = request
            .header("prefer")
            .is_some_and(|prefer| prefer.split(',').any(|part| part.trim() == "respond-async"));
        let submit = Submit {
            call: CallId(0),
            customer,
            service: job.service.as_str().into(),
            submission: Some((id, digest)),
            tasks: job.tasks,
            deadline_ms,
            traceparent: own_context(request),
            detached,
        };
        Ok((job.submission, submit))
    }

    fn named_submission(&self, request: &HttpRequest, name: &str) -> Result<SubmissionId, BadCall> {
        let customer = self.authenticate(request)?;
        check_submission(name)?;
        Ok(SubmissionId::derive(&customer, name))
    }

    /// Answers a call that the router never sees. While this process can't know the caller, a
    /// call that names a submission may be a resubmission of one that has run.
    fn refuse(&self, request: &HttpRequest, fault: &BadCall, responder: Responder) {
        metrics::counter!("hemlock_entry_bad_calls_total", "role" => "entry", "instance" => self.instance.clone(), "code" => fault.code).increment(1);
        let named = request.header("idempotency-key").is_some() || request.path == "/v1/jobs";
        let outcome = match fault.status {
            503 if named => "failed",
            _ => "not-run",
        };
        let response = HttpResponse::error(fault.status, fault.code, fault.message)
            .with_header("Hemlock-Outcome", outcome)
            .with_header("Hemlock-Reason", fault.code);
        let response = match fault.status {
            503 => response.with_header("Retry-After", "1"),
            _ => response,
        };
        responder.send(response);
    }

    fn submit(&self, request: &HttpRequest, path: (&str, &str), responder: Responder) {
        let arrival = Arrival::of(request);
        match self.take_request(request, path.0, path.1) {
            Err(fault) => self.refuse(request, &fault, responder),
            Ok(submit) => self.forward(submit, CallShape::Request, &arrival, responder),
        }
    }

    fn submit_job(&self, request: &HttpRequest, responder: Responder) {
        let arrival = Arrival::of(request);
        match self.take_job(request) {
            Err(fault) => self.refuse(request, &fault, responder),
            Ok((name, submit)) => self.forward(submit, CallShape::Job(name), &arrival, responder),
        }
    }

    fn forward(&self, submit: Submit, shape: CallShape, arrival: &Arrival, responder: Responder) {
        emit_admit_span(&submit.traceparent, arrival);
        self.post(Call {
            traceparent: submit.traceparent.clone(),
            kind: CallKind::Submit(Box::new(submit)),
            shape,
            responder,
        });
    }

    fn ask(
        &self,
        request: &HttpRequest,
        name: &str,
        kind: fn(SubmissionId) -> CallKind,
        responder: Responder,
    ) {
        match self.named_submission(request, name) {
            Err(fault) => self.refuse(request, &fault, responder),
            Ok(submission) => self.post(Call {
                kind: kind(submission),
                shape: CallShape::Job(name.to_owned()),
                traceparent: Bytes::new(),
                responder,
            }),
        }
    }
}

impl HttpHandler for Edge {
    fn handle(&self, request: HttpRequest, responder: Responder) {
        let segments = request.segments();
        match (&request.method, segments.as_slice()) {
            (Method::Get, ["healthz"]) => responder.send(HttpResponse::text(200, "ok\n")),
            (Method::Get, ["readyz"]) => responder.send(self.readiness()),
            (Method::Get, ["metrics"]) => {
                responder.send(HttpResponse::text(200, render_metrics()));
            }
            (Method::Post, ["v1", "services", service, operation]) => {
                self.submit(&request, (service, operation), responder);
            }
            (Method::Post, ["v1", "jobs"]) => self.submit_job(&request, responder),
            (Method::Get, ["v1", "jobs", name]) => {
                self.ask(&request, name, CallKind::Query, responder);
            }
            (Method::Delete, ["v1", "jobs", name]) => {
                self.ask(&request, name, CallKind::Cancel, responder);
            }
            _ => self.refuse(&request, &NOT_FOUND, responder),
        }
    }
}

const NOT_FOUND: BadCall = bad(404, "not-found", "no such path or method");
const NOT_READY: BadCall = bad(
    503,
    "no-lease",
    "this entry has no valid configuration yet; try again or use another entry",
);
const BAD_NAME: BadCall = bad(
    400,
    "bad-name",
    "names of services and operations have 1 to 64 of a-z, 0-9, '-', '_', '.'",
);
const BAD_SUBMISSION: BadCall = bad(
    400,
    "bad-submission",
    "a submission's name has 1 to 256 printable ASCII characters without '/'",
);
const BAD_DEADLINE: BadCall = bad(
    400,
    "bad-deadline",
    "a deadline is a whole number of milliseconds above zero",
);

fn check_name(name: &str) -> Result<(), BadCall> {
    match is_valid_name(name) {
        true => Ok(()),
        false => Err(BAD_NAME),
    }
}

fn check_submission(name: &str) -> Result<(), BadCall> {
    let printable = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    match (1..=SUBMISSION_MAX_BYTES).contains(&name.len()) && name.bytes().all(printable) {
        true => Ok(()),
        false => Err(BAD_SUBMISSION),
    }
}

fn deadline_of(request: &HttpRequest) -> Result<Option<u64>, BadCall> {
    let Some(text) = request.header("hemlock-deadline-ms") else {
        return Ok(None);
    };
    match text.trim().parse::<u64>() {
        Ok(0) | Err(_) => Err(BAD_DEADLINE),
        Ok(asked) => Ok(Some(asked.min(DEADLINE_MAX_MS))),
    }
}

fn content_digest(service: &str, tasks: &[TaskRequest]) -> Digest {
    let mut parts: Vec<&[u8]> = vec![service.as_bytes()];
    for task in tasks {
        parts.push(task.operation.as_str().as_bytes());
        parts.push(&task.body);
    }
    Digest::of_parts(&parts)
}

/// The entry's own place in the caller's trace; empty when the caller sends none.
fn own_context(request: &HttpRequest) -> Bytes {
    let context = request.header("traceparent").and_then(TraceContext::parse);
    context.map_or_else(Bytes::new, |context| {
        Bytes::from(context.child(rand::random()).to_header())
    })
}

/// When a request arrived, and the span of its caller; zero when it names none.
struct Arrival {
    at: std::time::Instant,
    caller_span: u64,
}

impl Arrival {
    fn of(request: &HttpRequest) -> Self {
        let caller = request.header("traceparent").and_then(TraceContext::parse);
        Self {
            at: std::time::Instant::now(),
            caller_span: caller.map_or(0, |caller| caller.span_id),
        }
    }
}

fn emit_admit_span(traceparent: &Bytes, arrival: &Arrival) {
    let header = std::str::from_utf8(traceparent).ok();
    let Some(context) = header.and_then(TraceContext::parse) else {
        return;
    };
    let record = SpanRecord {
        hop: Hop::Admit,
        context,
        parent_id: arrival.caller_span,
        duration_micros: u64::try_from(arrival.at.elapsed().as_micros()).unwrap_or(u64::MAX),
    };
    record.emit();
}
