//! Replies to callers whose commands were committed or rejected.

use std::vec::IntoIter;

use hemlock_ledger::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::KeeperReply;

use super::KeeperCore;
use super::batch::Waiter;
use super::calls::IN_FORCE_WAIT;
use super::entries::{CONFIG_LEASE, EntryLease};
use super::event::{KeeperAction, ReplyToken};
use super::leader_state::InForceWait;
use super::operator::{self, OperatorChange};
use crate::command::Output;

impl KeeperCore {
    /// Completes all waiters of a committed command.
    pub(super) fn answer_waiters(
        &mut self,
        now: Instant,
        waiters: Vec<Waiter>,
        outputs: Vec<Output>,
        out: &mut Vec<KeeperAction>,
    ) {
        let mut outputs = outputs.into_iter();
        for waiter in waiters {
            self.answer_waiter(now, waiter, &mut outputs, out);
        }
    }

    fn answer_waiter(
        &mut self,
        now: Instant,
        waiter: Waiter,
        outputs: &mut IntoIter<Output>,
        out: &mut Vec<KeeperAction>,
    ) {
        match waiter {
            Waiter::Claims(token, count) => {
                let replies = claim_replies(outputs.by_ref().take(count));
                assert_eq!(replies.len(), count, "every claim has an output");
                self.count_claims(count);
                self.reply(now, token, KeeperReply::Claims(replies), out);
            }
            Waiter::Ends(token, count) => {
                outputs.by_ref().take(count).for_each(drop);
                self.reply(now, token, KeeperReply::Done, out);
            }
            Waiter::Cancel(token, submission) => match outputs.next() {
                Some(Output::Cancel(reply)) => {
                    self.notify_owner(submission, &reply);
                    self.reply(now, token, KeeperReply::Cancelled(reply), out);
                }
                _ => unreachable!("a cancellation has a cancellation output"),
            },
            Waiter::Operator(token, change) => {
                // Member changes aren't commands of the state, so they have no output.
                let output = outputs.next().unwrap_or(Output::Done);
                self.answer_operator(now, token, &change, &output, out);
            }
            Waiter::EntryRecorded(entry) => {
                outputs.next();
                self.accept_entry(now, entry, out);
            }
            Waiter::EntryRemoved(entry) => {
                outputs.next();
                self.remove_entry(now, entry);
            }
            Waiter::Nobody => drop(outputs.next()),
        }
    }

    fn count_claims(&self, count: usize) {
        metrics::counter!("hemlock_keeper_claims_total", "keeper" => self.keeper_id.to_string())
            .increment(count as u64);
    }

    fn notify_owner(&mut self, submission: SubmissionId, reply: &CancelReply) {
        let CancelReply::Recorded { owner: Some(owner) } = reply else {
            return;
        };
        let leader = self.leader_state.as_mut();
        if let Some(entry) = leader.and_then(|leader| leader.entries.get_mut(owner)) {
            entry.add_cancellation(submission);
        }
    }

    fn answer_operator(
        &mut self,
        now: Instant,
        token: ReplyToken,
        change: &OperatorChange,
        output: &Output,
        out: &mut Vec<KeeperAction>,
    ) {
        let (reply, accepted) = operator::change_reply(change, output);
        match (accepted, &mut self.leader_state) {
            (Some(version), Some(leader)) if change.wait_in_force => {
                leader.in_force_waits.push(InForceWait {
                    token,
                    version,
                    reply,
                    until: now + IN_FORCE_WAIT,
                });
            }
            _ => self.reply(now, token, reply, out),
        }
    }

    /// Accepts the waiting report of an entry that is now recorded.
    fn accept_entry(&mut self, now: Instant, entry: Incarnation, out: &mut Vec<KeeperAction>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.allocator.join(entry);
        leader
            .entries
            .entry(entry)
            .or_insert_with(|| EntryLease::new(now, now + CONFIG_LEASE));
        if let Some((token, report)) = leader.joining.remove(&entry) {
            let replaced = leader.handle_report(now, token, &report);
            self.answer_replaced(now, replaced, out);
        }
    }

    fn remove_entry(&mut self, now: Instant, entry: Incarnation) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let lease_until = leader.entries.get(&entry).map(|lease| lease.lease_until);
        assert!(
            lease_until.is_none_or(|until| until <= now),
            "an entry is removed only after its lease has expired"
        );
        leader.allocator.expire(now, entry);
        leader.entries.remove(&entry);
        leader.mark_share_updates(now);
    }

    /// Rejects all waiters of a command that isn't known to be committed.
    pub(super) fn reject_proposal(
        &mut self,
        now: Instant,
        waiters: Vec<Waiter>,
        error: ProposeError,
        out: &mut Vec<KeeperAction>,
    ) {
        let refusal = match error {
            ProposeError::NotLeader(_)
            | ProposeError::Undecided(_)
            | ProposeError::TransferInProgress(_) => self.not_leader(),
            ProposeError::Busy => KeeperReply::Unavailable,
            ProposeError::TooLarge(_) => operator::too_large(),
            ProposeError::ChangeInProgress
            | ProposeError::UnknownKeeper(_)
            | ProposeError::NotCaughtUp(_)
            | ProposeError::InvalidChange(_) => operator::member_change_refused(&error.to_string()),
        };
        self.reject_waiters(now, waiters, &refusal, out);
    }

    /// Sends the same error reply to all waiters.
    pub(super) fn reject_waiters(
        &mut self,
        now: Instant,
        waiters: Vec<Waiter>,
        refusal: &KeeperReply,
        out: &mut Vec<KeeperAction>,
    ) {
        for waiter in waiters {
            match waiter {
                Waiter::Claims(token, _) | Waiter::Ends(token, _) | Waiter::Cancel(token, _) => {
                    self.reply(now, token, wire_error(refusal), out);
                }
                Waiter::Operator(token, _) => self.reply(now, token, refusal.clone(), out),
                Waiter::EntryRecorded(entry) => self.reject_join(now, entry, refusal, out),
                Waiter::EntryRemoved(entry) => self.allow_removal_retry(entry),
                Waiter::Nobody => {}
            }
        }
    }

    fn reject_join(
        &mut self,
        now: Instant,
        entry: Incarnation,
        refusal: &KeeperReply,
        out: &mut Vec<KeeperAction>,
    ) {
        let leader = self.leader_state.as_mut();
        let waiting = leader.and_then(|leader| leader.joining.remove(&entry));
        if let Some((token, _)) = waiting {
            self.reply(now, token, wire_error(refusal), out);
        }
    }

    fn allow_removal_retry(&mut self, entry: Incarnation) {
        let leader = self.leader_state.as_mut();
        if let Some(entry) = leader.and_then(|leader| leader.entries.get_mut(&entry)) {
            entry.removal_proposed = false;
        }
    }
}

/// Converts an error reply to one that entries and agents can handle.
fn wire_error(refusal: &KeeperReply) -> KeeperReply {
    match refusal {
        KeeperReply::NotLeader { .. } => refusal.clone(),
        _ => KeeperReply::Unavailable,
    }
}

fn claim_replies(outputs: impl Iterator<Item = Output>) -> Vec<ClaimReply> {
    outputs
        .map(|output| match output {
            Output::Claim(reply) => reply,
            _ => unreachable!("a claim has a claim output"),
        })
        .collect()
}
