//! Requests from entries, agents and other keepers.

use hemlock_directory::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{AgentSync, EntrySync, KeeperReply, KeeperRequest};

use super::KeeperCore;
use super::batch::Waiter;
use super::event::{KeeperAction, OperatorCall, ReplyToken};
use crate::command::CommandItem;

/// Maximum number of claims or end records in one request.
const MAX_ITEMS_PER_REQUEST: usize = 8_192;
/// Maximum total size of the claims or end records in one request, in bytes.
const MAX_ITEM_BYTES_PER_REQUEST: usize = 3 * 1024 * 1024;

impl KeeperCore {
    /// Handles a request that arrived over the wire. Only the leader serves requests.
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        token: ReplyToken,
        request: KeeperRequest,
        inputs: &mut Vec<Event>,
        out: &mut Vec<KeeperAction>,
    ) {
        if self.leader_state.is_none() {
            let refusal = self.not_leader();
            return self.reply(now, token, refusal, out);
        }
        match request {
            KeeperRequest::EntrySync(report) if report.leaving => {
                self.handle_leaving(now, token, report.entry, out);
            }
            KeeperRequest::EntrySync(report) => self.handle_report(now, token, report, out),
            KeeperRequest::AgentSync(sync) => self.handle_announcement(now, token, &sync, out),
            KeeperRequest::Withdraw(agent) => self.handle_withdrawal(now, token, agent, out),
            KeeperRequest::Claims(claims) => {
                let items = claims.into_iter().map(CommandItem::Claim).collect();
                self.propose_items(now, token, items, Waiter::Claims, out);
            }
            KeeperRequest::Ends(ends) => {
                let items = ends.into_iter().map(CommandItem::End).collect();
                self.propose_items(now, token, items, Waiter::Ends, out);
            }
            KeeperRequest::Cancel(submission) => {
                let waiter = Waiter::Cancel(token, submission);
                self.batches.add(waiter, [CommandItem::Cancel(submission)]);
            }
            KeeperRequest::Lookup(submission) => self.handle_lookup(now, token, submission, out),
            KeeperRequest::Operator { method, path, body } => {
                let call = OperatorCall { method, path, body };
                self.run_call(now, token, &call, inputs, out);
            }
            KeeperRequest::Quorum(_) => self.reply(now, token, KeeperReply::Done, out),
        }
    }

    fn propose_items(
        &mut self,
        now: Instant,
        token: ReplyToken,
        items: Vec<CommandItem>,
        waiter: impl Fn(ReplyToken, usize) -> Waiter,
        out: &mut Vec<KeeperAction>,
    ) {
        let bytes: usize = items.iter().map(CommandItem::size_bytes).sum();
        if items.len() > MAX_ITEMS_PER_REQUEST || bytes > MAX_ITEM_BYTES_PER_REQUEST {
            return self.reply(now, token, KeeperReply::Unavailable, out);
        }
        match items.len() {
            0 => self.reply(now, token, empty_reply(&waiter(token, 0)), out),
            count => self.batches.add(waiter(token, count), items),
        }
    }

    /// Looks up a submission. Only a leader that holds the quorum's lease can read its own state,
    /// because otherwise another keeper may have committed newer commands.
    fn handle_lookup(
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

    fn handle_report(
        &mut self,
        now: Instant,
        token: ReplyToken,
        report: EntrySync,
        out: &mut Vec<KeeperAction>,
    ) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let entry = report.entry;
        match leader.entries.get(&entry) {
            Some(known) if !known.removal_proposed => {
                let replaced = leader.handle_report(now, token, &report);
                self.answer_replaced(now, replaced, out);
            }
            Some(_) => self.reply(now, token, KeeperReply::Unavailable, out),
            None => match leader.joining.insert(entry, (token, report)) {
                Some((earlier, _)) => self.reply(now, earlier, KeeperReply::Unavailable, out),
                None => {
                    let item = CommandItem::EntryJoined(entry);
                    self.batches.add(Waiter::EntryRecorded(entry), [item]);
                }
            },
        }
    }

    /// Removes an entry that is shutting down. It admits no more submissions and runs no more
    /// tasks, so its removal doesn't wait for its lease to expire.
    fn handle_leaving(
        &mut self,
        now: Instant,
        token: ReplyToken,
        entry: Incarnation,
        out: &mut Vec<KeeperAction>,
    ) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let pending_report = leader
            .entries
            .remove(&entry)
            .and_then(|lease| lease.pending_report);
        leader.allocator.leave(entry);
        self.batches
            .add(Waiter::EntryRemoved(entry), [CommandItem::EntryGone(entry)]);
        if let Some(pending_report) = pending_report {
            self.reply(now, pending_report.token, KeeperReply::Done, out);
        }
        self.reply(now, token, KeeperReply::Done, out);
    }

    fn handle_announcement(
        &mut self,
        now: Instant,
        token: ReplyToken,
        sync: &AgentSync,
        out: &mut Vec<KeeperAction>,
    ) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let announced = &sync.announcement;
        let config = self.state.config();
        let stopped = config.is_stopped(announced.agent, &announced.domain, &announced.rack);
        let outcome = leader
            .directory
            .announce(now, announced, sync.running, stopped);
        let reply = KeeperReply::AgentSync {
            lease_ms: leader.directory.lease().as_ms(),
            draining: stopped || outcome == AnnounceOutcome::Displaced,
            keepers: self.keeper_list(),
        };
        self.reply(now, token, reply, out);
    }

    fn handle_withdrawal(
        &mut self,
        now: Instant,
        token: ReplyToken,
        agent: Incarnation,
        out: &mut Vec<KeeperAction>,
    ) {
        if let Some(leader) = &mut self.leader_state {
            leader.directory.withdraw(agent);
        }
        self.reply(now, token, KeeperReply::Done, out);
    }
}

fn empty_reply(waiter: &Waiter) -> KeeperReply {
    match waiter {
        Waiter::Claims(..) => KeeperReply::Claims(Vec::<ClaimReply>::new()),
        _ => KeeperReply::Done,
    }
}
