//! The agent's table of runs beside a model of its instance.

mod bench;

use bench::{Bench, FENCE, GATEWAY, instance, needs, start, start_urgent, task};
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

fn ended(outcomes: &[(Owner, RunOutcome)]) -> Vec<(TaskKey, Option<RunEnd>)> {
    let end = |(_, outcome): &(Owner, RunOutcome)| match outcome {
        RunOutcome::Ended(report, _) => Some((report.task, report.end)),
        RunOutcome::Refused(_) => None,
    };
    outcomes.iter().filter_map(end).collect()
}

#[test]
fn what_does_not_fit_waits_and_is_started_by_urgency() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    for job in 0..10 {
        bench.start(GATEWAY, 1, job, 6_000);
    }
    let late = start_urgent(20, 1, 6_000, 2);
    let urgent = start_urgent(21, 1, 6_000, 0);
    let (calls, refused) = bench.order(GATEWAY, 1, vec![late, urgent], vec![]);
    assert_eq!((calls.len(), refused.len()), (0, 0));
    assert_eq!(bench.runs.waiting(), 2);
    bench.advance_ms(60);
    bench.model.end(task(3), RunEnd::Done);
    bench.list();
    assert!(bench.model.running().contains_key(&task(21)));
    assert!(!bench.model.running().contains_key(&task(20)));
}

#[test]
fn orders_of_an_earlier_session_are_refused() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.attach(GATEWAY, 2, &[]);
    let (calls, refused) = bench.order(GATEWAY, 1, vec![start(1, 1, 6_000)], vec![]);
    assert!(calls.is_empty());
    assert_eq!(refused[0].reason, RefusalReason::Session);
}

#[test]
fn a_leaving_instance_gets_nothing_new_and_gives_back_what_waits() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 60_000);
    bench.order(GATEWAY, 1, vec![start(2, 1, 6_000)], vec![]);
    assert_eq!(bench.beat(true), InstanceChange::Updated);
    let outcomes = bench.runs.take_outbox();
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
    let (_, refused) = bench.order(GATEWAY, 1, vec![start(3, 1, 6_000)], vec![]);
    assert_eq!(refused[0].reason, RefusalReason::NoInstance);
    assert!(
        bench.model.running().contains_key(&task(1)),
        "what runs goes on"
    );
}

#[test]
fn a_start_without_an_answer_takes_room_until_its_stop_has_had_effect() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    let (calls, _) = bench.order(GATEWAY, 1, vec![start(1, 1, 60_000)], vec![]);
    let DriverCall::Start(lost) = calls[0].clone() else {
        panic!("a start was ordered");
    };
    let stop = bench
        .runs
        .start_answered(bench.now, &lost, StartResult::Unanswered);
    bench.order(GATEWAY, 1, vec![start(2, 1, 60_000)], vec![]);
    assert_eq!(bench.runs.running(), 1, "the second start waits");
    bench.carry_out(stop.into_iter().collect());
    // The stop has passed the run, so the start is refused when it is carried out after all.
    let late = bench.model.start(&lost);
    assert_eq!(late, StartResult::Refused(RefusalReason::Outdated));
    bench.live_ms(200);
    assert_eq!(bench.model.started, vec![(task(2), RunNumber(1))]);
    let outcomes = bench.runs.take_outbox();
    assert!(matches!(
        outcomes[0].1,
        RunOutcome::Refused(RefusedStart {
            reason: RefusalReason::Unanswered,
            ..
        })
    ));
}

#[test]
fn a_start_that_is_carried_out_late_is_stopped() {
    let mut bench = Bench::new();
    let call = StartCall {
        task: task(9),
        run: RunNumber(1),
        payload: bytes::Bytes::new(),
        lease_until_ms: 900,
        fence: FENCE,
    };
    assert_eq!(bench.model.start(&call), StartResult::Started);
    bench.live_ms(200);
    assert!(bench.model.running().is_empty());
}

#[test]
fn runs_of_a_gateway_that_is_gone_end_in_time() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    bench.runs.owner_closed(bench.now, GATEWAY, SessionId(1));
    bench.live_ms(200);
    assert_eq!(bench.model.running().len(), 1, "it may return");
    bench.live_ms(250);
    assert!(bench.model.running().is_empty());
}

#[test]
fn runs_of_a_silent_gateway_end_before_its_callers_ask_again() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    bench.live_ms(1_100);
    assert!(bench.model.running().is_empty());
}

#[test]
fn a_gateway_that_returns_finds_its_runs_and_their_ends() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    bench.start(GATEWAY, 1, 2, 6_000);
    bench.runs.owner_closed(bench.now, GATEWAY, SessionId(1));
    bench.model.end(task(2), RunEnd::Done);
    bench.live_ms(100);
    let inventory = bench.attach(GATEWAY, 2, &[claim(1), claim(2), claim(3)]);
    let end = |job| {
        let mut runs = inventory.runs.iter();
        runs.find(|run| run.task == task(job)).map(|run| run.end)
    };
    assert_eq!(end(1), Some(None));
    assert_eq!(end(2), Some(Some(RunEnd::Done)));
    assert_eq!(end(3), Some(Some(RunEnd::Lapsed)), "it never began");
    bench.live_ms(600);
    assert_eq!(bench.model.running().len(), 1);
}

#[test]
fn the_leaders_ends_are_repeated_until_they_are_settled() {
    let mut bench = Bench::new();
    bench.attach(Owner::Leader, 1, &[]);
    bench.start(Owner::Leader, 1, 1, 6_000);
    bench.model.end(task(1), RunEnd::Done);
    bench.list();
    let outcomes = bench.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(1), Some(RunEnd::Done))]);
    bench.list();
    assert_eq!(bench.model.unsettled().len(), 1);
    assert!(
        bench.runs.take_outbox().is_empty(),
        "it is told once a session"
    );
    bench.runs.settle([1]);
    bench.list();
    assert!(bench.model.unsettled().is_empty());
}

#[test]
fn ends_that_no_leader_can_record_are_kept_only_until_the_lease_has_lapsed() {
    let mut bench = Bench::new();
    bench.attach(Owner::Leader, 1, &[]);
    bench.start(Owner::Leader, 1, 1, 6_000);
    bench.model.end(task(1), RunEnd::Done);
    bench.live_ms(1_900);
    assert!(bench.runs.renew_lease(bench.now).is_some());
    // The leader starts the task elsewhere once its authority and the longest lease are over. The
    // end must count for nothing from then on, so the instance's lease has to lapse by then.
    let authority_end = bench.now + DurationMs::new(100);
    bench.live_ms(150);
    assert_eq!(bench.runs.renew_lease(bench.now), None);
    let settings = DispatchSettings::default();
    let expiry = Instant::from_ms(1_000) + settings.expiry();
    while bench.runs.renew_lease(bench.now).is_none() {
        assert!(bench.now < expiry, "the lease lapses in time");
        bench.live_ms(50);
    }
    assert!(bench.now > authority_end + bench.runs.longest_lease());
    assert_eq!(bench.model.unsettled().len(), 1, "only a leader settles it");
}

#[test]
fn a_gateways_ends_are_settled_at_once() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    bench.model.end(task(1), RunEnd::Done);
    bench.list();
    bench.list();
    assert!(bench.model.unsettled().is_empty());
}

#[test]
fn ends_that_nobody_has_claimed_are_told_to_the_leader_and_settled() {
    let mut before = Bench::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut bench = Bench::unheard(before.model, FENCE + 1);
    bench.beat(false);
    bench.list();
    let inventory = bench.runs.attach_leader(bench.now, SessionId(1));
    // The leader knows nothing of the run, and has had the inventory before the run ends.
    let unwanted = StopOrder {
        task: task(1),
        run: RunNumber(1),
    };
    let calls = bench
        .runs
        .leader_adopted(bench.now, &inventory, &[unwanted]);
    bench.carry_out(calls);
    bench.model.end(task(1), RunEnd::Done);
    bench.list();
    let outcomes = bench.runs.take_outbox();
    let [(Owner::Leader, RunOutcome::Ended(report, Some(number)))] = outcomes[..] else {
        panic!("the leader is told of the end and its number: {outcomes:?}");
    };
    assert_eq!((report.task, report.end), (task(1), Some(RunEnd::Done)));
    bench.runs.settle([number]);
    bench.list();
    assert!(bench.model.unsettled().is_empty());
}

#[test]
fn unclaimed_ends_that_need_no_record_are_settled_without_a_leader() {
    let mut before = Bench::new();
    before.attach(GATEWAY, 1, &[]);
    let run = RunNumber::default().next_unrecorded();
    let order = start(1, run.0, 6_000);
    let (calls, _) = before.order(GATEWAY, 1, vec![order], vec![]);
    before.carry_out(calls);
    let mut bench = Bench::unheard(before.model, FENCE + 1);
    bench.beat(false);
    bench.list();
    bench.model.end(task(1), RunEnd::Done);
    bench.list();
    bench.list();
    assert!(bench.model.unsettled().is_empty());
    let claim = Claim { run, ..claim(1) };
    let inventory = bench.attach(GATEWAY, 2, &[claim]);
    assert_eq!(
        inventory.runs[0].end,
        Some(RunEnd::Done),
        "it is remembered"
    );
}

#[test]
fn a_run_whose_end_may_not_be_listed_yet_isnt_taken_for_lapsed() {
    let mut bench = Bench::new();
    bench.attach(Owner::Leader, 1, &[]);
    // Ends that the leader doesn't settle fill the listings.
    for job in 1..=ENDS_PER_LISTING as u64 {
        bench.start(Owner::Leader, 1, job, 6_000);
        bench.model.end(task(job), RunEnd::Done);
        bench.list();
    }
    bench.runs.take_outbox();
    let last = ENDS_PER_LISTING as u64 + 1;
    bench.start(Owner::Leader, 1, last, 6_000);
    bench.model.end(task(last), RunEnd::Done);
    bench.live_ms(100);
    assert_eq!(
        ended(&bench.runs.take_outbox()),
        vec![],
        "its end is hidden"
    );
    bench.runs.settle(1..last);
    bench.live_ms(100);
    let outcomes = bench.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(last), Some(RunEnd::Done))]);
}

#[test]
fn a_new_process_beside_the_instance_starts_nothing_until_it_knows_what_runs() {
    let mut before = Bench::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut bench = Bench::unheard(before.model, FENCE + 1);
    bench.beat(false);
    bench.list();
    bench.attach(Owner::Gateway(Incarnation(8)), 1, &[]);
    let owner = Owner::Gateway(Incarnation(8));
    bench.order(owner, 1, vec![start(2, 1, 6_000)], vec![]);
    assert_eq!(
        bench.runs.running(),
        1,
        "the needs of what runs aren't known"
    );
    bench.attach(GATEWAY, 2, &[claim(1)]);
    let calls = bench.runs.tick(bench.now);
    bench.carry_out(calls);
    assert_eq!(bench.model.running().len(), 2);
}

#[test]
fn what_nobody_claims_after_a_restart_is_stopped() {
    let mut before = Bench::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut bench = Bench::unheard(before.model, FENCE + 1);
    bench.list();
    bench.live_ms(1_300);
    assert!(bench.model.running().is_empty());
}

#[test]
fn orders_of_an_earlier_process_do_nothing_once_the_new_one_has_listed() {
    let mut before = Bench::new();
    before.attach(GATEWAY, 1, &[]);
    let (calls, _) = before.order(GATEWAY, 1, vec![start(1, 1, 6_000)], vec![]);
    let DriverCall::Start(late) = calls[0].clone() else {
        panic!("a start was ordered");
    };
    let mut bench = Bench::unheard(before.model, FENCE + 1);
    bench.list();
    assert_eq!(bench.model.start(&late), StartResult::Fenced);
}

#[test]
fn a_new_life_of_the_instance_has_lost_all_runs() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    bench.model = InstanceModel::new(2);
    assert_eq!(bench.beat(false), InstanceChange::RunsLost);
    let outcomes = bench.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(1), Some(RunEnd::Lapsed))]);
    assert_eq!(bench.runs.running(), 0);
}

#[test]
fn a_late_beat_of_an_earlier_life_or_moment_changes_nothing() {
    let mut bench = Bench::new();
    bench.model = InstanceModel::new(5);
    bench.beat(false);
    let mut late = instance(1);
    late.draining = true;
    let beat = Heartbeat {
        instance: late,
        clock_ms: 10,
        sequence: 99,
    };
    assert_eq!(
        bench.runs.heartbeat_received(bench.now, beat),
        InstanceChange::None
    );
    let mut earlier = instance(5);
    earlier.draining = true;
    let beat = Heartbeat {
        instance: earlier,
        clock_ms: 10,
        sequence: 1,
    };
    assert_eq!(
        bench.runs.heartbeat_received(bench.now, beat),
        InstanceChange::None
    );
}

#[test]
fn a_stop_without_an_answer_lets_its_run_end_with_the_present_lease() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    let stop = StopOrder {
        task: task(1),
        run: RunNumber(1),
    };
    let (calls, _) = bench.order(GATEWAY, 1, vec![], vec![stop]);
    let DriverCall::Stop(lost) = calls[0].clone() else {
        panic!("a stop was ordered");
    };
    bench
        .runs
        .stop_answered(bench.now, &lost, StopResult::Unanswered);
    assert!(!bench.runs.may_renew(bench.now));
    assert_eq!(bench.runs.renew_lease(bench.now), None);
    // What is started meanwhile runs in what is left of the lease.
    bench.start(GATEWAY, 1, 2, 6_000);
    bench.advance_ms(401);
    assert!(!bench.runs.may_renew(bench.now));
    assert_eq!(bench.runs.renew_lease(bench.now), None);
    // Ends are heard of all the same.
    bench.runs.take_outbox();
    bench.model.end(task(2), RunEnd::Done);
    bench.list();
    let outcomes = bench.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(2), Some(RunEnd::Done))]);
    // Nothing is started in a lease that is nearly over.
    bench.advance_ms(400);
    let (calls, refused) = bench.order(GATEWAY, 1, vec![start(3, 1, 6_000)], vec![]);
    assert_eq!((calls, refused), (vec![], vec![]));
    bench.advance_ms(200);
    assert!(bench.model.running().is_empty());
}

#[test]
fn a_start_whose_answer_is_lost_goes_on_when_it_is_listed() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    let (calls, _) = bench.order(GATEWAY, 1, vec![start(1, 1, 6_000)], vec![]);
    let DriverCall::Start(call) = calls[0].clone() else {
        panic!("a start was ordered");
    };
    assert_eq!(bench.model.start(&call), StartResult::Started);
    bench.advance_ms(100);
    bench.list();
    let follow_up = bench
        .runs
        .start_answered(bench.now, &call, StartResult::Unanswered);
    assert_eq!(follow_up, None);
    bench.live_ms(200);
    assert!(bench.model.running().contains_key(&task(1)));
}

#[test]
fn a_run_that_stands_still_is_stopped_and_told_so() {
    let mut bench = Bench::new();
    bench.attach(Owner::Leader, 1, &[]);
    let mut order = start(1, 1, 6_000);
    order.stall_after_ms = 250;
    let (calls, _) = bench.order(Owner::Leader, 1, vec![order], vec![]);
    bench.carry_out(calls);
    bench.live_ms(200);
    assert!(bench.model.running().contains_key(&task(1)));
    bench.live_ms(200);
    assert!(bench.model.running().is_empty());
    let outcomes = bench.runs.take_outbox();
    assert_eq!(ended(&outcomes), vec![(task(1), Some(RunEnd::Stalled))]);
}

#[test]
fn a_new_process_takes_what_was_noted_of_the_same_life_only() {
    let mut bench = Bench::unheard(InstanceModel::new(5), FENCE + 1);
    assert_eq!(
        bench.runs.restore_instance(instance(5)),
        InstanceChange::None,
        "nothing was listed"
    );
    bench.list();
    assert_eq!(
        bench.runs.restore_instance(instance(4)),
        InstanceChange::None
    );
    assert_eq!(
        bench.runs.restore_instance(instance(5)),
        InstanceChange::Updated
    );
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    assert_eq!(
        bench.beat(true),
        InstanceChange::Updated,
        "the instance's own word goes first"
    );
    assert_eq!(
        bench.runs.restore_instance(instance(5)),
        InstanceChange::None
    );
}

#[test]
fn claims_wait_until_it_is_known_what_an_earlier_process_left() {
    let mut before = Bench::new();
    before.attach(GATEWAY, 1, &[]);
    before.start(GATEWAY, 1, 1, 6_000);
    let mut bench = Bench::unheard(before.model, FENCE + 1);
    assert!(!bench.runs.knows_runs());
    bench.list();
    assert!(bench.runs.knows_runs());
    let inventory = bench.attach(GATEWAY, 2, &[claim(1)]);
    assert_eq!(inventory.runs[0].end, None, "it goes on");
}

#[test]
fn however_often_the_process_restarts_an_unclaimed_run_ends_with_its_last_lease() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    for restart in 1..=6 {
        let model = bench.model;
        let now = bench.now;
        bench = Bench::unheard(model, FENCE + restart);
        bench.now = now;
        bench.list();
        bench.live_ms(200);
    }
    assert!(bench.model.running().is_empty());
}

#[test]
fn an_instance_that_carries_out_calls_without_answering_is_lost_only_after_its_last_lease() {
    let mut bench = Bench::new();
    bench.attach(GATEWAY, 1, &[]);
    bench.start(GATEWAY, 1, 1, 6_000);
    // Listings are carried out, and their answers are lost.
    for _ in 0..100 {
        bench.advance_ms(50);
        let call = bench.list_call();
        bench.model.list(&call).expect("the fence is the highest");
        if bench.runs.expire_silent_instance(bench.now) != InstanceChange::None {
            assert!(
                bench.model.running().is_empty(),
                "it was called over while it ran"
            );
            return;
        }
    }
    panic!("the instance is never given up");
}
