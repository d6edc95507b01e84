//! Runs that end with their instance: which of them are suspected, and who learns of it.

mod harness;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;

use harness::{GATEWAY, Harness, task};

fn take_ends(harness: &mut Harness) -> Vec<(TaskKey, Option<RunEnd>)> {
    let outcomes = harness.runs.take_outbox().into_iter();
    let ends = outcomes.filter_map(|(_, outcome)| match outcome {
        RunOutcome::Ended(report, _) => Some((report.task, report.end)),
        RunOutcome::Refused(_) => None,
    });
    ends.collect()
}

/// Guards against giving up tasks that only ran beside the one that crashed their instance.
#[test]
fn runs_that_started_long_before_a_crash_are_weakly_suspected() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.advance_ms(30);
    harness.start(GATEWAY, 1, 2, 6_000);
    harness.advance_ms(9);
    harness.runs.instance_lost(harness.now, harness.now);
    let expected = vec![
        (task(1), Some(RunEnd::Crashed(Suspicion::Weak))),
        (task(2), Some(RunEnd::Crashed(Suspicion::Strong))),
    ];
    assert_eq!(take_ends(&mut harness), expected);
}

/// Guards against counting the planned exit of an instance as a crash of what still runs there.
#[test]
fn runs_of_a_draining_instance_that_exits_have_lapsed() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.heartbeat(true);
    harness.runs.instance_lost(harness.now, harness.now);
    let expected = vec![(task(1), Some(RunEnd::Lapsed))];
    assert_eq!(take_ends(&mut harness), expected);
}

/// Guards against a crash that isn't counted because the instance fell silent first.
#[test]
fn runs_of_a_silent_instance_count_as_crashed_once_it_has_restarted() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.advance_ms(2_000);
    harness.runs.expire_silent_instance(harness.now);
    let lapsed = vec![(task(1), Some(RunEnd::Lapsed))];
    assert_eq!(take_ends(&mut harness), lapsed);
    harness.model = InstanceModel::new(2);
    harness.heartbeat(false);
    let crashed = vec![(task(1), Some(RunEnd::Crashed(Suspicion::Weak)))];
    assert_eq!(take_ends(&mut harness), crashed);
}

/// Guards against blaming runs whose leases expired while their instance was only cut off.
#[test]
fn runs_of_a_silent_instance_that_did_not_restart_are_not_counted() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.advance_ms(2_000);
    harness.runs.expire_silent_instance(harness.now);
    harness.list();
    harness.runs.take_outbox();
    harness.model = InstanceModel::new(2);
    harness.heartbeat(false);
    assert_eq!(take_ends(&mut harness), vec![]);
}

/// Guards against an end that is lost because it happened while the leader adopted the inventory, so
/// that the leader believed the task to run for good.
#[test]
fn ends_during_an_adoption_wait_for_it() {
    let mut harness = Harness::new();
    harness.runs.attach_leader(harness.now, SessionId(1));
    harness.start(Owner::Leader, 1, 1, 6_000);
    harness.runs.instance_lost(harness.now, harness.now);
    assert_eq!(harness.runs.take_gateway_outbox(), vec![]);
    let crashed = RunEnd::Crashed(Suspicion::Strong);
    assert_eq!(take_ends(&mut harness), vec![(task(1), Some(crashed))]);
}

/// Guards against a crash that is forgotten because the leader was lost before it was recorded.
#[test]
fn a_new_leader_learns_of_a_crash_until_it_is_recorded() {
    let mut harness = Harness::new();
    harness.runs.attach_leader(harness.now, SessionId(1));
    harness.start(Owner::Leader, 1, 1, 6_000);
    harness.runs.instance_lost(harness.now, harness.now);
    harness.runs.take_outbox();
    harness.advance_ms(20_000);
    let inventory = harness.runs.attach_leader(harness.now, SessionId(2));
    let ends: Vec<Option<RunEnd>> = inventory.runs.iter().map(|report| report.end).collect();
    assert_eq!(ends, vec![Some(RunEnd::Crashed(Suspicion::Strong))]);
    harness
        .runs
        .leader_adopted(harness.now, &inventory, &[], &[]);
    let inventory = harness.runs.attach_leader(harness.now, SessionId(3));
    assert_eq!(inventory.runs, vec![]);
}
