//! Delays after which rejected callers may come back.
//!
//! Load pattern: a burst in which many callers are rejected within a second. With equal delays they
//! come back all at once and are rejected again. The delays are spread evenly over the time in
//! which the service can admit the callers of one second, which grows as fewer are admitted.

/// Fractional part of the golden ratio. Its multiples modulo 1 are evenly spread at any length.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;
/// Largest multiple of the shortest delay. Bursts last for seconds, and a caller that comes back
/// much later than there is room for it loses time for nothing.
const MAX_MULTIPLE: f64 = 5.0;

/// The spread of the delays of one queue's callers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetrySpread {
    /// Position of the last delay in the time over which delays are spread, from 0 to 1.
    position: f64,
}

impl RetrySpread {
    /// The delay for the next rejected caller, in milliseconds: at least `least_ms`, and at most as
    /// much longer as callers outnumber the admitted ones.
    pub(crate) fn next_ms(&mut self, least_ms: u64, admitted_share: f64) -> u64 {
        self.position = (self.position + GOLDEN_FRACTION).fract();
        let most = (1.0 / admitted_share.max(1.0 / MAX_MULTIPLE)).min(MAX_MULTIPLE);
        (least_ms as f64 * (1.0 + self.position * (most - 1.0))) as u64
    }
}
