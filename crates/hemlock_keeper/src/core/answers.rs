//! Answers to callers whose commands are committed, or can't be.

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
use super::leading::ForceWait;
use super::operator::{self, OperatorChange};
use crate::command::Output;

impl KeeperCore {
    /// Answers everybody who waited for a committed command.
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
                assert_eq!(replies.len(), count, "every claim has its answer");
                self.count_claims(count);
                self.reply(now, token, KeeperReply::Claims(replies), out);
            }
            Waiter::Ends(token, count) => {
                outputs.by_ref().take(count).for_each(drop);
                self.reply(now, token, KeeperReply::Done, out);
            }
            Waiter::Cancel(token, submission) => match outputs.next() {
                Some(Output::Cancel(reply)) => {
                    self.tell_owner(submission, &reply);
                    self.reply(now, token, KeeperReply::Cancelled(reply), out);
                }
                _ => unreachable!("a cancellation has its answer"),
            },
            Waiter::Operator(token, change) => {
                // A change of the keeper set has no output of the state.
                let output = outputs.next().unwrap_or(Output::Done);
                self.answer_operator(now, token, &change, &output, out);
            }
            Waiter::Joined(entry) => {
                outputs.next();
                self.admit_entry(now, entry, out);
            }
            Waiter::Gone(entry) => {
                outputs.next();
                self.drop_entry(now, entry);
            }
            Waiter::Noted => drop(outputs.next()),
        }
    }

    fn count_claims(&self, count: usize) {
        metrics::counter!("hemlock_keeper_claims_total", "keeper" => self.me.to_string())
            .increment(count as u64);
    }

    fn tell_owner(&mut self, submission: SubmissionId, reply: &CancelReply) {
        let CancelReply::Recorded { owner: Some(owner) } = reply else {
            return;
        };
        let leading = self.leading.as_mut();
        if let Some(entry) = leading.and_then(|leading| leading.entries.get_mut(owner)) {
            entry.tell_cancelled(submission);
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
        let (reply, accepted) = operator::verdict(change, output);
        match (accepted, &mut self.leading) {
            (Some(version), Some(leading)) if change.wait_in_force => {
                leading.force_waits.push(ForceWait {
                    token,
                    version,
                    reply,
                    until: now + IN_FORCE_WAIT,
                });
            }
            _ => self.reply(now, token, reply, out),
        }
    }

    /// Serves an entry that is now recorded.
    fn admit_entry(&mut self, now: Instant, entry: Incarnation, out: &mut Vec<KeeperAction>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.dealer.join(entry);
        leading
            .entries
            .entry(entry)
            .or_insert_with(|| EntryLease::new(now, now + CONFIG_LEASE));
        if let Some((token, report)) = leading.joining.remove(&entry) {
            let replaced = leading.take_report(now, token, &report);
            self.answer_replaced(now, replaced, out);
        }
    }

    fn drop_entry(&mut self, now: Instant, entry: Incarnation) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let lease_until = leading.entries.get(&entry).map(|held| held.lease_until);
        assert!(
            lease_until.is_none_or(|until| until <= now),
            "an entry's end is recorded only after its lease has run out"
        );
        leading.dealer.expire(now, entry);
        leading.entries.remove(&entry);
        leading.mark_deals(now);
    }

    /// Answers everybody whose command is not known to be committed.
    pub(super) fn refuse_proposal(
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
            | ProposeError::InvalidChange(_) => operator::refused_keepers(&error.to_string()),
        };
        self.refuse_waiters(now, waiters, &refusal, out);
    }

    /// Gives every waiter the same refusal.
    pub(super) fn refuse_waiters(
        &mut self,
        now: Instant,
        waiters: Vec<Waiter>,
        refusal: &KeeperReply,
        out: &mut Vec<KeeperAction>,
    ) {
        for waiter in waiters {
            match waiter {
                Waiter::Claims(token, _) | Waiter::Ends(token, _) | Waiter::Cancel(token, _) => {
                    self.reply(now, token, wire_refusal(refusal), out);
                }
                Waiter::Operator(token, _) => self.reply(now, token, refusal.clone(), out),
                Waiter::Joined(entry) => self.refuse_join(now, entry, refusal, out),
                Waiter::Gone(entry) => self.retry_gone(entry),
                Waiter::Noted => {}
            }
        }
    }

    fn refuse_join(
        &mut self,
        now: Instant,
        entry: Incarnation,
        refusal: &KeeperReply,
        out: &mut Vec<KeeperAction>,
    ) {
        let leading = self.leading.as_mut();
        let waiting = leading.and_then(|leading| leading.joining.remove(&entry));
        if let Some((token, _)) = waiting {
            self.reply(now, token, wire_refusal(refusal), out);
        }
    }

    fn retry_gone(&mut self, entry: Incarnation) {
        let leading = self.leading.as_mut();
        if let Some(entry) = leading.and_then(|leading| leading.entries.get_mut(&entry)) {
            entry.going = false;
        }
    }
}

/// A refusal as entries and agents understand it.
fn wire_refusal(refusal: &KeeperReply) -> KeeperReply {
    match refusal {
        KeeperReply::NotLeader { .. } => refusal.clone(),
        _ => KeeperReply::Unavailable,
    }
}

fn claim_replies(outputs: impl Iterator<Item = Output>) -> Vec<ClaimReply> {
    outputs
        .map(|output| match output {
            Output::Claim(reply) => reply,
            _ => unreachable!("a claim has a claim's answer"),
        })
        .collect()
}
