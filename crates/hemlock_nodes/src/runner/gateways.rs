//! Telling gateways what becomes of their runs, and what is left.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use hemlock_dispatch::prelude::{InstanceReport, SessionId};
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tracing::info;

use super::Runner;
use crate::message::{InstanceNews, Report, RunnerNews};

/// Time that a gateway may take to answer; a slower one is heard again by its pings.
const NEWS_TIMEOUT: DurationMs = DurationMs::new(700);
/// Least time between two tellings of what is left, for each gateway that is told.
const ROOM_PERIOD_PER_GATEWAY: DurationMs = DurationMs::new(3);

/// One gateway's connection.
struct GatewayLink {
    connection: ConnectionId,
    link: Link,
    /// Set once its session has begun.
    session: Option<SessionId>,
}

/// The gateways that are connected.
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

    /// Forgets a connection; its session, unless a later connection has replaced it.
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

    fn in_session(&self) -> Vec<Incarnation> {
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

    /// Tells gateways of ends and of starts that came to nothing.
    pub(super) fn tell_gateways_of(self: &Rc<Self>, outcomes: Vec<(Incarnation, RunOutcome)>) {
        let mut reports: BTreeMap<Incarnation, Report> = BTreeMap::new();
        for (gateway, outcome) in outcomes {
            let report = reports.entry(gateway).or_default();
            match outcome {
                RunOutcome::Ended(ended, _) => report.ended.push(ended),
                RunOutcome::Refused(refused) => report.refused.push(refused),
            }
        }
        for (gateway, report) in reports {
            self.tell_gateway(gateway, report, None);
        }
    }

    pub(super) fn tell_gateways_of_instance(
        self: &Rc<Self>,
        instance: Option<&InstanceReport>,
        runs_lost: bool,
    ) {
        for gateway in self.gateways.in_session() {
            let news = InstanceNews {
                instance: instance.cloned(),
                runs_lost,
            };
            self.tell_gateway(gateway, Report::default(), Some(news));
        }
    }

    /// Tells all gateways what is left, soon after it has changed. Never returns.
    pub(super) async fn keep_telling_room(self: &Rc<Self>) {
        loop {
            self.room_changed.notified().await;
            let gateways = self.gateways.in_session();
            let period_ms = ROOM_PERIOD_PER_GATEWAY.as_ms() * gateways.len().max(1) as u64;
            for gateway in gateways {
                self.tell_gateway(gateway, Report::default(), None);
            }
            tokio::time::sleep(DurationMs::new(period_ms).as_std()).await;
        }
    }

    fn tell_gateway(
        self: &Rc<Self>,
        gateway: Incarnation,
        report: Report,
        instance: Option<InstanceNews>,
    ) {
        // A gateway that returns learns of ends when it claims its runs.
        let Some((link, session)) = self.gateways.link(gateway) else {
            return;
        };
        let news = RunnerNews {
            agent: self.agent,
            session,
            report,
            room: self
                .runs
                .borrow()
                .load_report(self.clock.now(), Owner::Gateway(gateway)),
            instance,
        };
        self.tasks.spawn(async move {
            let call = link.call::<_, ()>(&news);
            // A gateway that is gone notices so by itself, and claims its runs when it returns.
            let _ = tokio::time::timeout(NEWS_TIMEOUT.as_std(), call).await;
        });
    }
}
