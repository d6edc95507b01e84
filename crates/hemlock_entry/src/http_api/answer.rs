//! Builds the HTTP responses to calls.

use hemlock_http::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use serde::Serialize;
use serde_json::value::RawValue;

/// Header with the outcome of a call: `complete`, `failed`, `not-run`, `running` or `cancelled`.
const OUTCOME: &str = "Hemlock-Outcome";
/// Header with the reason why a call did not complete.
const REASON: &str = "Hemlock-Reason";
const MS_PER_S: u64 = 1_000;

/// Result of a call as it appears in the status, headers and body of the response.
struct CallSummary {
    status: u16,
    outcome: &'static str,
    reason: String,
}

fn call_summary(status: u16, outcome: &'static str, reason: &dyn std::fmt::Display) -> CallSummary {
    CallSummary {
        status,
        outcome,
        reason: reason.to_string(),
    }
}

fn summary_of(result: &CallResult) -> CallSummary {
    match result {
        CallResult::Complete(_) | CallResult::CompleteElsewhere => {
            call_summary(200, "complete", &"")
        }
        CallResult::Failed(kind @ FailureKind::Deadline) => call_summary(504, "failed", kind),
        CallResult::Failed(kind) => call_summary(502, "failed", kind),
        CallResult::NotRun(reason, _) => call_summary(not_run_status(*reason), "not-run", reason),
        CallResult::Rejected(fault) => call_summary(fault_status(*fault), "not-run", fault),
        CallResult::Running => call_summary(202, "running", &""),
        CallResult::CancelRecorded => call_summary(202, "cancelled", &""),
    }
}

fn not_run_status(reason: NotRunReason) -> u16 {
    match reason {
        NotRunReason::OverLimit => 429,
        NotRunReason::Infeasible => 422,
        NotRunReason::Cancelled => 409,
        NotRunReason::Deadline => 504,
        NotRunReason::NoEndpoint
        | NotRunReason::Draining
        | NotRunReason::NoLease
        | NotRunReason::NoQuorum
        | NotRunReason::Refused
        | NotRunReason::QueueFull => 503,
    }
}

fn fault_status(fault: CallerFault) -> u16 {
    match fault {
        CallerFault::ServiceNotCovered => 403,
        CallerFault::KeyRequired | CallerFault::TaskCount => 400,
        CallerFault::Conflict => 422,
        CallerFault::UnknownSubmission => 404,
    }
}

fn with_summary_headers(
    response: HttpResponse,
    summary: &CallSummary,
    retry_after_ms: Option<u64>,
) -> HttpResponse {
    let response = response.with_header(OUTCOME, summary.outcome);
    let response = match summary.reason.as_str() {
        "" => response,
        reason => response.with_header(REASON, reason),
    };
    match retry_after_ms {
        Some(ms) => response.with_header("Retry-After", ms.div_ceil(MS_PER_S).to_string()),
        None => response,
    }
}

/// Builds the response to a single request: the endpoint's answer, or an error with the outcome.
pub(crate) fn request_response(result: CallResult, retry_after_ms: Option<u64>) -> HttpResponse {
    let summary = summary_of(&result);
    let response = match result {
        CallResult::Complete(mut answers) if answers.len() == 1 => {
            let answer = answers.swap_remove(0);
            let content_type = String::from_utf8_lossy(&answer.content_type).into_owned();
            HttpResponse::new(answer.status).with_body(answer.body, &content_type)
        }
        _ => HttpResponse::error(summary.status, &summary.reason, error_message(&summary)),
    };
    with_summary_headers(response, &summary, retry_after_ms)
}

fn error_message(summary: &CallSummary) -> &'static str {
    match summary.outcome {
        "not-run" => "the work did not run",
        "failed" => "the work ran or may have run, and there is no whole answer",
        _ => "the work goes on",
    }
}

/// One task's answer in the JSON document about a job. A JSON body is embedded unchanged, other
/// UTF-8 text becomes a string, and other bytes are written in hexadecimal.
#[derive(Serialize)]
struct TaskAnswer<'a> {
    status: u16,
    #[serde(skip_serializing_if = "str::is_empty")]
    content_type: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<Box<RawValue>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body_hex: Option<String>,
}

#[derive(Serialize)]
struct JobAnswer<'a> {
    submission: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answers: Option<Vec<TaskAnswer<'a>>>,
}

fn task_answer(answer: &Answer) -> TaskAnswer<'_> {
    let content_type = std::str::from_utf8(&answer.content_type).unwrap_or("");
    let text = std::str::from_utf8(&answer.body).ok();
    let (body, body_hex) = match text {
        Some(text) => (text_body(text, content_type), None),
        None => (None, Some(hex(&answer.body))),
    };
    TaskAnswer {
        status: answer.status,
        content_type,
        body,
        body_hex,
    }
}

fn text_body(text: &str, content_type: &str) -> Option<Box<RawValue>> {
    let json = match content_type.contains("json") {
        true => serde_json::from_str(text).ok(),
        false => None,
    };
    json.or_else(|| serde_json::value::to_raw_value(text).ok())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Builds the response to a call about a job.
pub(crate) fn job_response(
    name: &str,
    result: &CallResult,
    retry_after_ms: Option<u64>,
) -> HttpResponse {
    let summary = summary_of(result);
    let answers = match result {
        CallResult::Complete(answers) => Some(answers.iter().map(task_answer).collect()),
        _ => None,
    };
    let document = JobAnswer {
        submission: name,
        outcome: summary.outcome,
        reason: &summary.reason,
        retry_after_ms,
        answers,
    };
    let response = HttpResponse::json(summary.status, &document);
    with_summary_headers(response, &summary, retry_after_ms)
}
