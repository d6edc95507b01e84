//! The process beside one instance: starts and stops runs on the orders of gateways and the leader,
//! renews the runs' leases, and reports every end to the run's owner.

mod error;
mod gateways;
mod heartbeats;
mod listing;
mod service;
mod session;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;

use hemlock_dispatch::prelude::{RunReport, SessionId};
use hemlock_jobs::prelude::{AgentId, Evacuations};
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tracing::{info, warn};

use crate::connector::{Connector, Seeds};
use crate::evacuations::log_evacuations;
use crate::hedge::HedgedDriver;
use crate::message::{Reply, Report, Request};
use crate::run_log::log_ownership_changes;
use crate::task_set::TaskSet;
pub use error::RunnerError;
use gateways::Gateways;
use service::RunnerService;

/// Longest wait for the leader to record ends, which covers a stalled sync and an election.
const REPORT_TIMEOUT: DurationMs = DurationMs::new(2_500);
/// Time after which ends are reported again that the leader has deferred. It decides on them once all
/// runners have reported, or their leases have lapsed.
const DEFERRED_REPORT_DELAY: DurationMs = DurationMs::new(100);
/// Added to the longest lease for calls of an earlier process that were still in transit.
const LEASE_MARGIN: DurationMs = DurationMs::new(100);
/// Interval of timer-driven work.
const TICK_INTERVAL: DurationMs = DurationMs::new(50);

/// Settings of a runner.
pub struct RunnerSettings {
    /// Identity that it presents to peers.
    pub identity: Identity,
    /// Address on which it listens for gateways, which connect to the one in its agent id.
    pub listen_address: SocketAddr,
    /// Its agent id, which stays the same across restarts.
    pub agent: AgentId,
    /// Reads the addresses of possible keepers from the current settings.
    pub seeds: Seeds,
    /// Leases and timeouts of its runs.
    pub runs: RunsSettings,
    /// Fencing token, higher than that of any earlier process beside the instance.
    pub fence: u64,
}

/// Runs tasks on one instance.
pub struct Runner {
    agent: AgentId,
    listen_address: SocketAddr,
    identity: Rc<Identity>,
    service: Rc<RunnerService>,
    connector: Connector,
    driver: HedgedDriver,
    runs: RefCell<Runs>,
    gateways: Gateways,
    /// Whether the leader has adopted the inventory, so that changes may be reported to it.
    leader_adopted: Cell<bool>,
    /// Whether the instance was suspended when this was last logged.
    suspended: Cell<bool>,
    /// Number of entries of the last listing that can't be used.
    unusable_entries: Cell<usize>,
    /// Number of heartbeats that wait for an answer of the instance that they name.
    unconfirmed_heartbeats: Cell<usize>,
    clock: SystemClock,
    /// Notified when the next listing must not wait for its delay.
    listing_due: Notify,
    /// Notified when a load report may be due earlier than before.
    load_reports_due: Notify,
    tasks: TaskSet,
}

impl Runner {
    /// Creates a runner that is not connected yet.
    pub fn new(settings: RunnerSettings, driver: Rc<dyn InstanceDriver>) -> Rc<Self> {
        let identity = Rc::new(settings.identity);
        Rc::new_cyclic(|runner| {
            let clock = SystemClock::start();
            let service = Rc::new(RunnerService::new(runner.clone()));
            let as_service: Rc<dyn Service> = Rc::clone(&service) as Rc<dyn Service>;
            Self {
                agent: settings.agent,
                listen_address: settings.listen_address,
                identity: Rc::clone(&identity),
                service,
                connector: Connector::new(identity, as_service, settings.seeds),
                driver: HedgedDriver::new(driver),
                runs: RefCell::new(Runs::new(settings.runs, settings.fence, clock.now())),
                gateways: Gateways::default(),
                leader_adopted: Cell::new(false),
                suspended: Cell::new(false),
                unusable_entries: Cell::new(0),
                unconfirmed_heartbeats: Cell::new(0),
                clock,
                listing_due: Notify::new(),
                load_reports_due: Notify::new(),
                tasks: TaskSet::default(),
            }
        })
    }

    /// Serves gateways and the leader, and renews the leases of runs. Returns only on an error.
    ///
    /// # Errors
    ///
    /// Fails when listening on the address fails, and with [`RunnerError::Superseded`] once a later
    /// process has taken over the instance.
    pub async fn run(self: &Rc<Self>) -> Result<(), RunnerError> {
        let listener = self.bind().map_err(RunnerError::Bind)?;
        let service: Rc<dyn Service> = Rc::clone(&self.service) as Rc<dyn Service>;
        let identity = Rc::clone(&self.identity);
        tokio::select! {
            () = serve(listener, identity, service, std::future::pending()) => {}
            () = self.maintain_leader_session() => {}
            () = self.run_listings() => return Err(RunnerError::Superseded),
            () = self.run_timer() => {}
            () = self.run_load_reports() => {}
        }
        Ok(())
    }

    fn bind(&self) -> Result<TcpListener, std::io::Error> {
        let listener = StdListener::bind(self.listen_address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    }

    /// Whether all runs on the instance are known: it has listed them, or all leases of an earlier
    /// process have expired.
    fn knows_runs(&self) -> bool {
        let mut runs = self.runs.borrow_mut();
        // The clock starts at zero with this process, which knows no time on the instance's clock,
        // and so renews no lease, before its first listing.
        let longest_lease = runs.longest_lease();
        if self.clock.now() > Instant::ZERO + longest_lease + LEASE_MARGIN {
            runs.note_leases_expired();
        }
        runs.knows_runs()
    }

    async fn run_timer(self: &Rc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL.as_std()).await;
            let calls = self.runs.borrow_mut().tick(self.clock.now());
            log_ownership_changes(self.runs.borrow_mut().take_ownership_changes());
            self.make_calls(calls);
            self.report_outcomes();
            self.note_suspension();
            self.record_shares();
        }
    }

    /// Tells the gateways when the instance is suspended or given work again.
    fn note_suspension(&self) {
        let suspended = self.runs.borrow().is_suspended();
        if self.suspended.replace(suspended) == suspended {
            return;
        }
        info!(event = "instance-suspension", suspended);
        metrics::gauge!("hemlock_runner_instance_suspended").set(f64::from(u8::from(suspended)));
        self.note_load_changed();
    }

    /// Sets the metrics of the owners' shares.
    fn record_shares(&self) {
        let now = self.clock.now();
        let runs = self.runs.borrow();
        let shares = runs.shares(now);
        let cpu_milli = |share: Option<&(Owner, u64)>| share.map_or(0.0, |(_, cpu)| *cpu as f64);
        metrics::gauge!("hemlock_runner_owners").set(shares.len() as f64);
        metrics::gauge!("hemlock_runner_demand_cpu_milli").set(runs.demand_cpu_milli(now) as f64);
        let (largest, smallest) = (cpu_milli(shares.first()), cpu_milli(shares.last()));
        metrics::gauge!("hemlock_runner_share_cpu_milli", "rank" => "largest").set(largest);
        metrics::gauge!("hemlock_runner_share_cpu_milli", "rank" => "smallest").set(smallest);
    }

    /// Refuses starts in the evacuated failure domains from now on, and tells the gateways at once
    /// what they may order. Returns whether the evacuations are newer than the known ones.
    fn note_evacuations(self: &Rc<Self>, evacuations: &Evacuations) -> bool {
        let newer = self.runs.borrow_mut().note_evacuations(evacuations);
        if newer {
            log_evacuations(evacuations);
            self.report_outcomes();
            for gateway in self.gateways.in_session() {
                self.send_update(gateway, Report::default(), None);
            }
        }
        newer
    }

    /// Reports a change of the instance to the leader and all gateways.
    fn report_instance_change(self: &Rc<Self>, change: InstanceChange) {
        let runs_lost = change == InstanceChange::RunsLost;
        if runs_lost {
            metrics::counter!("hemlock_runner_instance_losses_total").increment(1);
            self.driver.note_instance_lost();
        }
        self.report_outcomes();
        if change == InstanceChange::None {
            return;
        }
        let instance = self.runs.borrow().instance().cloned();
        let suspects = self.runs.borrow_mut().take_crash_suspects();
        if runs_lost && !suspects.is_empty() {
            let tasks: Vec<String> = suspects.iter().map(|s| s.task.to_string()).collect();
            warn!(event = "crash-suspects", tasks = ?tasks);
        }
        self.send_instance_to_gateways(instance.as_ref(), runs_lost, &suspects);
        let session = self.runs.borrow().session(Owner::Leader);
        if let Some(session) = session.filter(|_| self.leader_adopted.get()) {
            let request = Request::InstanceChanged(self.agent, session, instance, runs_lost);
            self.send_to_leader(request);
        }
    }

    /// Reports ended runs and refused starts to their owners.
    fn report_outcomes(self: &Rc<Self>) {
        let outcomes = match self.leader_adopted.get() {
            true => self.runs.borrow_mut().take_outbox(),
            false => self.runs.borrow_mut().take_gateway_outbox(),
        };
        if outcomes.is_empty() {
            return;
        }
        self.note_suspension();
        self.note_load_changed();
        let mut to_leader = Report::default();
        let mut to_gateways = Vec::new();
        for (owner, outcome) in outcomes {
            match outcome {
                RunOutcome::Ended(ended, _) => {
                    let end = ended.end.map_or_else(String::new, |end| end.to_string());
                    metrics::counter!("hemlock_runner_ends_total", "end" => end).increment(1);
                    metrics::histogram!("hemlock_runner_run_ms").record(ended.took_ms as f64);
                    info!(event = "run-ended", task = %ended.task, run = ended.run.0,
                           owner = ?owner, end = ended.end.map(tracing::field::display),
                           took_ms = ended.took_ms);
                }
                RunOutcome::Refused(refused) => {
                    let reason = refused.reason.to_string();
                    metrics::counter!("hemlock_runner_refused_total", "reason" => reason)
                        .increment(1);
                    info!(event = "start-failed", task = %refused.task, run = refused.run.0,
                          owner = ?owner, reason = %refused.reason);
                }
            }
            match (owner, outcome) {
                (Owner::Leader, RunOutcome::Ended(ended, _)) => to_leader.ended.push(ended),
                (Owner::Leader, RunOutcome::Refused(refused)) => to_leader.refused.push(refused),
                (Owner::Gateway(gateway), outcome) => to_gateways.push((gateway, outcome)),
            }
        }
        self.send_outcomes_to_gateways(to_gateways);
        let session = self.runs.borrow().session(Owner::Leader);
        match session {
            // Without an adopted session, the next session's inventory contains the report.
            Some(session) if self.leader_adopted.get() && to_leader != Report::default() => {
                let request = Request::Report(self.agent, session, to_leader);
                self.send_to_leader(request);
            }
            Some(_) | None => {}
        }
    }

    /// Sends a request to the leader, and settles the ends in it that the leader confirms.
    fn send_to_leader(self: &Rc<Self>, request: Request) {
        let runner = Rc::clone(self);
        self.tasks.spawn(async move {
            let Some(link) = runner.connector.leader() else {
                return;
            };
            let call = link.call::<_, Reply>(&request);
            let answer = tokio::time::timeout(REPORT_TIMEOUT.as_std(), call).await;
            let deferred = match answer {
                Ok(Ok(Reply::Done)) => Vec::new(),
                Ok(Ok(Reply::Deferred(deferred))) => deferred,
                // The next session's inventory contains the request's content.
                Ok(_) | Err(_) => return runner.connector.discard(&link),
            };
            if let Request::Report(_, session, report) = &request {
                let confirmed = report.ended.iter().filter(|end| !deferred.contains(end));
                runner.runs.borrow_mut().settle_reports(confirmed);
                runner.report_again(*session, deferred);
            }
            runner.listing_due.notify_one();
        });
    }

    /// Reports ends again that the leader has deferred, unless the session has ended meanwhile.
    fn report_again(self: &Rc<Self>, session: SessionId, deferred: Vec<RunReport>) {
        if deferred.is_empty() {
            return;
        }
        let runner = Rc::clone(self);
        self.tasks.spawn(async move {
            tokio::time::sleep(DEFERRED_REPORT_DELAY.as_std()).await;
            let is_current = runner.runs.borrow().session(Owner::Leader) == Some(session);
            // A later session's inventory contains the ends.
            if is_current && runner.leader_adopted.get() {
                let report = Report {
                    ended: deferred,
                    refused: Vec::new(),
                };
                runner.send_to_leader(Request::Report(runner.agent, session, report));
            }
        });
    }

    /// Makes calls to the instance and handles their answers.
    fn make_calls(self: &Rc<Self>, calls: Vec<DriverCall>) {
        for call in calls {
            let runner = Rc::clone(self);
            self.tasks
                .spawn(async move { runner.make_call(call).await });
        }
    }

    async fn make_call(self: Rc<Self>, call: DriverCall) {
        match call {
            DriverCall::Start(call) => {
                let sent_at = self.clock.now();
                let (ordered_by, instance) = {
                    let runs = self.runs.borrow();
                    let instance = runs.instance().map(|instance| instance.id.clone());
                    (runs.owner_of(call.task, call.run), instance)
                };
                let result = self.driver.start(call.clone()).await;
                let took_ms = self.clock.now().since(sent_at).as_ms() as f64;
                metrics::histogram!("hemlock_runner_start_ms").record(took_ms);
                info!(event = "start", task = %call.task, run = call.run.0, fence = call.fence,
                       owner = ordered_by.as_ref().map(|(owner, _)| tracing::field::debug(owner)),
                       session = ordered_by.map(|(_, session)| session.0),
                       instance = instance.as_ref().map(tracing::field::display),
                       lease_until_ms = call.lease_until_ms, took_ms, result = ?result);
                let now = self.clock.now();
                let follow_up = self.runs.borrow_mut().start_answered(now, &call, result);
                self.report_outcomes();
                self.make_calls(follow_up.into_iter().collect());
            }
            DriverCall::Stop(call) => {
                let result = self.driver.stop(call).await;
                info!(event = "stop", task = %call.task, run = call.run.0, fence = call.fence,
                       result = ?result);
                let now = self.clock.now();
                self.runs.borrow_mut().stop_answered(now, &call, result);
                self.listing_due.notify_one();
            }
        }
    }
}
