//! Limits and expiry of the gate's records. Reaching a limit must not discard the record of a
//! start, because the task could then start twice.

#[allow(dead_code, reason = "each test file uses only some of the fixtures")]
mod common;

use common::*;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;

const UNKNOWN: Outcome = Outcome::Failed(FailureKind::Unknown);

/// Returns a gate with a changed configuration, an endpoint with 8 slots and one entry.
fn gate_with(config: impl FnOnce(GateConfig) -> GateConfig) -> Harness {
    let mut harness = Harness::new(config(GateConfig::new(AGENT)));
    harness.handle(Event::Announced(offer(8)));
    harness.open(0);
    harness
}

/// Starts a task and ends it with the given answer.
fn complete(harness: &mut Harness, spec: TaskSpec, text: &str) {
    let run = run_of(&harness.start(0, spec)).expect("a free slot");
    harness.end(run, answer(text));
}

fn outcome(actions: &[Action]) -> Outcome {
    settled(actions).swap_remove(0).2
}

#[test]
fn record_of_a_start_is_kept_longer_than_its_outcome() {
    let mut harness = gate_with(|config| config.with_max_outcome_bytes(10));
    complete(&mut harness, task(1, 1, 0, 1), "123456");
    complete(&mut harness, task(2, 2, 0, 1), "123456");
    assert_eq!(harness.gate.status().outcome_bytes, 6);
    assert_eq!(outcome(&harness.start(0, task(3, 1, 0, 1))), UNKNOWN);
    assert_eq!(
        outcome(&harness.start(0, task(4, 2, 0, 1))),
        answer("123456")
    );
    let (call, submission, epoch) = (CallId(0), submission(1), Epoch(2));
    let fenced = harness.handle(Event::Fence {
        call,
        submission,
        epoch,
    });
    let tasks = vec![(TaskIndex(0), TaskRecord::Ended(UNKNOWN))];
    assert_eq!(fenced[0], Action::Fenced { call, tasks });
}

#[test]
fn full_task_store_refuses_new_tasks_and_keeps_all_records() {
    let mut harness = gate_with(|config| config.with_limits(2, 3));
    complete(&mut harness, task(1, 1, 0, 1), "a");
    complete(&mut harness, task(2, 2, 0, 1), "b");
    let full = Refusal::MemoryFull.outcome();
    assert_eq!(
        outcome(&harness.start(0, task(3, 3, 0, 1))),
        full,
        "a third submission"
    );
    complete(&mut harness, task(4, 2, 1, 1), "c");
    assert_eq!(
        outcome(&harness.start(0, task(5, 2, 2, 1))),
        full,
        "a fourth task"
    );
    assert_eq!(
        outcome(&harness.start(0, spec(6))),
        full,
        "a task without a submission needs a record too"
    );
    assert_eq!(outcome(&harness.start(0, task(7, 1, 0, 1))), answer("a"));
    let (call, submission, epoch) = (CallId(0), submission(4), Epoch(1));
    let fenced = harness.handle(Event::Fence {
        call,
        submission,
        epoch,
    });
    assert_eq!(fenced[0], Action::FenceRefused { call });
}

#[test]
fn submissions_expire_after_their_last_use() {
    let retention = DurationMs::new(1_000);
    let mut harness = gate_with(|config| config.with_retention(retention));
    complete(&mut harness, task(1, 1, 0, 1), "a");
    let running = run_of(&harness.start(0, task(2, 2, 0, 1))).expect("a free slot");
    harness.now += DurationMs::new(600);
    complete(&mut harness, task(3, 1, 1, 1), "b");
    harness.now += DurationMs::new(600);
    harness.handle(Event::Tick);
    assert_eq!(
        harness.gate.status().tasks,
        3,
        "one submission was used 600 ms ago, the other has a running task"
    );
    harness.now += DurationMs::new(3_000);
    harness.handle(Event::Tick);
    let status = harness.gate.status();
    assert_eq!(
        (status.tasks, status.submissions),
        (1, 1),
        "only the running task is kept"
    );
    harness.end(running, answer("c"));
    for _ in 0..3 {
        harness.now += retention;
        harness.handle(Event::Tick);
    }
    let status = harness.gate.status();
    assert_eq!(
        (status.tasks, status.submissions, status.outcome_bytes),
        (0, 0, 0)
    );
}

#[test]
fn task_that_the_endpoint_never_received_may_start_again() {
    let mut harness = gate_with(|config| config);
    let run = run_of(&harness.start(0, task(1, 1, 0, 1))).expect("a free slot");
    harness.start(0, task(2, 1, 0, 1));
    let not_sent = Outcome::NotRun(NotRunReason::NoEndpoint, NotRunProof::RefusedByGate);
    let answered = settled(&harness.end(run, not_sent.clone()));
    let both = [1, 2].map(|request| (LinkId(0), RequestId(request), not_sent.clone()));
    assert_eq!(answered, both);
    assert!(run_of(&harness.start(0, task(3, 1, 0, 1))).is_some());
}

#[test]
fn number_of_revoked_requests_is_limited() {
    let mut harness = gate_with(|config| config);
    let run = run_of(&harness.start(0, spec(1))).expect("a free slot");
    let (link, call) = (LinkId(0), CallId(0));
    let requests = (1..=10_000).map(RequestId).collect();
    let actions = harness.handle(Event::Cancel {
        link,
        call,
        requests,
    });
    let Action::Cancelled { outcomes, .. } = &actions[0] else {
        panic!("expected an answer to the cancellation");
    };
    let revoked = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.is_some())
        .count();
    assert_eq!(revoked, 4_096, "default limit on revoked requests");
    assert_eq!(outcomes[0].1, None, "the running task is not revoked");
    assert_eq!(
        outcome(&harness.start(0, spec(2))),
        Refusal::Revoked.outcome()
    );
    assert_eq!(settled(&harness.end(run, answer("whole"))).len(), 1);
}

#[test]
fn stop_waits_for_running_tasks() {
    let mut harness = gate_with(|config| config);
    let run = run_of(&harness.start(0, task(1, 1, 0, 1))).expect("a free slot");
    let stopping = harness.handle(Event::Stop);
    assert_eq!(stopping, [Action::Leaving { link: LinkId(0) }]);
    assert_eq!(
        outcome(&harness.start(0, spec(2))),
        Refusal::Leaving.outcome()
    );
    let repeated = harness.start(0, task(3, 1, 0, 1));
    assert_eq!(
        repeated,
        [],
        "a repeated start waits for the outcome even while the agent is stopping"
    );
    let ended = harness.end(run, answer("whole"));
    assert_eq!(settled(&ended).len(), 2);
    assert_eq!(ended.last(), Some(&Action::Drained));
    assert_eq!(harness.gate.status().phase, EndpointPhase::Gone);
}
