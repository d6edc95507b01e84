//! Long polls of gateways for a newer configuration, other agents or newer evacuations.

use hemlock_types::time::{DurationMs, Instant};
use tokio::sync::oneshot;

use crate::message::Reply;

/// Time after which a long poll is answered without a change, which also shows that the leader is
/// alive.
const WATCH_TIMEOUT: DurationMs = DurationMs::new(400);

/// The long poll of one gateway.
pub(super) struct Watcher {
    /// What the gateway has.
    pub(super) held: WatchedVersions,
    /// Receives the answer.
    pub(super) answer: oneshot::Sender<Reply>,
    due: Instant,
}

/// Versions that a long poll waits to change.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchedVersions {
    /// Version of the configuration.
    pub(super) configuration: u64,
    /// Version of the set of agents.
    pub(super) agents: u64,
    /// Version of the evacuations.
    pub(super) evacuations: u64,
}

/// All pending long polls.
#[derive(Default)]
pub(super) struct Watchers {
    waiting: Vec<Watcher>,
}

impl Watchers {
    pub(super) fn add(
        &mut self,
        now: Instant,
        held: WatchedVersions,
        answer: oneshot::Sender<Reply>,
    ) {
        self.waiting.push(Watcher {
            held,
            answer,
            due: now + WATCH_TIMEOUT,
        });
    }

    /// Removes and returns the long polls with a change or an elapsed timeout.
    pub(super) fn take_due(&mut self, now: Instant, current: WatchedVersions) -> Vec<Watcher> {
        let is_due = |watcher: &mut Watcher| {
            let held = watcher.held;
            held.configuration < current.configuration
                || held.agents != current.agents
                || held.evacuations < current.evacuations
                || now >= watcher.due
        };
        self.waiting.extract_if(.., is_due).collect()
    }

    /// Removes all long polls and returns their answer channels.
    pub(super) fn drain(&mut self) -> Vec<oneshot::Sender<Reply>> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|watcher| watcher.answer).collect()
    }

    /// Returns the next timeout of a long poll.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        self.waiting.iter().map(|watcher| watcher.due).min()
    }
}
