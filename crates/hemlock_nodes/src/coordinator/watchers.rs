//! Long polls of gateways for a newer configuration or other agents.

use hemlock_types::time::{DurationMs, Instant};
use tokio::sync::oneshot;

use crate::message::Reply;

/// Time after which a long poll is answered without a change, which also shows that the leader is
/// alive.
const WATCH_TIMEOUT: DurationMs = DurationMs::new(400);

/// The long poll of one gateway.
pub(super) struct Watcher {
    /// Version of the gateway's configuration.
    pub(super) configuration: u64,
    /// Version of the gateway's set of agents.
    pub(super) agents: u64,
    /// Receives the answer.
    pub(super) answer: oneshot::Sender<Reply>,
    due: Instant,
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
        configuration: u64,
        agents: u64,
        answer: oneshot::Sender<Reply>,
    ) {
        self.waiting.push(Watcher {
            configuration,
            agents,
            answer,
            due: now + WATCH_TIMEOUT,
        });
    }

    /// Removes and returns the long polls with a change or an elapsed timeout.
    pub(super) fn take_due(
        &mut self,
        now: Instant,
        configuration: u64,
        agents: u64,
    ) -> Vec<Watcher> {
        let is_due = |watcher: &mut Watcher| {
            watcher.configuration < configuration || watcher.agents != agents || now >= watcher.due
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
