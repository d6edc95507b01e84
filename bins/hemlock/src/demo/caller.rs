//! Sends submissions over HTTP like a caller, and checks the answers.

use std::net::SocketAddr;

use hemlock_http::prelude::*;
use serde_json::Value;

use crate::demo::plan::Submission;

/// Timeout of a call, in milliseconds. Longer than every deadline.
const ANSWER_TIMEOUT_MS: u64 = 30_000;

/// Result of sending a submission once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// A complete answer: the responses to its tasks, in order.
    Complete(Vec<Value>),
    /// An answer with the outcome complete that lacks a response or belongs to another submission.
    Partial(String),
    /// The answer says failed, with a reason.
    Failed(String),
    /// The answer says not run, with a reason.
    NotRun(String),
    /// No answer, or one without a known outcome.
    Lost(String),
}

impl Answer {
    /// Outcome and reason, unless the answer is complete.
    pub(crate) fn reason(&self) -> Option<String> {
        match self {
            Self::Complete(_) => None,
            Self::Partial(reason) => Some(format!("partial: {reason}")),
            Self::Failed(reason) => Some(format!("failed: {reason}")),
            Self::NotRun(reason) => Some(format!("not run: {reason}")),
            Self::Lost(reason) => Some(format!("lost: {reason}")),
        }
    }
}

/// Sends a submission to an entry and waits for its answer.
pub(crate) fn send(client: &HttpClient, submission: &Submission, entry: SocketAddr) -> Answer {
    let key = submission.customer.key;
    let mut call = HttpCall::new(Method::Post, entry, submission.path())
        .with_header("Authorization", format!("Bearer {key}"))
        .with_body(submission.body(), "application/json")
        .with_timeout_ms(ANSWER_TIMEOUT_MS);
    for (name, value) in submission.headers() {
        call = call.with_header(name, value);
    }
    match client.send(&call) {
        Ok(reply) => check_answer(submission, &reply),
        Err(error) => Answer::Lost(error.to_string()),
    }
}

fn check_answer(submission: &Submission, reply: &HttpReply) -> Answer {
    let reason = reply.header("hemlock-reason").unwrap_or("no reason");
    let status_and_reason = format!("{} {reason}", reply.status);
    match reply.header("hemlock-outcome") {
        Some("complete") => check_complete(submission, &reply.body),
        Some("failed") => Answer::Failed(status_and_reason),
        Some("not-run") => Answer::NotRun(status_and_reason),
        Some(_) | None => Answer::Lost(format!("{status_and_reason}, without a known outcome")),
    }
}

/// Checks that the answer contains the stand-in's response to each task, in order.
fn check_complete(submission: &Submission, body: &[u8]) -> Answer {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return Answer::Partial("the answer is not valid JSON".to_owned());
    };
    let answers = task_answers(submission, answer);
    if answers.len() != submission.tasks.len() {
        let message = format!("{} of {} answers", answers.len(), submission.tasks.len());
        return Answer::Partial(message);
    }
    let is_own = |(answer, key): (&Value, &str)| answer["key"].as_str() == Some(key);
    let keys = submission.tasks.iter().map(|task| task.key.as_str());
    match answers.iter().zip(keys).all(is_own) {
        true => Answer::Complete(answers),
        false => Answer::Partial("an answer belongs to another task".to_owned()),
    }
}

/// The stand-in's responses to the tasks.
fn task_answers(submission: &Submission, mut answer: Value) -> Vec<Value> {
    use crate::demo::plan::Kind;
    if submission.kind != Kind::Job {
        return vec![answer];
    }
    match answer["answers"].take() {
        Value::Array(tasks) => tasks
            .into_iter()
            .map(|mut task| task["body"].take())
            .collect(),
        _ => Vec::new(),
    }
}
