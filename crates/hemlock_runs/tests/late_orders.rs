//! Orders and pings that reach a runner after the sessions that they belong to have expired.

mod harness;

use harness::{GATEWAY, Harness, start, task};
use hemlock_dispatch::prelude::*;
use hemlock_runs::prelude::*;

/// Guards against tasks that start a second time: a runner that was suspended received an order of
/// a gateway that had given it up meanwhile, before its own timer had ended the session.
#[test]
fn an_order_that_arrives_after_its_session_has_expired_starts_nothing() {
    for (owner, timeout_ms) in [(GATEWAY, 850), (Owner::Leader, 2_000)] {
        let mut harness = Harness::new();
        harness.attach(owner, 1, &[]);
        harness.advance_ms(timeout_ms + 1);
        let (calls, refused) = harness.order(owner, 1, vec![start(1, 1, 6_000)], vec![]);
        assert_eq!(calls, vec![]);
        assert_eq!(
            refused.first().map(|refused| refused.reason),
            Some(RefusalReason::Session)
        );
        harness.run_for_ms(100);
        assert!(harness.model.started.is_empty());
    }
}

/// Guards against sessions that a late ping revives, so that their runs continue beside others.
#[test]
fn a_ping_that_arrives_after_its_session_has_expired_does_not_renew_it() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.advance_ms(851);
    let heard_at = harness.now;
    assert!(!harness.runs.owner_heard(GATEWAY, SessionId(1), heard_at));
    harness.run_for_ms(50);
    assert_eq!(harness.runs.session(GATEWAY), None);
}

/// Guards against tasks that start a second time: a runner that was suspended listed its instance
/// before its own timer had ended the session, and started what its owner had given up meanwhile.
#[test]
fn a_queued_start_is_dropped_once_its_session_has_expired() {
    for (owner, timeout_ms) in [(GATEWAY, 850), (Owner::Leader, 2_000)] {
        let mut harness = Harness::new();
        harness.attach(owner, 1, &[]);
        harness.start(owner, 1, 1, 64_000);
        let (calls, refused) = harness.order(owner, 1, vec![start(2, 1, 64_000)], vec![]);
        assert_eq!((calls, refused), (vec![], vec![]));
        harness.advance_ms(timeout_ms + 1);
        harness.model.end(task(1), RunEnd::Done);
        harness.list();
        harness.run_for_ms(100);
        assert_eq!(harness.model.started.len(), 1, "{owner:?}");
        assert_eq!(harness.runs.waiting(), 0);
    }
}
