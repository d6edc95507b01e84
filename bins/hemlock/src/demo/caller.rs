//! A caller: sends a submission over HTTP and judges the answer that it gets.

use std::net::SocketAddr;

use hemlock_http::prelude::*;
use serde_json::Value;

use crate::demo::plan::Submission;

/// Longest wait for an answer, in milliseconds; beyond every deadline.
const ANSWER_TIMEOUT_MS: u64 = 30_000;

/// What a caller saw of one sending of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    /// The whole answer, its own, in task order.
    Complete(Vec<Value>),
    /// An answer called complete that is not whole or not its own.
    Partial(String),
    /// Failed, with the reason that was told.
    Failed(String),
    /// Not run, with the reason that was told.
    NotRun(String),
    /// No answer at all.
    Lost(String),
}

impl Seen {
    /// What became of it and why, unless it is complete.
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
pub(crate) fn send(client: &HttpClient, submission: &Submission, entry: SocketAddr) -> Seen {
    let key = submission.customer.key;
    let mut call = HttpCall::new(Method::Post, entry, submission.path())
        .with_header("Authorization", format!("Bearer {key}"))
        .with_body(submission.body(), "application/json")
        .with_timeout_ms(ANSWER_TIMEOUT_MS);
    for (name, value) in submission.headers() {
        call = call.with_header(name, value);
    }
    match client.send(&call) {
        Ok(reply) => judge(submission, &reply),
        Err(error) => Seen::Lost(error.to_string()),
    }
}

fn judge(submission: &Submission, reply: &HttpReply) -> Seen {
    let reason = reply.header("hemlock-reason").unwrap_or("no reason");
    let told = format!("{} {reason}", reply.status);
    match reply.header("hemlock-outcome") {
        Some("complete") => judge_complete(submission, &reply.body),
        Some("failed") => Seen::Failed(told),
        Some("not-run") => Seen::NotRun(told),
        Some(_) | None => Seen::Lost(format!("{told}, without a known outcome")),
    }
}

/// Whether the answer holds, for each task in order, the stand-in's answer to that task.
fn judge_complete(submission: &Submission, body: &[u8]) -> Seen {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return Seen::Partial("the answer is not JSON".to_owned());
    };
    let answers = task_answers(submission, answer);
    if answers.len() != submission.tasks.len() {
        let message = format!("{} of {} answers", answers.len(), submission.tasks.len());
        return Seen::Partial(message);
    }
    let is_own = |(answer, key): (&Value, &str)| answer["key"].as_str() == Some(key);
    let keys = submission.tasks.iter().map(|task| task.key.as_str());
    match answers.iter().zip(keys).all(is_own) {
        true => Seen::Complete(answers),
        false => Seen::Partial("an answer belongs to another task".to_owned()),
    }
}

/// The stand-in's answer to each task.
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
