//! What a gate remembers, and that its bounds never cost a promise.

#[allow(dead_code, reason = "each test file uses a part")]
mod common;

use common::*;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;

const UNKNOWN: Outcome = Outcome::Failed(FailureKind::Unknown);

fn small(config: impl FnOnce(GateConfig) -> GateConfig) -> Bench {
    let mut bench = Bench::new(config(GateConfig::new(AGENT)));
    bench.tell(Event::Announced(offer(8)));
    bench.open(0);
    bench
}

/// Starts and ends a task with the given answer.
fn complete(bench: &mut Bench, spec: TaskSpec, text: &str) {
    let run = run_of(&bench.start(0, spec)).expect("a free slot");
    bench.end(run, answer(text));
}

fn outcome(actions: &[Action]) -> Outcome {
    settled(actions).swap_remove(0).2
}

#[test]
fn start_is_remembered_longer_than_its_outcome() {
    let mut bench = small(|config| config.with_max_outcome_bytes(10));
    complete(&mut bench, task(1, 1, 0, 1), "123456");
    complete(&mut bench, task(2, 2, 0, 1), "123456");
    assert_eq!(bench.gate.status().outcome_bytes, 6);
    assert_eq!(outcome(&bench.start(0, task(3, 1, 0, 1))), UNKNOWN);
    assert_eq!(outcome(&bench.start(0, task(4, 2, 0, 1))), answer("123456"));
    let (call, submission, epoch) = (CallId(0), submission(1), Epoch(2));
    let fenced = bench.tell(Event::Fence {
        call,
        submission,
        epoch,
    });
    let tasks = vec![(TaskIndex(0), TaskRecord::Ended(UNKNOWN))];
    assert_eq!(fenced[0], Action::Fenced { call, tasks });
}

#[test]
fn full_memory_refuses_and_forgets_nothing() {
    let mut bench = small(|config| config.with_bounds(2, 3));
    complete(&mut bench, task(1, 1, 0, 1), "a");
    complete(&mut bench, task(2, 2, 0, 1), "b");
    let full = Refusal::MemoryFull.outcome();
    assert_eq!(
        outcome(&bench.start(0, task(3, 3, 0, 1))),
        full,
        "a third submission"
    );
    complete(&mut bench, task(4, 2, 1, 1), "c");
    assert_eq!(
        outcome(&bench.start(0, task(5, 2, 2, 1))),
        full,
        "a fourth task"
    );
    assert_eq!(
        outcome(&bench.start(0, spec(6))),
        full,
        "nothing that could not be counted"
    );
    assert_eq!(outcome(&bench.start(0, task(7, 1, 0, 1))), answer("a"));
    let (call, submission, epoch) = (CallId(0), submission(4), Epoch(1));
    let fenced = bench.tell(Event::Fence {
        call,
        submission,
        epoch,
    });
    assert_eq!(fenced[0], Action::FenceRefused { call });
}

#[test]
fn submissions_expire_after_their_last_use() {
    let retention = DurationMs::new(1_000);
    let mut bench = small(|config| config.with_retention(retention));
    complete(&mut bench, task(1, 1, 0, 1), "a");
    let long = run_of(&bench.start(0, task(2, 2, 0, 1))).expect("a free slot");
    bench.now += DurationMs::new(600);
    complete(&mut bench, task(3, 1, 1, 1), "b");
    bench.now += DurationMs::new(600);
    bench.tell(Event::Tick);
    assert_eq!(
        bench.gate.status().tasks,
        3,
        "used 600 ms ago, and one runs"
    );
    bench.now += DurationMs::new(3_000);
    bench.tell(Event::Tick);
    let status = bench.gate.status();
    assert_eq!((status.tasks, status.submissions), (1, 1), "only what runs");
    bench.end(long, answer("c"));
    for _ in 0..3 {
        bench.now += retention;
        bench.tell(Event::Tick);
    }
    let status = bench.gate.status();
    assert_eq!(
        (status.tasks, status.submissions, status.outcome_bytes),
        (0, 0, 0)
    );
}

#[test]
fn endpoint_that_was_not_reached_leaves_the_task_free() {
    let mut bench = small(|config| config);
    let run = run_of(&bench.start(0, task(1, 1, 0, 1))).expect("a free slot");
    bench.start(0, task(2, 1, 0, 1));
    let not_sent = Outcome::NotRun(NotRunReason::NoEndpoint, NotRunProof::RefusedByGate);
    let told = settled(&bench.end(run, not_sent.clone()));
    let both = [1, 2].map(|request| (LinkId(0), RequestId(request), not_sent.clone()));
    assert_eq!(told, both);
    assert!(run_of(&bench.start(0, task(3, 1, 0, 1))).is_some());
}

#[test]
fn cancellation_wave_is_bounded() {
    let mut bench = small(|config| config);
    let run = run_of(&bench.start(0, spec(1))).expect("a free slot");
    let (link, call) = (LinkId(0), CallId(0));
    let requests = (1..=10_000).map(RequestId).collect();
    let actions = bench.tell(Event::Cancel {
        link,
        call,
        requests,
    });
    let Action::Cancelled { outcomes, .. } = &actions[0] else {
        panic!("not cancelled");
    };
    let revoked = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.is_some())
        .count();
    assert_eq!(revoked, 4_096, "as many as can be kept from starting later");
    assert_eq!(outcomes[0].1, None, "the running one runs on");
    assert_eq!(
        outcome(&bench.start(0, spec(2))),
        Refusal::Revoked.outcome()
    );
    assert_eq!(settled(&bench.end(run, answer("whole"))).len(), 1);
}

#[test]
fn stop_waits_for_what_runs() {
    let mut bench = small(|config| config);
    let run = run_of(&bench.start(0, task(1, 1, 0, 1))).expect("a free slot");
    let stopping = bench.tell(Event::Stop);
    assert_eq!(stopping, [Action::Leaving { link: LinkId(0) }]);
    assert_eq!(
        outcome(&bench.start(0, spec(2))),
        Refusal::Leaving.outcome()
    );
    let repeated = bench.start(0, task(3, 1, 0, 1));
    assert_eq!(
        repeated,
        [],
        "a repeated start waits for the outcome while draining, too"
    );
    let ended = bench.end(run, answer("whole"));
    assert_eq!(settled(&ended).len(), 2);
    assert_eq!(ended.last(), Some(&Action::Drained));
    assert_eq!(bench.gate.status().phase, EndpointPhase::Gone);
}
