//! The control loop: drives the replicated log, applies committed commands, and dispatches jobs.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::sync::mpsc;
use tracing::{info, warn};

use super::CoordinatorSettings;
use super::disk::Disk;
use super::error::CoordinatorError;
use super::evacuations::{answer_operator, log_abandoned};
use super::handle::ConfigureAnswer;
use super::input::Input;
use super::peers::Peers;
use super::service::CoordinatorService;
use super::waiters::{CommandWaiter, ReadWaiter, reply};
use super::watchers::Watchers;
use crate::confinement::log_confinement_changes;
use crate::message::{CallerAnswer, EvacuationAnswer, Reply, RunnerReply, RunnerRequest};
use crate::run_log::log_expired_agents;
use crate::task_set::TaskSet;

/// Most inputs handled in one iteration.
const MAX_INPUTS_PER_ITERATION: usize = 512;
/// Commands that arrive within this interval share one log entry, because each entry costs a sync
/// and a message to every follower regardless of its size.
const BATCH_INTERVAL: DurationMs = DurationMs::new(3);
/// Longest wait for a runner's answer to an order.
const ORDER_TIMEOUT: DurationMs = DurationMs::new(800);
/// Longest time that a planned stop waits for the leadership transfer.
const DRAIN_TIMEOUT: DurationMs = DurationMs::new(1_000);

/// The commands of one proposal and their waiters, in order.
type CommandWaiters = Vec<(Command, CommandWaiter)>;

/// State of the control loop.
pub(super) struct Control {
    pub(super) settings: CoordinatorSettings,
    pub(super) quorum: Quorum,
    pub(super) store: JobStore,
    /// Set while this keeper leads and its first command is committed.
    pub(super) dispatcher: Option<Dispatcher>,
    pub(super) clock: SystemClock,
    pub(super) now: Instant,
    /// Gateways that wait for a newer configuration or other agents.
    pub(super) watchers: Watchers,
    /// Session and connection of each registered runner.
    pub(super) sessions: HashMap<AgentId, (SessionId, ConnectionId)>,
    /// Agents whose removal from the record was proposed and is not yet applied.
    pub(super) delisting: BTreeSet<AgentId>,
    term: Option<Term>,
    disk: Disk,
    peers: Peers,
    service: Rc<CoordinatorService>,
    inputs: mpsc::UnboundedSender<Input>,
    orders: TaskSet,
    pub(super) events: Vec<Event>,
    pending_commands: CommandWaiters,
    pub(super) queued_reads: Vec<ReadWaiter>,
    proposals: HashMap<ProposalToken, (Instant, CommandWaiters)>,
    pub(super) unconfirmed_reads: HashMap<ProposalToken, Vec<ReadWaiter>>,
    applied: HashMap<LogIndex, Vec<ApplyOutcome>>,
    next_token: u64,
    last_batch: Instant,
    /// The job store's time in milliseconds and this keeper's clock, both read when it became
    /// leader. Batches are timestamped from them, so that the store's time never goes back.
    store_clock: (u64, Instant),
    drain_until: Option<Instant>,
    failure: Option<CoordinatorError>,
    /// Role of this keeper and the leader, as last logged.
    logged_role: (QuorumRole, Option<KeeperId>),
    /// Version of the evacuations that were logged last.
    pub(super) logged_evacuations: u64,
}

impl Control {
    pub(super) fn new(
        settings: CoordinatorSettings,
        quorum: Quorum,
        disk: Disk,
        peers: Peers,
        service: Rc<CoordinatorService>,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        let store = JobStore::new(settings.retention_ms);
        Self {
            settings,
            quorum,
            store,
            dispatcher: None,
            clock: SystemClock::start(),
            now: Instant::ZERO,
            watchers: Watchers::default(),
            sessions: HashMap::new(),
            delisting: BTreeSet::new(),
            term: None,
            disk,
            peers,
            service,
            inputs,
            orders: TaskSet::default(),
            events: Vec::new(),
            pending_commands: Vec::new(),
            queued_reads: Vec::new(),
            proposals: HashMap::new(),
            unconfirmed_reads: HashMap::new(),
            applied: HashMap::new(),
            next_token: 0,
            last_batch: Instant::ZERO,
            store_clock: (0, Instant::ZERO),
            drain_until: None,
            failure: None,
            logged_role: (QuorumRole::Follower, None),
            logged_evacuations: 0,
        }
    }

    /// Runs until a planned stop is complete or an error prevents further work.
    pub(super) async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<Input>,
    ) -> Result<(), CoordinatorError> {
        self.events.push(Event::Tick);
        loop {
            self.process_events()?;
            if self.is_drained() {
                return Ok(());
            }
            let wait_us = self.next_deadline().micros_since(self.clock.now());
            let wait = std::time::Duration::from_micros(wait_us);
            // A timeout loses no input: `recv` is cancel-safe.
            match tokio::time::timeout(wait, inputs.recv()).await {
                Ok(Some(input)) => self.handle_input(input),
                Ok(None) => return Ok(()),
                Err(_) => {}
            }
            for _ in 1..MAX_INPUTS_PER_ITERATION {
                match inputs.try_recv() {
                    Ok(input) => self.handle_input(input),
                    Err(_) => break,
                }
            }
            self.events.push(Event::Tick);
        }
    }

    fn handle_input(&mut self, input: Input) {
        self.now = self.clock.now();
        match input {
            Input::Request(peer, request, answer) => self.handle_request(peer, request, answer),
            Input::Received(from, message) => {
                self.events.push(Event::Received { from, message });
            }
            Input::Closed(connection) => self.close_sessions(connection),
            Input::Configure(configuration, answer) => {
                let waiter = CommandWaiter::Operator(answer);
                self.propose(Command::Configure(configuration), waiter);
            }
            Input::Evacuation(change, answer) => self.change_evacuations(change, answer),
            Input::Read(answer) => self.read(ReadWaiter::Configuration(answer)),
            Input::OrderAnswered(agent, session, refused, withheld_percent) => {
                if let Some(dispatcher) = self.dispatcher.as_mut() {
                    dispatcher.set_withheld(agent, session, withheld_percent);
                }
                self.handle_refused_starts(agent, session, &refused);
            }
            Input::OrderLost(agent, session) => self.close_session(agent, session),
            Input::Synced(up_to) => self.events.push(Event::Synced { up_to }),
            Input::DiskFailed(error) => self.failure = Some(error.into()),
            Input::Drain => {
                info!(event = "drain-begun", leading = self.dispatcher.is_some());
                self.drain_until = Some(self.now + DRAIN_TIMEOUT);
                self.events.push(Event::TransferLeadership { to: None });
            }
        }
    }

    /// Passes pending events to the replicated log and performs its actions, until none are left.
    fn process_events(&mut self) -> Result<(), CoordinatorError> {
        loop {
            self.now = self.clock.now();
            self.send_orders();
            self.answer_watchers();
            self.flush_reads();
            self.flush_commands();
            if self.events.is_empty() {
                return self.failure.take().map_or(Ok(()), Err);
            }
            let events = std::mem::take(&mut self.events);
            let mut actions = Vec::new();
            self.quorum.handle_all(self.now, events, &mut actions);
            let mut disk_work = Vec::new();
            for action in actions {
                match action {
                    Action::Persist(item) => disk_work.push(item),
                    action => self.perform_action(action)?,
                }
            }
            self.log_role_change();
            if !disk_work.is_empty() {
                self.disk.enqueue(disk_work);
            }
        }
    }

    /// Logs a change of this keeper's role or of the leader.
    fn log_role_change(&mut self) {
        let logged_role = (self.quorum.role(), self.quorum.leader());
        if logged_role == self.logged_role {
            return;
        }
        self.logged_role = logged_role;
        info!(
            event = "role-changed",
            role = ?logged_role.0,
            leader = logged_role.1.map(|leader| leader.0),
            term = self.quorum.term().0,
            leader_silent_ms = self.quorum.leader_silence().as_ms(),
        );
    }

    fn perform_action(&mut self, action: Action) -> Result<(), CoordinatorError> {
        match action {
            Action::Send { to, message } => self.peers.send(to, message),
            Action::Persist(_) => {}
            Action::Restore(snapshot) => {
                self.store.restore(&snapshot.data)?;
                self.note_evacuations();
            }
            Action::Apply(entry) => self.apply(&entry),
            Action::TakeSnapshot { index } => {
                let data = self.store.snapshot()?;
                self.events.push(Event::SnapshotTaken { index, data });
            }
            Action::ProposalDone { token, result } => self.proposal_done(token, result),
            Action::ReadDone { token, result } => self.read_done(token, result.is_ok()),
            Action::BecameLeader { term } => self.begin_leading(term),
            Action::LostLeadership { term } => self.end_leading(term),
        }
        Ok(())
    }

    fn next_deadline(&self) -> Instant {
        let batch = match self.pending_commands.is_empty() {
            true => None,
            false => Some(self.last_batch + BATCH_INTERVAL),
        };
        let dispatch = self.dispatcher.as_ref().map(Dispatcher::next_deadline);
        let times = [
            batch,
            dispatch,
            self.drain_until,
            self.watchers.next_timeout(),
        ];
        let quorum = self.quorum.next_deadline();
        times.into_iter().flatten().fold(quorum, Instant::min)
    }

    fn is_drained(&self) -> bool {
        let leads = self.term.is_some();
        self.drain_until
            .is_some_and(|until| !leads || self.now >= until)
    }

    fn begin_leading(&mut self, term: Term) {
        info!(
            event = "leading",
            term = term.0,
            jobs = self.store.jobs().count(),
            configuration = self.store.configuration().map(|c| c.version),
        );
        self.term = Some(term);
        metrics::gauge!("hemlock_coordinator_leading").set(1.0);
        self.store_clock = (self.store.now_ms(), self.now);
        self.propose(Command::Lead, CommandWaiter::Lead);
    }

    fn end_leading(&mut self, term: Term) {
        warn!(event = "leadership-lost", term = term.0);
        self.term = None;
        metrics::gauge!("hemlock_coordinator_leading").set(0.0);
        self.dispatcher = None;
        self.sessions.clear();
        self.delisting.clear();
        for answer in self.watchers.drain() {
            reply(answer, Reply::NotLeader);
        }
        for (_, waiter) in std::mem::take(&mut self.pending_commands) {
            self.refuse(waiter);
        }
    }

    fn begin_dispatching(&mut self) {
        if self.term.is_none() {
            return;
        }
        let dispatcher = Dispatcher::new(self.now, self.settings.dispatch, &self.store);
        info!(
            event = "dispatching",
            generation = self.store.generation(),
            open_jobs = dispatcher.open_jobs(),
            agents_expected = self.store.agents().len(),
        );
        self.dispatcher = Some(dispatcher);
    }

    /// Whether this keeper dispatches and its leader lease is valid, so that no other keeper can
    /// lead yet.
    pub(super) fn has_leader_lease(&self) -> bool {
        let until = self.quorum.lease_until();
        self.dispatcher.is_some() && until.is_some_and(|until| self.clock.now() < until)
    }

    /// Whether this keeper leads, even if it has committed nothing yet.
    pub(super) fn is_leading(&self) -> bool {
        self.term.is_some()
    }

    pub(super) fn propose(&mut self, command: Command, waiter: CommandWaiter) {
        match self.term {
            Some(_) => self.pending_commands.push((command, waiter)),
            None => self.refuse(waiter),
        }
    }

    fn flush_commands(&mut self) {
        if self.pending_commands.is_empty() || self.now < self.last_batch + BATCH_INTERVAL {
            return;
        }
        self.drop_abandoned_commands();
        if self.pending_commands.is_empty() {
            return;
        }
        self.last_batch = self.now;
        let (base_ms, since) = self.store_clock;
        let at_ms = base_ms + self.now.since(since).as_ms();
        let (commands, waiters): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_commands)
            .into_iter()
            .map(|(command, waiter)| (command.clone(), (command, waiter)))
            .unzip();
        let batch = Batch::new(at_ms, commands);
        match encode(&batch) {
            Ok(command) => {
                let token = self.allocate_token();
                self.proposals.insert(token, (self.now, waiters));
                self.events.push(Event::Propose { token, command });
            }
            Err(error) => {
                warn!(event = "batch-not-encoded", %error);
                waiters
                    .into_iter()
                    .for_each(|(_, waiter)| self.refuse(waiter));
            }
        }
    }

    /// Drops changes of the evacuations whose operators have left. They may have withdrawn their
    /// requests since, and a late change would stay in force.
    fn drop_abandoned_commands(&mut self) {
        self.pending_commands.retain(|(_, waiter)| match waiter {
            CommandWaiter::Evacuation(change, answer) if answer.is_closed() => {
                log_abandoned(change);
                false
            }
            _ => true,
        });
    }

    pub(super) fn allocate_token(&mut self) -> ProposalToken {
        self.next_token += 1;
        ProposalToken(self.next_token)
    }

    fn apply(&mut self, entry: &Entry) {
        let Some(command) = entry.command() else {
            return;
        };
        let batch: Batch = match decode(command) {
            Ok(batch) => batch,
            Err(error) => {
                // Every keeper reads the same bytes, so all of them skip this entry.
                warn!(event = "entry-unreadable", index = entry.index.0, %error);
                return;
            }
        };
        let before = self.store.configuration().map(|held| held.version);
        let evacuations_before = self.store.evacuations().version();
        let results = self.store.apply(&batch);
        let after = self.store.configuration().map(|held| held.version);
        assert!(before <= after, "the configuration version decreased");
        assert!(
            evacuations_before <= self.store.evacuations().version(),
            "the version of the evacuations decreased"
        );
        self.note_evacuations();
        if before != after {
            info!(
                event = "configured",
                version = after,
                before,
                index = entry.index.0
            );
        }
        for (command, result) in batch.commands.iter().zip(&results) {
            self.notify_dispatcher(command, *result);
        }
        if self.term.is_some() {
            self.applied.insert(entry.index, results);
        }
    }

    /// Notifies the dispatcher of the effect of a command.
    fn notify_dispatcher(&mut self, command: &Command, result: ApplyOutcome) {
        let (now, store) = (self.now, &self.store);
        let Some(dispatcher) = self.dispatcher.as_mut() else {
            return;
        };
        match (command, result) {
            (Command::Accept(acceptance), ApplyOutcome::Accepted) => {
                let open = store.job(acceptance.id).and_then(JobRecord::open);
                if let Some(open) = open {
                    dispatcher.job_accepted(now, acceptance.id, &acceptance.queue, open);
                }
            }
            (Command::Configure(configuration), ApplyOutcome::Configured) => {
                dispatcher.configure(configuration);
            }
            (Command::Evacuate(_) | Command::EndEvacuation(_), _) => {
                dispatcher.set_evacuations(store.evacuations());
            }
            (Command::Delist(agent), _) => {
                self.delisting.remove(agent);
            }
            (Command::Cancel(id), ApplyOutcome::Ended(_)) => dispatcher.job_ended(*id),
            (Command::End(key, _, _), ApplyOutcome::Ended(outcome)) => {
                info!(event = "job-ended", job = %key.job, outcome = ?outcome);
                dispatcher.job_ended(key.job);
            }
            (Command::End(key, run, end), ApplyOutcome::Done) => {
                dispatcher.end_recorded(now, *key, *run, *end);
            }
            _ => {}
        }
    }

    fn proposal_done(&mut self, token: ProposalToken, result: Result<LogIndex, ProposeError>) {
        let Some((proposed_at, waiting)) = self.proposals.remove(&token) else {
            return;
        };
        let index = match result {
            Ok(index) => index,
            Err(error) => {
                let undecided = matches!(error, ProposeError::Undecided(_));
                warn!(event = "commands-not-committed", reason = %error, count = waiting.len());
                for (_, waiter) in waiting {
                    match undecided {
                        true => self.answer_undecided(waiter),
                        false => self.refuse(waiter),
                    }
                }
                return;
            }
        };
        let took_ms = self.now.since(proposed_at).as_ms() as f64;
        metrics::histogram!("hemlock_coordinator_commit_ms").record(took_ms);
        metrics::counter!("hemlock_coordinator_commands_total").increment(waiting.len() as u64);
        let results = self.applied.remove(&index).unwrap_or_default();
        for ((command, waiter), result) in waiting.into_iter().zip(results) {
            self.answer_committed(&command, waiter, result);
        }
    }

    fn answer_committed(&mut self, command: &Command, waiter: CommandWaiter, result: ApplyOutcome) {
        match waiter {
            CommandWaiter::Nobody => {}
            CommandWaiter::Lead => self.begin_dispatching(),
            CommandWaiter::Group(group) => group.command_committed(),
            CommandWaiter::Registration(agent, answer) => self.register(agent, answer),
            CommandWaiter::Operator(answer) => {
                // The operator may have disconnected, and then sends its request again.
                let _ = answer.send(ConfigureAnswer::Done);
            }
            CommandWaiter::Evacuation(change, answer) => {
                let version = self.store.evacuations().version();
                answer_operator(&change, answer, EvacuationAnswer::Done(version));
            }
            CommandWaiter::Caller(answer) => {
                let caller_answer = match (command, result) {
                    (Command::Accept(_), _) => CallerAnswer::Accepted,
                    (_, ApplyOutcome::Unknown) => CallerAnswer::NoSuchJob,
                    _ => CallerAnswer::Canceled,
                };
                reply(answer, Reply::Call(caller_answer));
            }
        }
    }

    /// Answers a waiter whose command had no effect.
    fn refuse(&mut self, waiter: CommandWaiter) {
        match waiter {
            CommandWaiter::Nobody | CommandWaiter::Lead => {}
            CommandWaiter::Group(group) => group.fail(),
            CommandWaiter::Caller(answer) | CommandWaiter::Registration(_, answer) => {
                reply(answer, Reply::NotLeader);
            }
            CommandWaiter::Operator(answer) => {
                // The operator may have disconnected, and then sends its request again.
                let _ = answer.send(ConfigureAnswer::NotLeader(self.other_leader()));
            }
            CommandWaiter::Evacuation(change, answer) => {
                let leader = self.other_leader();
                answer_operator(&change, answer, EvacuationAnswer::NotLeader(leader));
            }
        }
    }

    /// Answers a waiter whose command may still take effect.
    fn answer_undecided(&mut self, waiter: CommandWaiter) {
        match waiter {
            CommandWaiter::Caller(answer) => reply(answer, Reply::Undecided),
            CommandWaiter::Operator(answer) => {
                // The operator may have disconnected, and then sends its request again.
                let _ = answer.send(ConfigureAnswer::Undecided);
            }
            CommandWaiter::Evacuation(change, answer) => {
                answer_operator(&change, answer, EvacuationAnswer::Undecided);
            }
            waiter => self.refuse(waiter),
        }
    }

    /// Returns the leader, if it is another keeper.
    pub(super) fn other_leader(&self) -> Option<KeeperId> {
        let own = crate::address::keeper_id(self.settings.address);
        self.quorum.leader().filter(|leader| *leader != own)
    }

    fn send_orders(&mut self) {
        let Some(dispatcher) = self.dispatcher.as_mut() else {
            return;
        };
        for agent in dispatcher.take_missing_agents() {
            info!(event = "agent-missing", agent = agent.0);
            self.delisting.insert(agent);
            self.pending_commands
                .push((Command::Delist(agent), CommandWaiter::Nobody));
        }
        for (task, run) in dispatcher.take_proven_successes() {
            info!(event = "success-proven", task = %task, run = run.0);
            let command = Command::End(task, run, TaskEnd::Done);
            self.pending_commands.push((command, CommandWaiter::Nobody));
        }
        let orders = dispatcher.poll(self.now);
        log_confinement_changes(dispatcher.take_confinement_changes());
        log_expired_agents(dispatcher.take_expired_agents());
        for order in orders {
            let connection = self.sessions.get(&order.agent);
            let connection = connection.filter(|(session, _)| *session == order.session);
            let link = connection.and_then(|(_, connection)| self.service.link(*connection));
            let inputs = self.inputs.clone();
            self.orders.spawn(send_order(link, order, self.now, inputs));
        }
    }
}

/// Sends an order to a runner. Refused starts and a lost order are reported to the control loop.
async fn send_order(
    link: Option<Link>,
    order: Order,
    sent_at: Instant,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let (agent, session) = (order.agent, order.session);
    let request = RunnerRequest::Order(order, sent_at.into());
    let answer = match &link {
        Some(link) => {
            let call = link.call::<_, RunnerReply>(&request);
            let answered = tokio::time::timeout(ORDER_TIMEOUT.as_std(), call).await;
            answered.ok().and_then(Result::ok)
        }
        None => None,
    };
    let input = match answer {
        Some(RunnerReply::Ordered(refused, _)) if refused.is_empty() => return,
        Some(RunnerReply::Ordered(refused, load)) => {
            Input::OrderAnswered(agent, session, refused, load.withheld_percent)
        }
        Some(_) | None => Input::OrderLost(agent, session),
    };
    // Sending fails only when the control loop has ended, and all sessions with it.
    let _ = inputs.send(input);
}
