//! Parses callers' HTTP requests and passes them to the control thread.

use std::sync::Arc;

use bytes::Bytes;
use hemlock_http::prelude::*;
use hemlock_router::prelude::*;
use hemlock_telemetry::prelude::*;
use hemlock_types::names::is_valid_name;
use hemlock_types::prelude::*;

use super::job::{JobError, parse_job};
use crate::inbox::{Call, CallKind, Inbox, Input, ReplyFormat, post};
use crate::status::Status;

const MAX_SUBMISSION_BYTES: usize = 256;
/// Longest deadline in milliseconds (one day); longer ones are shortened to it.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// A request that is invalid, not allowed, or too early for this entry. It started no task.
struct RequestError {
    status: u16,
    code: &'static str,
    message: &'static str,
}

const fn request_error(status: u16, code: &'static str, message: &'static str) -> RequestError {
    RequestError {
        status,
        code,
        message,
    }
}

impl From<JobError> for RequestError {
    fn from(error: JobError) -> Self {
        request_error(400, error.code(), error.message())
    }
}

/// Handles the requests that reach an entry's HTTP server.
#[derive(Debug)]
pub(crate) struct HttpApi {
    inbox: Inbox,
    status: Arc<Status>,
    instance: String,
}

impl HttpApi {
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

    fn authenticate(&self, request: &HttpRequest) -> Result<CustomerName, RequestError> {
        let unauthorized = request_error(
            401,
            "unauthorized",
            "send a key of a contract as `Authorization: Bearer KEY`",
        );
        let Some(key) = request.bearer() else {
            return Err(unauthorized);
        };
        match self.status.keys().find(key) {
            Some(customer) => Ok(customer),
            None if self.status.is_ready() => Err(unauthorized),
            None => Err(NOT_READY),
        }
    }

    fn send(&self, call: Call) {
        post(&self.inbox, Input::Call(Box::new(call)));
    }

    fn read_request(
        &self,
        request: &HttpRequest,
        service: &str,
        operation: &str,
    ) -> Result<Submit, RequestError> {
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
            deadline_ms: parse_deadline(request)?,
            traceparent: child_context(request),
            detached: false,
        })
    }

    fn read_job(&self, request: &HttpRequest) -> Result<(String, Submit), RequestError> {
        let customer = self.authenticate(request)?;
        let job = parse_job(&request.body)?;
        check_name(&job.service)?;
        check_submission(&job.submission)?;
        for task in &job.tasks {
            check_name(task.operation.as_str())?;
        }
        let id = SubmissionId::derive(&customer, &job.submission);
        let digest = content_digest(&job.service, &job.tasks);
        let deadline_ms = match (job.deadline_ms, parse_deadline(request)?) {
            (Some(0), _) => return Err(INVALID_DEADLINE),
            (Some(requested), _) => Some(requested.min(MAX_DEADLINE_MS)),
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
            traceparent: child_context(request),
            detached,
        };
        Ok((job.submission, submit))
    }

    fn submission_id(
        &self,
        request: &HttpRequest,
        name: &str,
    ) -> Result<SubmissionId, RequestError> {
        let customer = self.authenticate(request)?;
        check_submission(name)?;
        Ok(SubmissionId::derive(&customer, name))
    }

    /// Answers a call that is not passed to the router. A call that names a submission and is
    /// refused because the entry has no configuration yet is answered with `failed`, because it
    /// may be a resubmission of one that has run.
    fn refuse(&self, request: &HttpRequest, error: &RequestError, responder: Responder) {
        metrics::counter!("hemlock_entry_bad_calls_total", "role" => "entry", "instance" => self.instance.clone(), "code" => error.code).increment(1);
        let names_submission =
            request.header("idempotency-key").is_some() || request.path == "/v1/jobs";
        let outcome = match error.status {
            503 if names_submission => "failed",
            _ => "not-run",
        };
        let response = HttpResponse::error(error.status, error.code, error.message)
            .with_header("Hemlock-Outcome", outcome)
            .with_header("Hemlock-Reason", error.code);
        let response = match error.status {
            503 => response.with_header("Retry-After", "1"),
            _ => response,
        };
        responder.send(response);
    }

    fn submit(&self, request: &HttpRequest, path: (&str, &str), responder: Responder) {
        let arrival = Arrival::of(request);
        match self.read_request(request, path.0, path.1) {
            Err(error) => self.refuse(request, &error, responder),
            Ok(submit) => self.forward(submit, ReplyFormat::Request, &arrival, responder),
        }
    }

    fn submit_job(&self, request: &HttpRequest, responder: Responder) {
        let arrival = Arrival::of(request);
        match self.read_job(request) {
            Err(error) => self.refuse(request, &error, responder),
            Ok((name, submit)) => self.forward(submit, ReplyFormat::Job(name), &arrival, responder),
        }
    }

    fn forward(
        &self,
        submit: Submit,
        reply_format: ReplyFormat,
        arrival: &Arrival,
        responder: Responder,
    ) {
        emit_admit_span(&submit.traceparent, arrival);
        self.send(Call {
            traceparent: submit.traceparent.clone(),
            kind: CallKind::Submit(Box::new(submit)),
            reply_format,
            responder,
        });
    }

    fn forward_job_call(
        &self,
        request: &HttpRequest,
        name: &str,
        kind: fn(SubmissionId) -> CallKind,
        responder: Responder,
    ) {
        match self.submission_id(request, name) {
            Err(error) => self.refuse(request, &error, responder),
            Ok(submission) => self.send(Call {
                kind: kind(submission),
                reply_format: ReplyFormat::Job(name.to_owned()),
                traceparent: Bytes::new(),
                responder,
            }),
        }
    }
}

impl HttpHandler for HttpApi {
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
                self.forward_job_call(&request, name, CallKind::Query, responder);
            }
            (Method::Delete, ["v1", "jobs", name]) => {
                self.forward_job_call(&request, name, CallKind::Cancel, responder);
            }
            _ => self.refuse(&request, &NOT_FOUND, responder),
        }
    }
}

const NOT_FOUND: RequestError = request_error(404, "not-found", "no such path or method");
const NOT_READY: RequestError = request_error(
    503,
    "no-lease",
    "this entry has no valid configuration yet; try again or use another entry",
);
const INVALID_NAME: RequestError = request_error(
    400,
    "bad-name",
    "names of services and operations have 1 to 64 of a-z, 0-9, '-', '_', '.'",
);
const INVALID_SUBMISSION: RequestError = request_error(
    400,
    "bad-submission",
    "a submission's name has 1 to 256 printable ASCII characters without '/'",
);
const INVALID_DEADLINE: RequestError = request_error(
    400,
    "bad-deadline",
    "a deadline is a whole number of milliseconds above zero",
);

fn check_name(name: &str) -> Result<(), RequestError> {
    match is_valid_name(name) {
        true => Ok(()),
        false => Err(INVALID_NAME),
    }
}

fn check_submission(name: &str) -> Result<(), RequestError> {
    let printable = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    match (1..=MAX_SUBMISSION_BYTES).contains(&name.len()) && name.bytes().all(printable) {
        true => Ok(()),
        false => Err(INVALID_SUBMISSION),
    }
}

fn parse_deadline(request: &HttpRequest) -> Result<Option<u64>, RequestError> {
    let Some(text) = request.header("hemlock-deadline-ms") else {
        return Ok(None);
    };
    match text.trim().parse::<u64>() {
        Ok(0) | Err(_) => Err(INVALID_DEADLINE),
        Ok(requested) => Ok(Some(requested.min(MAX_DEADLINE_MS))),
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

/// Creates the entry's span context as a child of the caller's; empty if the caller sends none.
fn child_context(request: &HttpRequest) -> Bytes {
    let context = request.header("traceparent").and_then(TraceContext::parse);
    context.map_or_else(Bytes::new, |context| {
        Bytes::from(context.child(rand::random()).to_header())
    })
}

/// Arrival time of a request, and the span id of its caller (zero if the request has none).
struct Arrival {
    at: std::time::Instant,
    caller_span: u64,
}

impl Arrival {
    fn of(request: &HttpRequest) -> Self {
        let caller = request.header("traceparent").and_then(TraceContext::parse);
        Self {
            at: std::time::Instant::now(),
            caller_span: caller.map_or(0, |context| context.span_id),
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
