//! Seeded simulation of network, disks and clocks around the core.
#![allow(dead_code)]

mod faults;
mod model;
mod network;
mod node;
mod rates;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub(crate) use model::Model;
pub(crate) use network::Network;
pub(crate) use node::Node;
pub(crate) use rates::Rates;

/// A scheduled event of the simulation. A number after a keeper's id is its crash count when the
/// event was scheduled; the event is dropped if the keeper has crashed since.
pub(crate) enum SimEvent {
    Tick(KeeperId, u64),
    Deliver(KeeperId, KeeperId, Message),
    SyncDone(KeeperId, u64),
    SnapshotEncoded(KeeperId, u64, LogIndex, Bytes),
    Propose,
    Crash(KeeperId),
    Restart(KeeperId),
    InjectFaults,
}

/// A simulated cluster: keepers with their disks, the network and a client.
pub(crate) struct Sim {
    pub(crate) rng: Pcg32,
    pub(crate) now_us: u64,
    pub(crate) steps: u64,
    pub(crate) queue: BTreeMap<(u64, u64), SimEvent>,
    pub(crate) nodes: BTreeMap<KeeperId, Node>,
    pub(crate) network: Network,
    pub(crate) model: Model,
    pub(crate) faults_off: bool,
    pub(crate) rates: Rates,
    pub(crate) bootstrap_keepers: Vec<KeeperId>,
    /// Whether the settings of the keepers stay the same when the member set changes.
    pub(crate) stale_settings: bool,
    /// The target number of voters, if leaders maintain it automatically.
    target_voters: Option<usize>,
    allow_bootstrap: bool,
    next_seq: u64,
    next_token: u64,
    pub(crate) next_incarnation: u64,
    pub(crate) injected_faults: BTreeSet<&'static str>,
}

impl Sim {
    /// Creates a cluster of `bootstrap_keepers` initial keepers, and `spares` that are not members.
    pub(crate) fn new(seed: u64, bootstrap_keepers: u64, spares: u64) -> Self {
        Self::with(seed, bootstrap_keepers, spares, None, true, false)
    }

    /// Creates the same cluster with fast elections.
    pub(crate) fn with_fast_elections(seed: u64, bootstrap_keepers: u64, spares: u64) -> Self {
        Self::with(seed, bootstrap_keepers, spares, None, true, true)
    }

    /// Creates the same cluster, with leaders that maintain `target` voters automatically.
    pub(crate) fn with_target_voters(
        seed: u64,
        bootstrap_keepers: u64,
        spares: u64,
        target: Option<usize>,
    ) -> Self {
        Self::with(seed, bootstrap_keepers, spares, target, true, false)
    }

    /// Creates keepers with empty disks that may not bootstrap a cluster.
    pub(crate) fn without_bootstrap(seed: u64, bootstrap_keepers: u64) -> Self {
        Self::with(seed, bootstrap_keepers, 0, None, false, false)
    }

    fn with(
        seed: u64,
        bootstrap_keepers: u64,
        spares: u64,
        target_voters: Option<usize>,
        allow_bootstrap: bool,
        fast_elections: bool,
    ) -> Self {
        let mut sim = Self {
            rng: Pcg32::seed_from_u64(seed),
            now_us: 1_000_000,
            steps: 0,
            queue: BTreeMap::new(),
            nodes: BTreeMap::new(),
            network: Network::default(),
            model: Model::default(),
            faults_off: true,
            rates: Rates::without_faults(fast_elections),
            bootstrap_keepers: (1..=bootstrap_keepers).map(KeeperId).collect(),
            stale_settings: target_voters.is_some(),
            target_voters,
            allow_bootstrap,
            next_seq: 0,
            next_token: 0,
            next_incarnation: 100,
            injected_faults: BTreeSet::new(),
        };
        for id in (1..=bootstrap_keepers + spares).map(KeeperId) {
            let incarnation = sim.draw_incarnation();
            let node = Node::new(id, incarnation, &mut sim.rng);
            sim.nodes.insert(id, node);
            sim.start(id);
        }
        sim.schedule(5_000, SimEvent::Propose);
        sim
    }

    pub(crate) fn draw_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation(self.next_incarnation)
    }

    pub(crate) fn schedule(&mut self, after_us: u64, event: SimEvent) {
        self.next_seq += 1;
        self.queue
            .insert((self.now_us + after_us, self.next_seq), event);
    }

    /// Runs for `ms` milliseconds or until `done` returns true. Returns whether it did.
    pub(crate) fn run_ms(&mut self, ms: u64, mut done: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now_us + ms * 1_000;
        while !done(self) {
            match self.queue.first_key_value() {
                Some(((at, _), _)) if *at <= end => self.step(),
                _ => return false,
            }
        }
        true
    }

    pub(crate) fn step(&mut self) {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return;
        };
        self.now_us = at;
        self.steps += 1;
        match event {
            SimEvent::Tick(id, crashes) if self.nodes[&id].crashes == crashes => {
                self.feed(id, Event::Tick);
            }
            SimEvent::Deliver(from, to, message) => {
                self.feed(to, Event::Received { from, message });
            }
            SimEvent::SyncDone(id, crashes) if self.nodes[&id].crashes == crashes => self.sync(id),
            SimEvent::SnapshotEncoded(id, crashes, index, data)
                if self.nodes[&id].crashes == crashes =>
            {
                self.feed(id, Event::SnapshotTaken { index, data });
            }
            SimEvent::Tick(..) | SimEvent::SyncDone(..) | SimEvent::SnapshotEncoded(..) => {}
            SimEvent::Propose => self.send_client_request(),
            SimEvent::Crash(id) => {
                self.crash_briefly(id);
            }
            SimEvent::Restart(id) => self.start(id),
            SimEvent::InjectFaults => self.inject_faults(),
        }
    }

    /// The keepers listed in the settings: the initial ones, or the current members if the settings
    /// are kept up to date.
    fn settings(&self) -> Vec<KeeperId> {
        let members = self.model.members();
        match members.is_empty() || self.stale_settings {
            true => self.bootstrap_keepers.clone(),
            false => members.iter().map(|(id, _)| id).collect(),
        }
    }

    /// Starts a keeper on its disk, if it is down.
    pub(crate) fn start(&mut self, id: KeeperId) {
        let seed = self.rng.random();
        let bootstrap_keepers = self.settings();
        let (target, allow_bootstrap) = (self.target_voters, self.allow_bootstrap);
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        if node.quorum.is_none() {
            node.start(seed, bootstrap_keepers, &self.rates, |config| {
                config.target_voters = target;
                config.allow_bootstrap = allow_bootstrap;
            });
            self.feed(id, Event::Tick);
        }
    }

    pub(crate) fn feed(&mut self, id: KeeperId, event: Event) {
        let now_us = self.now_us;
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        let Some(quorum) = &mut node.quorum else {
            return;
        };
        let mut out = Vec::new();
        quorum.handle(node.clock.local(now_us), event, &mut out);
        let crashes = node.crashes;
        for action in out {
            if self.nodes[&id].crashes == crashes {
                self.perform_action(id, action);
            }
        }
        self.check_leader(id);
        self.schedule_tick(id);
    }

    fn schedule_tick(&mut self, id: KeeperId) {
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        let Some(quorum) = &node.quorum else { return };
        let due = node
            .clock
            .global(quorum.next_deadline())
            .max(self.now_us + 1);
        if node.next_tick_us > self.now_us && node.next_tick_us <= due {
            return;
        }
        node.next_tick_us = due;
        let crashes = node.crashes;
        self.schedule(due - self.now_us, SimEvent::Tick(id, crashes));
    }

    fn perform_action(&mut self, id: KeeperId, action: Action) {
        match action {
            Action::Send { to, message } => self.transmit(id, to, &message),
            Action::Persist(work) => self.enqueue_write(id, work),
            Action::Restore(snapshot) => self.node(id).restore(&snapshot),
            Action::Apply(entry) => {
                self.model.check_applied(&entry);
                self.node(id).apply(&entry);
                self.check_state(id);
            }
            Action::TakeSnapshot { index } => {
                let node = self.node(id);
                assert_eq!(index, node.applied);
                let data = node.snapshot_data();
                let crashes = node.crashes;
                let after_us = self.rng.random_range(1..50_000);
                self.schedule(
                    after_us,
                    SimEvent::SnapshotEncoded(id, crashes, index, data),
                );
            }
            Action::ProposalDone { token, result } => self.model.record_answer(token, result),
            Action::ReadDone { token, result } => self.model.check_read(token, result),
            Action::BecameLeader { term } => {
                self.model.leaders_served += 1;
                assert_eq!(self.status(id).map(|status| status.term), Some(term));
            }
            Action::LostLeadership { .. } => {}
        }
    }

    fn check_state(&mut self, id: KeeperId) {
        let node = &self.nodes[&id];
        assert_eq!(
            node.state_hash,
            self.model.state_hash_at(node.applied),
            "the state differs from the model"
        );
    }

    fn node(&mut self, id: KeeperId) -> &mut Node {
        self.nodes.get_mut(&id).expect("a known keeper")
    }

    pub(crate) fn status(&self, id: KeeperId) -> Option<QuorumStatus> {
        self.nodes[&id].quorum.as_ref().map(Quorum::status)
    }

    /// Checks that each term has one leader, and that no two leaders hold a lease.
    fn check_leader(&mut self, id: KeeperId) {
        let Some(status) = self.status(id) else {
            return;
        };
        if status.role != QuorumRole::Leader {
            return;
        }
        self.model.check_leader(status.term, id);
        let holders = self.lease_holders();
        assert!(
            holders.len() <= 1,
            "several leaders hold a lease: {holders:?}"
        );
    }

    /// The leaders that hold a lease according to their own clocks.
    pub(crate) fn lease_holders(&self) -> Vec<KeeperId> {
        let holds_lease = |node: &&Node| {
            let now = node.clock.local(self.now_us);
            let quorum = node.quorum.as_ref();
            quorum.is_some_and(|quorum| quorum.lease_until().is_some_and(|until| now < until))
        };
        let holders = self.nodes.values().filter(holds_lease);
        holders.map(|node| node.id).collect()
    }

    /// The serving leader with the highest term.
    pub(crate) fn leader(&self) -> Option<KeeperId> {
        let serving = |id: &KeeperId| self.status(*id).filter(|status| status.serving);
        let ids = self.nodes.keys().copied();
        let leaders = ids.filter_map(|id| Some((serving(&id)?.term, id)));
        leaders.max().map(|(_, id)| id)
    }

    /// Describes the state of all keepers, for the message of a failed test.
    pub(crate) fn describe(&self) -> String {
        let line = |node: &Node| {
            let status = node.quorum.as_ref().map(Quorum::status);
            format!(
                "{} {} {:?} {status:?}\n",
                node.id, node.incarnation, node.applied
            )
        };
        self.nodes.values().map(line).collect()
    }

    pub(crate) fn next_token(&mut self) -> ProposalToken {
        self.next_token += 1;
        ProposalToken(self.next_token)
    }

    /// Sends a command or a read request to a keeper, usually the leader.
    fn send_client_request(&mut self) {
        let pause_us = self.rng.random_range(500..self.rates.request_interval_us);
        self.schedule(pause_us, SimEvent::Propose);
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        let any = ids[self.rng.random_range(0..ids.len())];
        let to = match self.rng.random_bool(0.8) {
            true => self.leader().unwrap_or(any),
            false => any,
        };
        match self.rng.random_bool(0.3) {
            true => self.confirm_read(to),
            false => {
                self.propose(to);
            }
        }
    }

    pub(crate) fn propose(&mut self, to: KeeperId) -> ProposalToken {
        let token = self.next_token();
        let command = Bytes::from(token.0.to_le_bytes().to_vec());
        self.model.record_proposal(token, command.clone());
        self.feed(to, Event::Propose { token, command });
        token
    }

    fn confirm_read(&mut self, to: KeeperId) {
        let token = self.next_token();
        self.model.record_read(token);
        self.feed(to, Event::ConfirmRead { token });
    }
}
