//! Detection of interruptions, in which a gateway may have missed that a caller left.
//!
//! A gateway starts the tasks of a best-effort job because its caller waits. While the gateway is
//! stalled or cut off, it doesn't learn that the caller has left, and it may learn so late after
//! the interruption: TCP repeats the close of a connection at growing intervals. The caller may
//! have submitted the job through another gateway by then.

use derive_more::Display;
use hemlock_types::time::{DurationMs, Instant};

/// Shortest time without activity that counts as a stall. The gateway is active every 100 ms, and
/// a stall of less delays a close by less than callers wait before they submit again.
const MIN_STALL: DurationMs = DurationMs::new(300);
/// Shortest time without a message from any runner or caller that counts as an interruption. An
/// idle gateway hears from each of its runners every 250 ms.
const MIN_SILENCE: DurationMs = DurationMs::new(600);
/// First interval after which TCP repeats a segment that wasn't acknowledged. Each further interval
/// is twice as long, so a segment arrives at the latest this long after a time as long as the
/// interruption itself.
const FIRST_RETRANSMISSION: DurationMs = DurationMs::new(200);
/// Longest interval between two transmissions of a segment.
const MAX_RETRANSMISSION: DurationMs = DurationMs::new(120_000);
/// Time in which connections that were established during a stall are accepted after it.
const ACCEPT_BACKLOG: DurationMs = DurationMs::new(100);

/// What interrupted the gateway.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum InterruptionCause {
    /// The process or its machine stood still.
    #[display("stalled")]
    Stalled,
    /// Neither runners nor callers could reach the gateway.
    #[display("cut-off")]
    CutOff,
}

/// A time in which the gateway may have missed that a caller left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interruption {
    pub(super) cause: InterruptionCause,
    /// The last time before it at which the gateway was active or in contact.
    pub(super) since: Instant,
    /// When it was noticed.
    pub(super) until: Instant,
}

impl Interruption {
    fn length(&self) -> DurationMs {
        self.until.since(self.since)
    }

    /// When everything that was sent to the gateway during the interruption has arrived.
    fn caught_up_at(&self) -> Instant {
        self.until + self.length().min(MAX_RETRANSMISSION) + FIRST_RETRANSMISSION
    }
}

/// Notices interruptions from the times at which the gateway was active and in contact.
#[derive(Debug)]
pub(super) struct InterruptionMonitor {
    active_at: Instant,
    /// The last contact with a runner or a caller; `None` before the first one with a runner.
    contact_at: Option<Instant>,
    /// The latest interruption, together with those before it that it overlaps.
    latest: Option<Interruption>,
}

impl InterruptionMonitor {
    /// Creates a monitor for a gateway that starts now.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            active_at: now,
            contact_at: None,
            latest: None,
        }
    }

    /// Records that the gateway is active. Returns the stall that has ended, if there was one.
    pub(super) fn note_active(&mut self, now: Instant) -> Option<Interruption> {
        let since = self.active_at;
        self.active_at = since.max(now);
        if now < since + MIN_STALL {
            return None;
        }
        // A stalled process hears from nobody.
        self.contact_at = self.contact_at.map(|_| now);
        Some(self.note_interruption(Interruption {
            cause: InterruptionCause::Stalled,
            since,
            until: now,
        }))
    }

    /// Records a message from a runner. Returns the interruption that it ends, if there was one.
    pub(super) fn note_runner_contact(&mut self, now: Instant) -> Option<Interruption> {
        let silence = self.note_contact(now);
        self.contact_at = self.contact_at.max(Some(now));
        silence
    }

    /// Records a message from a caller. Returns the interruption that it ends, if there was one.
    pub(super) fn note_caller_contact(&mut self, now: Instant) -> Option<Interruption> {
        let silence = self.note_contact(now);
        self.contact_at = self.contact_at.map(|contact_at| contact_at.max(now));
        silence
    }

    fn note_contact(&mut self, now: Instant) -> Option<Interruption> {
        let since = self.contact_at.filter(|at| now >= *at + MIN_SILENCE)?;
        Some(self.note_interruption(Interruption {
            cause: InterruptionCause::CutOff,
            since,
            until: now,
        }))
    }

    fn note_interruption(&mut self, interruption: Interruption) -> Interruption {
        // What was sent during the one before may not have arrived between the two.
        let earlier = self.latest;
        let earlier = earlier.filter(|earlier| interruption.since <= earlier.caught_up_at());
        let is_stall = |one: &Interruption| one.cause == InterruptionCause::Stalled;
        self.latest = Some(Interruption {
            cause: match earlier.filter(is_stall) {
                Some(earlier) => earlier.cause,
                None => interruption.cause,
            },
            since: earlier.map_or(interruption.since, |earlier| earlier.since),
            until: interruption.until,
        });
        interruption
    }

    /// Whether a request that was sent after `sent_after` may have been sent during an interruption,
    /// so that the close of its connection may still be on its way.
    pub(super) fn may_be_outdated(&self, now: Instant, sent_after: Instant) -> bool {
        self.latest.is_some_and(|latest| {
            let established_before = match latest.cause {
                // The operating system may establish connections for a process that is stopped.
                InterruptionCause::Stalled => latest.until + ACCEPT_BACKLOG,
                // Nobody tells when the cut has begun, so the connection may be older than it.
                InterruptionCause::CutOff => latest.until,
            };
            sent_after <= established_before && now <= latest.caught_up_at()
        })
    }
}
