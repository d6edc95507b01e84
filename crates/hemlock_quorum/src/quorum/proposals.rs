//! Proposals and confirmed reads.

use bytes::Bytes;

use super::Quorum;
use super::role_state::{LeaderState, PendingProposal, PendingRead};
use crate::action::Action;
use crate::entry::Payload;
use crate::error::ProposeError;
use crate::ids::ProposalToken;

impl Quorum {
    pub(super) fn propose(&mut self, token: ProposalToken, command: Bytes) {
        let result = match self.check_proposal() {
            Ok(()) if command.len() > self.config.max_command_bytes => {
                Err(ProposeError::TooLarge(self.config.max_command_bytes))
            }
            Ok(()) => Ok(Payload::Command(command)),
            Err(error) => Err(error),
        };
        self.append_or_reject(token, result);
    }

    /// Appends the payload and completes the proposal once it is committed, or rejects it at once.
    pub(super) fn append_or_reject(
        &mut self,
        token: ProposalToken,
        payload: Result<Payload, ProposeError>,
    ) {
        match payload {
            Ok(payload) => {
                let bytes = payload.size_bytes();
                let index = self.append_as_leader(payload);
                self.add_pending_proposal(PendingProposal {
                    index,
                    token,
                    bytes,
                });
            }
            Err(error) => {
                let result = Err(error);
                self.out.push(Action::ProposalDone { token, result });
            }
        }
    }

    fn add_pending_proposal(&mut self, proposal: PendingProposal) {
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.pending_bytes += proposal.bytes;
            leader_state.pending_proposals.push_back(proposal);
        }
    }

    /// Checks whether this keeper accepts proposals now.
    pub(super) fn check_proposal(&self) -> Result<(), ProposeError> {
        let Some(leader_state) = self.leader_state() else {
            return Err(ProposeError::NotLeader(self.leader));
        };
        match &leader_state.leadership_transfer {
            _ if !leader_state.serving => Err(ProposeError::NotLeader(None)),
            Some(leadership_transfer) => {
                Err(ProposeError::TransferInProgress(leadership_transfer.to))
            }
            None if self.is_full(leader_state) => Err(ProposeError::Busy),
            None => Ok(()),
        }
    }

    fn is_full(&self, leader_state: &LeaderState) -> bool {
        leader_state.pending_proposals.len() >= self.config.max_pending_proposals
            || leader_state.pending_bytes >= self.config.max_pending_bytes
    }

    pub(super) fn confirm_read(&mut self, token: ProposalToken) {
        let requested_at = self.now;
        let leader = self.leader;
        match self.leader_state_mut() {
            Some(leader_state) => {
                leader_state.reads.push(PendingRead {
                    token,
                    requested_at,
                });
                leader_state.heartbeat_round_due = true;
            }
            None => self.out.push(Action::ReadDone {
                token,
                result: Err(ProposeError::NotLeader(leader)),
            }),
        }
    }

    /// Sends heartbeats to confirm the leadership for pending reads, unless the lease already
    /// confirms it.
    pub(super) fn send_due_heartbeat_round(&mut self) {
        let holds_lease = self.holds_lease();
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        let due = std::mem::take(&mut leader_state.heartbeat_round_due);
        if due && !holds_lease {
            self.send_heartbeats();
        }
    }

    fn holds_lease(&self) -> bool {
        self.lease_until().is_some_and(|until| self.now < until)
    }

    /// Completes the reads that are confirmed by the lease or by acknowledgements from a quorum.
    pub(super) fn finish_reads(&mut self) {
        let holds_lease = self.holds_lease();
        let Some(leader_state) = self
            .leader_state()
            .filter(|leader_state| leader_state.serving)
        else {
            return;
        };
        if leader_state.reads.is_empty() {
            return;
        }
        let last_contact = self.quorum_contact(leader_state);
        let is_confirmed =
            |read: &PendingRead| holds_lease || last_contact >= Some(read.requested_at);
        self.complete_reads(is_confirmed);
    }

    fn complete_reads(&mut self, is_confirmed: impl Fn(&PendingRead) -> bool) {
        self.apply_committed();
        let applied = self.applied;
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        let reads = std::mem::take(&mut leader_state.reads);
        let (done, open) = reads.into_iter().partition(is_confirmed);
        leader_state.reads = open;
        let answer = |read: PendingRead| Action::ReadDone {
            token: read.token,
            result: Ok(applied),
        };
        self.out.extend(Vec::into_iter(done).map(answer));
    }
}
