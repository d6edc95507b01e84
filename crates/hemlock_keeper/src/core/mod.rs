//! The keeper's logic: a state machine around the replicated log, without I/O.

mod answers;
mod batch;
mod calls;
mod entries;
pub mod event;
mod leader_state;
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
use calls::PendingCall;
use event::{KeeperAction, KeeperEvent, ReplyToken};
use leader_state::LeaderState;

pub use entries::CONFIG_LEASE;
pub use leader_state::ENDPOINT_LEASE;

/// Interval in milliseconds at which the leader checks leases and submissions for expiry.
const MAINTENANCE_INTERVAL_MS: u64 = 20;

/// State machine of one keeper: its replica of the log, the replicated state and, while it leads,
/// the connected entries and endpoints.
///
/// It does no I/O and reads no clock: the shell passes in [`KeeperEvent`]s and carries out the
/// [`KeeperAction`]s.
#[derive(Debug)]
pub struct KeeperCore {
    keeper_id: KeeperId,
    quorum: Quorum,
    state: KeeperState,
    /// Index of the last log entry applied to `state`.
    applied_index: LogIndex,
    leader_state: Option<LeaderState>,
    /// Commands that aren't proposed yet.
    batches: Batches,
    pending_proposals: HashMap<ProposalToken, Vec<Waiter>>,
    next_proposal: u64,
    /// Operators' calls to this keeper that aren't answered yet.
    calls: HashMap<ReplyToken, PendingCall>,
    /// Wire addresses from the settings.
    configured_addresses: BTreeMap<KeeperId, SocketAddr>,
    next_maintenance: Instant,
    /// Time at which a drain ends even if requests are pending; `None` until a drain begins.
    drain_deadline: Option<Instant>,
    /// Set once [`KeeperAction::Drained`] is sent.
    drained: bool,
    failure: Option<KeeperError>,
}

impl KeeperCore {
    /// Creates a keeper from the state recovered from its disk. `keepers` are the wire addresses
    /// from its settings.
    ///
    /// # Errors
    ///
    /// Fails when the settings contradict each other or the disk, or when the snapshot on the disk
    /// can't be decoded.
    pub fn new(
        config: QuorumConfig,
        limits: LedgerLimits,
        seed: u64,
        recovered: RecoveredState,
        keepers: BTreeMap<KeeperId, SocketAddr>,
    ) -> Result<Self, KeeperError> {
        let keeper_id = config.id;
        Ok(Self {
            keeper_id,
            quorum: Quorum::new(config, seed, recovered)?,
            state: KeeperState::new(limits),
            applied_index: LogIndex::ZERO,
            leader_state: None,
            batches: Batches::default(),
            pending_proposals: HashMap::new(),
            next_proposal: 0,
            calls: HashMap::new(),
            configured_addresses: keepers,
            next_maintenance: Instant::ZERO,
            drain_deadline: None,
            drained: false,
            failure: None,
        })
    }

    /// Returns the replicated state up to the last log entry that this keeper has applied.
    pub fn state(&self) -> &KeeperState {
        &self.state
    }

    /// Returns the status of the replicated log.
    pub fn quorum_status(&self) -> QuorumStatus {
        self.quorum.status()
    }

    /// Returns `true` if this keeper is the leader.
    pub fn is_leading(&self) -> bool {
        self.leader_state.is_some()
    }

    /// Returns `true` if the keeper is draining before it stops.
    pub fn is_draining(&self) -> bool {
        self.drain_deadline.is_some()
    }

    /// Takes the error that the keeper can't recover from, if any. The shell must then stop.
    pub fn take_failure(&mut self) -> Option<KeeperError> {
        self.failure.take()
    }

    /// Returns the wire addresses of all known keepers. Addresses that operators added take
    /// precedence over those of the settings.
    pub fn keeper_addresses(&self) -> BTreeMap<KeeperId, SocketAddr> {
        let mut known = self.configured_addresses.clone();
        let given = self.state.keepers().iter();
        known.extend(given.map(|(id, address)| (KeeperId(*id), *address)));
        known
    }

    /// Returns the time at which the next [`KeeperEvent::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        self.quorum.next_deadline().min(self.next_maintenance)
    }

    /// Handles a batch of events. Their commands share log entries.
    pub fn handle_all(
        &mut self,
        now: Instant,
        events: impl IntoIterator<Item = KeeperEvent>,
        out: &mut Vec<KeeperAction>,
    ) {
        let mut inputs = vec![Event::Tick];
        for event in events {
            self.handle_event(now, event, &mut inputs, out);
        }
        self.run_maintenance(now);
        self.propose_batches(now, &mut inputs, out);
        self.run_quorum(now, inputs, out);
        self.serve_entries(now, out);
        self.route_calls(now, out);
        self.finish_drain(now, out);
    }

    fn handle_event(
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
                self.handle_request(now, token, request, inputs, out);
            }
            KeeperEvent::Operator { token, call } => self.accept_call(now, token, call, out),
            KeeperEvent::Forwarded { token, reply } => self.finish_forward(now, token, reply, out),
            KeeperEvent::Drain => self.begin_drain(now, inputs),
        }
    }

    /// Passes inputs to the replicated log and handles its actions, until these cause no further
    /// inputs.
    fn run_quorum(&mut self, now: Instant, inputs: Vec<Event>, out: &mut Vec<KeeperAction>) {
        let mut inputs = inputs;
        while !inputs.is_empty() && self.failure.is_none() {
            let mut actions = Vec::new();
            self.quorum.handle_all(now, inputs.drain(..), &mut actions);
            let mut outputs = BTreeMap::new();
            for action in actions {
                self.handle_action(now, action, &mut outputs, out);
            }
            self.propose_batches(now, &mut inputs, out);
        }
    }
}
