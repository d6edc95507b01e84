//! Simulation of routers with simplified agents and a simplified ledger. Messages are delivered in
//! any order, attributed to the wrong agent, or lost with their connection, and entries die.

mod call_log;
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

use call_log::CallLog;
use gate::{FakeGate, ReturnAddress};
use ledger::FakeLedger;

/// Maximum number of tasks that the contract may have running at once, over all entries.
const MAX_RUNNING: u32 = 24;
/// Upper bound of service times, in milliseconds.
const SERVICE_MAX_MS: u64 = 400;
/// Deadline of repeated calls, in milliseconds. New calls have random deadlines below twice this.
const BASE_DEADLINE_MS: u64 = 3_000;

/// A message or event that was sent and not delivered yet.
#[derive(Clone, Debug)]
enum Message {
    ToEntry(Incarnation, Option<Incarnation>, Event),
    ToAgent(Incarnation, Incarnation, Action),
}

struct FakeEntry {
    router: Router,
    share: u32,
    outstanding: BTreeSet<(Incarnation, RequestId)>,
    connected: BTreeSet<Incarnation>,
    fences: Vec<(Incarnation, SubmissionId, Epoch)>,
    sync_count: u64,
}

/// The simulated cluster.
pub(crate) struct World {
    rng: Pcg64,
    now: Instant,
    policy: String,
    entries: BTreeMap<Incarnation, FakeEntry>,
    gates: BTreeMap<Incarnation, FakeGate>,
    ledger: FakeLedger,
    messages: Vec<Message>,
    calls: CallLog,
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
            messages: Vec::new(),
            calls: CallLog::default(),
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
            connected: BTreeSet::new(),
            fences: Vec::new(),
            sync_count: 0,
        };
        self.entries.insert(id, entry);
        self.sync(id);
    }

    /// Delivers a keeper's update to one entry.
    fn sync(&mut self, id: Incarnation) {
        let gates = &self.gates;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.sync_count += 1;
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
        let update = SyncUpdate {
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
            shares_seq: entry.sync_count,
            cancelled: Vec::new(),
        };
        self.handle(id, Event::Synced(Box::new(update)));
    }

    /// Lets a router handle an event, and performs the resulting actions.
    fn handle(&mut self, id: Incarnation, event: Event) {
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
            Action::Answer { call, result, .. } => self.calls.answered(call, &result, &self.gates),
            Action::Claim { attempt, claim } => {
                let alive: BTreeSet<_> = self.entries.keys().copied().collect();
                let reply = self.ledger.claim(&claim, |entry| alive.contains(&entry));
                let lost = self.rng.random_range(0..20) == 0;
                let event = Event::ClaimAnswered {
                    submission: claim.submission,
                    attempt,
                    reply: (!lost).then_some(reply),
                };
                self.messages.push(Message::ToEntry(id, None, event));
            }
            Action::End(end) => self.ledger.end(end),
            Action::Lookup { call, submission } => {
                self.calls.looked_up(call, &self.gates);
                let reply = Some(self.ledger.lookup(submission));
                let event = Event::LookupAnswered { call, reply };
                self.messages.push(Message::ToEntry(id, None, event));
            }
            Action::RecordCancel { call, submission } => {
                let reply = Some(self.ledger.cancel(submission));
                let event = Event::CancelRecorded { call, reply };
                self.messages.push(Message::ToEntry(id, None, event));
            }
            Action::Connect { agent, .. } => {
                let event = Event::LinkUp(agent);
                self.messages.push(Message::ToEntry(id, None, event));
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
        let connected = entry.connected.contains(&agent);
        match &action {
            Action::Start { spec, .. } => {
                self.calls.sent(spec);
                entry.outstanding.insert((agent, spec.request));
                if !connected {
                    entry.outstanding.remove(&(agent, spec.request));
                    let event = Event::StartLost {
                        agent,
                        request: spec.request,
                        loss: LossKind::NeverSent,
                    };
                    self.messages.push(Message::ToEntry(id, None, event));
                    return;
                }
            }
            Action::Fence {
                submission, epoch, ..
            } if !connected => {
                let event = Event::FenceLost {
                    agent,
                    submission: *submission,
                    epoch: *epoch,
                };
                self.messages.push(Message::ToEntry(id, None, event));
                return;
            }
            Action::Fence {
                submission, epoch, ..
            } => entry.fences.push((agent, *submission, *epoch)),
            _ if !connected => return,
            _ => {}
        }
        self.messages.push(Message::ToAgent(id, agent, action));
    }

    /// Performs one random step of the simulation and checks the invariants.
    pub(crate) fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..=44 => self.deliver(),
            45..=50 => self.submit(),
            51..=53 => self.resubmit(),
            70..=71 => self.cancel(),
            72 => self.cut_link(),
            73 if self.rng.random_range(0..20) == 0 => self.kill_entry(),
            74 => self.misdirect_answer(),
            75 if self.rng.random_range(0..10) == 0 => self.toggle_agent_failure(),
            76..=77 => self.grant_random_slots(),
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
                _ => self.handle(id, Event::Tick),
            }
        }
        self.reassign_freed_shares();
    }

    /// Gives the share of a dead entry to a new one, once all work of the dead one must have ended.
    fn reassign_freed_shares(&mut self) {
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
        self.messages
            .push(Message::ToEntry(to.entry, Some(agent), event));
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        match self.messages.swap_remove(index) {
            Message::ToEntry(id, agent, event) => self.deliver_to_entry(id, agent, event),
            Message::ToAgent(id, agent, action) => self.deliver_to_agent(id, agent, action),
        }
    }

    fn deliver_to_entry(&mut self, id: Incarnation, from: Option<Incarnation>, event: Event) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Event::LinkUp(agent) = &event {
            entry.connected.insert(*agent);
        }
        if let (Some(agent), Event::Settled { request, .. }) = (from, &event) {
            // An answer reaches the entry only over the connection that carried the start.
            if !entry.outstanding.remove(&(agent, *request)) {
                return;
            }
        }
        self.handle(id, event);
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
                self.calls.received(&spec);
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
                self.messages.push(Message::ToEntry(id, Some(agent), event));
            }
            Action::Want { count, .. } => {
                let free = gate.slots.saturating_sub(gate.running()) as u16;
                let slots = free.min(count);
                let event = Event::Granted { agent, slots };
                self.messages.push(Message::ToEntry(id, Some(agent), event));
            }
            _ => {}
        }
    }

    /// Cuts a connection: all undelivered answers from the agent and some messages to it are lost,
    /// and starts without an answer are reported as lost after sending. The connection is opened
    /// again at once.
    fn cut_link(&mut self) {
        let Some(id) = self.random_entry() else {
            return;
        };
        let agents: Vec<_> = self.gates.keys().copied().collect();
        let agent = agents[self.rng.random_range(0..agents.len())];
        let rng = &mut self.rng;
        self.messages.retain(|message| match message {
            Message::ToEntry(entry, Some(from), _) => !(*entry == id && *from == agent),
            Message::ToAgent(entry, to, _) if *entry == id && *to == agent => rng.random_bool(0.5),
            _ => true,
        });
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if !entry.connected.remove(&agent) {
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
        self.handle(id, Event::LinkDown(agent));
        for (agent, submission, epoch) in fences {
            let event = Event::FenceLost {
                agent,
                submission,
                epoch,
            };
            self.handle(id, event);
        }
        for (agent, request) in lost {
            let loss = LossKind::AfterSending;
            let event = Event::StartLost {
                agent,
                request,
                loss,
            };
            self.handle(id, event);
        }
        let up = Message::ToEntry(id, None, Event::LinkUp(agent));
        self.messages.push(up);
    }

    fn kill_entry(&mut self) {
        let Some(id) = self.random_entry() else {
            return;
        };
        if let Some(entry) = self.entries.remove(&id) {
            let freed = self.now + DurationMs::new(2 * BASE_DEADLINE_MS + SERVICE_MAX_MS + 8_000);
            self.freed_shares.push((freed, entry.share));
            self.calls.entry_died(id);
        }
    }

    /// Delivers an undelivered outcome as if another agent had sent it, which must not end the task;
    /// the real one follows later.
    fn misdirect_answer(&mut self) {
        let settled = self.messages.iter().find_map(|message| match message {
            Message::ToEntry(id, Some(agent), event @ Event::Settled { .. }) => {
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
                self.handle(
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

    fn toggle_agent_failure(&mut self) {
        let agents: Vec<_> = self.gates.keys().copied().collect();
        let agent = agents[self.rng.random_range(0..agents.len())];
        if let Some(gate) = self.gates.get_mut(&agent) {
            gate.fails_all_tasks = !gate.fails_all_tasks && agent.0 == 1;
        }
    }

    fn grant_random_slots(&mut self) {
        let entries: Vec<_> = self.entries.keys().copied().collect();
        let agents: Vec<_> = self.gates.keys().copied().collect();
        for id in entries {
            let agent = agents[self.rng.random_range(0..agents.len())];
            self.handle(id, Event::Granted { agent, slots: 1 });
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
        let deadline_ms = self.rng.random_range(1..BASE_DEADLINE_MS * 2);
        let Some(id) = self.random_entry() else {
            return;
        };
        let submit = self.calls.new_call(id, keyed, tasks, deadline_ms);
        self.handle(id, Event::Submit(Box::new(submit)));
    }

    fn resubmit(&mut self) {
        let pick = self.rng.random_range(0..u64::MAX);
        let Some(id) = self.random_entry() else {
            return;
        };
        if let Some(submit) = self.calls.repeat_call(id, pick, BASE_DEADLINE_MS) {
            self.handle(id, Event::Submit(Box::new(submit)));
        }
    }

    fn cancel(&mut self) {
        let pick = self.rng.random_range(0..u64::MAX);
        let Some(id) = self.random_entry() else {
            return;
        };
        if let Some((call, submission)) = self.calls.new_cancel(id, pick) {
            self.handle(id, Event::CancelSubmission { call, submission });
        }
    }

    fn check(&mut self) {
        let running: usize = self.gates.values().map(FakeGate::running).sum();
        assert!(
            running <= MAX_RUNNING as usize,
            "the contract's limit must not be exceeded"
        );
        self.calls.check_starts(&self.gates);
    }

    /// Runs the simulation until all work has ended, then checks that every call was answered.
    pub(crate) fn finish(mut self) -> CallLog {
        for _ in 0..2_000 {
            while !self.messages.is_empty() {
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
        self.calls
            .check_all_answered(&self.entries.keys().copied().collect());
        self.calls
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
