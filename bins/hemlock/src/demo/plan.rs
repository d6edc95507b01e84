//! Generates the work of the demonstration from a seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::demo::DemoOptions;

/// Service of every stand-in endpoint.
pub(crate) const SERVICE: &str = "loovutus-portaal";
/// Name of the idempotent operation.
const SEARCH: &str = "search";
/// Name of the non-idempotent operation.
pub(crate) const RESERVE: &str = "reserve";
/// Deadline of every submission, in milliseconds.
const DEADLINE_MS: u64 = 20_000;
/// Maximum number of tasks of one job.
const JOB_TASKS_MAX: usize = 8;

/// A customer of the demonstration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Customer {
    /// Name in its contract.
    pub(crate) name: &'static str,
    /// API key of its callers.
    pub(crate) key: &'static str,
    /// Urgency of its work.
    pub(crate) urgency: &'static str,
}

/// Customers of the demonstration.
pub(crate) const CUSTOMERS: [Customer; 2] = [
    Customer {
        name: "tartu-shelter",
        key: "demo-key-of-the-tartu-shelter",
        urgency: "interactive",
    },
    Customer {
        name: "muscat-scholars",
        key: "demo-key-of-the-muscat-scholars",
        urgency: "normal",
    },
];

/// Kind of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// One idempotent request without an idempotency key.
    Idempotent,
    /// One non-idempotent request with an idempotency key.
    NonIdempotent,
    /// A job of several tasks.
    Job,
}

/// Whether a submission is sent again through the other entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resubmit {
    /// It is sent once.
    Never,
    /// It is sent again after the first answer.
    AfterAnswer,
    /// It is sent again while it runs.
    WhileRunning,
}

/// A task: the duration of its work, and a key whose starts the stand-in endpoints count.
#[derive(Clone, Debug)]
pub(crate) struct TaskPlan {
    /// Unique key of the task.
    pub(crate) key: String,
    operation: &'static str,
    work_ms: u64,
}

impl TaskPlan {
    fn body(&self) -> Value {
        json!({ "key": self.key, "work_ms": self.work_ms })
    }
}

/// A submission: one request or one job.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    /// Name of the job, or idempotency key of the request.
    pub(crate) name: String,
    /// Kind of the submission.
    pub(crate) kind: Kind,
    /// Customer that sends it.
    pub(crate) customer: Customer,
    /// Index of the entry that gets it first.
    pub(crate) entry: usize,
    /// Whether and when it is sent again.
    pub(crate) resubmit: Resubmit,
    /// Tasks of the submission. A request has one.
    pub(crate) tasks: Vec<TaskPlan>,
}

impl Submission {
    /// Path of the HTTP request.
    pub(crate) fn path(&self) -> String {
        match self.kind {
            Kind::Job => "/v1/jobs".to_owned(),
            _ => format!("/v1/services/{SERVICE}/{}", self.tasks[0].operation),
        }
    }

    /// Body of the HTTP request.
    pub(crate) fn body(&self) -> String {
        if self.kind != Kind::Job {
            return self.tasks[0].body().to_string();
        }
        let task = |task: &TaskPlan| json!({ "operation": task.operation, "body": task.body() });
        let job = json!({
            "submission": self.name,
            "service": SERVICE,
            "deadline_ms": DEADLINE_MS,
            "tasks": self.tasks.iter().map(task).collect::<Vec<_>>(),
        });
        job.to_string()
    }

    /// Headers of the HTTP request, except for authorization and content type.
    pub(crate) fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![("Hemlock-Deadline-Ms", DEADLINE_MS.to_string())];
        if self.kind == Kind::NonIdempotent {
            headers.push(("Idempotency-Key", self.name.clone()));
        }
        headers
    }

    /// Whether each of its tasks may start only once.
    pub(crate) fn must_start_once(&self) -> bool {
        self.kind != Kind::Idempotent
    }
}

/// All submissions, in the order in which they are sent.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The submissions.
    pub(crate) submissions: Vec<Submission>,
}

impl Plan {
    /// Generates the work.
    pub(crate) fn generate(options: &DemoOptions) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(options.seed);
        let submissions = (0..options.jobs)
            .map(|number| draw_submission(number, options, &mut random))
            .collect();
        Self { submissions }
    }

    /// Number of tasks of all submissions.
    pub(crate) fn task_count(&self) -> usize {
        self.submissions
            .iter()
            .map(|submission| submission.tasks.len())
            .sum()
    }
}

fn draw_submission(number: u64, options: &DemoOptions, random: &mut Pcg64Mcg) -> Submission {
    let kind = match random.random_range(0..10) {
        0..5 => Kind::Idempotent,
        5..8 => Kind::NonIdempotent,
        _ => Kind::Job,
    };
    let resubmit = match random.random_range(0..8) {
        _ if kind == Kind::Idempotent => Resubmit::Never,
        0 | 1 => Resubmit::AfterAnswer,
        2 => Resubmit::WhileRunning,
        _ => Resubmit::Never,
    };
    let tasks = match kind {
        Kind::Job => random.random_range(2..=JOB_TASKS_MAX),
        _ => 1,
    };
    let name = format!("demo-{}-{number}", options.seed);
    let draw_task = |index: usize| TaskPlan {
        key: format!("{name}/{index}"),
        operation: match kind {
            Kind::NonIdempotent => RESERVE,
            _ => SEARCH,
        },
        work_ms: draw_work_ms(options.quick, random),
    };
    let tasks: Vec<TaskPlan> = (0..tasks).map(draw_task).collect();
    Submission {
        kind,
        customer: CUSTOMERS[random.random_range(0..CUSTOMERS.len())],
        entry: random.random_range(0..2),
        resubmit,
        tasks,
        name,
    }
}

/// Draws the duration of a task: mostly short, and for one task in ten up to a second unless
/// `quick` is set.
fn draw_work_ms(quick: bool, random: &mut Pcg64Mcg) -> u64 {
    match (quick, random.random_range(0..10)) {
        (true, _) => random.random_range(20..=120),
        (false, 0) => random.random_range(300..=1_000),
        (false, _) => random.random_range(50..=300),
    }
}
