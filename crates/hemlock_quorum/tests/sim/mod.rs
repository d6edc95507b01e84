//! A seeded fake of the network, the disks and the clocks around the pure core.
#![allow(dead_code)]

mod model;
mod nemesis;
mod network;
mod node;
mod tempo;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

pub(crate) use model::Model;
pub(crate) use network::Network;
pub(crate) use node::Node;
pub(crate) use tempo::Tempo;

/// What happens in the simulated world.
pub(crate) enum Happening {
    Tick(KeeperId, u64),
    Deliver(KeeperId, KeeperId, Message),
    DiskDone(KeeperId, u64),
    SnapshotEncoded(KeeperId, u64, LogIndex, Bytes),
    Propose,
    Crash(KeeperId),
    Restart(KeeperId),
    Mischief,
}

/// Keepers with their disks, a network and a client.
pub(crate) struct Sim {
    pub(crate) rng: Pcg32,
    pub(crate) now_us: u64,
    pub(crate) steps: u64,
    pub(crate) queue: BTreeMap<(u64, u64), Happening>,
    pub(crate) nodes: BTreeMap<KeeperId, Node>,
    pub(crate) network: Network,
    pub(crate) model: Model,
    pub(crate) calm: bool,
    pub(crate) tempo: Tempo,
    pub(crate) founders: Vec<KeeperId>,
    /// Whether nobody changes the settings when the set changes.
    pub(crate) stale_settings: bool,
    /// The number of voters that leaders keep the set at by themselves, if they do.
    target_voters: Option<usize>,
    may_found: bool,
    next_seq: u64,
    next_token: u64,
    pub(crate) next_incarnation: u64,
    pub(crate) plans: BTreeSet<&'static str>,
}

impl Sim {
    /// A cluster of `founders` keepers and `spares` that nobody has added yet.
    pub(crate) fn new(seed: u64, founders: u64, spares: u64) -> Self {
        Self::with(seed, founders, spares, None, true, false)
    }

    /// The same, with prompt elections.
    pub(crate) fn with_prompt_elections(seed: u64, founders: u64, spares: u64) -> Self {
        Self::with(seed, founders, spares, None, true, true)
    }

    /// The same, whose leaders keep the set at `target` voters by themselves.
    pub(crate) fn with_target(
        seed: u64,
        founders: u64,
        spares: u64,
        target: Option<usize>,
    ) -> Self {
        Self::with(seed, founders, spares, target, true, false)
    }

    /// Keepers on empty disks that may not found a cluster.
    pub(crate) fn without_founding(seed: u64, founders: u64) -> Self {
        Self::with(seed, founders, 0, None, false, false)
    }

    fn with(
        seed: u64,
        founders: u64,
        spares: u64,
        target_voters: Option<usize>,
        may_found: bool,
        prompt: bool,
    ) -> Self {
        let mut sim = Self {
            rng: Pcg32::seed_from_u64(seed),
            now_us: 1_000_000,
            steps: 0,
            queue: BTreeMap::new(),
            nodes: BTreeMap::new(),
            network: Network::default(),
            model: Model::default(),
            calm: true,
            tempo: Tempo::calm(prompt),
            founders: (1..=founders).map(KeeperId).collect(),
            stale_settings: target_voters.is_some(),
            target_voters,
            may_found,
            next_seq: 0,
            next_token: 0,
            next_incarnation: 100,
            plans: BTreeSet::new(),
        };
        for id in (1..=founders + spares).map(KeeperId) {
            let incarnation = sim.draw_incarnation();
            let node = Node::new(id, incarnation, &mut sim.rng);
            sim.nodes.insert(id, node);
            sim.start(id);
        }
        sim.schedule(5_000, Happening::Propose);
        sim
    }

    pub(crate) fn draw_incarnation(&mut self) -> Incarnation {
        self.next_incarnation += 1;
        Incarnation(self.next_incarnation)
    }

    pub(crate) fn schedule(&mut self, after_us: u64, happening: Happening) {
        self.next_seq += 1;
        self.queue
            .insert((self.now_us + after_us, self.next_seq), happening);
    }

    /// Runs until the time, or until `done` says so.
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
        let Some(((at, _), happening)) = self.queue.pop_first() else {
            return;
        };
        self.now_us = at;
        self.steps += 1;
        match happening {
            Happening::Tick(id, life) if self.nodes[&id].life == life => {
                self.feed(id, Event::Tick);
            }
            Happening::Deliver(from, to, message) => {
                self.feed(to, Event::Received { from, message });
            }
            Happening::DiskDone(id, life) if self.nodes[&id].life == life => self.sync(id),
            Happening::SnapshotEncoded(id, life, index, data) if self.nodes[&id].life == life => {
                self.feed(id, Event::SnapshotTaken { index, data });
            }
            Happening::Tick(..) | Happening::DiskDone(..) | Happening::SnapshotEncoded(..) => {}
            Happening::Propose => self.propose_something(),
            Happening::Crash(id) => {
                self.crash_briefly(id);
            }
            Happening::Restart(id) => self.start(id),
            Happening::Mischief => self.do_mischief(),
        }
    }

    /// The keepers that the settings name: the founders, or the present ones where an operator keeps
    /// the settings up to date.
    fn settings(&self) -> Vec<KeeperId> {
        let members = self.model.members();
        match members.is_empty() || self.stale_settings {
            true => self.founders.clone(),
            false => members.iter().map(|(id, _)| id).collect(),
        }
    }

    /// Starts a keeper on its disk, if it is down.
    pub(crate) fn start(&mut self, id: KeeperId) {
        let seed = self.rng.random();
        let founders = self.settings();
        let (target, may_found) = (self.target_voters, self.may_found);
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        if node.quorum.is_none() {
            node.boot(seed, founders, &self.tempo, |config| {
                config.target_voters = target;
                config.may_found = may_found;
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
        let life = node.life;
        for action in out {
            if self.nodes[&id].life == life {
                self.act(id, action);
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
        let life = node.life;
        self.schedule(due - self.now_us, Happening::Tick(id, life));
    }

    fn act(&mut self, id: KeeperId, action: Action) {
        match action {
            Action::Send { to, message } => self.transmit(id, to, &message),
            Action::Persist(work) => self.write_or_crash(id, work),
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
                let life = node.life;
                let after_us = self.rng.random_range(1..50_000);
                self.schedule(after_us, Happening::SnapshotEncoded(id, life, index, data));
            }
            Action::ProposalDone { token, result } => self.model.answered(token, result),
            Action::ReadDone { token, result } => self.model.read_done(token, result),
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
            node.chain,
            self.model.chain_at(node.applied),
            "the state equals the single copy's"
        );
    }

    fn node(&mut self, id: KeeperId) -> &mut Node {
        self.nodes.get_mut(&id).expect("a known keeper")
    }

    pub(crate) fn status(&self, id: KeeperId) -> Option<QuorumStatus> {
        self.nodes[&id].quorum.as_ref().map(Quorum::status)
    }

    /// One leader a term, and no two leaders under a valid lease.
    fn check_leader(&mut self, id: KeeperId) {
        let Some(status) = self.status(id) else {
            return;
        };
        if status.role != QuorumRole::Leader {
            return;
        }
        self.model.check_leader(status.term, id);
        let holders = self.lease_holders();
        assert!(holders.len() <= 1, "two leases at once: {holders:?}");
    }

    /// The leaders whose lease holds now by their own clocks.
    pub(crate) fn lease_holders(&self) -> Vec<KeeperId> {
        let holds = |node: &&Node| {
            let now = node.clock.local(self.now_us);
            let quorum = node.quorum.as_ref();
            quorum.is_some_and(|quorum| quorum.lease_until().is_some_and(|until| now < until))
        };
        let holders = self.nodes.values().filter(holds);
        holders.map(|node| node.id).collect()
    }

    /// The serving leader with the highest term.
    pub(crate) fn leader(&self) -> Option<KeeperId> {
        let serving = |id: &KeeperId| self.status(*id).filter(|status| status.serving);
        let ids = self.nodes.keys().copied();
        let leaders = ids.filter_map(|id| Some((serving(&id)?.term, id)));
        leaders.max().map(|(_, id)| id)
    }

    /// The keepers' state, for a failure's message.
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

    /// A command or a question to a keeper, mostly the leader.
    fn propose_something(&mut self) {
        let pause_us = self.rng.random_range(500..self.tempo.client_us);
        self.schedule(pause_us, Happening::Propose);
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        let any = ids[self.rng.random_range(0..ids.len())];
        let to = match self.rng.random_bool(0.8) {
            true => self.leader().unwrap_or(any),
            false => any,
        };
        match self.rng.random_bool(0.3) {
            true => self.ask(to),
            false => {
                self.propose(to);
            }
        }
    }

    pub(crate) fn propose(&mut self, to: KeeperId) -> ProposalToken {
        let token = self.next_token();
        let command = Bytes::from(token.0.to_le_bytes().to_vec());
        self.model.proposed(token, command.clone());
        self.feed(to, Event::Propose { token, command });
        token
    }

    fn ask(&mut self, to: KeeperId) {
        let token = self.next_token();
        self.model.asked(token);
        self.feed(to, Event::ConfirmRead { token });
    }
}
