//! Proposals, and questions whether this keeper still leads.

use bytes::Bytes;

use super::Quorum;
use super::role_state::{Leading, PendingRead, Waiting};
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
        self.append_or_refuse(token, result);
    }

    /// Appends the payload and answers once it is committed, or answers at once.
    pub(super) fn append_or_refuse(
        &mut self,
        token: ProposalToken,
        payload: Result<Payload, ProposeError>,
    ) {
        match payload {
            Ok(payload) => {
                let bytes = payload.size_bytes();
                let index = self.append_own(payload);
                self.wait_for(Waiting {
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

    fn wait_for(&mut self, waiting: Waiting) {
        if let Some(leading) = self.leading_mut() {
            leading.waiting_bytes += waiting.bytes;
            leading.waiting.push_back(waiting);
        }
    }

    /// Whether this keeper takes new entries now.
    pub(super) fn check_proposal(&self) -> Result<(), ProposeError> {
        let Some(leading) = self.leading() else {
            return Err(ProposeError::NotLeader(self.leader));
        };
        match &leading.hand_over {
            _ if !leading.serving => Err(ProposeError::NotLeader(None)),
            Some(hand_over) => Err(ProposeError::HandingOver(hand_over.to)),
            None if self.is_full(leading) => Err(ProposeError::Busy),
            None => Ok(()),
        }
    }

    fn is_full(&self, leading: &Leading) -> bool {
        leading.waiting.len() >= self.config.max_waiting
            || leading.waiting_bytes >= self.config.max_waiting_bytes
    }

    pub(super) fn confirm_read(&mut self, token: ProposalToken) {
        let asked = self.now;
        let leader = self.leader;
        match self.leading_mut() {
            Some(leading) => {
                leading.reads.push(PendingRead { token, asked });
                leading.round_due = true;
            }
            None => self.out.push(Action::ReadDone {
                token,
                result: Err(ProposeError::NotLeader(leader)),
            }),
        }
    }

    /// Asks the followers whether this keeper leads, if the lease doesn't tell.
    pub(super) fn send_due_round(&mut self) {
        let holds_lease = self.holds_lease();
        let Some(leading) = self.leading_mut() else {
            return;
        };
        let due = std::mem::take(&mut leading.round_due);
        if due && !holds_lease {
            self.send_heartbeats();
        }
    }

    fn holds_lease(&self) -> bool {
        self.lease_until().is_some_and(|until| self.now < until)
    }

    /// Answers the questions that a quorum's answer, or the lease, has settled.
    pub(super) fn finish_reads(&mut self) {
        let holds_lease = self.holds_lease();
        let Some(leading) = self.leading().filter(|leading| leading.serving) else {
            return;
        };
        if leading.reads.is_empty() {
            return;
        }
        let heard = self.quorum_heard(leading);
        let settled = |read: &PendingRead| holds_lease || heard >= Some(read.asked);
        self.answer_reads(settled);
    }

    fn answer_reads(&mut self, settled: impl Fn(&PendingRead) -> bool) {
        self.apply_committed();
        let applied = self.applied;
        let Some(leading) = self.leading_mut() else {
            return;
        };
        let reads = std::mem::take(&mut leading.reads);
        let (done, open) = reads.into_iter().partition(settled);
        leading.reads = open;
        let answer = |read: PendingRead| Action::ReadDone {
            token: read.token,
            result: Ok(applied),
        };
        self.out.extend(Vec::into_iter(done).map(answer));
    }
}
