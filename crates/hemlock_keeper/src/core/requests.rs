//! Requests of entries, agents and other keepers.

use hemlock_directory::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{AgentSync, EntrySync, KeeperReply, KeeperRequest};

use super::KeeperCore;
use super::batch::Waiter;
use super::event::{KeeperAction, OperatorCall, ReplyToken};
use crate::command::CommandItem;

/// Most claims or ends in one request.
const MAX_ITEMS: usize = 8_192;
/// Most bytes of claims or ends in one request.
const MAX_ITEM_BYTES: usize = 3 * 1024 * 1024;

impl KeeperCore {
    /// Takes a request that came over the wire.
    pub(super) fn take_request(
        &mut self,
        now: Instant,
        token: ReplyToken,
        request: KeeperRequest,
        inputs: &mut Vec<Event>,
        out: &mut Vec<KeeperAction>,
    ) {
        if self.leading.is_none() {
            let refusal = self.not_leader();
            return self.reply(now, token, refusal, out);
        }
        match request {
            KeeperRequest::EntrySync(report) if report.leaving => {
                self.take_leaving(now, token, report.entry, out);
            }
            KeeperRequest::EntrySync(report) => self.take_report(now, token, report, out),
            KeeperRequest::AgentSync(sync) => self.take_announcement(now, token, &sync, out),
            KeeperRequest::Withdraw(agent) => self.take_withdrawal(now, token, agent, out),
            KeeperRequest::Claims(claims) => {
                let items = claims.into_iter().map(CommandItem::Claim).collect();
                self.take_items(now, token, items, Waiter::Claims, out);
            }
            KeeperRequest::Ends(ends) => {
                let items = ends.into_iter().map(CommandItem::End).collect();
                self.take_items(now, token, items, Waiter::Ends, out);
            }
            KeeperRequest::Cancel(submission) => {
                let waiter = Waiter::Cancel(token, submission);
                self.batches.add(waiter, [CommandItem::Cancel(submission)]);
            }
            KeeperRequest::Lookup(submission) => self.take_lookup(now, token, submission, out),
            KeeperRequest::Operator { method, path, body } => {
                let call = OperatorCall { method, path, body };
                self.run_call(now, token, &call, inputs, out);
            }
            KeeperRequest::Quorum(_) => self.reply(now, token, KeeperReply::Done, out),
        }
    }

    fn take_items(
        &mut self,
        now: Instant,
        token: ReplyToken,
        items: Vec<CommandItem>,
        waiter: impl Fn(ReplyToken, usize) -> Waiter,
        out: &mut Vec<KeeperAction>,
    ) {
        let bytes: usize = items.iter().map(CommandItem::size_bytes).sum();
        if items.len() > MAX_ITEMS || bytes > MAX_ITEM_BYTES {
            return self.reply(now, token, KeeperReply::Unavailable, out);
        }
        match items.len() {
            0 => self.reply(now, token, empty_answer(&waiter(token, 0)), out),
            count => self.batches.add(waiter(token, count), items),
        }
    }

    /// A read of the replicated state is answered only while a quorum vouches for the leader.
    fn take_lookup(
        &mut self,
        now: Instant,
        token: ReplyToken,
        submission: SubmissionId,
        out: &mut Vec<KeeperAction>,
    ) {
        let reply = match self.has_lease(now) {
            true => KeeperReply::Lookup(self.state.lookup(submission)),
            false => KeeperReply::Unavailable,
        };
        self.reply(now, token, reply, out);
    }

    fn take_report(
        &mut self,
        now: Instant,
        token: ReplyToken,
        report: EntrySync,
        out: &mut Vec<KeeperAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let entry = report.entry;
        match leading.entries.get(&entry) {
            Some(known) if !known.going => {
                let replaced = leading.take_report(now, token, &report);
                self.answer_replaced(now, replaced, out);
            }
            Some(_) => self.reply(now, token, KeeperReply::Unavailable, out),
            None => match leading.joining.insert(entry, (token, report)) {
                Some((earlier, _)) => self.reply(now, earlier, KeeperReply::Unavailable, out),
                None => {
                    let item = CommandItem::EntryJoined(entry);
                    self.batches.add(Waiter::Joined(entry), [item]);
                }
            },
        }
    }

    /// An entry that is leaving admits nothing more and runs nothing more.
    fn take_leaving(
        &mut self,
        now: Instant,
        token: ReplyToken,
        entry: Incarnation,
        out: &mut Vec<KeeperAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let parked = leading.entries.remove(&entry).and_then(|held| held.parked);
        leading.dealer.leave(entry);
        self.batches
            .add(Waiter::Gone(entry), [CommandItem::EntryGone(entry)]);
        if let Some(parked) = parked {
            self.reply(now, parked.token, KeeperReply::Done, out);
        }
        self.reply(now, token, KeeperReply::Done, out);
    }

    fn take_announcement(
        &mut self,
        now: Instant,
        token: ReplyToken,
        sync: &AgentSync,
        out: &mut Vec<KeeperAction>,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let announced = &sync.announcement;
        let config = self.state.config();
        let stopped = config.is_stopped(announced.agent, &announced.domain, &announced.rack);
        let outcome = leading
            .directory
            .announce(now, announced, sync.running, stopped);
        let reply = KeeperReply::AgentSync {
            lease_ms: leading.directory.lease().as_ms(),
            draining: stopped || outcome == AnnounceOutcome::Displaced,
            keepers: self.keeper_list(),
        };
        self.reply(now, token, reply, out);
    }

    fn take_withdrawal(
        &mut self,
        now: Instant,
        token: ReplyToken,
        agent: Incarnation,
        out: &mut Vec<KeeperAction>,
    ) {
        if let Some(leading) = &mut self.leading {
            leading.directory.withdraw(agent);
        }
        self.reply(now, token, KeeperReply::Done, out);
    }
}

fn empty_answer(waiter: &Waiter) -> KeeperReply {
    match waiter {
        Waiter::Claims(..) => KeeperReply::Claims(Vec::<ClaimReply>::new()),
        _ => KeeperReply::Done,
    }
}
