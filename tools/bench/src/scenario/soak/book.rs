//! What callers were told, and the judgement over it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::Instant;

/// Most examples of broken promises that are kept.
const EXAMPLES: usize = 20;

/// One call's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Told {
    /// Complete, with the answer's body.
    Complete(String),
    /// Ran or may have run.
    Failed,
    /// Not run.
    NotRun,
    /// No whole answer.
    Nothing,
}

/// One call of a submission.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Entry that was called, by position.
    pub(super) entry: usize,
    /// When it was sent.
    pub(super) sent: Instant,
    /// When it was answered.
    pub(super) answered: Instant,
    /// What it was told.
    pub(super) told: Told,
}

/// One submission with all its calls.
#[derive(Clone, Debug, Default)]
struct Submission {
    keys: Vec<String>,
    calls: Vec<Call>,
}

#[derive(Default)]
struct Pages {
    submissions: BTreeMap<String, Submission>,
    disturbed: Vec<(usize, Instant, Instant)>,
}

/// Everything that callers were told.
#[derive(Default)]
pub(super) struct Book {
    pages: Mutex<Pages>,
}

/// What the book shows at the end.
#[derive(Debug, Default)]
pub(super) struct Findings {
    pub(super) submissions: u64,
    pub(super) calls: u64,
    pub(super) complete: u64,
    pub(super) failed: u64,
    pub(super) not_run: u64,
    pub(super) unanswered: u64,
    pub(super) unanswered_undisturbed: u64,
    pub(super) false_not_run: u64,
    pub(super) partial: u64,
    pub(super) changed_answers: u64,
    pub(super) complete_without_start: u64,
    pub(super) examples: Vec<String>,
}

impl Findings {
    /// How many promises were broken.
    pub(super) fn broken(&self) -> u64 {
        self.unanswered_undisturbed
            + self.false_not_run
            + self.partial
            + self.changed_answers
            + self.complete_without_start
    }

    fn note(&mut self, what: &str, name: &str) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(format!("{what}: {name}"));
        }
    }
}

impl Book {
    /// Records a call of the submission `name`, whose tasks carry `keys`.
    pub(super) fn record(&self, name: &str, keys: &[String], call: Call) {
        let mut pages = self.pages.lock().expect("the book is never poisoned");
        let submission = pages.submissions.entry(name.to_owned()).or_default();
        submission.keys = keys.to_vec();
        submission.calls.push(call);
    }

    /// Records that an entry was disturbed between two moments.
    pub(super) fn record_disturbed(&self, entry: usize, from: Instant, to: Instant) {
        self.pages
            .lock()
            .expect("the book is never poisoned")
            .disturbed
            .push((entry, from, to));
    }

    /// Judges every call against the starts that the endpoints counted.
    pub(super) fn judge(&self, starts: &HashMap<String, u64>) -> Findings {
        let pages = self.pages.lock().expect("the book is never poisoned");
        let mut findings = Findings {
            submissions: pages.submissions.len() as u64,
            ..Findings::default()
        };
        for (name, submission) in &pages.submissions {
            judge_submission(&mut findings, &pages, name, submission, starts);
        }
        findings
    }
}

fn judge_submission(
    findings: &mut Findings,
    pages: &Pages,
    name: &str,
    submission: &Submission,
    starts: &HashMap<String, u64>,
) {
    let started = |key: &String| starts.get(key).copied().unwrap_or(0);
    let mut answers = Vec::new();
    for call in &submission.calls {
        findings.calls += 1;
        match &call.told {
            Told::Complete(body) => {
                findings.complete += 1;
                answers.push(body);
            }
            Told::Failed => findings.failed += 1,
            Told::NotRun => findings.not_run += 1,
            Told::Nothing => {
                findings.unanswered += 1;
                if !is_disturbed(pages, call) {
                    findings.unanswered_undisturbed += 1;
                    findings.note("unanswered by an undisturbed entry", name);
                }
            }
        }
    }
    let all_not_run = submission
        .calls
        .iter()
        .all(|call| call.told == Told::NotRun);
    if all_not_run && submission.keys.iter().any(|key| started(key) > 0) {
        findings.false_not_run += 1;
        findings.note("only not-run answers, but started", name);
    }
    if answers
        .iter()
        .any(|body| !holds_all_in_order(body, &submission.keys))
    {
        findings.partial += 1;
        findings.note("complete, but not the whole own answer", name);
    }
    if answers.windows(2).any(|pair| pair[0] != pair[1]) {
        findings.changed_answers += 1;
        findings.note("two different complete answers", name);
    }
    if !answers.is_empty() && submission.keys.iter().any(|key| started(key) == 0) {
        findings.complete_without_start += 1;
        findings.note("complete, but some task never started", name);
    }
}

fn is_disturbed(pages: &Pages, call: &Call) -> bool {
    pages
        .disturbed
        .iter()
        .any(|(entry, from, to)| *entry == call.entry && call.sent <= *to && call.answered >= *from)
}

/// Whether every key stands in the body, quoted, in order.
fn holds_all_in_order(body: &str, keys: &[String]) -> bool {
    let mut rest = body;
    keys.iter()
        .all(|key| match rest.split_once(&format!("\"{key}\"")) {
            Some((_, after)) => {
                rest = after;
                true
            }
            None => false,
        })
}
