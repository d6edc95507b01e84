//! The router: a state machine that admits and queues work, places its tasks on endpoints and
//! handles their outcomes.

mod admit;
mod callers;
mod cancel;
mod claim;
mod dispatch;
mod endpoints;
mod fence;
mod finish;
mod hedge;
mod loss;
mod settle;
mod sync;
mod tick;
mod wants;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::action::{Action, Actions, Observation};
use crate::admission::{Admission, DeadlineAware};
use crate::arena::Arena;
use crate::contracts::ContractTable;
use crate::estimate::Estimates;
use crate::event::{CallId, Event};
use crate::fleet::{EndpointKey, Fleet};
use crate::meter::StartRateMeter;
use crate::placement::Placement;
use crate::queue::{FairQueue, ServiceKey};
use crate::settings::RouterSettings;
use crate::start_table::StartTable;
use crate::timers::Timers;
use crate::work::{Work, WorkKey};
use callers::LookupPurpose;
use wants::Wants;

/// Cores and memory of a worker, the most that one task there may need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkerSize {
    cores: u32,
    memory_mb: u64,
}

/// State of one service: its queue, the slots requested for it, and its endpoints' capacity.
#[derive(Debug, Default)]
struct ServiceState {
    queue: FairQueue,
    wants: Wants,
    meter: StartRateMeter,
    worker_sizes: Vec<WorkerSize>,
    slots: u64,
    probation: Vec<EndpointKey>,
}

/// Scheduler of one entry: decides which task runs when and where, and how each caller is answered.
///
/// [`Router::apply`] applies one event; [`Router::flush`] then starts the tasks that can start. A
/// batch of events may be applied before one flush, so that the cancellations for one agent are
/// sent in one message.
pub struct Router {
    settings: RouterSettings,
    rng: Pcg64,
    placement: Box<dyn Placement>,
    admission: Box<dyn Admission>,
    contracts: ContractTable,
    fleet: Fleet,
    estimates: Estimates,
    works: Arena<Work>,
    starts: StartTable,
    services: Vec<ServiceState>,
    submissions: HashMap<SubmissionId, WorkKey>,
    lookups: HashMap<CallId, LookupPurpose>,
    timers: Timers,
    services_to_dispatch: BTreeSet<ServiceKey>,
    pending_cancels: BTreeMap<EndpointKey, Vec<RequestId>>,
    lease_until: Instant,
    draining: bool,
    queued: u64,
    claim_count: u64,
}

impl Router {
    /// A router that has no configuration yet and therefore admits nothing.
    pub fn new(settings: RouterSettings, placement: Box<dyn Placement>) -> Self {
        let rng = Pcg64::seed_from_u64(settings.seed);
        Self {
            settings,
            rng,
            placement,
            admission: Box::new(DeadlineAware),
            contracts: ContractTable::default(),
            fleet: Fleet::default(),
            estimates: Estimates::default(),
            works: Arena::default(),
            starts: StartTable::default(),
            services: Vec::new(),
            submissions: HashMap::new(),
            lookups: HashMap::new(),
            timers: Timers::default(),
            services_to_dispatch: BTreeSet::new(),
            pending_cancels: BTreeMap::new(),
            lease_until: Instant::ZERO,
            draining: false,
            queued: 0,
            claim_count: 0,
        }
    }

    /// Replaces the admission rule.
    #[must_use]
    pub fn with_admission(mut self, admission: Box<dyn Admission>) -> Self {
        self.admission = admission;
        self
    }

    /// Calls [`Router::apply`] and then [`Router::flush`].
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Actions) {
        self.apply(now, event, out);
        self.flush(now, out);
    }

    /// Applies one event. [`Router::flush`] must be called before waiting for more events.
    pub fn apply(&mut self, now: Instant, event: Event, out: &mut Actions) {
        match event {
            Event::Submit(submit) => self.submit(now, *submit, out),
            Event::Query { call, submission } => self.query(call, submission, out),
            Event::CancelSubmission { call, submission } => {
                self.cancel_submission(call, submission, out);
            }
            Event::Synced(update) => self.apply_sync(*update, out),
            Event::ClaimAnswered {
                submission,
                attempt,
                reply,
            } => self.claim_answered(now, submission, attempt, reply, out),
            Event::LookupAnswered { call, reply } => self.lookup_answered(call, reply, out),
            Event::CancelRecorded { call, reply } => self.cancel_recorded(call, reply, out),
            Event::LinkUp(agent) => self.link_up(now, agent, out),
            Event::LinkDown(agent) => self.link_down(agent, out),
            Event::Granted { agent, slots } => self.granted(agent, slots),
            Event::Recall {
                agent,
                slots,
                ticket,
            } => self.recall(now, agent, slots, ticket, out),
            Event::Leaving(agent) => self.leaving(agent),
            Event::Pong { agent, draining } => self.pong(agent, draining),
            Event::PingMissed(agent) => self.ping_missed(agent),
            Event::Settled {
                agent,
                request,
                outcome,
                service_us,
                granted,
            } => self.settled(now, agent, request, outcome, service_us, granted, out),
            Event::StartLost {
                agent,
                request,
                loss,
            } => self.start_lost(now, agent, request, loss, out),
            Event::Cancelled { .. } => {}
            Event::Fenced {
                agent,
                submission,
                epoch,
                tasks,
            } => self.fenced(agent, submission, epoch, tasks, out),
            Event::FenceLost {
                agent,
                submission,
                epoch,
            } => self.fence_lost(now, agent, submission, epoch),
            Event::Drain => self.draining = true,
            Event::Tick => {}
        }
    }

    /// Runs all timers that are due, starts the tasks that can start, and sends the cancellations
    /// collected since the last flush.
    pub fn flush(&mut self, now: Instant, out: &mut Actions) {
        self.run_timers(now, out);
        while let Some(service) = self.services_to_dispatch.pop_first() {
            self.dispatch(now, service, out);
        }
        for (key, requests) in std::mem::take(&mut self.pending_cancels) {
            if let Some(endpoint) = self.fleet.get(key) {
                let agent = endpoint.announcement.agent;
                out.push(Action::Cancel { agent, requests });
            }
        }
    }

    /// When the next timer is due. [`Event::Tick`] must be handled by then.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Whether the entry may admit work: it holds a valid configuration lease and isn't draining.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.has_lease(now) && !self.draining
    }

    /// Whether the configuration lease is valid.
    pub fn has_lease(&self, now: Instant) -> bool {
        now < self.lease_until
    }

    /// When the configuration lease expires.
    pub fn lease_until(&self) -> Instant {
        self.lease_until
    }

    /// Whether no work is admitted and no lookup is pending.
    pub fn is_idle(&self) -> bool {
        self.works.is_empty() && self.lookups.is_empty()
    }

    /// The contracts in force.
    pub fn contracts(&self) -> &ContractTable {
        &self.contracts
    }

    /// The known endpoints.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// This entry's demand by contract, for its next report.
    pub fn demand(&mut self, now: Instant) -> Vec<Demand> {
        self.contracts.demand(now)
    }

    /// Number of tasks that are admitted and not yet started.
    pub fn queued(&self) -> u64 {
        self.queued
    }

    /// Number of starts in flight. A lost start, whose outcome is unknown, counts until its
    /// deadline.
    pub fn in_flight(&self) -> usize {
        self.starts.len()
    }

    fn service(&mut self, key: ServiceKey) -> &mut ServiceState {
        let index = key.0 as usize;
        if self.services.len() <= index {
            self.services.resize_with(index + 1, ServiceState::default);
        }
        &mut self.services[index]
    }

    fn endpoint_changed(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.fleet.get(key) {
            self.placement.update(key, endpoint);
            self.services_to_dispatch.insert(endpoint.service);
        }
    }

    fn observe(out: &mut Actions, observation: Observation) {
        out.push(Action::Observe(observation));
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Router")
            .field("entry", &self.settings.entry)
            .field("queued", &self.queued)
            .field("in_flight", &self.starts.len())
            .finish_non_exhaustive()
    }
}
