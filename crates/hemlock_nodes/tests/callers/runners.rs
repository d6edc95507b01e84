//! Simulated runners: the state of the runs with the sessions of gateways, and the calls to the
//! instance.

use std::collections::BTreeMap;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::listing_backoff::ListingBackoff;
use hemlock_nodes::message::{
    InstanceUpdate, Report, RunnerReply, RunnerRequest, RunnerUpdate, SentAt,
};
use hemlock_nodes::update_queue::{PendingUpdate, UpdateQueue};
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;

use super::instances::{CallResult, InstanceCall};
use super::network::Message;
use super::{Action, MS, Node, Simulation};

const TICK_INTERVAL: u64 = 50 * MS;
const LEASE_MARGIN_MS: u64 = 100;
const UPDATE_TIMEOUT: u64 = 700 * MS;
const IDLE_HOLD_MS: u64 = 100;
const BUSY_HOLD_MS: u64 = 20;
const LISTING_ANSWER_TIMEOUT_MS: u64 = 100;
const UNSETTLED_DELAY: u64 = 10 * MS;
const GONE_DELAY: u64 = 200 * MS;
const CONFIRMATION_TIMEOUT_MS: u64 = 1_500;
const CALL_TIMEOUT: u64 = 100 * MS;
const RESEND_AFTER: u64 = 25 * MS;
const MAX_ATTEMPTS: u32 = 4;
const MAX_LISTING_ATTEMPTS: u32 = 2;
/// Time after a change of the load at which it is reported.
const LOAD_REPORT_DELAY: u64 = 5 * MS;

pub(super) enum RunnerEvent {
    Message(u64, Message),
    Tick,
    /// The next listing is due, unless it was made earlier.
    Listing(u64),
    LoadReport,
    UpdateTimeout(u64),
    Heartbeat(Heartbeat),
    Leave(String),
    /// A heartbeat that an earlier process has recorded.
    Restore(InstanceReport),
    Confirm(Heartbeat, Instant, ListingBackoff),
    Answer(u64, u32, CallResult),
    AttemptTimeout(u64, u32),
    Resend(u64),
}

struct GatewayLink {
    connection: u64,
    session: Option<SessionId>,
    is_changed: bool,
}

enum Purpose {
    Run,
    Listing(ListCall, Instant),
    Confirmation(Heartbeat, Instant, Instant, ListingBackoff),
}

/// A call that is repeated while it is unanswered.
struct HedgedCall {
    call: InstanceCall,
    purpose: Purpose,
    attempts: u32,
    open: Vec<u32>,
    max_attempts: u32,
    resend_after: u64,
    timeout: u64,
    next_attempt_at: u64,
    losses_before: u64,
}

pub(super) struct Runner {
    runs: Runs,
    started_at: u64,
    links: BTreeMap<u64, GatewayLink>,
    /// Update queues by connection.
    queues: BTreeMap<u64, UpdateQueue>,
    /// Unanswered updates: the gateway, the queue's connection and the one that carries it.
    updates: BTreeMap<u64, (u64, u64, u64)>,
    calls: BTreeMap<u64, HedgedCall>,
    losses: u64,
    backoff: ListingBackoff,
    listing_timer: u64,
    is_listing: bool,
    /// Whether the pending listing may be made earlier.
    is_delay_short: bool,
    is_load_report_due: bool,
    unconfirmed: usize,
    recorded: Option<InstanceReport>,
}

impl Simulation {
    fn new_runner(&mut self, recorded: Option<InstanceReport>) -> Runner {
        let fence = self.next_number();
        Runner {
            runs: Runs::new(RunsSettings::default(), fence, self.now()),
            started_at: self.now_us,
            links: BTreeMap::new(),
            queues: BTreeMap::new(),
            updates: BTreeMap::new(),
            calls: BTreeMap::new(),
            losses: 0,
            backoff: ListingBackoff::default(),
            listing_timer: 0,
            is_listing: false,
            is_delay_short: false,
            is_load_report_due: false,
            unconfirmed: 0,
            recorded,
        }
    }

    pub(super) fn add_runner(&mut self, index: usize) {
        self.start_process(Node::Runner(index));
        let runner = self.new_runner(None);
        self.runners.push(runner);
        self.begin_runner(index);
    }

    pub(super) fn restart_runner(&mut self, index: usize) {
        self.start_process(Node::Runner(index));
        let recorded = self.runners[index].recorded.take();
        self.runners[index] = self.new_runner(recorded.clone());
        if let Some(recorded) = recorded.filter(|_| self.rng_bool()) {
            let at = self.now_us + self.between(20, 400) * MS;
            let restore = Action::Runner(RunnerEvent::Restore(recorded));
            self.push_to(Node::Runner(index), at, restore);
        }
        self.begin_runner(index);
    }

    fn rng_bool(&mut self) -> bool {
        self.chance(700)
    }

    fn begin_runner(&mut self, index: usize) {
        let node = Node::Runner(index);
        let at = self.now_us + self.between(1, 50) * MS;
        self.push_to(node, at, Action::Runner(RunnerEvent::Tick));
        self.list_at(index, self.now_us, false);
    }

    pub(super) fn handle_runner_event(&mut self, index: usize, event: RunnerEvent) {
        match event {
            RunnerEvent::Message(connection, message) => {
                self.runner_receives(index, connection, message);
            }
            RunnerEvent::Tick => self.tick(index),
            RunnerEvent::Listing(timer) => {
                if self.runners[index].listing_timer == timer && !self.runners[index].is_listing {
                    self.make_listing(index);
                }
            }
            RunnerEvent::LoadReport => self.report_load(index),
            RunnerEvent::UpdateTimeout(call) => self.finish_update(index, call),
            RunnerEvent::Heartbeat(heartbeat) => self.handle_heartbeat(index, heartbeat),
            RunnerEvent::Leave(name) => {
                let change = self.runners[index].runs.instance_left(&name);
                self.report_instance_change(index, change);
                self.notify_listing(index);
            }
            RunnerEvent::Restore(recorded) => {
                if self.runners[index].runs.instance().is_none() {
                    let heartbeat = Heartbeat {
                        instance: recorded,
                        sequence: 0,
                        cold_left_ms: 0,
                    };
                    self.request_confirmation(index, heartbeat);
                }
            }
            RunnerEvent::Confirm(heartbeat, received_at, backoff) => {
                self.ask_for_confirmation(index, heartbeat, received_at, backoff);
            }
            RunnerEvent::Answer(call, attempt, result) => {
                self.attempt_answered(index, call, attempt, &result);
            }
            RunnerEvent::AttemptTimeout(call, attempt) => {
                self.attempt_answered(index, call, attempt, &CallResult::Unanswered);
            }
            RunnerEvent::Resend(call) => self.resend(index, call),
        }
    }

    fn tick(&mut self, index: usize) {
        let at = self.now_us + TICK_INTERVAL;
        self.push_to(Node::Runner(index), at, Action::Runner(RunnerEvent::Tick));
        let now = self.now();
        let calls = self.runners[index].runs.tick(now);
        self.make_calls(index, calls);
        self.report_outcomes(index);
    }

    fn knows_runs(&mut self, index: usize) -> bool {
        let now_us = self.now_us;
        let runner = &mut self.runners[index];
        let longest_us = (runner.runs.longest_lease().as_ms() + LEASE_MARGIN_MS) * MS;
        if now_us > runner.started_at + longest_us {
            runner.runs.note_leases_expired();
        }
        runner.runs.knows_runs()
    }

    // Gateways.

    fn runner_receives(&mut self, index: usize, id: u64, message: Message) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.closed_by_runner {
            return;
        }
        let gateway = connection.gateway_process;
        match message {
            Message::Hello => self.send_to_gateway(id, Message::Challenge),
            Message::Open => {
                let link = GatewayLink {
                    connection: id,
                    session: None,
                    is_changed: false,
                };
                self.runners[index].links.insert(gateway, link);
                self.runners[index]
                    .queues
                    .insert(id, UpdateQueue::default());
                self.send_to_gateway(id, Message::Welcome);
            }
            Message::Request(call, request) => {
                let reply = self.handle_request(index, id, gateway, *request);
                self.send_to_gateway(id, Message::Reply(call, Box::new(reply)));
            }
            Message::Updated(call) => self.finish_update(index, call),
            Message::Closed => {
                connection.closed_by_runner = true;
                self.runner_connection_closed(index, id, gateway);
            }
            _ => {}
        }
    }

    fn runner_connection_closed(&mut self, index: usize, id: u64, gateway: u64) {
        let now = self.now();
        let runner = &mut self.runners[index];
        if runner
            .links
            .get(&gateway)
            .is_some_and(|link| link.connection == id)
        {
            let link = runner.links.remove(&gateway);
            if let Some(session) = link.and_then(|link| link.session) {
                let owner = Owner::Gateway(Incarnation(gateway));
                runner.runs.owner_closed(now, owner, session);
            }
        }
        let updates = runner.updates.iter();
        let lost = updates.filter(|(_, (_, _, carrier))| *carrier == id);
        let lost: Vec<u64> = lost.map(|(call, _)| *call).collect();
        for call in lost {
            self.finish_update(index, call);
        }
    }

    fn handle_request(
        &mut self,
        index: usize,
        connection: u64,
        gateway: u64,
        request: RunnerRequest,
    ) -> RunnerReply {
        let now = self.now();
        let owner = Owner::Gateway(Incarnation(gateway));
        match request {
            RunnerRequest::Order(order, SentAt(sent_us)) => {
                let runs = &mut self.runners[index].runs;
                let sent_at = runs.estimate_sent(now, owner, sent_us);
                let (calls, refused) = runs.handle_order_sent(now, sent_at, owner, order);
                for start in &refused {
                    self.note_task(start.task, start.run, index, "start refused by the runner");
                }
                self.make_calls(index, calls);
                self.report_outcomes(index);
                self.note_load_changed(index);
                let load_report = self.runners[index].runs.load_report(now, owner);
                RunnerReply::Ordered(refused, load_report)
            }
            RunnerRequest::Attach(..) if !self.knows_runs(index) => RunnerReply::VoidSession,
            RunnerRequest::Attach(session, claims, SentAt(sent_us)) => {
                let runner = &mut self.runners[index];
                let link = runner.links.get_mut(&gateway);
                if let Some(link) = link.filter(|link| link.connection == connection) {
                    link.session = Some(session);
                }
                let inventory = runner.runs.attach(now, owner, session, &claims);
                runner.runs.estimate_sent(now, owner, sent_us);
                RunnerReply::Attached(inventory, runner.runs.load_report(now, owner))
            }
            RunnerRequest::Ping(session, SentAt(sent_us)) => {
                let runs = &mut self.runners[index].runs;
                let sent_at = runs.estimate_sent(now, owner, sent_us);
                match runs.gateway_pinged(now, owner, session, sent_at) {
                    true => RunnerReply::Alive(runs.load_report(now, owner)),
                    false => RunnerReply::VoidSession,
                }
            }
        }
    }

    fn report_outcomes(&mut self, index: usize) {
        let outcomes = self.runners[index].runs.take_gateway_outbox();
        if outcomes.is_empty() {
            return;
        }
        self.note_load_changed(index);
        let mut reports: BTreeMap<u64, Report> = BTreeMap::new();
        for (owner, outcome) in outcomes {
            let Owner::Gateway(gateway) = owner else {
                continue;
            };
            let report = reports.entry(gateway.0).or_default();
            match outcome {
                RunOutcome::Ended(ended, _) => {
                    let text = match ended.end {
                        Some(RunEnd::Done) => "runner reports done",
                        Some(RunEnd::Crashed(_)) => "runner reports crashed",
                        Some(RunEnd::Lapsed) => "runner reports lapsed",
                        Some(RunEnd::Stopped) => "runner reports stopped",
                        _ => "runner reports another end",
                    };
                    self.note_task(ended.task, ended.run, index, text);
                    report.ended.push(ended);
                }
                RunOutcome::Refused(refused) => {
                    self.note_task(refused.task, refused.run, index, "runner reports refused");
                    report.refused.push(refused);
                }
            }
        }
        for (gateway, report) in reports {
            let instance = None;
            self.send_update(index, gateway, PendingUpdate { report, instance });
        }
    }

    fn report_instance_change(&mut self, index: usize, change: InstanceChange) {
        let runs_lost = change == InstanceChange::RunsLost;
        if runs_lost {
            self.runners[index].losses += 1;
        }
        self.report_outcomes(index);
        if change == InstanceChange::None {
            return;
        }
        let runner = &mut self.runners[index];
        let instance = runner.runs.instance().cloned();
        if instance.is_some() {
            runner.recorded.clone_from(&instance);
        }
        let suspects = runner.runs.take_crash_suspects();
        let links = runner.links.iter();
        let in_session = links.filter(|(_, link)| link.session.is_some());
        let gateways: Vec<u64> = in_session.map(|(gateway, _)| *gateway).collect();
        for gateway in gateways {
            let update = InstanceUpdate {
                instance: instance.clone(),
                runs_lost,
                suspects: suspects.clone(),
            };
            let pending = PendingUpdate {
                report: Report::default(),
                instance: Some(update),
            };
            self.send_update(index, gateway, pending);
        }
    }

    fn send_update(&mut self, index: usize, gateway: u64, update: PendingUpdate) {
        let runner = &mut self.runners[index];
        let Some(connection) = runner.links.get(&gateway).map(|link| link.connection) else {
            return;
        };
        let queue = runner.queues.entry(connection).or_default();
        if let Some(first) = queue.push(update) {
            self.call_gateway(index, gateway, connection, first);
        }
    }

    /// Sends an update over the gateway's present connection, which may not be that of the queue.
    fn call_gateway(&mut self, index: usize, gateway: u64, queue: u64, update: PendingUpdate) {
        let now = self.now();
        let runner = &mut self.runners[index];
        let mut next = Some(update);
        while let Some(update) = next.take() {
            let link = runner.links.get_mut(&gateway);
            let Some((link, session)) = link.and_then(|l| l.session.map(|s| (l, s))) else {
                next = runner.queues.get_mut(&queue).and_then(UpdateQueue::finish);
                continue;
            };
            link.is_changed = false;
            let carrier = link.connection;
            let owner = Owner::Gateway(Incarnation(gateway));
            let update = RunnerUpdate {
                agent: AgentId(index as u64),
                session,
                report: update.report,
                load_report: runner.runs.load_report(now, owner),
                instance: update.instance,
            };
            let call = self.next_number();
            self.runners[index]
                .updates
                .insert(call, (gateway, queue, carrier));
            let timeout = Action::Runner(RunnerEvent::UpdateTimeout(call));
            self.push_to(Node::Runner(index), self.now_us + UPDATE_TIMEOUT, timeout);
            self.send_to_gateway(carrier, Message::Update(call, Box::new(update)));
            return;
        }
    }

    fn finish_update(&mut self, index: usize, call: u64) {
        let runner = &mut self.runners[index];
        let Some((gateway, queue, _)) = runner.updates.remove(&call) else {
            return;
        };
        let next = runner.queues.get_mut(&queue).and_then(UpdateQueue::finish);
        match next {
            Some(next) => self.call_gateway(index, gateway, queue, next),
            None => self.plan_load_report(index),
        }
    }

    fn note_load_changed(&mut self, index: usize) {
        let links = self.runners[index].links.values_mut();
        links.for_each(|link| link.is_changed = true);
        self.plan_load_report(index);
    }

    fn plan_load_report(&mut self, index: usize) {
        if !std::mem::replace(&mut self.runners[index].is_load_report_due, true) {
            let at = self.now_us + LOAD_REPORT_DELAY;
            let report = Action::Runner(RunnerEvent::LoadReport);
            self.push_to(Node::Runner(index), at, report);
        }
    }

    fn report_load(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        runner.is_load_report_due = false;
        let queues = &runner.queues;
        let due = runner.links.iter().filter(|(_, link)| {
            let queue = queues.get(&link.connection);
            link.is_changed && link.session.is_some() && queue.is_some_and(|q| !q.is_in_flight())
        });
        let due: Vec<u64> = due.map(|(gateway, _)| *gateway).collect();
        for gateway in due {
            self.send_update(index, gateway, PendingUpdate::default());
        }
    }

    // Listings.

    fn list_at(&mut self, index: usize, at: u64, may_be_earlier: bool) {
        let timer = self.next_number();
        self.runners[index].listing_timer = timer;
        self.runners[index].is_listing = false;
        self.runners[index].is_delay_short = may_be_earlier;
        let listing = Action::Runner(RunnerEvent::Listing(timer));
        self.push_to(Node::Runner(index), at, listing);
    }

    fn notify_listing(&mut self, index: usize) {
        if !self.runners[index].is_listing && self.runners[index].is_delay_short {
            self.list_at(index, self.now_us, false);
        }
    }

    fn next_listing(&mut self, index: usize) {
        match self.runners[index].runs.has_unsettled_ends() {
            true => self.list_at(index, self.now_us + UNSETTLED_DELAY, true),
            false => self.list_at(index, self.now_us, false),
        }
    }

    fn make_listing(&mut self, index: usize) {
        let now = self.now();
        let runs = &mut self.runners[index].runs;
        let wait_ms = match runs.running() {
            _ if runs.has_unsettled_ends() => 0,
            0 => IDLE_HOLD_MS,
            _ => BUSY_HOLD_MS,
        };
        let call = ListCall {
            fence: runs.fence(),
            born_ms: runs.born_ms(),
            lease_until_ms: runs.renew_lease(now),
            settled: runs.settled(),
            wait_ms,
            timeout_ms: wait_ms + LISTING_ANSWER_TIMEOUT_MS,
        };
        self.runners[index].is_listing = true;
        self.begin_call(index, InstanceCall::List(call), Purpose::Listing(call, now));
    }

    fn listing_answered(
        &mut self,
        index: usize,
        call: ListCall,
        sent_at: Instant,
        answer: Result<Listing, ListError>,
    ) {
        let now = self.now();
        self.runners[index].is_listing = false;
        if self.runners[index].runs.fence() != call.fence {
            self.next_listing(index);
            return;
        }
        let predates = self.runners[index].runs.predates_incarnation(sent_at);
        match answer {
            Err(ListError::Gone | ListError::OtherInstance) if predates => self.next_listing(index),
            Ok(listing) => {
                self.runners[index].backoff.reset();
                let runs = &mut self.runners[index].runs;
                let (change, calls) = runs.handle_listing(now, sent_at, &listing);
                self.report_instance_change(index, change);
                self.make_calls(index, calls);
                self.report_outcomes(index);
                self.next_listing(index);
            }
            Err(ListError::Unanswered) => {
                let change = self.runners[index].runs.expire_silent_instance(now);
                self.report_instance_change(index, change);
                let delay = self.runners[index].backoff.next_delay().as_ms() * MS;
                self.list_at(index, self.now_us + delay, false);
            }
            Err(ListError::Gone | ListError::OtherInstance) => {
                let change = self.runners[index].runs.instance_lost(now, sent_at);
                self.report_instance_change(index, change);
                self.list_at(index, self.now_us + GONE_DELAY, true);
            }
            Err(ListError::Fenced) => match self.runners[index].runs.handle_fenced() {
                FenceAction::Retry => self.next_listing(index),
                FenceAction::StepDown => self.kill(Node::Runner(index), MS),
            },
        }
    }

    // Heartbeats.

    fn handle_heartbeat(&mut self, index: usize, heartbeat: Heartbeat) {
        let now = self.now();
        match self.runners[index].runs.heartbeat_received(now, &heartbeat) {
            HeartbeatOutcome::Handled(change) => self.apply_heartbeat(index, change),
            HeartbeatOutcome::Unconfirmed => self.request_confirmation(index, heartbeat),
        }
    }

    fn apply_heartbeat(&mut self, index: usize, change: InstanceChange) {
        if change != InstanceChange::None {
            self.notify_listing(index);
        }
        self.report_instance_change(index, change);
    }

    fn request_confirmation(&mut self, index: usize, heartbeat: Heartbeat) {
        if self.runners[index].unconfirmed < 8 {
            self.runners[index].unconfirmed += 1;
            self.ask_for_confirmation(index, heartbeat, self.now(), ListingBackoff::default());
        }
    }

    fn ask_for_confirmation(
        &mut self,
        index: usize,
        heartbeat: Heartbeat,
        received_at: Instant,
        backoff: ListingBackoff,
    ) {
        let now = self.now();
        if now > received_at + DurationMs::new(CONFIRMATION_TIMEOUT_MS) {
            self.runners[index].unconfirmed -= 1;
            return;
        }
        let fence = self.runners[index].runs.fence();
        let purpose = Purpose::Confirmation(heartbeat, received_at, now, backoff);
        self.begin_call(index, InstanceCall::Identify(fence), purpose);
    }

    fn confirmation_answered(
        &mut self,
        index: usize,
        heartbeat: Heartbeat,
        received_at: Instant,
        asked_at: Instant,
        mut backoff: ListingBackoff,
        answer: Result<Listing, ListError>,
    ) {
        let now = self.now();
        match answer {
            Ok(listing) => {
                let runs = &mut self.runners[index].runs;
                match runs.confirm_heartbeat(now, asked_at, &heartbeat, &listing) {
                    Confirmation::Confirmed(change, calls) => {
                        self.runners[index].unconfirmed -= 1;
                        self.apply_heartbeat(index, change);
                        self.make_calls(index, calls);
                    }
                    Confirmation::Refuted => self.runners[index].unconfirmed -= 1,
                    Confirmation::Outdated => {
                        self.ask_for_confirmation(index, heartbeat, received_at, backoff);
                    }
                }
            }
            Err(_) => {
                let at = self.now_us + backoff.next_delay().as_ms() * MS;
                let event = RunnerEvent::Confirm(heartbeat, received_at, backoff);
                self.push_to(Node::Runner(index), at, Action::Runner(event));
            }
        }
    }

    // Calls to the instance.

    fn make_calls(&mut self, index: usize, calls: Vec<DriverCall>) {
        for call in calls {
            let call = match call {
                DriverCall::Start(call) => {
                    self.note_task(call.task, call.run, index, "start call");
                    InstanceCall::Start(call)
                }
                DriverCall::Stop(call) => {
                    self.note_task(call.task, call.run, index, "stop call");
                    InstanceCall::Stop(call)
                }
            };
            self.begin_call(index, call, Purpose::Run);
        }
    }

    fn begin_call(&mut self, index: usize, call: InstanceCall, purpose: Purpose) {
        let (max_attempts, resend_after, timeout) = match &call {
            InstanceCall::Start(_) | InstanceCall::Stop(_) => {
                (MAX_ATTEMPTS, RESEND_AFTER, CALL_TIMEOUT)
            }
            InstanceCall::List(call) => (
                MAX_LISTING_ATTEMPTS,
                call.wait_ms * MS + RESEND_AFTER,
                call.timeout_ms * MS,
            ),
            InstanceCall::Identify(_) => (MAX_LISTING_ATTEMPTS, RESEND_AFTER, CALL_TIMEOUT),
        };
        let id = self.next_number();
        let hedged = HedgedCall {
            call,
            purpose,
            attempts: 0,
            open: Vec::new(),
            max_attempts,
            resend_after,
            timeout,
            next_attempt_at: 0,
            losses_before: self.runners[index].losses,
        };
        self.runners[index].calls.insert(id, hedged);
        self.attempt(index, id);
    }

    fn attempt(&mut self, index: usize, id: u64) {
        let now_us = self.now_us;
        let Some(hedged) = self.runners[index].calls.get_mut(&id) else {
            return;
        };
        hedged.attempts += 1;
        let attempt = hedged.attempts;
        hedged.open.push(attempt);
        hedged.next_attempt_at = now_us + hedged.resend_after;
        let (call, timeout) = (hedged.call.clone(), hedged.timeout);
        let resend_at = hedged.next_attempt_at;
        let may_repeat = attempt < hedged.max_attempts;
        let node = Node::Runner(index);
        let timed_out = Action::Runner(RunnerEvent::AttemptTimeout(id, attempt));
        self.push_to(node, now_us + timeout, timed_out);
        if may_repeat {
            let resend = Action::Runner(RunnerEvent::Resend(id));
            self.push_to(node, resend_at, resend);
        }
        self.call_instance(index, id, attempt, call);
    }

    fn may_repeat(&self, index: usize, hedged: &HedgedCall) -> bool {
        hedged.attempts < hedged.max_attempts && self.runners[index].losses == hedged.losses_before
    }

    fn resend(&mut self, index: usize, id: u64) {
        let Some(hedged) = self.runners[index].calls.get(&id) else {
            return;
        };
        if self.now_us < hedged.next_attempt_at {
            return;
        }
        if self.may_repeat(index, hedged) {
            self.attempt(index, id);
        } else if hedged.open.is_empty() {
            self.finish_call(index, id, &CallResult::Unanswered);
        }
    }

    fn attempt_answered(&mut self, index: usize, id: u64, attempt: u32, result: &CallResult) {
        let Some(hedged) = self.runners[index].calls.get_mut(&id) else {
            return;
        };
        let Some(position) = hedged.open.iter().position(|open| *open == attempt) else {
            return;
        };
        hedged.open.swap_remove(position);
        let is_answer = !matches!(result, CallResult::Unanswered);
        if is_answer {
            self.finish_call(index, id, result);
            return;
        }
        let hedged = &self.runners[index].calls[&id];
        let may_repeat = self.may_repeat(index, hedged);
        match hedged.open.is_empty() {
            false => {}
            true if !may_repeat => self.finish_call(index, id, result),
            // Further repetitions wait for the time of the next attempt.
            true if hedged.attempts > 1 && self.now_us < hedged.next_attempt_at => {}
            true => self.attempt(index, id),
        }
    }

    fn finish_call(&mut self, index: usize, id: u64, result: &CallResult) {
        let now = self.now();
        let Some(hedged) = self.runners[index].calls.remove(&id) else {
            return;
        };
        let listing = match result {
            CallResult::Listed(listing) => Ok(listing.as_ref().clone()),
            CallResult::ListFailed(error) => Err(*error),
            _ => Err(ListError::Unanswered),
        };
        match (hedged.call, hedged.purpose) {
            (InstanceCall::Start(call), _) => {
                let result = match result {
                    CallResult::Start(StartResult::Refused(_)) if hedged.attempts > 1 => {
                        StartResult::Unanswered
                    }
                    CallResult::Start(result) => *result,
                    _ => StartResult::Unanswered,
                };
                let text = match result {
                    StartResult::Started => "start answered: started",
                    StartResult::Refused(_) => "start answered: refused",
                    StartResult::Fenced => "start answered: fenced",
                    StartResult::Unanswered => "start unanswered",
                };
                self.note_task(call.task, call.run, index, text);
                let runs = &mut self.runners[index].runs;
                let follow_up = runs.start_answered(now, &call, result);
                self.report_outcomes(index);
                self.make_calls(index, follow_up.into_iter().collect());
            }
            (InstanceCall::Stop(call), _) => {
                let result = match result {
                    CallResult::Stop(result) => *result,
                    _ => StopResult::Unanswered,
                };
                let text = match result {
                    StopResult::Accepted => "stop answered: accepted",
                    StopResult::Fenced => "stop answered: fenced",
                    StopResult::Unanswered => "stop unanswered",
                };
                self.note_task(call.task, call.run, index, text);
                self.runners[index].runs.stop_answered(now, &call, result);
                self.notify_listing(index);
            }
            (_, Purpose::Listing(call, sent_at)) => {
                self.listing_answered(index, call, sent_at, listing);
            }
            (_, Purpose::Confirmation(heartbeat, received_at, asked_at, backoff)) => {
                self.confirmation_answered(
                    index,
                    heartbeat,
                    received_at,
                    asked_at,
                    backoff,
                    listing,
                );
            }
            (InstanceCall::List(_) | InstanceCall::Identify(_), Purpose::Run) => {}
        }
    }
}
