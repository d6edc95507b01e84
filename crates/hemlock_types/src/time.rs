//! Clocks, durations and points in time. Points count from an origin local to the process.

use std::ops::{Add, AddAssign};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;
/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;

/// A duration in whole milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct DurationMs(u64);

impl DurationMs {
    /// Creates a duration of `ms` milliseconds.
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// The duration in milliseconds.
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Converts to the standard library's type.
    pub const fn as_std(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

/// A point in time on a process's monotonic clock, in microseconds since the clock's origin.
///
/// It has no meaning in another process and is never sent to one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant {
    micros: u64,
}

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self { micros: 0 };

    /// Creates a point `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Creates a point `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self {
            micros: ms * MICROS_PER_MS,
        }
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Time from `earlier` to this point, rounded down to milliseconds; zero if `earlier` is
    /// later.
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.micros.saturating_sub(earlier.micros) / MICROS_PER_MS)
    }

    /// The point `duration` earlier, but not before the origin.
    pub fn before(self, duration: DurationMs) -> Self {
        Self {
            micros: self
                .micros
                .saturating_sub(duration.0.saturating_mul(MICROS_PER_MS)),
        }
    }

    /// Microseconds from `earlier` to this point; zero if `earlier` is later.
    pub fn micros_since(self, earlier: Self) -> u64 {
        self.micros.saturating_sub(earlier.micros)
    }
}

impl Add<DurationMs> for Instant {
    type Output = Self;

    fn add(self, duration: DurationMs) -> Self {
        Self {
            micros: self
                .micros
                .saturating_add(duration.0.saturating_mul(MICROS_PER_MS)),
        }
    }
}

impl AddAssign<DurationMs> for Instant {
    fn add_assign(&mut self, duration: DurationMs) {
        *self = *self + duration;
    }
}

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// The current point on the monotonic clock.
    fn now(&self) -> Instant;
}

/// A clock that counts from its creation, based on the operating system's time since boot.
///
/// Unlike [`std::time::Instant`] it includes the time for which the machine was suspended, so that
/// a lease that expired during the suspension is seen as expired.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin_us: u64,
}

impl SystemClock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin_us: since_boot_us(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::from_micros(since_boot_us().saturating_sub(self.origin_us))
    }
}

/// Microseconds since boot, including the time for which the machine was suspended.
fn since_boot_us() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * MICROS_PER_MS * MICROS_PER_MS + nanos / NANOS_PER_MICRO
}

/// A clock for tests that moves only when a test advances it. Clones share the same time.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    micros: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock set to its origin.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the clock forward by `duration`.
    pub fn advance(&self, duration: DurationMs) {
        self.micros
            .fetch_add(duration.0 * MICROS_PER_MS, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        Instant::from_micros(self.micros.load(Ordering::SeqCst))
    }
}
