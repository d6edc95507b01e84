//! Tests of the agent's run state against a model of its instance.

mod harness;

use harness::{FENCE, GATEWAY, Harness, instance, needs, start, start_urgent, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::{ENDS_PER_LISTING, InstanceModel};
use hemlock_types::prelude::*;

fn claim(job: u64) -> Claim {
    Claim {
        task: task(job),
        run: RunNumber(1),
        needs: needs(6_000),
    }
}

/// Settles the ends among the outcomes.
fn settle(harness: &mut Harness, outcomes: &[(Owner, RunOutcome)]) {
    let reports = outcomes.iter().filter_map(|(_, outcome)| match outcome {
        RunOutcome::Ended(report, _) => Some(report),
        RunOutcome::Refused(_) => None,
    });
    harness.runs.settle_reports(reports);
}

fn ended(outcomes: &[(Owner, RunOutcome)]) -> Vec<(TaskKey, Option<RunEnd>)> {
    let end = |(_, outcome): &(Owner, RunOutcome)| match outcome {
        RunOutcome::Ended(report, _) => Some((report.task, report.end)),
        RunOutcome::Refused(_) => None,
    };
    outcomes.iter().filter_map(end).collect()
}

#[test]
fn starts_that_do_not_fit_wait_and_are_started_by_urgency() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    for job in 0..10 {
        harness.start(GATEWAY, 1, job, 6_000);
    }
    let late = start_urgent(20, 1, 6_000, 2);
    let urgent = start_urgent(21, 1, 6_000, 0);
    let (calls, refused) = harness.order(GATEWAY, 1, vec![late, urgent], vec![]);
    assert_eq!((calls.len(), refused.len()), (0, 0));
    assert_eq!(harness.runs.waiting(), 2);
    harness.advance_ms(60);
    harness.model.end(task(3), RunEnd::Done);
    harness.list();
    assert!(harness.model.running().contains_key(&task(21)));
    assert!(!harness.model.running().contains_key(&task(20)));
}

#[test]
fn a_waiting_start_is_not_passed_by_later_ones_with_as_little_time_left() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 64_000);
    // Each has 100 ms left when it is ordered.
    for job in [9, 5, 2] {
        let (calls, refused) = harness.order(GATEWAY, 1, vec![start(job, 1, 64_000)], vec![]);
        assert_eq!((calls.len(), refused.len()), (0, 0));
        harness.advance_ms(10);
    }
    for job in [1, 9, 5] {
        harness.model.end(task(job), RunEnd::Done);
        harness.list();
    }
    let started: Vec<u64> = harness
        .model
        .started
        .iter()
        .map(|run| run.0.job.0)
        .collect();
    assert_eq!(started, vec![1, 9, 5, 2]);
}

/// Guards against a late start that makes those behind it late too, and against a postponed start
/// that newer ones keep passing.
#[test]
fn a_start_that_cannot_be_on_time_is_postponed_once() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 64_000);
    harness.start(GATEWAY, 1, 9, 64_000);
    harness.advance_ms(40);
    harness.start(GATEWAY, 1, 5, 64_000);
    harness.advance_ms(40);
    // Task 9 has 20 ms left of its 100 ms, and takes at least half of its declared 60 ms.
    harness.model.end(task(1), RunEnd::Done);
    harness.list();
    let mut ended = 5;
    for newer in 20..30 {
        harness.advance_ms(30);
        harness.start(GATEWAY, 1, newer, 64_000);
        harness.model.end(task(ended), RunEnd::Done);
        harness.list();
        ended = harness.model.started.last().expect("a start").0.job.0;
    }
    let started = harness.model.started.iter().map(|run| run.0.job.0);
    assert_eq!(started.take(4).collect::<Vec<_>>(), vec![1, 5, 9, 20]);
}

#[test]
fn orders_of_an_earlier_session_are_refused() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.attach(GATEWAY, 2, &[]);
    let (calls, refused) = harness.order(GATEWAY, 1, vec![start(1, 1, 6_000)], vec![]);
    assert!(calls.is_empty());
    assert_eq!(refused[0].reason, RefusalReason::Session);
}

#[test]
fn a_draining_instance_gets_no_starts_and_its_queue_is_refused() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 60_000);
    harness.order(GATEWAY, 1, vec![start(2, 1, 6_000)], vec![]);
    assert_eq!(harness.heartbeat(true), InstanceChange::Updated);
    let outcomes = harness.runs.take_outbox();
    assert!(matches!(
        outcomes[..],
        [(
            GATEWAY,
            RunOutcome::Refused(RefusedStart {
                reason: RefusalReason::NoInstance,
                ..
            })
        )]
    ));
    let (_, refused) = harness.order(GATEWAY, 1, vec![start(3, 1, 6_000)], vec![]);
    assert_eq!(refused[0].reason, RefusalReason::NoInstance);
    assert!(
        harness.model.running().contains_key(&task(1)),
        "running tasks continue while the instance drains"
    );
}

#[test]
fn an_unanswered_start_occupies_capacity_until_its_stop_takes_effect() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    let (calls, _) = harness.order(GATEWAY, 1, vec![start(1, 1, 60_000)], vec![]);
    let DriverCall::Start(lost) = calls[0].clone() else {
        panic!("the order must return a start call");
    };
    let stop = harness
        .runs
        .start_answered(harness.now, &lost, StartResult::Unanswered);
    harness.order(GATEWAY, 1, vec![start(2, 1, 60_000)], vec![]);
    assert_eq!(harness.runs.running(), 1, "the second start must wait");
    harness.execute(stop.into_iter().collect());
    // After the stop, the instance refuses the delayed start of the same run.
    let late = harness.model.start(&lost);
    assert_eq!(late, StartResult::Refused(RefusalReason::Outdated));
    harness.run_for_ms(200);
    assert_eq!(harness.model.started, vec![(task(2), RunNumber(1))]);
    let outcomes = harness.runs.take_outbox();
    assert!(matches!(
        outcomes[0].1,
        RunOutcome::Refused(RefusedStart {
            reason: RefusalReason::Unanswered,
            ..
        })
    ));
}

#[test]
fn a_start_that_is_executed_late_is_stopped() {
    let mut harness = Harness::new();
    let call = StartCall {
        task: task(9),
        run: RunNumber(1),
        payload: bytes::Bytes::new(),
        lease_until_ms: 900,
        fence: FENCE,
    };
    assert_eq!(harness.model.start(&call), StartResult::Started);
    harness.run_for_ms(200);
    assert!(harness.model.running().is_empty());
}

#[test]
fn runs_of_a_disconnected_gateway_end_after_the_reconnect_timeout() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness
        .runs
        .owner_closed(harness.now, GATEWAY, SessionId(1));
    harness.run_for_ms(200);
    assert_eq!(
        harness.model.running().len(),
        1,
        "the run continues while the gateway may reconnect"
    );
    harness.run_for_ms(250);
    assert!(harness.model.running().is_empty());
}

#[test]
fn runs_of_a_silent_gateway_end_before_its_callers_resubmit() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.run_for_ms(1_100);
    assert!(harness.model.running().is_empty());
}

#[test]
fn a_reconnecting_gateway_learns_of_its_runs_and_their_ends() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.start(GATEWAY, 1, 2, 6_000);
    harness
        .runs
        .owner_closed(harness.now, GATEWAY, SessionId(1));
    harness.model.end(task(2), RunEnd::Done);
    harness.run_for_ms(100);
    let inventory = harness.attach(GATEWAY, 2, &[claim(1), claim(2), claim(3)]);
    let end = |job| {
        let mut runs = inventory.runs.iter();
        runs.find(|run| run.task == task(job)).map(|run| run.end)
    };
    assert_eq!(end(1), Some(None));
    assert_eq!(end(2), Some(Some(RunEnd::Done)));
    assert_eq!(
        end(3),
        Some(Some(RunEnd::Lapsed)),
        "a run that was never started is reported as lapsed"
    );
    harness.run_for_ms(600);
    assert_eq!(harness.model.running().len(), 1);
}

#[test]
fn the_leaders_ends_stay_listed_until_they_are_settled() {
    let mut harness = Harness::new();
    harness.attach(Owner::Leader, 1, &[]);
    harness.start(Owner::Leader, 1, 1, 6_000);
    harness.model.end(task(1), RunEnd::Done);
    harness.list();
    let outcomes = harness.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(1), Some(RunEnd::Done))]);
    harness.list();
    assert_eq!(harness.model.unsettled().len(), 1);
    assert!(
        harness.runs.take_outbox().is_empty(),
        "an end is reported once per session"
    );
    settle(&mut harness, &outcomes);
    harness.list();
    assert!(harness.model.unsettled().is_empty());
}

#[test]
fn ends_that_no_leader_can_record_block_renewals_until_the_lease_has_lapsed() {
    let mut harness = Harness::new();
    harness.attach(Owner::Leader, 1, &[]);
    harness
        .runs
        .owner_heard(Owner::Leader, SessionId(1), harness.now);
    harness.start(Owner::Leader, 1, 1, 6_000);
    harness.model.end(task(1), RunEnd::Done);
    harness.run_for_ms(1_900);
    assert!(harness.runs.renew_lease(harness.now).is_some());
    // The leader starts the task elsewhere once its authority and the longest lease have ended. The
    // end must not count from then on, so the instance's lease has to lapse before.
    let authority_end = harness.now + DurationMs::new(100);
    harness.run_for_ms(150);
    assert_eq!(harness.runs.renew_lease(harness.now), None);
    let settings = DispatchSettings::default();
    let expiry = Instant::from_ms(1_000) + settings.expiry();
    while harness.runs.renew_lease(harness.now).is_none() {
        assert!(
            harness.now < expiry,
            "the lease must lapse before the leader starts the task elsewhere"
        );
        harness.run_for_ms(50);
    }
    assert!(harness.now > authority_end + harness.runs.longest_lease());
    assert_eq!(
        harness.model.unsettled().len(),
        1,
        "only a leader can settle the end"
    );
}

#[test]
fn a_gateways_ends_are_settled_at_once() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.model.end(task(1), RunEnd::Done);
    harness.list();
    harness.list();
    assert!(harness.model.unsettled().is_empty());
}

#[test]
fn unclaimed_ends_are_reported_to_the_leader_and_settled() {
    let mut before = Harness::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.heartbeat(false);
    harness.list();
    let inventory = harness.runs.attach_leader(harness.now, SessionId(1));
    // The leader does not know the run, and receives the inventory before the run ends.
    let unwanted = StopOrder {
        task: task(1),
        run: RunNumber(1),
    };
    let calls = harness
        .runs
        .leader_adopted(harness.now, &inventory, &[unwanted], &[]);
    harness.execute(calls);
    harness.model.end(task(1), RunEnd::Done);
    harness.list();
    let outcomes = harness.runs.take_outbox();
    let [(Owner::Leader, RunOutcome::Ended(report, Some(_)))] = outcomes[..] else {
        panic!("the leader must be told of the end and its number: {outcomes:?}");
    };
    assert_eq!((report.task, report.end), (task(1), Some(RunEnd::Done)));
    settle(&mut harness, &outcomes);
    harness.list();
    assert!(harness.model.unsettled().is_empty());
}

#[test]
fn unclaimed_ends_that_need_no_record_are_settled_without_a_leader() {
    let mut before = Harness::new();
    before.attach(GATEWAY, 1, &[]);
    let run = RunNumber::default().next_unrecorded();
    let order = start(1, run.0, 6_000);
    let (calls, _) = before.order(GATEWAY, 1, vec![order], vec![]);
    before.execute(calls);
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.heartbeat(false);
    harness.list();
    harness.model.end(task(1), RunEnd::Done);
    harness.list();
    harness.list();
    assert!(harness.model.unsettled().is_empty());
    let claim = Claim { run, ..claim(1) };
    let inventory = harness.attach(GATEWAY, 2, &[claim]);
    assert_eq!(
        inventory.runs[0].end,
        Some(RunEnd::Done),
        "the end must be remembered for the claim"
    );
}

#[test]
fn a_run_whose_end_may_be_missing_from_a_full_listing_is_not_lapsed() {
    let mut harness = Harness::new();
    harness.attach(Owner::Leader, 1, &[]);
    // Unsettled ends fill the listings, so that later ends are missing from them.
    for job in 1..=ENDS_PER_LISTING as u64 {
        harness.start(Owner::Leader, 1, job, 6_000);
        harness.model.end(task(job), RunEnd::Done);
        harness.list();
    }
    let outcomes = harness.runs.take_outbox();
    let last = ENDS_PER_LISTING as u64 + 1;
    harness.start(Owner::Leader, 1, last, 6_000);
    harness.model.end(task(last), RunEnd::Done);
    harness.run_for_ms(100);
    assert_eq!(
        ended(&harness.runs.take_outbox()),
        vec![],
        "an end that is not listed must not be reported"
    );
    settle(&mut harness, &outcomes);
    harness.run_for_ms(100);
    let outcomes = harness.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(last), Some(RunEnd::Done))]);
}

#[test]
fn a_new_agent_process_starts_nothing_while_runs_are_unclaimed() {
    let mut before = Harness::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.heartbeat(false);
    harness.list();
    harness.attach(Owner::Gateway(Incarnation(8)), 1, &[]);
    let owner = Owner::Gateway(Incarnation(8));
    harness.order(owner, 1, vec![start(2, 1, 6_000)], vec![]);
    assert_eq!(
        harness.runs.running(),
        1,
        "the start must wait while the resources of the unclaimed run are unknown"
    );
    harness.attach(GATEWAY, 2, &[claim(1)]);
    let calls = harness.runs.tick(harness.now);
    assert_eq!(
        calls,
        vec![],
        "nothing shows that the claimed run's gateway is alive"
    );
    assert!(harness.runs.owner_heard(GATEWAY, SessionId(2), harness.now));
    let calls = harness.runs.tick(harness.now);
    harness.execute(calls);
    assert_eq!(harness.model.running().len(), 2);
}

#[test]
fn unclaimed_runs_are_stopped_after_a_restart() {
    let mut before = Harness::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.list();
    harness.run_for_ms(1_300);
    assert!(harness.model.running().is_empty());
}

#[test]
fn calls_of_an_earlier_process_are_fenced_once_a_new_one_has_listed() {
    let mut before = Harness::new();
    before.attach(GATEWAY, 1, &[]);
    let (calls, _) = before.order(GATEWAY, 1, vec![start(1, 1, 6_000)], vec![]);
    let DriverCall::Start(late) = calls[0].clone() else {
        panic!("the order must return a start call");
    };
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.list();
    assert_eq!(harness.model.start(&late), StartResult::Fenced);
}

#[test]
fn a_replaced_process_does_not_take_the_instance_back() {
    let mut paused = Harness::new();
    paused.attach(GATEWAY, 1, &[]);
    paused.start(GATEWAY, 1, 1, 6_000);
    let mut successor = Harness::just_started(paused.model.clone(), FENCE + 1);
    successor.list();
    paused.model = successor.model.clone();
    let call = paused.list_call();
    assert_eq!(paused.model.list(&call), Err(ListError::Fenced));
    assert_eq!(paused.runs.handle_fenced(), FenceAction::StepDown);
    assert_eq!(paused.runs.fence(), FENCE);
}

#[test]
fn a_new_process_whose_clock_was_set_back_raises_its_token_until_it_is_accepted() {
    let earlier = Harness::new();
    let mut process = Harness::just_started(earlier.model, 1);
    let call = process.list_call();
    assert_eq!(process.model.list(&call), Err(ListError::Fenced));
    assert_eq!(process.runs.handle_fenced(), FenceAction::Retry);
    process.list();
    assert!(process.runs.is_reachable());
}

#[test]
fn a_restarted_instance_has_lost_all_runs() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.model = InstanceModel::new(2);
    assert_eq!(harness.heartbeat(false), InstanceChange::RunsLost);
    let outcomes = harness.runs.take_outbox();
    let crashed = RunEnd::Crashed(Suspicion::Strong);
    assert_eq!(ended(&outcomes), vec![(task(1), Some(crashed))]);
    assert_eq!(harness.runs.running(), 0);
}

#[test]
fn heartbeats_from_before_a_restart_or_out_of_order_are_ignored() {
    let mut harness = Harness::new();
    harness.model = InstanceModel::new(5);
    harness.heartbeat(false);
    let mut late = instance(1);
    late.draining = true;
    let heartbeat = Heartbeat {
        instance: late,
        sequence: 99,
        cold_left_ms: 0,
    };
    assert_eq!(harness.receive(&heartbeat), InstanceChange::None);
    let mut earlier = instance(5);
    earlier.draining = true;
    let heartbeat = Heartbeat {
        instance: earlier,
        sequence: 1,
        cold_left_ms: 0,
    };
    assert_eq!(harness.receive(&heartbeat), InstanceChange::None);
}

#[test]
fn an_unanswered_stop_lets_its_run_end_with_the_current_lease() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    let stop = StopOrder {
        task: task(1),
        run: RunNumber(1),
    };
    let (calls, _) = harness.order(GATEWAY, 1, vec![], vec![stop]);
    let DriverCall::Stop(lost) = calls[0].clone() else {
        panic!("the order must return a stop call");
    };
    harness
        .runs
        .stop_answered(harness.now, &lost, StopResult::Unanswered);
    assert!(!harness.runs.may_renew(harness.now));
    assert_eq!(harness.runs.renew_lease(harness.now), None);
    // A new start uses the rest of the current lease.
    harness.start(GATEWAY, 1, 2, 6_000);
    harness.advance_ms(401);
    assert!(!harness.runs.may_renew(harness.now));
    assert_eq!(harness.runs.renew_lease(harness.now), None);
    // Ends are still reported.
    harness.runs.take_outbox();
    harness.model.end(task(2), RunEnd::Done);
    harness.list();
    let outcomes = harness.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(2), Some(RunEnd::Done))]);
    // No run is started if too little of the lease is left.
    harness.advance_ms(400);
    let (calls, refused) = harness.order(GATEWAY, 1, vec![start(3, 1, 6_000)], vec![]);
    assert_eq!((calls, refused), (vec![], vec![]));
    harness.advance_ms(200);
    assert!(harness.model.running().is_empty());
}

#[test]
fn a_start_whose_answer_is_lost_continues_once_it_is_listed() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    let (calls, _) = harness.order(GATEWAY, 1, vec![start(1, 1, 6_000)], vec![]);
    let DriverCall::Start(call) = calls[0].clone() else {
        panic!("the order must return a start call");
    };
    assert_eq!(harness.model.start(&call), StartResult::Started);
    harness.advance_ms(100);
    harness.list();
    let follow_up = harness
        .runs
        .start_answered(harness.now, &call, StartResult::Unanswered);
    assert_eq!(follow_up, None);
    harness.run_for_ms(200);
    assert!(harness.model.running().contains_key(&task(1)));
}

#[test]
fn a_stalled_run_is_stopped_and_reported_as_stalled() {
    let mut harness = Harness::new();
    harness.attach(Owner::Leader, 1, &[]);
    let mut order = start(1, 1, 6_000);
    order.stall_after_ms = 250;
    let (calls, _) = harness.order(Owner::Leader, 1, vec![order], vec![]);
    harness.execute(calls);
    harness.run_for_ms(200);
    assert!(harness.model.running().contains_key(&task(1)));
    harness.run_for_ms(200);
    assert!(harness.model.running().is_empty());
    let outcomes = harness.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(1), Some(RunEnd::Stalled))]);
}

#[test]
fn a_new_process_restores_the_recorded_instance_only_if_it_has_not_restarted() {
    let mut harness = Harness::just_started(InstanceModel::new(5), FENCE + 1);
    let recorded = |born_ms: u64| Heartbeat {
        instance: instance(born_ms),
        sequence: 0,
        cold_left_ms: 0,
    };
    assert_eq!(
        harness.runs.heartbeat_received(harness.now, &recorded(5)),
        HeartbeatOutcome::Unconfirmed,
        "the instance has not answered yet"
    );
    assert_eq!(harness.runs.instance(), None);
    harness.list();
    assert_eq!(harness.receive(&recorded(4)), InstanceChange::None);
    assert_eq!(harness.receive(&recorded(5)), InstanceChange::Updated);
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    assert_eq!(
        harness.heartbeat(true),
        InstanceChange::Updated,
        "a heartbeat takes precedence over the restored report"
    );
    assert_eq!(harness.receive(&recorded(5)), InstanceChange::None);
}

#[test]
fn runs_of_an_earlier_process_are_unknown_until_the_first_listing() {
    let mut before = Harness::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    assert!(!harness.runs.knows_runs());
    harness.list();
    assert!(harness.runs.knows_runs());
    let inventory = harness.attach(GATEWAY, 2, &[claim(1)]);
    assert_eq!(inventory.runs[0].end, None, "the claimed run continues");
}

/// Guards against an instance that is full for the leader for good: a run of a gateway that the
/// leader was told of ends without a report to the leader.
#[test]
fn the_leader_is_not_told_of_unclaimed_runs_that_gateways_have_started() {
    let mut before = Harness::new();
    before.attach(GATEWAY, 1, &[]);
    before.attach(Owner::Leader, 2, &[]);
    let of_gateway = start(1, RunNumber(0).next_unrecorded().0, 6_000);
    let of_leader = start(2, RunNumber(0).next_recorded().0, 6_000);
    for (owner, session, order) in [(GATEWAY, 1, of_gateway), (Owner::Leader, 2, of_leader)] {
        let (calls, refused) = before.order(owner, session, vec![order], vec![]);
        assert_eq!(refused, vec![]);
        before.execute(calls);
    }
    let mut harness = Harness::just_started(before.model, FENCE + 1);
    harness.list();
    let inventory = harness.runs.attach_leader(harness.now, SessionId(3));
    let reported: Vec<TaskKey> = inventory.runs.iter().map(|run| run.task).collect();
    assert_eq!(reported, vec![task(2)]);
}

#[test]
fn an_unclaimed_run_ends_with_its_last_lease_despite_repeated_restarts() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    for restart in 1..=6 {
        let model = harness.model;
        let now = harness.now;
        harness = Harness::just_started(model, FENCE + restart);
        harness.now = now;
        harness.list();
        harness.run_for_ms(200);
    }
    assert!(harness.model.running().is_empty());
}

#[test]
fn an_instance_that_executes_calls_without_answering_is_lost_only_after_its_last_lease() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    // The instance executes listings, but their answers are lost.
    for _ in 0..100 {
        harness.advance_ms(50);
        let call = harness.list_call();
        harness
            .model
            .list(&call)
            .expect("the call carries the highest fencing token");
        if harness.runs.expire_silent_instance(harness.now) != InstanceChange::None {
            assert!(
                harness.model.running().is_empty(),
                "the run was reported as ended while it was running"
            );
            return;
        }
    }
    panic!("the unresponsive instance was not reported as lost");
}

#[test]
fn unanswered_stops_are_not_repeated_while_the_instance_answers_no_listing() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    let stop = StopOrder {
        task: task(1),
        run: RunNumber(1),
    };
    let (calls, _) = harness.order(GATEWAY, 1, vec![], vec![stop]);
    let mut repeated = 0;
    let mut unanswered = calls;
    for _ in 0..40 {
        for call in std::mem::take(&mut unanswered) {
            if let DriverCall::Stop(call) = call {
                let result = StopResult::Unanswered;
                harness.runs.stop_answered(harness.now, &call, result);
            }
        }
        harness.advance_ms(50);
        unanswered = harness.runs.tick(harness.now);
        repeated += unanswered.len();
    }
    assert!(repeated <= 12, "{repeated} repetitions in 2 s");
    harness.list();
    let calls = harness.runs.tick(harness.now);
    assert!(!calls.is_empty() || harness.runs.running() == 0);
}
