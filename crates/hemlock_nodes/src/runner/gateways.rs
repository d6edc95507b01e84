//! Updates to gateways: outcomes of their runs, changes of the instance, and load reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hemlock_dispatch::prelude::{CrashSuspect, InstanceReport, SessionId};
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tracing::info;

use super::Runner;
use crate::load_reports::{LoadReports, LoadSummary};
use crate::message::{InstanceUpdate, Report, RunnerUpdate};
use crate::update_queue::{PendingUpdate, UpdateQueue};

/// Longest wait for a gateway's answer to an update. A slower gateway keeps its session by pings.
const UPDATE_TIMEOUT: DurationMs = DurationMs::new(700);

/// Connection of one gateway.
struct GatewayLink {
    connection: ConnectionId,
    link: Link,
    /// Set once the gateway's session has begun.
    session: Option<SessionId>,
    updates: Rc<RefCell<UpdateQueue>>,
    reports: LoadReports,
}

/// The connected gateways.
#[derive(Default)]
pub(super) struct Gateways {
    links: RefCell<BTreeMap<Incarnation, GatewayLink>>,
}

impl Gateways {
    pub(super) fn opened(&self, peer: Peer, link: Link) {
        let connection = peer.connection;
        let session = None;
        self.links.borrow_mut().insert(
            peer.incarnation,
            GatewayLink {
                connection,
                link,
                session,
                updates: Rc::default(),
                reports: LoadReports::default(),
            },
        );
    }

    pub(super) fn attached(
        &self,
        gateway: Incarnation,
        connection: ConnectionId,
        session: SessionId,
    ) {
        let mut links = self.links.borrow_mut();
        let link = links.get_mut(&gateway);
        if let Some(link) = link.filter(|link| link.connection == connection) {
            link.session = Some(session);
        }
    }

    /// Removes a closed connection and returns its session. Returns `None` if a later connection
    /// has replaced it.
    fn closed(&self, peer: Peer) -> Option<SessionId> {
        let mut links = self.links.borrow_mut();
        let current = links.get(&peer.incarnation)?;
        if current.connection != peer.connection {
            return None;
        }
        links.remove(&peer.incarnation)?.session
    }

    fn link(&self, gateway: Incarnation) -> Option<(Link, SessionId)> {
        let links = self.links.borrow();
        let link = links.get(&gateway)?;
        Some((link.link.clone(), link.session?))
    }

    fn updates(&self, gateway: Incarnation) -> Option<Rc<RefCell<UpdateQueue>>> {
        let links = self.links.borrow();
        Some(Rc::clone(&links.get(&gateway)?.updates))
    }

    fn note_load_changed(&self) {
        let mut links = self.links.borrow_mut();
        links
            .values_mut()
            .for_each(|link| link.reports.note_changed());
    }

    fn note_reported(&self, gateway: Incarnation, now: Instant, load: LoadSummary) {
        if let Some(link) = self.links.borrow_mut().get_mut(&gateway) {
            link.reports.note_sent(now, load);
        }
    }

    fn note_answered(&self, gateway: Incarnation, took_us: u64) {
        if let Some(link) = self.links.borrow_mut().get_mut(&gateway) {
            link.reports.note_answered(took_us);
        }
    }

    /// The gateways to which a changed load is to be reported, each with the time. One with an
    /// unanswered update is left out until it has answered.
    fn reports_due(&self, load: &LoadSummary) -> Vec<(Instant, Incarnation)> {
        let links = self.links.borrow();
        let in_session = || links.iter().filter(|(_, link)| link.session.is_some());
        let count = in_session().count();
        let is_waiting =
            |link: &GatewayLink| link.reports.is_changed() && !link.updates.borrow().is_in_flight();
        in_session()
            .filter(|(_, link)| is_waiting(link))
            .map(|(gateway, link)| (link.reports.due_at(load, count), *gateway))
            .collect()
    }

    pub(super) fn in_session(&self) -> Vec<Incarnation> {
        let links = self.links.borrow();
        let attached = links.iter().filter(|(_, link)| link.session.is_some());
        attached.map(|(gateway, _)| *gateway).collect()
    }
}

impl Runner {
    pub(super) fn gateway_closed(&self, peer: Peer) {
        if let Some(session) = self.gateways.closed(peer) {
            info!(event = "gateway-disconnected", gateway = %peer.incarnation, session = session.0);
            let owner = Owner::Gateway(peer.incarnation);
            self.runs
                .borrow_mut()
                .owner_closed(self.clock.now(), owner, session);
        }
    }

    /// Reports ended runs and refused starts to their gateways.
    pub(super) fn send_outcomes_to_gateways(
        self: &Rc<Self>,
        outcomes: Vec<(Incarnation, RunOutcome)>,
    ) {
        let mut reports: BTreeMap<Incarnation, Report> = BTreeMap::new();
        for (gateway, outcome) in outcomes {
            let report = reports.entry(gateway).or_default();
            match outcome {
                RunOutcome::Ended(ended, _) => report.ended.push(ended),
                RunOutcome::Refused(refused) => report.refused.push(refused),
            }
        }
        for (gateway, report) in reports {
            self.send_update(gateway, report, None);
        }
    }

    pub(super) fn send_instance_to_gateways(
        self: &Rc<Self>,
        instance: Option<&InstanceReport>,
        runs_lost: bool,
        suspects: &[CrashSuspect],
    ) {
        for gateway in self.gateways.in_session() {
            let update = InstanceUpdate {
                instance: instance.cloned(),
                runs_lost,
                suspects: suspects.to_vec(),
            };
            self.send_update(gateway, Report::default(), Some(update));
        }
    }

    /// Notes that the load may have changed since the last reports.
    pub(super) fn note_load_changed(&self) {
        self.gateways.note_load_changed();
        self.load_reports_due.notify_one();
    }

    /// Notes that a message to the gateway carries the current load.
    pub(super) fn note_load_reported(&self, gateway: Incarnation) {
        let load = self.summarize_load();
        self.gateways.note_reported(gateway, self.clock.now(), load);
    }

    /// Reports the load to the gateways after it has changed. Never returns.
    pub(super) async fn run_load_reports(self: &Rc<Self>) {
        loop {
            let now = self.clock.now();
            let due = self.gateways.reports_due(&self.summarize_load());
            for (_, gateway) in due.iter().filter(|(at, _)| *at <= now) {
                self.send_update(*gateway, Report::default(), None);
            }
            let later = due.iter().map(|(at, _)| *at).filter(|at| *at > now);
            let notified = self.load_reports_due.notified();
            match later.min() {
                // Another change may be worth an earlier report.
                Some(at) => {
                    let wait = std::time::Duration::from_micros(at.micros_since(now));
                    let _ = tokio::time::timeout(wait, notified).await;
                }
                None => notified.await,
            }
        }
    }

    fn summarize_load(&self) -> LoadSummary {
        let runs = self.runs.borrow();
        let report = runs.load_report(self.clock.now(), Owner::Leader);
        let capacity = runs.instance().map_or(0, |i| i.capacity.cpu_milli);
        LoadSummary::new(&report, capacity, runs.used().cpu_milli, runs.running())
    }

    pub(super) fn send_update(
        self: &Rc<Self>,
        gateway: Incarnation,
        report: Report,
        instance: Option<InstanceUpdate>,
    ) {
        // A gateway that reconnects learns the ends of its runs by claiming them.
        let Some(updates) = self.gateways.updates(gateway) else {
            return;
        };
        let first = updates
            .borrow_mut()
            .push(PendingUpdate { report, instance });
        let Some(first) = first else {
            return;
        };
        let runner = Rc::clone(self);
        self.tasks.spawn(async move {
            let mut next = Some(first);
            while let Some(update) = next {
                runner.call_gateway(gateway, update).await;
                next = updates.borrow_mut().finish();
            }
            runner.load_reports_due.notify_one();
        });
    }

    async fn call_gateway(&self, gateway: Incarnation, pending: PendingUpdate) {
        let Some((link, session)) = self.gateways.link(gateway) else {
            return;
        };
        let load_report = self
            .runs
            .borrow()
            .load_report(self.clock.now(), Owner::Gateway(gateway));
        let update = RunnerUpdate {
            agent: self.agent,
            session,
            report: pending.report,
            load_report,
            instance: pending.instance,
        };
        let sent_at = self.clock.now();
        self.note_load_reported(gateway);
        let call = link.call::<_, ()>(&update);
        // A gateway that misses an update gets the ends when it reconnects and claims its runs.
        let _ = tokio::time::timeout(UPDATE_TIMEOUT.as_std(), call).await;
        let took_us = self.clock.now().micros_since(sent_at);
        self.gateways.note_answered(gateway, took_us);
    }
}
