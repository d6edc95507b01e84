//! Tests of the suspension of an instance that fails what it runs.

mod harness;

use harness::{GATEWAY, Harness, start, task};
use hemlock_dispatch::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;

/// Another gateway than the one whose runs fail.
const OTHER: Owner = Owner::Gateway(Incarnation(8));

fn harness_with_two_gateways() -> Harness {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.attach(OTHER, 2, &[]);
    harness
}

fn fail(harness: &mut Harness, job: u64) {
    harness.start(GATEWAY, 1, job, 6_000);
    harness.model.end(task(job), RunEnd::Failed);
    harness.list();
}

fn refusals(refused: &[RefusedStart]) -> Vec<RefusalReason> {
    refused.iter().map(|start| start.reason).collect()
}

#[test]
fn failures_of_one_gateways_jobs_suspend_the_instance_for_all() {
    let mut harness = harness_with_two_gateways();
    (1..=3).for_each(|job| fail(&mut harness, job));
    assert!(harness.runs.load_report(harness.now, OTHER).suspended);
    let (calls, refused) = harness.order(OTHER, 2, vec![start(10, 1, 6_000)], vec![]);
    assert!(calls.is_empty());
    assert_eq!(refusals(&refused), [RefusalReason::Suspended]);
}

#[test]
fn starts_that_wait_at_a_suspended_instance_are_refused_at_once() {
    let mut harness = harness_with_two_gateways();
    for job in 1..=3 {
        harness.start(GATEWAY, 1, job, 20_000);
    }
    harness.start(OTHER, 2, 10, 20_000);
    harness.runs.take_outbox();
    (1..=3).for_each(|job| harness.model.end(task(job), RunEnd::Failed));
    harness.list();
    let refused = harness
        .runs
        .take_outbox()
        .into_iter()
        .any(|(owner, outcome)| {
            let RunOutcome::Refused(start) = outcome else {
                return false;
            };
            owner == OTHER && start.reason == RefusalReason::Suspended
        });
    assert!(refused);
}

#[test]
fn a_job_that_fails_on_every_instance_does_not_suspend_one() {
    let mut harness = harness_with_two_gateways();
    for run in 1..=5 {
        let (calls, _) = harness.order(GATEWAY, 1, vec![start(1, run, 6_000)], vec![]);
        harness.execute(calls);
        harness.model.end(task(1), RunEnd::Failed);
        harness.list();
    }
    assert!(!harness.runs.is_suspended());
}

#[test]
fn one_successful_run_after_the_suspension_lets_all_work_return() {
    let mut harness = harness_with_two_gateways();
    (1..=3).for_each(|job| fail(&mut harness, job));
    harness.run_for_ms(1_100);
    assert!(!harness.runs.is_suspended());
    let two = vec![start(20, 1, 6_000), start(21, 1, 6_000)];
    harness.attach(GATEWAY, 3, &[]);
    let (calls, refused) = harness.order(GATEWAY, 3, two, vec![]);
    assert_eq!(calls.len(), 1, "only a probe may run");
    assert_eq!(refusals(&refused), [RefusalReason::Suspended]);
    harness.execute(calls);
    harness.model.end(task(20), RunEnd::Done);
    harness.list();
    let many = (30..35).map(|job| start(job, 1, 6_000)).collect();
    let (calls, refused) = harness.order(GATEWAY, 3, many, vec![]);
    assert_eq!((calls.len(), refused.len()), (5, 0));
}

#[test]
fn a_failed_probe_doubles_the_suspension() {
    let mut harness = harness_with_two_gateways();
    (1..=3).for_each(|job| fail(&mut harness, job));
    harness.run_for_ms(1_100);
    harness.attach(GATEWAY, 3, &[]);
    harness.start(GATEWAY, 3, 20, 6_000);
    harness.model.end(task(20), RunEnd::Failed);
    harness.list();
    harness.run_for_ms(1_500);
    assert!(harness.runs.is_suspended());
    harness.run_for_ms(600);
    assert!(!harness.runs.is_suspended());
}

#[test]
fn a_restarted_instance_is_not_suspended_for_what_its_predecessor_failed() {
    let mut harness = harness_with_two_gateways();
    (1..=3).for_each(|job| fail(&mut harness, job));
    harness.model = hemlock_standin::InstanceModel::new(2);
    harness.heartbeat(false);
    harness.list();
    assert!(!harness.runs.is_suspended());
}

#[test]
fn overdue_runs_of_a_suspended_instance_are_stopped_before_their_stall_limit() {
    let mut harness = harness_with_two_gateways();
    let mut hung = start(10, 1, 6_000);
    hung.stall_after_ms = 2_000;
    let (calls, _) = harness.order(OTHER, 2, vec![hung], vec![]);
    harness.execute(calls);
    (1..=3).for_each(|job| fail(&mut harness, job));
    harness.runs.take_outbox();
    harness.run_for_ms(300);
    let stalled = harness.runs.take_outbox().into_iter().any(|(_, outcome)| {
        matches!(outcome, RunOutcome::Ended(report, _)
            if report.task == task(10) && report.end == Some(RunEnd::Stalled))
    });
    assert!(stalled);
}
