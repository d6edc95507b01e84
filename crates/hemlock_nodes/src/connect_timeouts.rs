//! How long attempts to connect to one peer may take.
//!
//! Answers the load pattern of a restart of many machines at once: a machine without power doesn't
//! answer the first packet of a connection, and the system repeats that packet only after a second.
//! Short attempts reach such a machine soon after its start; a long one now and then reaches a peer
//! that is merely slow.

use hemlock_types::prelude::*;

/// Longest time of most attempts: a round trip between failure domains takes a few milliseconds,
/// and a process whose share of a core is used up goes on within a hundred.
const SHORT: DurationMs = DurationMs::new(120);
/// Longest time of the others.
const LONG: DurationMs = DurationMs::new(800);
/// One in so many attempts is a long one.
const LONG_EVERY: u32 = 4;

/// Timeouts of the attempts to connect to one peer.
#[derive(Debug, Default)]
pub struct ConnectTimeouts {
    attempts: u32,
}

impl ConnectTimeouts {
    /// The timeout of the next attempt.
    pub fn next_timeout(&mut self) -> DurationMs {
        self.attempts = self.attempts.wrapping_add(1);
        match self.attempts % LONG_EVERY {
            0 => LONG,
            _ => SHORT,
        }
    }
}
