//! Tests of how long the runs of a gateway go on that isn't heard from any more.

mod harness;

use harness::{CAPACITY, GATEWAY, Harness, needs, start, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;

/// Time after which a caller that has lost its gateway submits its job again, in milliseconds.
const RESUBMIT_MS: u64 = 1_300;

/// Guards against tasks that run twice at once: a gateway was lost without a sign, and the runner
/// that had renewed the lease until it would have stopped the gateway's runs was lost as well.
#[test]
fn runs_of_a_silent_gateway_end_in_time_if_the_runner_is_lost_too() {
    for silent_ms in [0, 250, 500, 700, 850] {
        let mut harness = Harness::new();
        harness.attach(GATEWAY, 1, &[]);
        harness.start(GATEWAY, 1, 1, 6_000);
        harness.run_for_ms(silent_ms);
        harness.model.advance_ms(RESUBMIT_MS - silent_ms);
        let running = harness.model.running();
        assert!(running.is_empty(), "runner lost after {silent_ms} ms");
    }
}

/// Guards against the same failure if the instance executes no stops.
#[test]
fn runs_of_a_silent_gateway_end_in_time_if_their_stops_are_lost() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    for _ in 0..RESUBMIT_MS / 50 {
        harness.advance_ms(50);
        for call in harness.runs.tick(harness.now) {
            if let DriverCall::Stop(call) = call {
                let unanswered = StopResult::Unanswered;
                harness.runs.stop_answered(harness.now, &call, unanswered);
            }
        }
        harness.list();
    }
    assert!(!harness.model.running().contains_key(&task(1)));
}

/// Guards against the same failure of a start that waits behind a run of another owner: it would go
/// on under that owner's lease, because a lease never gets shorter.
#[test]
fn a_queued_start_of_a_silent_gateway_ends_in_time() {
    let other = Owner::Gateway(Incarnation(8));
    for (blocker, run, silent_ms) in [
        (other, 2, 400),
        (other, 2, 600),
        (other, 2, 800),
        (Owner::Leader, 1, 800),
    ] {
        let mut harness = Harness::new();
        harness.attach(blocker, 1, &[]);
        let (calls, _) = harness.order(blocker, 1, vec![start(1, run, CAPACITY.cpu_milli)], vec![]);
        harness.execute(calls);
        harness.attach(GATEWAY, 1, &[]);
        let (calls, refused) = harness.order(GATEWAY, 1, vec![start(2, 2, 1_000)], vec![]);
        assert_eq!((calls, refused), (vec![], vec![]), "it waits for room");
        let heard_at = harness.now;
        for _ in 0..silent_ms / 50 {
            harness.run_for_ms(50);
            if blocker != Owner::Leader {
                let heard = harness.runs.owner_heard(blocker, SessionId(1), harness.now);
                assert!(heard);
            }
        }
        harness.model.end(task(1), RunEnd::Done);
        harness.list();
        let is_running = harness.model.running().contains_key(&task(2));
        assert!(is_running, "it is started");
        let passed_ms = harness.now.since(heard_at).as_ms();
        harness.model.advance_ms(RESUBMIT_MS - passed_ms);
        let is_running = harness.model.running().contains_key(&task(2));
        assert!(!is_running, "{blocker:?}, silent for {silent_ms} ms");
    }
}

/// Passes an order of the gateway that was sent `age_ms` ago. Returns the reasons of refused starts.
fn order_late(harness: &mut Harness, job: u64, age_ms: u64) -> Vec<RefusalReason> {
    let order = Order {
        agent: AgentId(1),
        session: SessionId(1),
        sequence: job,
        instance: Some(harness::instance(harness.model.born_ms).id),
        starts: vec![start(job, 2, 1_000)],
        stops: Vec::new(),
    };
    let now = harness.now;
    // A message without a delay tells how the clocks differ.
    harness.runs.estimate_sent(now, GATEWAY, now.as_micros());
    let sent_us = now.before(DurationMs::new(age_ms)).as_micros();
    let sent_at = harness.runs.estimate_sent(now, GATEWAY, sent_us);
    let (calls, refused) = harness.runs.handle_order_sent(now, sent_at, GATEWAY, order);
    harness.execute(calls);
    refused.into_iter().map(|start| start.reason).collect()
}

/// Guards against the same failure if the gateway's last messages were long on their way: they
/// counted as signs of the time at which they arrived.
#[test]
fn a_message_is_a_sign_of_when_it_was_sent() {
    for age_ms in [0, 100, 200] {
        let mut harness = Harness::new();
        harness.attach(GATEWAY, 1, &[]);
        harness.run_for_ms(300);
        assert_eq!(order_late(&mut harness, 1, age_ms), vec![], "{age_ms} ms");
        harness.list();
        harness.model.advance_ms(RESUBMIT_MS - age_ms);
        assert!(harness.model.running().is_empty(), "{age_ms} ms");
    }
    for age_ms in [400, 800, 5_000] {
        let mut harness = Harness::new();
        harness.attach(GATEWAY, 1, &[]);
        harness.run_for_ms(300);
        let refused = order_late(&mut harness, 1, age_ms);
        assert_eq!(refused, vec![RefusalReason::Session], "{age_ms} ms");
    }
}

/// Guards against sessions that expire after some hours because the clocks of two machines drift.
#[test]
fn clocks_that_drift_apart_make_no_message_late() {
    for drift_us_per_s in [-200, 200] {
        let mut harness = Harness::new();
        harness.attach(GATEWAY, 1, &[]);
        for seconds in 0..7_200 {
            harness.now += DurationMs::new(1_000);
            let now_us = harness.now.as_micros().cast_signed();
            let sent_us = now_us + seconds * drift_us_per_s;
            let sent_us = sent_us.cast_unsigned();
            let sent_at = harness.runs.estimate_sent(harness.now, GATEWAY, sent_us);
            let late_ms = harness.now.since(sent_at).as_ms();
            assert!(late_ms <= 20, "{late_ms} ms after {seconds} s");
        }
    }
}

/// Guards against runs that go on beside others of their tasks: a gateway whose answers were lost had
/// taken them for over, and its attempts to begin a session kept them.
#[test]
fn a_run_that_its_gateway_claims_no_more_is_stopped() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 1_000);
    let claim = Claim {
        task: task(1),
        run: RunNumber(1),
        needs: needs(1_000),
    };
    for session in 2..8 {
        harness.run_for_ms(600);
        let claims: &[Claim] = if session > 5 { &[] } else { &[claim] };
        harness.attach(GATEWAY, session, claims);
        harness.run_for_ms(100);
    }
    assert!(harness.model.running().is_empty());
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 1_000);
    harness.attach(GATEWAY, 2, &[]);
    harness.run_for_ms(100);
    assert!(harness.model.running().is_empty(), "it isn't claimed");
}
