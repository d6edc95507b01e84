//! Sends random starts through two entries to an endpoint with random faults, and compares the
//! outcomes that the entries received with the starts that the endpoint counted.

#[allow(dead_code, reason = "each test file uses only some of the fixtures")]
mod common;

use std::collections::HashMap;
use std::rc::Rc;

use bytes::Bytes;
use common::*;
use hemlock_agent::prelude::*;
use hemlock_standin::prelude::*;
use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEED: u64 = 20_261_205;
const STEPS: u64 = 300;
/// Number of concurrent starts. It exceeds the number of slots, so that some are refused.
const CONCURRENT_STARTS: usize = 12;
const SLOTS: u16 = 4;
/// Pause after a refusal, so that most starts find a free slot.
const REFUSED_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

fn env_or(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Builds a start of a random task. Most tasks are started more than once, some by both entries.
fn random_start(random: &mut Pcg64Mcg, agent: Incarnation, request: u64, tasks: u64) -> TaskSpec {
    let task = random.random_range(0..tasks);
    let work_ms = random.random_range(0..20);
    TaskSpec {
        task: TaskIndex(u16::try_from(task % 4).unwrap_or(0)),
        body: Bytes::from(format!(r#"{{"key":"t{task}","work_ms":{work_ms}}}"#)),
        deadline_ms: 300,
        ..spec(agent, request, Some(submission(&(task / 4).to_string())))
    }
}

fn task_key(spec: &TaskSpec) -> String {
    let body: serde_json::Value = serde_json::from_slice(&spec.body).expect("JSON");
    body["key"].as_str().expect("a key").to_owned()
}

/// The outcomes of one task that the entries received.
#[derive(Default)]
struct TaskOutcomes {
    outcomes: Vec<Outcome>,
}

impl TaskOutcomes {
    fn check(&self, task: &str, starts: u32) {
        assert!(starts <= 1, "{task} started {starts} times");
        let mut ran = self
            .outcomes
            .iter()
            .filter(|outcome| !matches!(outcome, Outcome::NotRun(..)));
        match ran.next() {
            None => assert_eq!(starts, 0, "{task} was answered as not run, but it ran"),
            Some(first) => {
                assert!(ran.all(|other| other == first), "{task} has two outcomes");
                self.check_answer(task, first, starts);
            }
        }
    }

    fn check_answer(&self, task: &str, outcome: &Outcome, starts: u32) {
        if let Outcome::Complete(answer) = outcome {
            assert_eq!(starts, 1, "{task} has an answer, but it did not run");
            assert!([200, 500].contains(&answer.status));
            assert_eq!(
                body(outcome)["key"],
                task,
                "the answer belongs to another task"
            );
        }
    }
}

/// Guards against a task that starts twice, a task that ran but was answered as not run, and two
/// different outcomes of one task.
#[test]
fn no_task_starts_twice_and_not_run_is_true() {
    let mut random = Pcg64Mcg::seed_from_u64(env_or("HEMLOCK_SEED", SEED));
    let steps = env_or("HEMLOCK_STEPS", STEPS);
    let faults = Faults {
        fail_percent: 10,
        cut_percent: 10,
        truncate_percent: 10,
        double_percent: 5,
        hang_percent: 2,
        ..Faults::default()
    };
    let config = StandinConfig::new(SERVICE).with_faults(faults);
    let endpoint = StandinEndpoint::start(config).expect("a free port");
    let agent = Agent::start(settings(Some(endpoint.address()), SLOTS)).expect("free ports");
    let mut outcomes: HashMap<String, TaskOutcomes> = HashMap::new();
    run_local(async {
        let entries = [
            Rc::new(FakeEntry::connect(agent.wire_address()).await),
            Rc::new(FakeEntry::connect(agent.wire_address()).await),
        ];
        let mut pending = tokio::task::JoinSet::new();
        for request in 0..steps {
            let spec = random_start(&mut random, agent.incarnation(), request, steps / 2);
            let entry = Rc::clone(&entries[random.random_range(0..2)]);
            pending.spawn_local(start(entry, spec));
            while pending.len() >= CONCURRENT_STARTS {
                record(&mut outcomes, pending.join_next().await);
            }
        }
        while !pending.is_empty() {
            record(&mut outcomes, pending.join_next().await);
        }
    });
    agent.stop();
    agent.join();
    let starts = endpoint.key_starts();
    for (task, received) in &outcomes {
        received.check(task, starts.get(task).copied().unwrap_or(0));
    }
    let seen = endpoint.stop();
    assert_eq!(seen.duplicate_starts, 0);
    assert!(seen.started > steps / 8, "too few tasks ran: {seen:?}");
    // The endpoint may notice late that a call has timed out. Until then the task still runs there,
    // beyond the number of slots.
    let deadline = Outcome::Failed(FailureKind::Deadline);
    let timed_out = |received: &&TaskOutcomes| received.outcomes.contains(&deadline);
    let timed_out_count = outcomes.values().filter(timed_out).count() as u64;
    assert!(
        seen.peak_running <= u64::from(SLOTS) + timed_out_count,
        "{seen:?}"
    );
}

async fn start(entry: Rc<FakeEntry>, spec: TaskSpec) -> (String, Outcome) {
    let task = task_key(&spec);
    let outcome = entry.start(spec).await;
    if matches!(outcome, Outcome::NotRun(..)) {
        tokio::time::sleep(REFUSED_PAUSE).await;
    }
    (task, outcome)
}

fn record(
    outcomes: &mut HashMap<String, TaskOutcomes>,
    ended: Option<Result<(String, Outcome), tokio::task::JoinError>>,
) {
    let (task, outcome) = ended
        .expect("a start is pending")
        .expect("the start did not panic");
    outcomes.entry(task).or_default().outcomes.push(outcome);
}
