//! Tests of how long the runs of a gateway go on that isn't heard from any more.

mod harness;

use harness::{CAPACITY, GATEWAY, Harness, start, task};
use hemlock_dispatch::prelude::*;
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
