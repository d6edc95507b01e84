//! The pure core of the replicated log.

use hemlock_types::time::Instant;

use crate::action::Action;
use crate::config::QuorumConfig;
use crate::disk_work::RecoveredState;
use crate::error::QuorumError;
use crate::event::Event;
use crate::status::QuorumStatus;

/// One keeper's part of the replicated log.
///
/// It does no I/O and reads no clock: the shell feeds [`Event`]s and does the [`Action`]s.
#[derive(Debug)]
pub struct Quorum {
    config: QuorumConfig,
}

impl Quorum {
    /// A core that goes on from what the disk holds. `seed` spreads its election timeouts.
    ///
    /// # Errors
    ///
    /// Fails when the settings contradict each other or the disk.
    pub fn new(
        config: QuorumConfig,
        seed: u64,
        recovered: RecoveredState,
    ) -> Result<Self, QuorumError> {
        config.check()?;
        let _ = (seed, recovered);
        Ok(Self { config })
    }

    /// Handles one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.handle_all(now, [event], out);
    }

    /// Handles events that came together: their entries share one disk write and one message to
    /// each follower.
    pub fn handle_all(
        &mut self,
        now: Instant,
        events: impl IntoIterator<Item = Event>,
        out: &mut Vec<Action>,
    ) {
        let _ = (now, events.into_iter().count(), out, &self.config);
    }

    /// The core's state.
    pub fn status(&self) -> QuorumStatus {
        unimplemented!("the core is under way")
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        Instant::ZERO
    }
}
