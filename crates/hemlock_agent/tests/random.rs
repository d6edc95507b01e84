//! Random starts through two entries at an endpoint that goes wrong at random. What the entries
//! were told is checked against what the endpoint saw.

#[allow(dead_code, reason = "each test file uses a part")]
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
/// Starts that are under way at once, more than there are slots.
const AT_ONCE: usize = 12;
const SLOTS: u16 = 4;
/// Pause after a refusal, so that most starts find a slot.
const REFUSED_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

fn from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// One of a task's starts: most tasks are started more than once, some by both entries.
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

fn name(spec: &TaskSpec) -> String {
    let body: serde_json::Value = serde_json::from_slice(&spec.body).expect("JSON");
    body["key"].as_str().expect("a key").to_owned()
}

/// What the entries were told of one task.
#[derive(Default)]
struct Told {
    outcomes: Vec<Outcome>,
}

impl Told {
    fn check(&self, task: &str, starts: u32) {
        assert!(starts <= 1, "{task} started {starts} times");
        let mut ran = self
            .outcomes
            .iter()
            .filter(|outcome| !matches!(outcome, Outcome::NotRun(..)));
        match ran.next() {
            None => assert_eq!(starts, 0, "{task} is called not run, and it ran"),
            Some(first) => {
                assert!(ran.all(|other| other == first), "{task} has two outcomes");
                self.check_answer(task, first, starts);
            }
        }
    }

    fn check_answer(&self, task: &str, outcome: &Outcome, starts: u32) {
        if let Outcome::Complete(answer) = outcome {
            assert_eq!(starts, 1, "{task} has an answer and did not run");
            assert!([200, 500].contains(&answer.status));
            assert_eq!(body(outcome)["key"], task, "the answer to another task");
        }
    }
}

#[test]
fn nothing_starts_twice_and_no_refusal_lies() {
    let mut random = Pcg64Mcg::seed_from_u64(from_env("HEMLOCK_SEED", SEED));
    let steps = from_env("HEMLOCK_STEPS", STEPS);
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
    let mut told: HashMap<String, Told> = HashMap::new();
    run(async {
        let entries = [
            Rc::new(FakeEntry::connect(agent.wire_address()).await),
            Rc::new(FakeEntry::connect(agent.wire_address()).await),
        ];
        let mut under_way = tokio::task::JoinSet::new();
        for request in 0..steps {
            let spec = random_start(&mut random, agent.incarnation(), request, steps / 2);
            let entry = Rc::clone(&entries[random.random_range(0..2)]);
            under_way.spawn_local(start(entry, spec));
            while under_way.len() >= AT_ONCE {
                note(&mut told, under_way.join_next().await);
            }
        }
        while !under_way.is_empty() {
            note(&mut told, under_way.join_next().await);
        }
    });
    agent.stop();
    agent.join();
    let starts = endpoint.key_starts();
    for (task, told) in &told {
        told.check(task, starts.get(task).copied().unwrap_or(0));
    }
    let seen = endpoint.stop();
    assert_eq!(seen.duplicate_starts, 0);
    assert!(seen.started > steps / 8, "most tasks run: {seen:?}");
    // The endpoint may learn late that a call has timed out.
    let deadline = Outcome::Failed(FailureKind::Deadline);
    let timed_out = |told: &&Told| told.outcomes.contains(&deadline);
    let late = told.values().filter(timed_out).count() as u64;
    assert!(seen.peak_running <= u64::from(SLOTS) + late, "{seen:?}");
}

async fn start(entry: Rc<FakeEntry>, spec: TaskSpec) -> (String, Outcome) {
    let task = name(&spec);
    let outcome = entry.start(spec).await;
    if matches!(outcome, Outcome::NotRun(..)) {
        tokio::time::sleep(REFUSED_PAUSE).await;
    }
    (task, outcome)
}

fn note(
    told: &mut HashMap<String, Told>,
    ended: Option<Result<(String, Outcome), tokio::task::JoinError>>,
) {
    let (task, outcome) = ended.expect("one is under way").expect("no panic");
    told.entry(task).or_default().outcomes.push(outcome);
}
