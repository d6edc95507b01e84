//! Tests of what a runner takes as a sign that its instance was restarted, or that its runs ended.

mod harness;

use harness::{GATEWAY, Harness, INSTANCE_NAME, instance, start, task};
use hemlock_dispatch::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;

/// A heartbeat that names this incarnation.
fn heartbeat(name: &str, born_ms: u64, sequence: u64) -> Heartbeat {
    let mut report = instance(born_ms);
    report.id.name = name.to_owned();
    Heartbeat {
        instance: report,
        sequence,
        cold_left_ms: 0,
    }
}

/// An agent with a run of task 1 at the first incarnation of its instance.
fn harness_with_run() -> Harness {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.runs.take_outbox();
    harness
}

/// Checks that the run of task 1 continues, and that further tasks are started.
fn assert_undisturbed(harness: &mut Harness) {
    assert_eq!(harness.list(), InstanceChange::None);
    assert_eq!(harness.runs.take_outbox(), vec![]);
    let present = harness.runs.instance().map(|instance| instance.id.clone());
    assert_eq!(present, Some(instance(harness.model.born_ms).id));
    harness.start(GATEWAY, 1, 2, 6_000);
    let running: Vec<_> = harness.model.running().keys().copied().collect();
    assert_eq!(running, vec![task(1), task(2)]);
}

/// Guards against tasks that start a second time while they run: a heartbeat of another writer was
/// taken for a restart of the instance, and all its runs were reported as crashed.
#[test]
fn a_heartbeat_of_another_writer_ends_no_runs() {
    for (name, born_ms) in [
        ("i-other", 9),
        ("i-other", 1),
        ("i-other", 0),
        (INSTANCE_NAME, 9),
        (INSTANCE_NAME, 0),
    ] {
        let mut harness = harness_with_run();
        let foreign = heartbeat(name, born_ms, 99);
        assert_eq!(
            harness.runs.heartbeat_received(harness.now, &foreign),
            HeartbeatOutcome::Unconfirmed
        );
        assert_undisturbed(&mut harness);
        let mut harness = harness_with_run();
        assert_eq!(harness.receive(&foreign), InstanceChange::None);
        assert_undisturbed(&mut harness);
    }
}

/// Guards against starts at an instance of which only another writer has told.
#[test]
fn a_heartbeat_of_another_writer_names_no_instance_to_a_new_process() {
    let mut harness = Harness::just_started(InstanceModel::new(1), harness::FENCE);
    assert_eq!(
        harness.receive(&heartbeat("i-other", 9, 1)),
        InstanceChange::None
    );
    assert_eq!(harness.list(), InstanceChange::Updated);
    assert_eq!(harness.runs.instance(), None);
    assert_eq!(harness.heartbeat(false), InstanceChange::Updated);
    assert_eq!(harness.runs.instance(), Some(&instance(1)));
}

/// Guards against a restart that is not believed, because the clock that the start time was taken
/// from had been set back.
#[test]
fn a_restart_is_believed_whatever_its_start_time_is() {
    let mut harness = harness_with_run();
    harness.model = InstanceModel::new(0);
    assert_eq!(harness.heartbeat(false), InstanceChange::RunsLost);
    assert_eq!(harness.runs.running(), 0);
    assert_eq!(harness.runs.instance(), Some(&instance(0)));
}

/// Guards against runs that are reported as ended because an answer of an earlier incarnation
/// arrives after one of its successor.
#[test]
fn a_late_answer_of_an_earlier_incarnation_is_ignored() {
    let mut harness = harness_with_run();
    let asked_at = harness.now;
    let late = harness.model.identify(harness.runs.fence());
    let late = late.expect("the call carries the highest fencing token");
    harness.advance_ms(5);
    harness.model = InstanceModel::new(2);
    assert_eq!(harness.heartbeat(false), InstanceChange::RunsLost);
    harness.runs.take_outbox();
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.advance_ms(5);
    let handled = harness.runs.handle_listing(harness.now, asked_at, &late);
    assert_eq!(handled, (InstanceChange::None, vec![]));
    let claimed = heartbeat(INSTANCE_NAME, 1, 99);
    let confirmed = harness
        .runs
        .confirm_heartbeat(harness.now, asked_at, &claimed, &late);
    assert_eq!(confirmed, Confirmation::Outdated);
    assert_undisturbed(&mut harness);
}

/// Guards against an instance that gets no work until its next heartbeat, because a listing was
/// requested after the answer that confirms the heartbeat and arrived before it.
#[test]
fn an_answer_of_the_present_incarnation_confirms_its_heartbeat_in_any_order() {
    let mut harness = harness_with_run();
    harness.model = InstanceModel::new(2);
    let asked_at = harness.now;
    let answer = harness.model.identify(harness.runs.fence());
    let answer = answer.expect("the call carries the highest fencing token");
    harness.advance_ms(1);
    assert_eq!(harness.list(), InstanceChange::RunsLost);
    let confirmed = harness.runs.confirm_heartbeat(
        harness.now,
        asked_at,
        &heartbeat(INSTANCE_NAME, 2, 1),
        &answer,
    );
    let updated = Confirmation::Confirmed(InstanceChange::Updated, vec![]);
    assert_eq!(confirmed, updated);
    assert_eq!(harness.runs.instance(), Some(&instance(2)));
}

/// Guards against runs of a new incarnation that are reported as crashed because a call to its
/// predecessor fails late.
#[test]
fn a_call_that_failed_at_an_earlier_incarnation_ends_no_runs() {
    let mut harness = harness_with_run();
    let asked_at = harness.now;
    harness.advance_ms(5);
    harness.model = InstanceModel::new(2);
    harness.heartbeat(false);
    harness.runs.take_outbox();
    harness.start(GATEWAY, 1, 1, 6_000);
    assert!(harness.runs.predates_incarnation(asked_at));
    assert_eq!(
        harness.runs.instance_lost(harness.now, asked_at),
        InstanceChange::None
    );
    assert_undisturbed(&mut harness);
    assert_eq!(
        harness.runs.instance_lost(harness.now, harness.now),
        InstanceChange::RunsLost
    );
}

/// Guards against starts that are meant for an earlier incarnation and reach its successor, which
/// may be of another service or kind.
#[test]
fn starts_for_an_earlier_incarnation_are_refused_before_the_first_heartbeat() {
    let mut harness = harness_with_run();
    harness.model = InstanceModel::new(2);
    assert_eq!(harness.list(), InstanceChange::RunsLost);
    harness.model.born_ms = 1;
    let (calls, refused) = harness.order(GATEWAY, 1, vec![start(2, 1, 6_000)], vec![]);
    assert_eq!(calls, vec![]);
    assert_eq!(refused[0].reason, RefusalReason::NoInstance);
}

/// Guards against an instance that gets no work of its service because another writer has sent a
/// heartbeat in its name.
#[test]
fn a_heartbeat_that_names_another_service_is_ignored_unless_the_next_one_names_it_too() {
    let mut harness = harness_with_run();
    let mut foreign = heartbeat(INSTANCE_NAME, 1, 1_000);
    foreign.instance.service = "other".to_owned();
    assert_eq!(harness.receive(&foreign), InstanceChange::None);
    assert_undisturbed(&mut harness);
    assert_eq!(harness.heartbeat(true), InstanceChange::Updated);
    foreign.sequence += 1;
    assert_eq!(harness.receive(&foreign), InstanceChange::None);
    foreign.sequence += 1;
    assert_eq!(harness.receive(&foreign), InstanceChange::Updated);
}

/// Guards against leases that a new process extends for runs that it doesn't know yet. It takes
/// such runs for ended once the longest lease that an earlier process may have given is over.
#[test]
fn a_heartbeat_alone_extends_no_lease() {
    let mut harness = Harness::just_started(InstanceModel::new(1), harness::FENCE);
    harness
        .runs
        .heartbeat_received(harness.now, &heartbeat(INSTANCE_NAME, 1, 1));
    assert_eq!(harness.runs.renew_lease(harness.now), None);
    harness.list();
    assert!(harness.runs.renew_lease(harness.now).is_some());
}

/// Orders a start of task 1 and returns its call, which the instance has not received yet.
fn start_in_flight(harness: &mut Harness) -> StartCall {
    harness.attach(GATEWAY, 1, &[]);
    let (calls, refused) = harness.order(GATEWAY, 1, vec![start(1, 2, 6_000)], vec![]);
    assert_eq!(refused, vec![]);
    match &calls[..] {
        [DriverCall::Start(call)] => call.clone(),
        _ => panic!("the order must return a start call"),
    }
}

fn ends(harness: &mut Harness) -> Vec<Option<RunEnd>> {
    let outcomes = harness.runs.take_outbox().into_iter();
    let end = |(_, outcome)| match outcome {
        RunOutcome::Ended(report, _) => Some(report.end),
        RunOutcome::Refused(_) => None,
    };
    outcomes.filter_map(end).collect()
}

/// Guards against tasks that run twice at once: a start that was unanswered when its instance was
/// lost was reported as crashed at once, and then reached the next incarnation.
#[test]
fn a_start_in_flight_when_the_instance_is_lost_ends_with_its_call() {
    let crashed = Some(RunEnd::Crashed(hemlock_jobs::prelude::Suspicion::Weak));
    for executed in [true, false] {
        let mut harness = Harness::new();
        let call = start_in_flight(&mut harness);
        harness.advance_ms(1);
        harness.model = InstanceModel::new(2);
        assert_eq!(
            harness.runs.instance_lost(harness.now, harness.now),
            InstanceChange::RunsLost
        );
        assert_eq!(harness.heartbeat(false), InstanceChange::RunsLost);
        assert_eq!(ends(&mut harness), vec![]);
        let result = match executed {
            true => harness.model.start(&call),
            false => StartResult::Unanswered,
        };
        let follow_up = harness.runs.start_answered(harness.now, &call, result);
        assert_eq!(follow_up, None);
        harness.advance_ms(1);
        harness.list();
        match executed {
            true => {
                assert_eq!(ends(&mut harness), vec![]);
                harness.model.end(task(1), RunEnd::Done);
                harness.list();
                assert_eq!(ends(&mut harness), vec![Some(RunEnd::Done)]);
            }
            false => assert_eq!(ends(&mut harness), vec![crashed]),
        }
        assert_eq!(harness.runs.running(), 0);
    }
}

/// Guards against runs that stay at a restarted instance until unclaimed runs are stopped, although
/// nobody can claim them.
#[test]
fn what_a_restarted_instance_runs_is_stopped_at_once() {
    let mut harness = Harness::new();
    let call = start_in_flight(&mut harness);
    harness.model = InstanceModel::new(2);
    harness.runs.instance_lost(harness.now, harness.now);
    harness
        .runs
        .start_answered(harness.now, &call, StartResult::Unanswered);
    harness.advance_ms(1);
    // The call was executed, and its answer was lost.
    assert_eq!(harness.model.start(&call), StartResult::Started);
    assert_eq!(harness.list(), InstanceChange::RunsLost);
    assert!(harness.model.running().is_empty());
}

/// Guards against crashes that are counted against a task whose instance ended as announced.
#[test]
fn a_start_in_flight_at_a_planned_exit_has_not_crashed() {
    let mut harness = Harness::new();
    let call = start_in_flight(&mut harness);
    harness.heartbeat(true);
    harness.runs.instance_lost(harness.now, harness.now);
    let unanswered = StartResult::Unanswered;
    harness.runs.start_answered(harness.now, &call, unanswered);
    assert_eq!(ends(&mut harness), vec![Some(RunEnd::Lapsed)]);
}

/// Guards against tasks that run twice at once: a start reached an instance that had been restarted
/// unnoticed, and the run was reported as crashed while the instance listed it.
#[test]
fn a_run_that_a_restarted_instance_lists_has_not_ended() {
    let mut harness = Harness::new();
    let call = start_in_flight(&mut harness);
    harness.model = InstanceModel::new(2);
    let result = harness.model.start(&call);
    let follow_up = harness.runs.start_answered(harness.now, &call, result);
    assert_eq!(follow_up, None);
    harness.advance_ms(1);
    let list_call = harness.list_call();
    let listing = harness.model.list(&list_call);
    let listing = listing.expect("the call carries the highest fencing token");
    let (_, calls) = harness
        .runs
        .handle_listing(harness.now, harness.now, &listing);
    assert!(harness.model.running().contains_key(&task(1)));
    assert_eq!(ends(&mut harness), vec![], "the run has not ended");
    harness.execute(calls);
    harness.run_for_ms(100);
    assert_eq!(ends(&mut harness).len(), 1);
}

/// An instance that was restarted unnoticed, has been listed, and has executed a start after that. The
/// listing, requested at the returned time, hasn't arrived yet.
fn started_after_listing() -> (Harness, StartCall, Instant, Listing) {
    let mut harness = Harness::new();
    let call = start_in_flight(&mut harness);
    harness.model = InstanceModel::new(2);
    let asked_at = harness.now;
    let list_call = harness.list_call();
    let listing = harness.model.list(&list_call);
    let listing = listing.expect("the call carries the highest fencing token");
    harness.advance_ms(1);
    let result = harness.model.start(&call);
    harness.runs.start_answered(harness.now, &call, result);
    (harness, call, asked_at, listing)
}

/// Guards against the same failure if the start was executed after the listing and its answer
/// arrived before: the listing can't name the run.
#[test]
fn a_run_that_began_after_the_listing_of_a_restarted_instance_has_not_ended() {
    let (mut harness, _, asked_at, listing) = started_after_listing();
    harness.advance_ms(1);
    let (_, calls) = harness.runs.handle_listing(harness.now, asked_at, &listing);
    assert!(harness.model.running().contains_key(&task(1)));
    assert_eq!(ends(&mut harness), vec![], "the run has not ended");
    harness.execute(calls);
    assert!(harness.model.running().is_empty(), "it is stopped");
    assert_eq!(ends(&mut harness), vec![], "nothing confirms the stop");
    harness.run_for_ms(100);
    assert_eq!(ends(&mut harness).len(), 1);
}

/// Guards against the same failure if the owner has ordered a stop of the run meanwhile.
#[test]
fn a_run_that_is_being_stopped_at_a_restarted_instance_has_not_ended() {
    let (mut harness, call, asked_at, listing) = started_after_listing();
    let stop = StopOrder {
        task: task(1),
        run: call.run,
    };
    let (stops, _) = harness.order(GATEWAY, 1, vec![], vec![stop]);
    assert_eq!(stops.len(), 1);
    harness.advance_ms(1);
    harness.runs.handle_listing(harness.now, asked_at, &listing);
    assert!(harness.model.running().contains_key(&task(1)));
    assert_eq!(ends(&mut harness), vec![], "the run has not ended");
}

/// Guards against the same failure if the loss of the earlier incarnation is noticed by a call that
/// was refused, and handled only after the next incarnation had executed a start.
#[test]
fn a_run_that_began_after_a_refused_call_has_not_ended() {
    let mut harness = Harness::new();
    let call = start_in_flight(&mut harness);
    let asked_at = harness.now;
    harness.advance_ms(1);
    harness.model = InstanceModel::new(2);
    let result = harness.model.start(&call);
    harness.runs.start_answered(harness.now, &call, result);
    harness.runs.instance_lost(harness.now, asked_at);
    assert_eq!(ends(&mut harness), vec![], "the run has not ended");
    harness.advance_ms(1);
    assert_eq!(harness.list(), InstanceChange::RunsLost);
    harness.run_for_ms(100);
    assert_eq!(ends(&mut harness).len(), 1);
    assert!(harness.model.running().is_empty());
}
