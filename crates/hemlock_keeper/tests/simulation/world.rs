//! Simulated cluster: keepers, disks, network, entries and operators, with the checked invariants.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use hemlock_keeper::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::entry::SimEntry;
use crate::operators::{CUSTOMERS, Operators, SimCall};

const KEEPERS: usize = 3;
const ENTRIES: usize = 3;
/// Percentage of messages between keepers that are lost.
const LOSS_PERCENT: u32 = 2;
/// Time in milliseconds for which the ledger keeps a submission.
const RETENTION_MS: u64 = 60_000;
/// Largest limit that operators set, which bounds the sum of the shares at any time.
const MAX_RUNNING_LIMIT: u64 = 29;

/// Event counts of a simulation.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) accepted: usize,
    pub(crate) refused: u64,
    pub(crate) in_force: u64,
    pub(crate) granted: u64,
    pub(crate) adopted: u64,
    pub(crate) ended: usize,
    pub(crate) forgotten: u64,
    pub(crate) elections: u64,
    pub(crate) kills: u64,
    pub(crate) cuts: u64,
    pub(crate) simulated_s: u64,
}

/// Delivery that is scheduled for a later time.
enum Delivery {
    Message(KeeperId, usize, Message),
    Synced(usize, u64, Vec<DiskWork>),
    Encoded(usize, u64, LogIndex, Bytes),
    Request(usize, u64, KeeperRequest),
    Reply(u64, KeeperReply),
    Forward(usize, ReplyToken, usize, OperatorCall),
    Forwarded(usize, u64, ReplyToken, Option<KeeperReply>),
}

/// Caller that waits for the reply to a token.
enum Caller {
    Entry(u64),
    Operator(SimCall),
    Keeper(usize, u64, ReplyToken),
}

struct SimKeeper {
    core: Option<KeeperCore>,
    disk: MemoryStorage,
    /// Number of starts. Deliveries to an earlier generation are dropped.
    generation: u64,
    callers: HashMap<ReplyToken, Caller>,
    down_until: Instant,
    inbound_cut_until: Instant,
    outbound_cut_until: Instant,
    was_leader: bool,
    disk_free_at: Instant,
}

/// State of the simulation.
pub(crate) struct World {
    rng: Pcg32,
    now: Instant,
    keepers: Vec<SimKeeper>,
    entries: Vec<SimEntry>,
    dead_entries: Vec<(SimEntry, Instant)>,
    operators: Operators,
    deliveries: BTreeMap<(Instant, u64), Delivery>,
    requests: HashMap<u64, Incarnation>,
    claim_owners: HashMap<(SubmissionId, Epoch), Incarnation>,
    ends: HashMap<SubmissionId, EndRecord>,
    granted_at: HashMap<SubmissionId, Instant>,
    next: u64,
    report: Report,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: Pcg32::seed_from_u64(seed),
            now: Instant::from_ms(1),
            keepers: Vec::new(),
            entries: Vec::new(),
            dead_entries: Vec::new(),
            operators: Operators::default(),
            deliveries: BTreeMap::new(),
            requests: HashMap::new(),
            claim_owners: HashMap::new(),
            ends: HashMap::new(),
            granted_at: HashMap::new(),
            next: 0,
            report: Report::default(),
        };
        for index in 0..KEEPERS {
            let disk = MemoryStorage::new(Incarnation(1_000 + index as u64));
            world.keepers.push(SimKeeper {
                core: None,
                disk,
                generation: 0,
                callers: HashMap::new(),
                down_until: Instant::ZERO,
                inbound_cut_until: Instant::ZERO,
                outbound_cut_until: Instant::ZERO,
                was_leader: false,
                disk_free_at: Instant::ZERO,
            });
        }
        for _ in 0..ENTRIES {
            world.add_entry();
        }
        world
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn add_entry(&mut self) {
        let id = self.next_number();
        let now = self.now;
        self.entries.push(SimEntry::new(id, now));
    }

    /// Advances the simulation by 1 to 5 ms and possibly injects a failure or a call.
    pub(crate) fn step(&mut self) {
        self.now += DurationMs::new(self.rng.random_range(1..6));
        self.restart_keepers();
        self.inject_event();
        self.deliver();
        self.tick();
        self.poll_entries();
        self.check();
    }

    fn restart_keepers(&mut self) {
        for index in 0..KEEPERS {
            if self.keepers[index].core.is_none() && self.keepers[index].down_until <= self.now {
                let seed = self.rng.random();
                let keeper = &mut self.keepers[index];
                let recovered = keeper.disk.recover().expect("memory is readable");
                let keeper_id = KeeperId(index as u64 + 1);
                let bootstrap_keepers = (1..=KEEPERS as u64).map(KeeperId).collect();
                let config = QuorumConfig::new(keeper_id, recovered.incarnation, bootstrap_keepers)
                    .with_snapshots(200, 50);
                let limits = LedgerLimits::default()
                    .with_max_records(50)
                    .with_retention_ms(RETENTION_MS);
                let addresses = BTreeMap::new();
                let core = KeeperCore::new(config, limits, seed, recovered, addresses);
                keeper.core = Some(core.expect("the disk matches the settings"));
                keeper.generation += 1;
                keeper.was_leader = false;
            }
        }
    }

    fn inject_event(&mut self) {
        match self.rng.random_range(0..3_000) {
            0 => self.kill_keeper(),
            1 | 2 => self.partition_keeper(),
            3 => self.kill_entry(),
            10..200 => self.call_as_operator(),
            200..500 => self.claim(),
            _ => {}
        }
    }

    fn kill_keeper(&mut self) {
        let index = self.rng.random_range(0..KEEPERS);
        let down_ms = self.rng.random_range(10..15_000);
        let keeper = &mut self.keepers[index];
        keeper.core = None;
        keeper.callers.clear();
        keeper.down_until = self.now + DurationMs::new(down_ms);
        self.report.kills += 1;
    }

    /// Cuts the network of a keeper in one direction or both.
    fn partition_keeper(&mut self) {
        let index = self.rng.random_range(0..KEEPERS);
        let until = self.now + DurationMs::new(self.rng.random_range(10..20_000));
        let direction = self.rng.random_range(0..3);
        let keeper = &mut self.keepers[index];
        if direction != 0 {
            keeper.inbound_cut_until = until;
        }
        if direction != 1 {
            keeper.outbound_cut_until = until;
        }
        self.report.cuts += 1;
    }

    /// Replaces an entry by a new one. The shares of the dead entry count until its lease expires.
    fn kill_entry(&mut self) {
        let index = self.rng.random_range(0..self.entries.len());
        let dead = self.entries.swap_remove(index);
        let until = dead.lease_until;
        self.dead_entries.push((dead, until));
        self.add_entry();
    }

    fn call_as_operator(&mut self) {
        let call = self.operators.random_call(&mut self.rng);
        let index = self.rng.random_range(0..KEEPERS);
        self.send_call(index, call.clone());
        // A second operator competes with the same revision, or the same change is repeated.
        let mut competing = call;
        if self.rng.random_range(0..2) == 0 {
            competing.running = self.rng.random_range(1..30);
        }
        let index = self.rng.random_range(0..KEEPERS);
        self.send_call(index, competing);
    }

    fn send_call(&mut self, index: usize, call: SimCall) {
        let token = ReplyToken(self.next_number());
        let event = KeeperEvent::Operator {
            token,
            call: call.operator_call(),
        };
        let keeper = &mut self.keepers[index];
        if keeper.core.is_some() {
            keeper.callers.insert(token, Caller::Operator(call));
            self.handle_events(index, vec![event]);
        }
    }

    fn claim(&mut self) {
        let index = self.rng.random_range(0..self.entries.len());
        let number = self.next_number();
        let name = self.rng.random_range(0..40).to_string();
        let entry = &mut self.entries[index];
        let request = ClaimRequest {
            submission: SubmissionId::derive(&"sablah".into(), &name),
            digest: Digest::of_key(name.as_bytes()),
            entry: entry.id,
            tasks: 1,
            plan: vec![Incarnation(7)],
            deadline_ms: 5_000,
        };
        entry.claim = Some((number, self.now, request.clone()));
        let (id, keeper) = (entry.id, entry.keeper);
        self.send_request(id, keeper, number, KeeperRequest::Claims(vec![request]));
    }

    fn poll_entries(&mut self) {
        for index in 0..self.entries.len() {
            let number = self.next_number();
            let entry = &mut self.entries[index];
            if let Some(request) = entry.poll(self.now, number, &mut self.rng) {
                let (id, keeper) = (entry.id, entry.keeper);
                self.send_request(id, keeper, number, request);
            }
        }
    }

    fn send_request(&mut self, entry: Incarnation, to: usize, number: u64, request: KeeperRequest) {
        self.requests.insert(number, entry);
        self.schedule(Delivery::Request(to, number, request));
    }

    fn schedule(&mut self, delivery: Delivery) {
        let delay = DurationMs::new(self.rng.random_range(0..5));
        let number = self.next_number();
        self.deliveries.insert((self.now + delay, number), delivery);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry()
            && entry.key().0 <= self.now
        {
            let delivery = entry.remove();
            self.deliver_one(delivery);
        }
    }

    fn is_cut(&self, from: Option<usize>, to: Option<usize>) -> bool {
        let cut_out = from.is_some_and(|index| self.now < self.keepers[index].outbound_cut_until);
        let cut_in = to.is_some_and(|index| self.now < self.keepers[index].inbound_cut_until);
        cut_out || cut_in
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Message(from, to, message) => {
                let sender = from.0 as usize - 1;
                let lost = self.rng.random_range(0..100) < LOSS_PERCENT;
                if !lost && !self.is_cut(Some(sender), Some(to)) {
                    self.handle_events(to, vec![KeeperEvent::Received { from, message }]);
                }
            }
            Delivery::Synced(index, generation, work)
                if self.keepers[index].generation == generation =>
            {
                if self.keepers[index].core.is_some() {
                    let done = perform(&mut self.keepers[index].disk, work);
                    let up_to = done.expect("memory is writable").expect("there was work");
                    self.handle_events(index, vec![KeeperEvent::Synced { up_to }]);
                }
            }
            Delivery::Encoded(to, generation, index, data)
                if self.keepers[to].generation == generation =>
            {
                self.handle_events(to, vec![KeeperEvent::SnapshotEncoded { index, data }]);
            }
            Delivery::Synced(..) | Delivery::Encoded(..) => {}
            Delivery::Request(to, number, request) => {
                if self.keepers[to].core.is_some() && !self.is_cut(None, Some(to)) {
                    let token = ReplyToken(self.next_number());
                    let callers = &mut self.keepers[to].callers;
                    callers.insert(token, Caller::Entry(number));
                    self.handle_events(to, vec![KeeperEvent::Request { token, request }]);
                }
            }
            Delivery::Reply(number, reply) => self.handle_entry_reply(number, reply),
            Delivery::Forward(from, token, to, call) => self.deliver_forward(from, token, to, call),
            Delivery::Forwarded(to, generation, token, reply)
                if self.keepers[to].generation == generation =>
            {
                self.handle_events(to, vec![KeeperEvent::Forwarded { token, reply }]);
            }
            Delivery::Forwarded(..) => {}
        }
    }

    fn deliver_forward(&mut self, from: usize, token: ReplyToken, to: usize, call: OperatorCall) {
        let generation = self.keepers[from].generation;
        if self.keepers[to].core.is_none() || self.is_cut(Some(from), Some(to)) {
            return self.schedule(Delivery::Forwarded(from, generation, token, None));
        }
        let own = ReplyToken(self.next_number());
        let caller = Caller::Keeper(from, generation, token);
        self.keepers[to].callers.insert(own, caller);
        let request = KeeperRequest::Operator {
            method: call.method,
            path: call.path,
            body: call.body,
        };
        let event = KeeperEvent::Request {
            token: own,
            request,
        };
        self.handle_events(to, vec![event]);
    }

    fn tick(&mut self) {
        for index in 0..KEEPERS {
            let due = self.keepers[index]
                .core
                .as_ref()
                .map(KeeperCore::next_deadline);
            if due.is_some_and(|due| due <= self.now) {
                self.handle_events(index, vec![KeeperEvent::Tick]);
            }
        }
    }

    fn handle_events(&mut self, index: usize, events: Vec<KeeperEvent>) {
        let Some(core) = &mut self.keepers[index].core else {
            return;
        };
        let mut actions = Vec::new();
        core.handle_all(self.now, events, &mut actions);
        assert!(core.take_failure().is_none(), "no keeper fails");
        let leads = core.is_leading();
        if leads && !self.keepers[index].was_leader {
            self.report.elections += 1;
        }
        self.keepers[index].was_leader = leads;
        let mut work = Vec::new();
        for action in actions {
            self.handle_action(index, action, &mut work);
        }
        if !work.is_empty() {
            self.schedule_disk_work(index, work);
        }
    }

    /// Schedules disk work, which completes in order.
    fn schedule_disk_work(&mut self, index: usize, work: Vec<DiskWork>) {
        let delay = DurationMs::new(self.rng.random_range(0..5));
        let number = self.next_number();
        let keeper = &mut self.keepers[index];
        keeper.disk_free_at = keeper.disk_free_at.max(self.now) + delay;
        let delivery = Delivery::Synced(index, keeper.generation, work);
        self.deliveries
            .insert((keeper.disk_free_at, number), delivery);
    }

    fn handle_action(&mut self, index: usize, action: KeeperAction, work: &mut Vec<DiskWork>) {
        match action {
            KeeperAction::Send { to, message } => {
                let from = KeeperId(index as u64 + 1);
                self.schedule(Delivery::Message(from, to.0 as usize - 1, message));
            }
            KeeperAction::Persist(item) => work.push(item),
            KeeperAction::EncodeSnapshot { index: at, state } => {
                let data = state.encode().expect("the state can be encoded");
                let generation = self.keepers[index].generation;
                self.schedule(Delivery::Encoded(index, generation, at, data));
            }
            KeeperAction::Reply { token, reply } => self.handle_reply(index, token, reply),
            KeeperAction::Forward { token, to, call } => {
                self.schedule(Delivery::Forward(index, token, to.0 as usize - 1, call));
            }
            KeeperAction::UpdateKeepers(_) | KeeperAction::Drained => {}
        }
    }

    fn handle_reply(&mut self, index: usize, token: ReplyToken, reply: KeeperReply) {
        let caller = self.keepers[index].callers.remove(&token);
        let cut = self.is_cut(Some(index), None);
        match caller.expect("every request is answered once") {
            Caller::Entry(number) if !cut => self.schedule(Delivery::Reply(number, reply)),
            Caller::Entry(_) => {}
            Caller::Keeper(to, generation, token) => {
                let reply = (!cut).then_some(reply);
                self.schedule(Delivery::Forwarded(to, generation, token, reply));
            }
            Caller::Operator(call) => self.handle_operator_reply(&call, &reply),
        }
    }

    fn handle_operator_reply(&mut self, call: &SimCall, reply: &KeeperReply) {
        let KeeperReply::Operator { status, body } = reply else {
            panic!("an operator's call gets an operator reply");
        };
        let accepted = self.operators.handle_reply(call, *status, body);
        if let Some(version) = accepted.filter(|_| call.wait) {
            self.report.in_force += 1;
            self.check_in_force(version);
        }
    }

    /// Checks that no entry with a valid lease has an older configuration than `version`.
    fn check_in_force(&self, version: u64) {
        for entry in &self.entries {
            assert!(
                entry.lease_until <= self.now || entry.config.0 >= version,
                "entry {} uses {} although {version} is in force",
                entry.id,
                entry.config
            );
        }
    }

    fn handle_entry_reply(&mut self, number: u64, reply: KeeperReply) {
        let Some(id) = self.requests.remove(&number) else {
            return;
        };
        let Some(index) = self.entries.iter().position(|entry| entry.id == id) else {
            return;
        };
        match reply {
            KeeperReply::Claims(replies) => self.handle_claim_reply(index, number, &replies),
            reply => {
                let entry = &mut self.entries[index];
                entry.handle_sync_reply(self.now, number, reply, &mut self.rng);
            }
        }
    }

    fn handle_claim_reply(&mut self, index: usize, number: u64, replies: &[ClaimReply]) {
        let entry = &mut self.entries[index];
        let Some((_, _, request)) = entry.claim.take_if(|claim| claim.0 == number) else {
            return;
        };
        match &replies[0] {
            ClaimReply::Granted { epoch, previous } => {
                self.forget_if_expired(request.submission);
                self.granted_at.insert(request.submission, self.now);
                let owner = *self
                    .claim_owners
                    .entry((request.submission, *epoch))
                    .or_insert(request.entry);
                assert_eq!(owner, request.entry, "an epoch has one owner");
                assert!(
                    !self.ends.contains_key(&request.submission),
                    "an ended submission is not granted again"
                );
                self.report.granted += 1;
                self.report.adopted += u64::from(previous.is_some());
                self.end_claim(index, &request, *epoch);
            }
            ClaimReply::Ended(end) => {
                let first = self.ends.entry(end.submission).or_insert(end.clone());
                assert_eq!(first, end, "an ended submission keeps its result");
            }
            ClaimReply::Busy { .. } | ClaimReply::Full => {}
            ClaimReply::Conflict | ClaimReply::Cancelled => {
                panic!("the simulation causes no conflicts or cancellations")
            }
        }
    }

    /// Forgets a submission whose retention has passed, because it may then run again.
    fn forget_if_expired(&mut self, submission: SubmissionId) {
        let granted_at = self.granted_at.get(&submission);
        if granted_at.is_some_and(|at| self.now.since(*at).as_ms() >= RETENTION_MS) {
            self.claim_owners.retain(|(id, _), _| *id != submission);
            self.ends.remove(&submission);
            self.report.forgotten += 1;
        }
    }

    /// Sends end records for about a third of the claims. The others can be taken over.
    fn end_claim(&mut self, index: usize, request: &ClaimRequest, epoch: Epoch) {
        if self.rng.random_range(0..3) != 0 {
            return;
        }
        let end = EndRecord {
            submission: request.submission,
            epoch,
            result: SubmissionResult::Failed(FailureKind::Deadline),
        };
        let number = self.next_number();
        let (id, keeper) = (self.entries[index].id, self.entries[index].keeper);
        self.send_request(id, keeper, number, KeeperRequest::Ends(vec![end]));
    }

    /// Checks that the sum of the shares never exceeds the largest limit.
    fn check(&mut self) {
        let now = self.now;
        self.dead_entries.retain(|(_, until)| now < *until);
        for customer in CUSTOMERS {
            let customer = CustomerName::from(customer);
            let alive = self.entries.iter();
            let dead = self.dead_entries.iter().map(|(entry, _)| entry);
            let sum: u64 = alive
                .chain(dead)
                .map(|entry| u64::from(entry.share(now, &customer)))
                .sum();
            assert!(
                sum <= MAX_RUNNING_LIMIT,
                "the shares of {customer} allow {sum} tasks"
            );
        }
    }

    pub(crate) fn finish(mut self) -> Report {
        self.report.accepted = self.operators.accepted.len();
        self.report.refused = self.operators.refused;

        self.report.ended = self.ends.len();
        self.report.simulated_s = self.now.as_micros() / 1_000_000;
        self.report
    }
}
