//! Connection attempts to peers that are down and to peers that are slow.

use hemlock_nodes::connect_timeouts::ConnectTimeouts;

/// Returns the time from the peer's start at `up_at_ms` until an attempt succeeds, which must begin
/// after the start and have a timeout of at least `needs_ms`.
fn connected_after_ms(up_at_ms: u64, needs_ms: u64) -> u64 {
    let mut timeouts = ConnectTimeouts::default();
    let mut now_ms = 0;
    loop {
        let timeout_ms = timeouts.next_timeout().as_ms();
        if now_ms >= up_at_ms && timeout_ms >= needs_ms {
            return now_ms + needs_ms - up_at_ms;
        }
        now_ms += timeout_ms;
    }
}

#[test]
fn a_restarted_peer_is_reached_soon() {
    let mean_ms = (0..3_000)
        .map(|up_at_ms| connected_after_ms(up_at_ms, 5))
        .sum::<u64>()
        / 3_000;
    assert!(mean_ms < 320, "{mean_ms} ms");
    assert!(connected_after_ms(200, 5) <= 200);
}

#[test]
fn a_slow_peer_is_reached_within_two_seconds() {
    assert!(connected_after_ms(0, 600) < 2_000);
}
