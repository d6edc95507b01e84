//! Routers with naive agents and a naive ledger at their interface. Messages are delivered in
//! any order, doubled, crossed, or lost with their connection; entries die.

mod book;
mod gate;
mod ledger;

use std::collections::{BTreeMap, BTreeSet};

use hemlock_contract::prelude::*;
use hemlock_directory::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use book::Book;
use gate::{FakeGate, ReturnAddress};
use ledger::FakeLedger;

/// Most tasks that the contract may have running at once, over all entries.
const MAX_RUNNING: u32 = 24;
/// Longest time that a start runs, in milliseconds.
const SERVICE_MAX_MS: u64 = 400;
/// Longest deadline of a call, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_000;

/// One message or event on its way.
#[derive(Clone, Debug)]
enum Parcel {
    ToEntry(Incarnation, Option<Incarnation>, Event),
    ToAgent(Incarnation, Incarnation, Action),
}

struct FakeEntry {
    router: Router,
    share: u32,
    outstanding: BTreeSet<(Incarnation, RequestId)>,
    linked: BTreeSet<Incarnation>,
    fences: Vec<(Incarnation, SubmissionId, Epoch)>,
    asked_syncs: u64,
}

/// The world.
pub(crate) struct World {
    rng: Pcg64,
    now: Instant,
    policy: String,
    entries: BTreeMap<Incarnation, FakeEntry>,
    gates: BTreeMap<Incarnation, FakeGate>,
    ledger: FakeLedger,
    parcels: Vec<Parcel>,
    book: Book,
    next_entry: u64,
    freed_shares: Vec<(Instant, u32)>,
}

impl World {
    pub(crate) fn new(seed: u64, policy: &str, entries: u32, agents: u64) -> Self {
        let mut world = Self {
            rng: Pcg64::seed_from_u64(seed),
            now: Instant::from_ms(1),
            policy: policy.to_owned(),
            entries: BTreeMap::new(),
            gates: BTreeMap::new(),
            ledger: FakeLedger::default(),
            parcels: Vec::new(),
            book: Book::default(),
            next_entry: 1_000,
            freed_shares: Vec::new(),
        };
        for agent in 1..=agents {
            let agent = Incarnation(agent);
            world.gates.insert(agent, FakeGate::new(agent, 4));
        }
        for _ in 0..entries {
            world.add_entry(MAX_RUNNING / entries);
        }
        world
    }

    fn add_entry(&mut self, share: u32) {
        self.next_entry += 1;
        let id = Incarnation(self.next_entry);
        let settings = RouterSettings::new(id, "harju-1".into(), id.0);
        let placement = placement_named(&self.policy).expect("a known policy");
        let entry = FakeEntry {
            router: Router::new(settings, placement),
            share,
            outstanding: BTreeSet::new(),
            linked: BTreeSet::new(),
            fences: Vec::new(),
            asked_syncs: 0,
        };
        self.entries.insert(id, entry);
        self.sync(id);
    }

    /// A keeper's news for one entry.
    fn sync(&mut self, id: Incarnation) {
        let gates = &self.gates;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.asked_syncs += 1;
        let announcement = |gate: &FakeGate| Announcement {
            agent: gate.agent,
            service: "portaal".into(),
            slots: gate.slots as u16,
            connections: 64,
            address: ([127, 0, 0, 1], 1).into(),
            domain: format!("domain-{}", gate.agent.0 % 2).as_str().into(),
            rack: format!("rack-{}", gate.agent.0 % 3).as_str().into(),
            cores: 64,
            memory_mb: 1_000,
            state: EndpointState::Serving,
        };
        let news = SyncNews {
            sent: self.now,
            lease_ms: 8_000,
            config: ConfigUpdate::Snapshot {
                version: ConfigVersion(1),
                contracts: vec![contract()],
                stops: Vec::new(),
            },
            directory: DirectoryUpdate::Snapshot {
                generation: 1,
                version: 1,
                endpoints: gates.values().map(announcement).collect(),
            },
            shares: vec![Share {
                customer: "loovutusliit".into(),
                count: entry.share,
                valid_ms: 8_000,
            }],
            shares_seq: entry.asked_syncs,
            cancelled: Vec::new(),
        };
        self.tell(id, Event::Synced(Box::new(news)));
    }

    /// Hands an event to a router and takes its actions.
    fn tell(&mut self, id: Incarnation, event: Event) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let mut actions = Actions::new();
        entry.router.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(id, action);
        }
    }

    fn perform(&mut self, id: Incarnation, action: Action) {
        match action {
            Action::Answer { call, result, .. } => self.book.answered(call, &result, &self.gates),
            Action::Claim { attempt, claim } => {
                let alive: BTreeSet<_> = self.entries.keys().copied().collect();
                let reply = self.ledger.claim(&claim, |entry| alive.contains(&entry));
                let lost = self.rng.random_range(0..20) == 0;
                let event = Event::ClaimAnswered {
                    submission: claim.submission,
                    attempt,
                    reply: (!lost).then_some(reply),
                };
                self.parcels.push(Parcel::ToEntry(id, None, event));
            }
            Action::End(end) => self.ledger.end(end),
            Action::Lookup { call, submission } => {
                self.book.looked_up(call, &self.gates);
                let reply = Some(self.ledger.lookup(submission));
                let event = Event::LookupAnswered { call, reply };
                self.parcels.push(Parcel::ToEntry(id, None, event));
            }
            Action::RecordCancel { call, submission } => {
                let reply = Some(self.ledger.cancel(submission));
                let event = Event::CancelRecorded { call, reply };
                self.parcels.push(Parcel::ToEntry(id, None, event));
            }
            Action::Connect { agent, .. } => {
                let event = Event::LinkUp(agent);
                self.parcels.push(Parcel::ToEntry(id, None, event));
            }
            Action::Start { agent, .. }
            | Action::Want { agent, .. }
            | Action::Fence { agent, .. }
            | Action::Cancel { agent, .. } => self.send(id, agent, action),
            Action::Disconnect(_)
            | Action::Return { .. }
            | Action::SyncSoon
            | Action::Observe(_) => {}
        }
    }

    fn send(&mut self, id: Incarnation, agent: Incarnation, action: Action) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let linked = entry.linked.contains(&agent);
        match &action {
            Action::Start { spec, .. } => {
                self.book.sent(spec);
                entry.outstanding.insert((agent, spec.request));
                if !linked {
                    entry.outstanding.remove(&(agent, spec.request));
                    let event = Event::StartLost {
                        agent,
                        request: spec.request,
                        loss: Loss::NeverSent,
                    };
                    self.parcels.push(Parcel::ToEntry(id, None, event));
                    return;
                }
            }
            Action::Fence {
                submission, epoch, ..
            } if !linked => {
                let event = Event::FenceLost {
                    agent,
                    submission: *submission,
                    epoch: *epoch,
                };
                self.parcels.push(Parcel::ToEntry(id, None, event));
                return;
            }
            Action::Fence {
                submission, epoch, ..
            } => entry.fences.push((agent, *submission, *epoch)),
            _ if !linked => return,
            _ => {}
        }
        self.parcels.push(Parcel::ToAgent(id, agent, action));
    }

    /// Takes one random step.
    pub(crate) fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..=44 => self.deliver(),
            45..=50 => self.submit(),
            51..=53 => self.resubmit(),
            70..=71 => self.cancel(),
            72 => self.cut_link(),
            73 if self.rng.random_range(0..20) == 0 => self.kill_entry(),
            74 => self.cross_or_double(),
            75 if self.rng.random_range(0..10) == 0 => self.turn_a_gate(),
            76..=77 => self.grant_to_everyone(),
            _ => self.advance(),
        }
        self.check();
    }

    fn advance(&mut self) {
        self.now += DurationMs::new(self.rng.random_range(0..30));
        let gates: Vec<_> = self.gates.keys().copied().collect();
        for agent in gates {
            let settled = self.gates.get_mut(&agent).expect("known").advance(self.now);
            for (to, outcome, service_us) in settled {
                self.settle(agent, to, outcome, service_us);
            }
        }
        let entries: Vec<_> = self.entries.keys().copied().collect();
        for id in entries {
            match self.rng.random_range(0..40) {
                0 => self.sync(id),
                _ => self.tell(id, Event::Tick),
            }
        }
        self.give_freed_shares();
    }

    /// The share of a dead entry goes to a new one once its work must have ended.
    fn give_freed_shares(&mut self) {
        let now = self.now;
        let due = self.freed_shares.iter().position(|(at, _)| *at <= now);
        if let Some(index) = due {
            let (_, share) = self.freed_shares.remove(index);
            self.add_entry(share);
        }
    }

    fn settle(&mut self, agent: Incarnation, to: ReturnAddress, outcome: Outcome, service_us: u64) {
        let event = Event::Settled {
            agent,
            request: to.request,
            outcome,
            service_us,
            granted: u16::from(self.rng.random_bool(0.7)),
        };
        self.parcels
            .push(Parcel::ToEntry(to.entry, Some(agent), event));
    }

    fn deliver(&mut self) {
        if self.parcels.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.parcels.len());
        match self.parcels.swap_remove(index) {
            Parcel::ToEntry(id, agent, event) => self.deliver_to_entry(id, agent, event),
            Parcel::ToAgent(id, agent, action) => self.deliver_to_agent(id, agent, action),
        }
    }

    fn deliver_to_entry(&mut self, id: Incarnation, from: Option<Incarnation>, event: Event) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Event::LinkUp(agent) = &event {
            entry.linked.insert(*agent);
        }
        if let (Some(agent), Event::Settled { request, .. }) = (from, &event) {
            // An answer reaches the entry only over the connection that the start went out on.
            if !entry.outstanding.remove(&(agent, *request)) {
                return;
            }
        }
        self.tell(id, event);
    }

    fn deliver_to_agent(&mut self, id: Incarnation, agent: Incarnation, action: Action) {
        let service_ms = self.rng.random_range(1..SERVICE_MAX_MS);
        let Some(gate) = self.gates.get_mut(&agent) else {
            return;
        };
        match action {
            Action::Start { spec, .. } => {
                let to = ReturnAddress {
                    entry: id,
                    request: spec.request,
                };
                self.book.received(&spec);
                let settled = gate.start(self.now, to, spec, service_ms);
                if let Some((to, outcome, service_us)) = settled {
                    self.settle(agent, to, outcome, service_us);
                }
            }
            Action::Fence {
                submission, epoch, ..
            } => {
                let tasks = gate.fence(submission, epoch);
                let event = Event::Fenced {
                    agent,
                    submission,
                    epoch,
                    tasks,
                };
                self.parcels.push(Parcel::ToEntry(id, Some(agent), event));
            }
            Action::Want { count, .. } => {
                let free = gate.slots.saturating_sub(gate.running()) as u16;
                let slots = free.min(count);
                let event = Event::Granted { agent, slots };
                self.parcels.push(Parcel::ToEntry(id, Some(agent), event));
            }
            _ => {}
        }
    }

    /// Cuts a connection: what is on its way may be lost, and starts without an answer are
    /// reported as lost after sending. The connection is opened again at once.
    fn cut_link(&mut self) {
        let Some(id) = self.random_entry() else {
            return;
        };
        let agents: Vec<_> = self.gates.keys().copied().collect();
        let agent = agents[self.rng.random_range(0..agents.len())];
        let rng = &mut self.rng;
        self.parcels.retain(|parcel| match parcel {
            Parcel::ToEntry(entry, Some(from), _) => !(*entry == id && *from == agent),
            Parcel::ToAgent(entry, to, _) if *entry == id && *to == agent => rng.random_bool(0.5),
            _ => true,
        });
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if !entry.linked.remove(&agent) {
            return;
        }
        let lost: Vec<_> = entry
            .outstanding
            .iter()
            .copied()
            .filter(|(to, _)| *to == agent)
            .collect();
        entry.outstanding.retain(|(to, _)| *to != agent);
        let on_link = |fence: &mut (Incarnation, SubmissionId, Epoch)| fence.0 == agent;
        let fences: Vec<_> = entry.fences.extract_if(.., on_link).collect();
        self.tell(id, Event::LinkDown(agent));
        for (agent, submission, epoch) in fences {
            let event = Event::FenceLost {
                agent,
                submission,
                epoch,
            };
            self.tell(id, event);
        }
        for (agent, request) in lost {
            let loss = Loss::AfterSending;
            let event = Event::StartLost {
                agent,
                request,
                loss,
            };
            self.tell(id, event);
        }
        let up = Parcel::ToEntry(id, None, Event::LinkUp(agent));
        self.parcels.push(up);
    }

    fn kill_entry(&mut self) {
        let Some(id) = self.random_entry() else {
            return;
        };
        if let Some(entry) = self.entries.remove(&id) {
            let freed = self.now + DurationMs::new(2 * DEADLINE_MAX_MS + SERVICE_MAX_MS + 8_000);
            self.freed_shares.push((freed, entry.share));
            self.book.entry_died(id);
        }
    }

    /// An answer that names another agent's start, or one that comes twice.
    fn cross_or_double(&mut self) {
        let settled = self.parcels.iter().find_map(|parcel| match parcel {
            Parcel::ToEntry(id, Some(agent), event @ Event::Settled { .. }) => {
                Some((*id, *agent, event.clone()))
            }
            _ => None,
        });
        let Some((id, _, event)) = settled else {
            return;
        };
        if let Event::Settled {
            agent,
            request,
            outcome,
            ..
        } = event
        {
            let other = Incarnation(agent.0 % self.gates.len() as u64 + 1);
            if other != agent {
                self.tell(
                    id,
                    Event::Settled {
                        agent: other,
                        request,
                        outcome,
                        service_us: 1,
                        granted: 0,
                    },
                );
            }
        }
    }

    fn turn_a_gate(&mut self) {
        let agents: Vec<_> = self.gates.keys().copied().collect();
        let agent = agents[self.rng.random_range(0..agents.len())];
        if let Some(gate) = self.gates.get_mut(&agent) {
            gate.fails_everything = !gate.fails_everything && agent.0 == 1;
        }
    }

    fn grant_to_everyone(&mut self) {
        let entries: Vec<_> = self.entries.keys().copied().collect();
        let agents: Vec<_> = self.gates.keys().copied().collect();
        for id in entries {
            let agent = agents[self.rng.random_range(0..agents.len())];
            self.tell(id, Event::Granted { agent, slots: 1 });
        }
    }

    fn random_entry(&mut self) -> Option<Incarnation> {
        let entries: Vec<_> = self.entries.keys().copied().collect();
        match entries.len() {
            0 => None,
            len => Some(entries[self.rng.random_range(0..len)]),
        }
    }

    fn submit(&mut self) {
        let keyed = self.rng.random_bool(0.5);
        let tasks = match keyed {
            true => self.rng.random_range(1..6),
            false => 1,
        };
        let deadline_ms = self.rng.random_range(1..DEADLINE_MAX_MS * 2);
        let Some(id) = self.random_entry() else {
            return;
        };
        let submit = self.book.new_call(id, keyed, tasks, deadline_ms);
        self.tell(id, Event::Submit(Box::new(submit)));
    }

    fn resubmit(&mut self) {
        let pick = self.rng.random_range(0..u64::MAX);
        let Some(id) = self.random_entry() else {
            return;
        };
        if let Some(submit) = self.book.repeat_call(id, pick, DEADLINE_MAX_MS) {
            self.tell(id, Event::Submit(Box::new(submit)));
        }
    }

    fn cancel(&mut self) {
        let pick = self.rng.random_range(0..u64::MAX);
        let Some(id) = self.random_entry() else {
            return;
        };
        if let Some((call, submission)) = self.book.new_cancel(id, pick) {
            self.tell(id, Event::CancelSubmission { call, submission });
        }
    }

    fn check(&mut self) {
        let running: usize = self.gates.values().map(FakeGate::running).sum();
        assert!(
            running <= MAX_RUNNING as usize,
            "the contract's limit holds"
        );
        self.book.check_starts(&self.gates);
    }

    /// Lets everything come to rest, then checks that every call was answered.
    pub(crate) fn finish(mut self) -> Book {
        for _ in 0..2_000 {
            while !self.parcels.is_empty() {
                self.deliver();
                self.check();
            }
            self.advance();
            self.check();
        }
        for (id, entry) in &self.entries {
            assert!(entry.router.is_idle(), "entry {id} has work left");
            assert_eq!(entry.router.queued(), 0);
            assert_eq!(entry.router.in_flight(), 0, "entry {id} has starts left");
        }
        self.book
            .check_all_answered(&self.entries.keys().copied().collect());
        self.book
    }
}

fn contract() -> Contract {
    Contract {
        customer: "loovutusliit".into(),
        revision: Revision(1),
        key_sha256: Vec::new(),
        services: vec!["portaal".into()],
        max_running: MAX_RUNNING,
        max_queued: 60,
        urgency: Urgency::Normal,
        weight: 100,
        non_idempotent: Vec::new(),
        deadline_ms: 2_000,
        deadline_cap_ms: 60_000,
        retry_budget_percent: 20,
        hedging: Hedging {
            enabled: true,
            budget_percent: 20,
        },
    }
}
