//! Connection of the replicated log to the state: proposing commands, applying committed ones and
//! completing their waiters.

use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;

use super::batch::Waiter;
use super::event::KeeperAction;
use super::leader_state::LeaderState;
use super::{KeeperCore, MAINTENANCE_INTERVAL_MS};
use crate::command::{Command, CommandItem, Output};
use crate::error::{KeeperError, StateError};
use crate::state::{KeeperState, StateSnapshot};

/// Outputs of the commands applied in one pass, by log index.
pub(super) type Outputs = BTreeMap<LogIndex, Vec<Output>>;

impl KeeperCore {
    /// Proposes all pending batches.
    pub(super) fn propose_batches(
        &mut self,
        now: Instant,
        inputs: &mut Vec<Event>,
        out: &mut Vec<KeeperAction>,
    ) {
        for batch in self.batches.take() {
            match self.encode_items(now, batch.items) {
                Some(command) => inputs.push(self.propose(command, batch.waiters)),
                None => self.reject_waiters(now, batch.waiters, &self.not_leader(), out),
            }
        }
    }

    fn encode_items(&mut self, now: Instant, items: Vec<CommandItem>) -> Option<Bytes> {
        let at_ms = self.leader_state.as_ref()?.now_ms(now);
        match (Command { at_ms, items }).encode() {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                self.failure = Some(error.into());
                None
            }
        }
    }

    fn propose(&mut self, command: Bytes, waiters: Vec<Waiter>) -> Event {
        self.next_proposal += 1;
        let token = ProposalToken(self.next_proposal);
        self.pending_proposals.insert(token, waiters);
        Event::Propose { token, command }
    }

    /// Creates the proposal of a member change.
    pub(super) fn propose_member_change(&mut self, change: MemberChange, waiter: Waiter) -> Event {
        self.next_proposal += 1;
        let token = ProposalToken(self.next_proposal);
        self.pending_proposals.insert(token, vec![waiter]);
        Event::ChangeMembers { token, change }
    }

    /// Handles an action of the replicated log.
    pub(super) fn handle_action(
        &mut self,
        now: Instant,
        action: Action,
        outputs: &mut Outputs,
        out: &mut Vec<KeeperAction>,
    ) {
        match action {
            Action::Send { to, message } => out.push(KeeperAction::Send { to, message }),
            Action::Persist(work) => out.push(KeeperAction::Persist(work)),
            Action::Restore(snapshot) => self.restore(&snapshot, out),
            Action::Apply(entry) => self.apply(now, &entry, outputs, out),
            Action::TakeSnapshot { index } => {
                let state = Box::new(self.state.snapshot());
                out.push(KeeperAction::EncodeSnapshot { index, state });
            }
            Action::ProposalDone { token, result } => {
                self.finish_proposal(now, token, result, outputs, out);
            }
            Action::ReadDone { .. } => {}
            Action::BecameLeader { term } => self.start_leading(now, term),
            Action::LostLeadership { .. } => self.stop_leading(now, out),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<KeeperAction>) {
        match StateSnapshot::decode(&snapshot.data) {
            Ok(stored) => {
                let state = KeeperState::from(stored);
                assert!(
                    state.config().version() >= self.state.config().version(),
                    "a snapshot never reverts the configuration"
                );
                self.state = state;
                self.applied_index = snapshot.head.index;
                out.push(KeeperAction::UpdateKeepers(self.keeper_addresses()));
            }
            Err(error) => self.set_failure(error),
        }
    }

    fn set_failure(&mut self, error: StateError) {
        self.failure = Some(KeeperError::State(error));
    }

    fn apply(
        &mut self,
        now: Instant,
        entry: &Entry,
        outputs: &mut Outputs,
        out: &mut Vec<KeeperAction>,
    ) {
        assert!(
            entry.index > self.applied_index,
            "entries are applied in order"
        );
        self.applied_index = entry.index;
        let Payload::Command(bytes) = &entry.payload else {
            return;
        };
        let command = match Command::decode(bytes) {
            Ok(command) => command,
            Err(error) => return self.set_failure(error),
        };
        let version = ConfigVersion(entry.index.0);
        let config = self.state.config().version();
        let keepers = self.state.keepers().len();
        outputs.insert(entry.index, self.state.apply(version, command));
        if self.state.config().version() > config {
            self.handle_new_config(now);
        }
        if self.state.keepers().len() != keepers {
            out.push(KeeperAction::UpdateKeepers(self.keeper_addresses()));
        }
    }

    fn handle_new_config(&mut self, now: Instant) {
        metrics::gauge!("hemlock_keeper_config_version", "keeper" => self.keeper_id.to_string())
            .set(self.state.config().version().0 as f64);
        if let Some(leader) = &mut self.leader_state {
            leader.apply_config(&self.state);
            leader.mark_share_updates(now);
        }
    }

    fn start_leading(&mut self, now: Instant, term: Term) {
        metrics::counter!(
            "hemlock_keeper_elections_won_total",
            "keeper" => self.keeper_id.to_string()
        )
        .increment(1);
        tracing::info!(keeper = self.keeper_id.0, term = term.0, "leads");
        self.leader_state = Some(LeaderState::new(now, term.0, &self.state));
        self.next_maintenance = now + DurationMs::new(MAINTENANCE_INTERVAL_MS);
    }

    fn stop_leading(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        tracing::info!(keeper = self.keeper_id.0, "no longer leads");
        let refusal = self.not_leader();
        let Some(leader) = self.leader_state.take() else {
            return;
        };
        let reports = leader
            .entries
            .values()
            .filter_map(|entry| entry.pending_report);
        let joining = leader.joining.values().map(|(token, _)| *token);
        let waiting = leader.in_force_waits.iter().map(|wait| wait.token);
        let tokens: Vec<_> = reports
            .map(|report| report.token)
            .chain(joining)
            .chain(waiting)
            .collect();
        for token in tokens {
            self.reply(now, token, refusal.clone(), out);
        }
    }

    fn finish_proposal(
        &mut self,
        now: Instant,
        token: ProposalToken,
        result: Result<LogIndex, ProposeError>,
        outputs: &mut Outputs,
        out: &mut Vec<KeeperAction>,
    ) {
        let Some(waiters) = self.pending_proposals.remove(&token) else {
            return;
        };
        match result {
            Ok(index) => {
                let outputs = outputs.remove(&index).unwrap_or_default();
                self.answer_waiters(now, waiters, outputs, out);
            }
            Err(error) => self.reject_proposal(now, waiters, error, out),
        }
    }
}
