//! Operators' requests to evacuate failure domains, and the distribution of the evacuated ones.

use hemlock_jobs::prelude::*;
use tokio::sync::oneshot;
use tracing::info;

use super::control::Control;
use super::waiters::{CommandWaiter, reply};
use crate::evacuations::log_evacuations;
use crate::message::{EvacuationAnswer, EvacuationChange, Reply};

/// Longest name of a failure domain, in bytes.
const MAX_DOMAIN_BYTES: usize = 255;

impl Control {
    /// Proposes an operator's change, unless it is invalid or the operator has left.
    pub(super) fn change_evacuations(
        &mut self,
        change: EvacuationChange,
        answer: oneshot::Sender<Reply>,
    ) {
        // Before its first commit, a new leader may not know the current evacuations.
        let knows_state = self.dispatcher.is_some();
        match &change {
            _ if answer.is_closed() => log_abandoned(&change),
            _ if !self.is_leading() => {
                let leader = self.other_leader();
                answer_operator(&change, answer, EvacuationAnswer::NotLeader(leader));
            }
            change_to_propose if self.is_valid(change_to_propose) => {
                let command = command_of(&change);
                self.propose(command, CommandWaiter::Evacuation(change, answer));
            }
            _ if !knows_state => {
                answer_operator(&change, answer, EvacuationAnswer::NotLeader(None));
            }
            _ => answer_operator(&change, answer, EvacuationAnswer::UnknownDomain),
        }
    }

    /// Whether the deployment has the failure domain. An evacuation can be ended even if the domain
    /// has been removed from the settings since it began.
    fn is_valid(&self, change: &EvacuationChange) -> bool {
        let domain = change.domain();
        let known = &self.settings.failure_domains;
        let is_known = known.is_empty() || known.contains(domain);
        let is_in_force = self.store.evacuations().contains(domain);
        match change {
            _ if domain.is_empty() || domain.len() > MAX_DOMAIN_BYTES => false,
            EvacuationChange::Begin(_) => is_known,
            EvacuationChange::End(_) => is_known || is_in_force,
        }
    }

    /// The evacuations, if their version is higher than `held`.
    pub(super) fn newer_evacuations(&self, held: u64) -> Option<Evacuations> {
        let current = self.store.evacuations();
        (current.version() > held).then(|| current.clone())
    }

    /// Logs the evacuations if they differ from the version that was logged last.
    pub(super) fn note_evacuations(&mut self) {
        let current = self.store.evacuations();
        if current.version() != self.logged_evacuations {
            self.logged_evacuations = current.version();
            log_evacuations(current);
        }
    }
}

fn command_of(change: &EvacuationChange) -> Command {
    match change {
        EvacuationChange::Begin(domain) => Command::Evacuate(domain.clone()),
        EvacuationChange::End(domain) => Command::EndEvacuation(domain.clone()),
    }
}

/// Logs and answers an operator's request.
pub(super) fn answer_operator(
    change: &EvacuationChange,
    answer: oneshot::Sender<Reply>,
    outcome: EvacuationAnswer,
) {
    info!(
        event = "evacuation-request",
        change = change.label(),
        domain = change.domain(),
        answer = ?outcome,
    );
    reply(answer, Reply::Evacuation(outcome));
}

/// Logs a request that is not proposed because its sender has left.
pub(super) fn log_abandoned(change: &EvacuationChange) {
    info!(
        event = "evacuation-request",
        change = change.label(),
        domain = change.domain(),
        answer = "Abandoned",
    );
}
