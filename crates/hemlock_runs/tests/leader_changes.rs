//! What a runner tells a new leader of the runs that earlier leaders ordered.

mod harness;

use harness::{FENCE, Harness, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;

/// The first run of a job's task.
fn first_run(job: u64) -> (TaskKey, RunNumber) {
    (task(job), RunNumber(1))
}

/// A runner with a run of the leader, which has just confirmed its authority.
fn running() -> Harness {
    let mut harness = Harness::new();
    harness.runs.attach_leader(harness.now, SessionId(1));
    harness.start(Owner::Leader, 1, 1, 6_000);
    harness.list();
    harness
        .runs
        .owner_heard(Owner::Leader, SessionId(1), harness.now);
    harness
}

/// The runs that a new leader is told to be the latest ones of their tasks.
fn latest_runs(harness: &mut Harness) -> Vec<(TaskKey, RunNumber)> {
    let inventory = harness.runs.attach_leader(harness.now, SessionId(2));
    inventory.latest_runs
}

/// Guards against a change of the leader that takes longer because runs and ends that no leader can
/// have taken for lost aren't marked as the latest ones.
#[test]
fn runs_and_unreported_ends_are_proven_while_the_authority_is_recent() {
    let mut harness = running();
    assert_eq!(latest_runs(&mut harness), vec![first_run(1)]);
    for end in [RunEnd::Done, RunEnd::Failed, RunEnd::Stopped] {
        let mut harness = running();
        harness.model.end(task(1), end);
        harness.list();
        assert_eq!(latest_runs(&mut harness), vec![first_run(1)], "{end}");
    }
    let mut harness = running();
    harness.runs.instance_lost(harness.now, harness.now);
    assert_eq!(latest_runs(&mut harness), vec![first_run(1)]);
}

/// Guards against a task that is started twice, because the earlier leader was told of an end,
/// started the task elsewhere, and was lost before it confirmed the end.
#[test]
fn an_end_that_a_leader_was_told_of_proves_nothing_unless_it_is_a_success() {
    for end in [RunEnd::Failed, RunEnd::Stopped] {
        let mut harness = running();
        harness.model.end(task(1), end);
        harness.list();
        harness.runs.take_outbox();
        assert_eq!(latest_runs(&mut harness), vec![], "{end}");
    }
    let mut harness = running();
    harness.runs.instance_lost(harness.now, harness.now);
    harness.runs.take_outbox();
    assert_eq!(latest_runs(&mut harness), vec![]);
    let mut harness = running();
    harness.model.end(task(1), RunEnd::Done);
    harness.list();
    harness.runs.take_outbox();
    assert_eq!(latest_runs(&mut harness), vec![first_run(1)]);
}

/// Guards against a task that is started twice, because the earlier leader was told that the run of a
/// silent instance has lapsed, and the next one that the instance has crashed under it.
#[test]
fn a_crash_that_is_noticed_after_a_lapse_proves_nothing() {
    let mut harness = running();
    harness.advance_ms(1_500);
    harness
        .runs
        .owner_heard(Owner::Leader, SessionId(1), harness.now);
    harness.runs.expire_silent_instance(harness.now);
    assert_eq!(harness.runs.take_outbox().len(), 1);
    harness.model = InstanceModel::new(2);
    harness.list();
    let inventory = harness.runs.attach_leader(harness.now, SessionId(2));
    assert_eq!(inventory.runs.len(), 1);
    assert_eq!(inventory.latest_runs, vec![]);
}

/// Guards against an inventory that a leader was sent but may have lost: it counts as told.
#[test]
fn an_end_of_an_earlier_inventory_proves_nothing() {
    let mut harness = running();
    harness.model.end(task(1), RunEnd::Stopped);
    harness.list();
    harness.runs.attach_leader(harness.now, SessionId(2));
    assert_eq!(latest_runs(&mut harness), vec![]);
}

/// Guards against a runner that was suspended and takes its older run for the latest one, although
/// an earlier leader has started the task elsewhere.
#[test]
fn a_runner_that_was_silent_for_too_long_proves_nothing() {
    let mut harness = running();
    let expiry = DispatchSettings::default().expiry();
    harness.advance_ms(expiry.as_ms());
    assert_eq!(latest_runs(&mut harness), vec![]);
}

/// Guards against a new process of a runner that takes the runs which it finds for the latest ones.
#[test]
fn a_new_process_proves_nothing() {
    let before = running();
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.heartbeat(false);
    harness.list();
    assert_eq!(latest_runs(&mut harness), vec![]);
    assert_eq!(harness.runs.running(), 1);
}

/// Guards against a run that counts as the latest one because another leader has confirmed the runner
/// since, although an earlier leader may have started its task elsewhere.
#[test]
fn a_later_confirmation_makes_no_run_certain_again() {
    let mut restarted = Harness::just_started(running().model, FENCE + 1);
    restarted.heartbeat(false);
    restarted.list();
    let mut suspended = running();
    suspended.advance_ms(DispatchSettings::default().expiry().as_ms());
    let mut ended = running();
    ended.model.end(task(1), RunEnd::Done);
    ended.list();
    ended.advance_ms(DispatchSettings::default().expiry().as_ms());
    let mut crashed = running();
    crashed.runs.instance_lost(crashed.now, crashed.now);
    crashed.advance_ms(DispatchSettings::default().expiry().as_ms());
    for mut harness in [restarted, suspended, ended, crashed] {
        let now = harness.now;
        let inventory = harness.runs.attach_leader(now, SessionId(2));
        let deferred = inventory.runs.clone();
        harness.runs.leader_adopted(now, &inventory, &[], &deferred);
        harness.runs.owner_heard(Owner::Leader, SessionId(2), now);
        let inventory = harness.runs.attach_leader(now, SessionId(3));
        assert_eq!(inventory.runs.len(), 1);
        assert_eq!(inventory.latest_runs, vec![]);
    }
}

/// Guards against a deferred end that the instance is told to forget.
#[test]
fn a_deferred_end_stays_listed_until_it_is_confirmed() {
    let mut harness = running();
    harness.model.end(task(1), RunEnd::Done);
    harness.list();
    let inventory = harness.runs.attach_leader(harness.now, SessionId(2));
    let deferred = inventory.runs.clone();
    harness
        .runs
        .leader_adopted(harness.now, &inventory, &[], &deferred);
    harness.list();
    assert_eq!(harness.model.unsettled().len(), 1);
    harness.runs.settle_reports(&deferred);
    harness.list();
    assert!(harness.model.unsettled().is_empty());
}

/// Guards against runs that go on after a leader has started their tasks elsewhere: a runner whose
/// registrations were answered, but not its inventories, kept its runs alive with each attempt.
#[test]
fn registrations_alone_do_not_extend_the_authority() {
    let mut harness = running();
    let expiry = harness.now + DispatchSettings::default().expiry();
    let mut session = 1;
    while harness.now < expiry {
        session += 1;
        harness.runs.attach_leader(harness.now, SessionId(session));
        harness.run_for_ms(500);
    }
    assert!(harness.model.running().is_empty());
}

/// Guards against an end that counts although a leader has started the task elsewhere: a new process
/// of the runner renewed the lease before any leader had confirmed that it may.
#[test]
fn a_new_process_with_ends_renews_no_lease_before_a_leader_has_confirmed_it() {
    let mut before = running();
    before.model.end(task(1), RunEnd::Done);
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.heartbeat(false);
    harness.list();
    harness.runs.attach_leader(harness.now, SessionId(1));
    assert_eq!(harness.runs.renew_lease(harness.now), None);
    harness
        .runs
        .owner_heard(Owner::Leader, SessionId(1), harness.now);
    assert!(harness.runs.renew_lease(harness.now).is_some());
}
