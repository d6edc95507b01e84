//! The simulated world: keepers, disks, network, entries, operators, and the checks.

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
/// Messages between keepers that are lost, of a hundred.
const LOSS_PERCENT: u32 = 2;
/// How long the ledger remembers a submission, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Largest running limit that operators set, and so the largest sum of shares ever.
const LARGEST_LIMIT: u64 = 29;

/// What happened.
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

/// Something on its way.
enum Parcel {
    Message(KeeperId, usize, Message),
    Synced(usize, u64, Vec<DiskWork>),
    Encoded(usize, u64, LogIndex, Bytes),
    Request(usize, u64, KeeperRequest),
    Reply(u64, KeeperReply),
    Forward(usize, ReplyToken, usize, OperatorCall),
    Forwarded(usize, u64, ReplyToken, Option<KeeperReply>),
}

/// Who waits for a reply token of a keeper's life.
enum Caller {
    Entry(u64),
    Operator(SimCall),
    Keeper(usize, u64, ReplyToken),
}

struct SimKeeper {
    core: Option<KeeperCore>,
    disk: MemoryStorage,
    life: u64,
    callers: HashMap<ReplyToken, Caller>,
    down_until: Instant,
    cut_in_until: Instant,
    cut_out_until: Instant,
    led: bool,
    disk_free: Instant,
}

/// The world.
pub(crate) struct World {
    rng: Pcg32,
    now: Instant,
    keepers: Vec<SimKeeper>,
    entries: Vec<SimEntry>,
    dead_entries: Vec<(SimEntry, Instant)>,
    operators: Operators,
    parcels: BTreeMap<(Instant, u64), Parcel>,
    requests: HashMap<u64, Incarnation>,
    owners: HashMap<(SubmissionId, Epoch), Incarnation>,
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
            parcels: BTreeMap::new(),
            requests: HashMap::new(),
            owners: HashMap::new(),
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
                life: 0,
                callers: HashMap::new(),
                down_until: Instant::ZERO,
                cut_in_until: Instant::ZERO,
                cut_out_until: Instant::ZERO,
                led: false,
                disk_free: Instant::ZERO,
            });
        }
        for _ in 0..ENTRIES {
            world.add_entry();
        }
        world
    }

    fn draw_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn add_entry(&mut self) {
        let id = self.draw_number();
        let now = self.now;
        self.entries.push(SimEntry::new(id, now));
    }

    /// One millisecond or less of simulated time, and perhaps a disturbance.
    pub(crate) fn step(&mut self) {
        self.now += DurationMs::new(self.rng.random_range(1..6));
        self.revive();
        self.disturb();
        self.deliver();
        self.tick();
        self.poll_entries();
        self.check();
    }

    fn revive(&mut self) {
        for index in 0..KEEPERS {
            if self.keepers[index].core.is_none() && self.keepers[index].down_until <= self.now {
                let seed = self.rng.random();
                let keeper = &mut self.keepers[index];
                let recovered = keeper.disk.recover().expect("memory is readable");
                let me = KeeperId(index as u64 + 1);
                let founders = (1..=KEEPERS as u64).map(KeeperId).collect();
                let config =
                    QuorumConfig::new(me, recovered.incarnation, founders).with_snapshots(200, 50);
                let limits = LedgerLimits::default()
                    .with_max_records(50)
                    .with_retention_ms(RETENTION_MS);
                let addresses = BTreeMap::new();
                let core = KeeperCore::new(config, limits, seed, recovered, addresses);
                keeper.core = Some(core.expect("the disk fits"));
                keeper.life += 1;
                keeper.led = false;
            }
        }
    }

    fn disturb(&mut self) {
        match self.rng.random_range(0..3_000) {
            0 => self.kill_keeper(),
            1 | 2 => self.cut_keeper(),
            3 => self.kill_entry(),
            10..200 => self.call_operator(),
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

    /// Cuts a keeper off in one direction or both.
    fn cut_keeper(&mut self) {
        let index = self.rng.random_range(0..KEEPERS);
        let until = self.now + DurationMs::new(self.rng.random_range(10..20_000));
        let way = self.rng.random_range(0..3);
        let keeper = &mut self.keepers[index];
        if way != 0 {
            keeper.cut_in_until = until;
        }
        if way != 1 {
            keeper.cut_out_until = until;
        }
        self.report.cuts += 1;
    }

    /// An entry dies; what it was dealt may be in use until its leases run out.
    fn kill_entry(&mut self) {
        let index = self.rng.random_range(0..self.entries.len());
        let dead = self.entries.swap_remove(index);
        let until = dead.lease_until;
        self.dead_entries.push((dead, until));
        self.add_entry();
    }

    fn call_operator(&mut self) {
        let call = self.operators.draw(&mut self.rng);
        let index = self.rng.random_range(0..KEEPERS);
        self.send_call(index, call.clone());
        // A second operator races with the same number, or the first one sends again.
        let mut rival = call;
        if self.rng.random_range(0..2) == 0 {
            rival.running = self.rng.random_range(1..30);
        }
        let index = self.rng.random_range(0..KEEPERS);
        self.send_call(index, rival);
    }

    fn send_call(&mut self, index: usize, call: SimCall) {
        let token = ReplyToken(self.draw_number());
        let event = KeeperEvent::Operator {
            token,
            call: call.operator_call(),
        };
        let keeper = &mut self.keepers[index];
        if keeper.core.is_some() {
            keeper.callers.insert(token, Caller::Operator(call));
            self.feed(index, vec![event]);
        }
    }

    fn claim(&mut self) {
        let index = self.rng.random_range(0..self.entries.len());
        let number = self.draw_number();
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
            let number = self.draw_number();
            let entry = &mut self.entries[index];
            if let Some(request) = entry.poll(self.now, number, &mut self.rng) {
                let (id, keeper) = (entry.id, entry.keeper);
                self.send_request(id, keeper, number, request);
            }
        }
    }

    fn send_request(&mut self, entry: Incarnation, to: usize, number: u64, request: KeeperRequest) {
        self.requests.insert(number, entry);
        self.post(Parcel::Request(to, number, request));
    }

    fn post(&mut self, parcel: Parcel) {
        let delay = DurationMs::new(self.rng.random_range(0..5));
        let number = self.draw_number();
        self.parcels.insert((self.now + delay, number), parcel);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.parcels.first_entry()
            && entry.key().0 <= self.now
        {
            let parcel = entry.remove();
            self.deliver_one(parcel);
        }
    }

    fn is_cut(&self, from: Option<usize>, to: Option<usize>) -> bool {
        let cut_out = from.is_some_and(|index| self.now < self.keepers[index].cut_out_until);
        let cut_in = to.is_some_and(|index| self.now < self.keepers[index].cut_in_until);
        cut_out || cut_in
    }

    fn deliver_one(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Message(from, to, message) => {
                let sender = from.0 as usize - 1;
                let lost = self.rng.random_range(0..100) < LOSS_PERCENT;
                if !lost && !self.is_cut(Some(sender), Some(to)) {
                    self.feed(to, vec![KeeperEvent::Received { from, message }]);
                }
            }
            Parcel::Synced(index, life, work) if self.keepers[index].life == life => {
                if self.keepers[index].core.is_some() {
                    let done = perform(&mut self.keepers[index].disk, work);
                    let up_to = done.expect("memory is writable").expect("there was work");
                    self.feed(index, vec![KeeperEvent::Synced { up_to }]);
                }
            }
            Parcel::Encoded(to, life, index, data) if self.keepers[to].life == life => {
                self.feed(to, vec![KeeperEvent::SnapshotEncoded { index, data }]);
            }
            Parcel::Synced(..) | Parcel::Encoded(..) => {}
            Parcel::Request(to, number, request) => {
                if self.keepers[to].core.is_some() && !self.is_cut(None, Some(to)) {
                    let token = ReplyToken(self.draw_number());
                    let callers = &mut self.keepers[to].callers;
                    callers.insert(token, Caller::Entry(number));
                    self.feed(to, vec![KeeperEvent::Request { token, request }]);
                }
            }
            Parcel::Reply(number, reply) => self.take_entry_reply(number, reply),
            Parcel::Forward(from, token, to, call) => self.deliver_forward(from, token, to, call),
            Parcel::Forwarded(to, life, token, reply) if self.keepers[to].life == life => {
                self.feed(to, vec![KeeperEvent::Forwarded { token, reply }]);
            }
            Parcel::Forwarded(..) => {}
        }
    }

    fn deliver_forward(&mut self, from: usize, token: ReplyToken, to: usize, call: OperatorCall) {
        let life = self.keepers[from].life;
        if self.keepers[to].core.is_none() || self.is_cut(Some(from), Some(to)) {
            return self.post(Parcel::Forwarded(from, life, token, None));
        }
        let own = ReplyToken(self.draw_number());
        let caller = Caller::Keeper(from, life, token);
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
        self.feed(to, vec![event]);
    }

    fn tick(&mut self) {
        for index in 0..KEEPERS {
            let due = self.keepers[index]
                .core
                .as_ref()
                .map(KeeperCore::next_deadline);
            if due.is_some_and(|due| due <= self.now) {
                self.feed(index, vec![KeeperEvent::Tick]);
            }
        }
    }

    fn feed(&mut self, index: usize, events: Vec<KeeperEvent>) {
        let Some(core) = &mut self.keepers[index].core else {
            return;
        };
        let mut actions = Vec::new();
        core.handle_all(self.now, events, &mut actions);
        assert!(core.take_failure().is_none(), "no keeper fails");
        let leads = core.is_leading();
        if leads && !self.keepers[index].led {
            self.report.elections += 1;
        }
        self.keepers[index].led = leads;
        let mut work = Vec::new();
        for action in actions {
            self.do_action(index, action, &mut work);
        }
        if !work.is_empty() {
            self.write(index, work);
        }
    }

    /// The disk does its work in order.
    fn write(&mut self, index: usize, work: Vec<DiskWork>) {
        let delay = DurationMs::new(self.rng.random_range(0..5));
        let number = self.draw_number();
        let keeper = &mut self.keepers[index];
        keeper.disk_free = keeper.disk_free.max(self.now) + delay;
        let parcel = Parcel::Synced(index, keeper.life, work);
        self.parcels.insert((keeper.disk_free, number), parcel);
    }

    fn do_action(&mut self, index: usize, action: KeeperAction, work: &mut Vec<DiskWork>) {
        match action {
            KeeperAction::Send { to, message } => {
                let from = KeeperId(index as u64 + 1);
                self.post(Parcel::Message(from, to.0 as usize - 1, message));
            }
            KeeperAction::Persist(item) => work.push(item),
            KeeperAction::EncodeSnapshot { index: at, state } => {
                let data = state.encode().expect("the state has a binary form");
                let life = self.keepers[index].life;
                self.post(Parcel::Encoded(index, life, at, data));
            }
            KeeperAction::Reply { token, reply } => self.take_reply(index, token, reply),
            KeeperAction::Forward { token, to, call } => {
                self.post(Parcel::Forward(index, token, to.0 as usize - 1, call));
            }
            KeeperAction::UpdateKeepers(_) | KeeperAction::Drained => {}
        }
    }

    fn take_reply(&mut self, index: usize, token: ReplyToken, reply: KeeperReply) {
        let caller = self.keepers[index].callers.remove(&token);
        let cut = self.is_cut(Some(index), None);
        match caller.expect("every request is answered once") {
            Caller::Entry(number) if !cut => self.post(Parcel::Reply(number, reply)),
            Caller::Entry(_) => {}
            Caller::Keeper(to, life, token) => {
                let reply = (!cut).then_some(reply);
                self.post(Parcel::Forwarded(to, life, token, reply));
            }
            Caller::Operator(call) => self.take_operator_reply(&call, &reply),
        }
    }

    fn take_operator_reply(&mut self, call: &SimCall, reply: &KeeperReply) {
        let KeeperReply::Operator { status, body } = reply else {
            panic!("an operator gets an operator's answer");
        };
        let accepted = self.operators.take_answer(call, *status, body);
        if let Some(version) = accepted.filter(|_| call.wait) {
            self.report.in_force += 1;
            self.check_in_force(version);
        }
    }

    /// No entry that may still work holds an older configuration.
    fn check_in_force(&self, version: u64) {
        for entry in &self.entries {
            assert!(
                entry.lease_until <= self.now || entry.config.0 >= version,
                "entry {} works with {} although {version} is in force",
                entry.id,
                entry.config
            );
        }
    }

    fn take_entry_reply(&mut self, number: u64, reply: KeeperReply) {
        let Some(id) = self.requests.remove(&number) else {
            return;
        };
        let Some(index) = self.entries.iter().position(|entry| entry.id == id) else {
            return;
        };
        match reply {
            KeeperReply::Claims(replies) => self.take_claim(index, number, &replies),
            reply => {
                let entry = &mut self.entries[index];
                entry.take_sync(self.now, number, reply, &mut self.rng);
            }
        }
    }

    fn take_claim(&mut self, index: usize, number: u64, replies: &[ClaimReply]) {
        let entry = &mut self.entries[index];
        let Some((_, _, request)) = entry.claim.take_if(|claim| claim.0 == number) else {
            return;
        };
        match &replies[0] {
            ClaimReply::Granted { epoch, previous } => {
                self.forget_if_over(request.submission);
                self.granted_at.insert(request.submission, self.now);
                let owner = *self
                    .owners
                    .entry((request.submission, *epoch))
                    .or_insert(request.entry);
                assert_eq!(owner, request.entry, "an epoch has one owner");
                assert!(
                    !self.ends.contains_key(&request.submission),
                    "a finished submission is not opened again"
                );
                self.report.granted += 1;
                self.report.adopted += u64::from(previous.is_some());
                self.end_claim(index, &request, *epoch);
            }
            ClaimReply::Ended(end) => {
                let first = self.ends.entry(end.submission).or_insert(end.clone());
                assert_eq!(first, end, "a finished submission keeps its answer");
            }
            ClaimReply::Busy { .. } | ClaimReply::Full => {}
            ClaimReply::Conflict | ClaimReply::Cancelled => panic!("nothing brings this about"),
        }
    }

    /// Drops what is known of a submission whose retention is over, so that it may run again.
    fn forget_if_over(&mut self, submission: SubmissionId) {
        let granted_at = self.granted_at.get(&submission);
        if granted_at.is_some_and(|at| self.now.since(*at).as_ms() >= RETENTION_MS) {
            self.owners.retain(|(id, _), _| *id != submission);
            self.ends.remove(&submission);
            self.report.forgotten += 1;
        }
    }

    /// Reports some ends, so that others stay for adoption.
    fn end_claim(&mut self, index: usize, request: &ClaimRequest, epoch: Epoch) {
        if self.rng.random_range(0..3) != 0 {
            return;
        }
        let end = EndRecord {
            submission: request.submission,
            epoch,
            result: SubmissionResult::Failed(FailureKind::Deadline),
        };
        let number = self.draw_number();
        let (id, keeper) = (self.entries[index].id, self.entries[index].keeper);
        self.send_request(id, keeper, number, KeeperRequest::Ends(vec![end]));
    }

    /// The shares in use never exceed the largest limit ever set.
    fn check(&mut self) {
        let now = self.now;
        self.dead_entries.retain(|(_, until)| now < *until);
        for customer in CUSTOMERS {
            let customer = CustomerName::from(customer);
            let living = self.entries.iter();
            let dead = self.dead_entries.iter().map(|(entry, _)| entry);
            let sum: u64 = living
                .chain(dead)
                .map(|entry| u64::from(entry.share(now, &customer)))
                .sum();
            assert!(sum <= LARGEST_LIMIT, "{sum} tasks of {customer} may run");
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
