//! The keeper's decisions, as a pure state machine around the replicated log.

mod answers;
mod batch;
mod calls;
mod entries;
pub mod event;
mod leading;
mod operator;
mod proposals;
mod requests;
mod serving;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use hemlock_ledger::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;

use crate::error::KeeperError;
use crate::state::KeeperState;
use batch::{Batches, Waiter};
use calls::EdgeCall;
use event::{KeeperAction, KeeperEvent, ReplyToken};
use leading::Leading;

pub use entries::CONFIG_LEASE;
pub use leading::ENDPOINT_LEASE;

/// Longest time between two looks at the leader's records, in milliseconds.
const UPKEEP_MS: u64 = 20;

/// One keeper: its part of the replicated log, the replicated state, and while it leads the
/// records of entries and endpoints.
///
/// It does no I/O and reads no clock: the shell feeds [`KeeperEvent`]s and does the
/// [`KeeperAction`]s.
#[derive(Debug)]
pub struct KeeperCore {
    me: KeeperId,
    quorum: Quorum,
    state: KeeperState,
    applied: LogIndex,
    leading: Option<Leading>,
    batches: Batches,
    proposed: HashMap<ProposalToken, Vec<Waiter>>,
    next_proposal: u64,
    calls: HashMap<ReplyToken, EdgeCall>,
    configured: BTreeMap<KeeperId, SocketAddr>,
    upkeep_due: Instant,
    drain: Option<Instant>,
    drained: bool,
    failure: Option<KeeperError>,
}

impl KeeperCore {
    /// A keeper that goes on from what its disk holds. `keepers` are the addresses of its
    /// settings.
    ///
    /// # Errors
    ///
    /// Fails when the settings contradict each other or the disk, or when the disk's snapshot
    /// can't be read.
    pub fn new(
        config: QuorumConfig,
        limits: LedgerLimits,
        seed: u64,
        recovered: RecoveredState,
        keepers: BTreeMap<KeeperId, SocketAddr>,
    ) -> Result<Self, KeeperError> {
        let me = config.id;
        Ok(Self {
            me,
            quorum: Quorum::new(config, seed, recovered)?,
            state: KeeperState::new(limits),
            applied: LogIndex::ZERO,
            leading: None,
            batches: Batches::default(),
            proposed: HashMap::new(),
            next_proposal: 0,
            calls: HashMap::new(),
            configured: keepers,
            upkeep_due: Instant::ZERO,
            drain: None,
            drained: false,
            failure: None,
        })
    }

    /// The replicated state as this keeper has applied it.
    pub fn state(&self) -> &KeeperState {
        &self.state
    }

    /// The replicated log's state.
    pub fn quorum_status(&self) -> QuorumStatus {
        self.quorum.status()
    }

    /// Whether this keeper leads and serves.
    pub fn is_leading(&self) -> bool {
        self.leading.is_some()
    }

    /// Whether the keeper is stopping.
    pub fn is_draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Why the keeper can't go on, once; the shell must then stop.
    pub fn take_failure(&mut self) -> Option<KeeperError> {
        self.failure.take()
    }

    /// The wire addresses of all keepers that this one knows.
    pub fn keeper_addresses(&self) -> BTreeMap<KeeperId, SocketAddr> {
        let mut known = self.configured.clone();
        let given = self.state.keepers().iter();
        known.extend(given.map(|(id, address)| (KeeperId(*id), *address)));
        known
    }

    /// When the next [`KeeperEvent::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        self.quorum.next_deadline().min(self.upkeep_due)
    }

    /// Handles events that came together; their commands share entries of the log.
    pub fn handle_all(
        &mut self,
        now: Instant,
        events: impl IntoIterator<Item = KeeperEvent>,
        out: &mut Vec<KeeperAction>,
    ) {
        let mut inputs = vec![Event::Tick];
        for event in events {
            self.take_event(now, event, &mut inputs, out);
        }
        self.keep_up(now);
        self.propose_batches(now, &mut inputs, out);
        self.run_quorum(now, inputs, out);
        self.serve_entries(now, out);
        self.route_calls(now, out);
        self.finish_drain(now, out);
    }

    fn take_event(
        &mut self,
        now: Instant,
        event: KeeperEvent,
        inputs: &mut Vec<Event>,
        out: &mut Vec<KeeperAction>,
    ) {
        match event {
            KeeperEvent::Tick => {}
            KeeperEvent::Synced { up_to } => inputs.push(Event::Synced { up_to }),
            KeeperEvent::SnapshotEncoded { index, data } => {
                inputs.push(Event::SnapshotTaken { index, data });
            }
            KeeperEvent::Received { from, message } => {
                inputs.push(Event::Received { from, message });
            }
            KeeperEvent::Request { token, request } => {
                self.take_request(now, token, request, inputs, out);
            }
            KeeperEvent::Operator { token, call } => self.take_call(now, token, call, out),
            KeeperEvent::Forwarded { token, reply } => self.take_forwarded(now, token, reply, out),
            KeeperEvent::Drain => self.begin_drain(now, inputs),
        }
    }

    /// Feeds the log and does what it says, until it says nothing more at once.
    fn run_quorum(&mut self, now: Instant, inputs: Vec<Event>, out: &mut Vec<KeeperAction>) {
        let mut inputs = inputs;
        while !inputs.is_empty() && self.failure.is_none() {
            let mut actions = Vec::new();
            self.quorum.handle_all(now, inputs.drain(..), &mut actions);
            let mut outputs = BTreeMap::new();
            for action in actions {
                self.do_action(now, action, &mut outputs, out);
            }
            self.propose_batches(now, &mut inputs, out);
        }
    }
}
