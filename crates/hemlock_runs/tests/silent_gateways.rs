//! Tests of how long the runs of a gateway go on that isn't heard from any more.

mod harness;

use harness::{GATEWAY, Harness, task};
use hemlock_runs::prelude::*;

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
