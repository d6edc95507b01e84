//! Timeouts of successive attempts to connect to one peer.
//!
//! Covers a simultaneous restart of many machines: a machine that is off drops the SYN packet, and
//! the kernel retransmits it only after one second. Short attempts connect to such a machine soon
//! after it is up; an occasional long attempt reaches a peer that is merely slow.

use hemlock_types::prelude::*;

/// Timeout of most attempts. A round trip between failure domains takes a few milliseconds, and a
/// process throttled by its CPU quota resumes within 100 ms.
const SHORT_TIMEOUT: DurationMs = DurationMs::new(120);
/// Timeout of the remaining attempts, for slow peers.
const LONG_TIMEOUT: DurationMs = DurationMs::new(800);
/// Every fourth attempt has the long timeout.
const ATTEMPTS_PER_LONG_TIMEOUT: u32 = 4;

/// Yields the timeouts of the attempts to connect to one peer.
#[derive(Debug, Default)]
pub struct ConnectTimeouts {
    attempts: u32,
}

impl ConnectTimeouts {
    /// Returns the timeout of the next attempt.
    pub fn next_timeout(&mut self) -> DurationMs {
        self.attempts = self.attempts.wrapping_add(1);
        match self.attempts % ATTEMPTS_PER_LONG_TIMEOUT {
            0 => LONG_TIMEOUT,
            _ => SHORT_TIMEOUT,
        }
    }
}
