//! Handling of requests from the owners of runs.

use std::rc::{Rc, Weak};

use bytes::Bytes;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hemlock_dispatch::prelude::{RefusalReason, SessionId};
use hemlock_runs::prelude::{Owner, RefusedStart};
use hemlock_types::prelude::*;
use hemlock_wire::prelude::*;
use tracing::info;

use super::Runner;
use crate::message::{RunnerReply, RunnerRequest, SentAt};

/// Serves calls from the leader and from gateways.
pub(super) struct RunnerService {
    runner: Weak<Runner>,
}

impl RunnerService {
    pub(super) fn new(runner: Weak<Runner>) -> Self {
        Self { runner }
    }

    fn handle(&self, peer: Peer, frame: &Bytes) -> Result<Bytes, ServiceError> {
        let owner = match peer.role {
            Role::Keeper => Owner::Leader,
            Role::Entry => Owner::Gateway(peer.incarnation),
            Role::Agent | Role::Operator => return Err(ServiceError::Forbidden),
        };
        let request: RunnerRequest = decode(frame)?;
        let runner = self.runner.upgrade().ok_or(ServiceError::Closing)?;
        Ok(encode(&runner.handle_request(owner, peer, request))?)
    }
}

impl Service for RunnerService {
    fn answer(
        &self,
        peer: Peer,
        frame: Bytes,
    ) -> LocalBoxFuture<'static, Result<Bytes, ServiceError>> {
        std::future::ready(self.handle(peer, &frame)).boxed_local()
    }

    fn opened(&self, peer: Peer, link: Link) {
        if let Some(runner) = self.runner.upgrade().filter(|_| peer.role == Role::Entry) {
            runner.gateways.opened(peer, link);
        }
    }

    fn closed(&self, peer: Peer) {
        if let Some(runner) = self.runner.upgrade().filter(|_| peer.role == Role::Entry) {
            runner.gateway_closed(peer);
        }
    }
}

impl Runner {
    fn handle_request(
        self: &Rc<Self>,
        owner: Owner,
        peer: Peer,
        request: RunnerRequest,
    ) -> RunnerReply {
        let now = self.clock.now();
        match (request, owner) {
            (RunnerRequest::Order(order, SentAt(sent_us)), _) => {
                let session = order.session;
                let mut runs = self.runs.borrow_mut();
                let sent_at = runs.estimate_sent(now, owner, sent_us);
                let (calls, refused) = runs.handle_order_sent(now, sent_at, owner, order);
                drop(runs);
                log_late_order(owner, session, now.since(sent_at), &refused);
                self.make_calls(calls);
                self.report_outcomes();
                self.note_load_changed();
                if let Owner::Gateway(gateway) = owner {
                    self.note_load_reported(gateway);
                }
                RunnerReply::Ordered(refused, self.runs.borrow().load_report(now, owner))
            }
            (RunnerRequest::Attach(..), Owner::Gateway(_)) if !self.knows_runs() => {
                // The gateway retries after a short delay.
                RunnerReply::VoidSession
            }
            (RunnerRequest::Attach(session, claims, SentAt(sent_us)), Owner::Gateway(gateway)) => {
                self.gateways.attached(gateway, peer.connection, session);
                let mut runs = self.runs.borrow_mut();
                let inventory = runs.attach(now, owner, session, &claims);
                runs.estimate_sent(now, owner, sent_us);
                RunnerReply::Attached(inventory, runs.load_report(now, owner))
            }
            (RunnerRequest::Ping(session, SentAt(sent_us)), Owner::Gateway(_)) => {
                let mut runs = self.runs.borrow_mut();
                let sent_at = runs.estimate_sent(now, owner, sent_us);
                match runs.gateway_pinged(now, owner, session, sent_at) {
                    true => RunnerReply::Alive(runs.load_report(now, owner)),
                    false => RunnerReply::VoidSession,
                }
            }
            // The runner itself opens and maintains its session with the leader.
            (RunnerRequest::Attach(..) | RunnerRequest::Ping(..), Owner::Leader) => {
                RunnerReply::VoidSession
            }
        }
    }
}

/// Logs an order whose starts are refused because its session had ended, or because it was too long on
/// its way.
fn log_late_order(owner: Owner, session: SessionId, age: DurationMs, refused: &[RefusedStart]) {
    let is_late = |start: &&RefusedStart| start.reason == RefusalReason::Session;
    let starts = refused.iter().filter(is_late).count();
    if starts > 0 {
        metrics::counter!("hemlock_runner_late_starts_total").increment(starts as u64);
        info!(event = "order-late", owner = ?owner, session = session.0, age_ms = age.as_ms(), starts);
    }
}
