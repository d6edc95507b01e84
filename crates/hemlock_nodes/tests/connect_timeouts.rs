//! Peers that are down, and peers that are slow.

use hemlock_nodes::connect_timeouts::ConnectTimeouts;

/// Time that passes until an attempt begins after the peer's start, and succeeds.
fn reached_after_ms(up_at_ms: u64, needs_ms: u64) -> u64 {
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
fn a_machine_that_starts_again_is_reached_soon() {
    let mean_ms = (0..3_000)
        .map(|up_at_ms| reached_after_ms(up_at_ms, 5))
        .sum::<u64>()
        / 3_000;
    assert!(mean_ms < 320, "{mean_ms} ms");
    assert!(reached_after_ms(200, 5) <= 200);
}

#[test]
fn a_slow_peer_is_reached_at_last() {
    assert!(reached_after_ms(0, 600) < 2_000);
}
