//! Tests of what a runner's log is told of the owners of runs.

mod harness;

use harness::{FENCE, GATEWAY, Harness, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;

fn run(job: u64) -> (TaskKey, RunNumber) {
    (task(job), RunNumber(1))
}

fn harness_with_a_run() -> Harness {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness
}

/// Guards against runs that are stopped because their gateway has left, without a line that says so.
#[test]
fn the_runs_of_a_gateway_that_has_left_are_named() {
    let mut harness = harness_with_a_run();
    assert_eq!(
        harness.runs.owner_of(task(1), RunNumber(1)),
        Some((GATEWAY, SessionId(1)))
    );
    harness.run_for_ms(100);
    harness
        .runs
        .owner_closed(harness.now, GATEWAY, SessionId(1));
    harness.run_for_ms(200);
    assert_eq!(harness.runs.take_ownership_changes(), vec![]);
    harness.run_for_ms(50);
    let gone = OwnershipChange::OwnerGone {
        owner: GATEWAY,
        session: SessionId(1),
        closed: Some(DurationMs::new(250)),
        silent: DurationMs::new(350),
        runs: vec![run(1)],
    };
    assert_eq!(harness.runs.take_ownership_changes(), vec![gone]);
    assert_eq!(harness.runs.take_ownership_changes(), vec![]);
}

#[test]
fn a_silent_gateway_is_told_from_a_closed_one() {
    let mut harness = harness_with_a_run();
    harness.run_for_ms(900);
    let changes = harness.runs.take_ownership_changes();
    assert!(
        matches!(&changes[..], [OwnershipChange::OwnerGone { closed: None, silent, .. }]
            if silent.as_ms() == 900),
        "{changes:?}"
    );
}

/// Guards against runs that a new process has found and stopped, without a line that names them.
#[test]
fn found_and_unclaimed_runs_are_named() {
    let before = harness_with_a_run();
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.list();
    let found = OwnershipChange::Found(vec![run(1)]);
    assert_eq!(harness.runs.take_ownership_changes(), vec![found]);
    harness.run_for_ms(450);
    let unclaimed = OwnershipChange::Unclaimed {
        waited: DurationMs::new(450),
        runs: vec![run(1)],
    };
    assert_eq!(harness.runs.take_ownership_changes(), vec![unclaimed]);
}

/// Guards against a run at a restarted instance, started by a call to its predecessor, that no line
/// names.
#[test]
fn runs_of_which_nothing_is_known_are_named() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    let (calls, _) = harness.order(GATEWAY, 1, vec![harness::start(1, 1, 6_000)], vec![]);
    let DriverCall::Start(call) = calls[0].clone() else {
        panic!("the order must return a start call");
    };
    harness.model = InstanceModel::new(2);
    harness.runs.instance_lost(harness.now, harness.now);
    let unanswered = StartResult::Unanswered;
    harness.runs.start_answered(harness.now, &call, unanswered);
    harness.advance_ms(1);
    assert_eq!(harness.model.start(&call), StartResult::Started);
    assert_eq!(harness.list(), InstanceChange::RunsLost);
    let unknown = OwnershipChange::Unknown(vec![run(1)]);
    assert_eq!(harness.runs.take_ownership_changes(), vec![unknown]);
}
