//! Gateways that wait for a newer configuration or other agents.

use hemlock_types::time::{DurationMs, Instant};
use tokio::sync::oneshot;

use crate::message::Reply;

/// How long a gateway waits when nothing is new. The answer also shows that the leader is there.
const WATCH_PERIOD: DurationMs = DurationMs::new(400);

/// One gateway.
pub(super) struct Watcher {
    /// The version of the configuration that it holds.
    pub(super) configuration: u64,
    /// The version of the set of agents that it holds.
    pub(super) agents: u64,
    /// Where its answer goes.
    pub(super) answer: oneshot::Sender<Reply>,
    due: Instant,
}

/// All gateways that wait.
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
            due: now + WATCH_PERIOD,
        });
    }

    /// Takes those for which something is new, or whose time has come.
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

    /// Takes all of them.
    pub(super) fn take_all(&mut self) -> Vec<oneshot::Sender<Reply>> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_iter().map(|watcher| watcher.answer).collect()
    }

    /// When the next answer is due though nothing is new.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.waiting.iter().map(|watcher| watcher.due).min()
    }
}
