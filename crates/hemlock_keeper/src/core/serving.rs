//! Periodic work of the keeper: replies to entries, expiry, and draining.

use std::net::SocketAddr;

use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::KeeperReply;

use super::batch::Waiter;
use super::entries::CONFIG_LEASE;
use super::event::{KeeperAction, ReplyToken};
use super::{KeeperCore, MAINTENANCE_INTERVAL_MS, operator};
use crate::command::CommandItem;

/// Maximum duration of a drain in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 5_000;

impl KeeperCore {
    /// Returns `true` if this keeper leads and holds the quorum's lease, during which no other
    /// keeper can lead.
    pub(super) fn has_lease(&self, now: Instant) -> bool {
        let until = self.quorum.status().lease_until;
        self.leader_state.is_some() && until.is_some_and(|until| now < until)
    }

    /// Returns the reply that redirects a caller to the leader, if that is known.
    pub(super) fn not_leader(&self) -> KeeperReply {
        let leader = self.quorum.status().leader;
        let other = leader.filter(|leader| *leader != self.keeper_id);
        let addresses = self.keeper_addresses();
        KeeperReply::NotLeader {
            leader: other.and_then(|leader| addresses.get(&leader).copied()),
        }
    }

    /// Returns the wire addresses of all known keepers.
    pub(super) fn keeper_list(&self) -> Vec<SocketAddr> {
        self.keeper_addresses().into_values().collect()
    }

    /// Expires endpoints and entries, and proposes the expiry of submissions.
    pub(super) fn run_maintenance(&mut self, now: Instant) {
        if now < self.next_maintenance {
            return;
        }
        self.next_maintenance = now + DurationMs::new(MAINTENANCE_INTERVAL_MS);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.directory.expire(now);
        for entry in leader.mark_expired(now) {
            tracing::info!(%entry, "entry lease expired; removing the entry");
            self.batches
                .add(Waiter::EntryRemoved(entry), [CommandItem::EntryGone(entry)]);
        }
        let now_ms = leader.now_ms(now);
        // Submissions expire when a command is applied, so an empty one is proposed if there is no
        // other.
        if self.batches.is_empty()
            && self.pending_proposals.is_empty()
            && self.state.has_expired(now_ms)
        {
            self.batches.add_empty();
        }
    }

    /// Answers all entries that have an update, and all operators whose change is in force.
    pub(super) fn serve_entries(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        if !self.has_lease(now) {
            return;
        }
        let config = self.state.config().version();
        let due = match &mut self.leader_state {
            Some(leader) => {
                leader.mark_share_updates(now);
                leader.entries_to_answer(now, config)
            }
            None => return,
        };
        for entry in due {
            self.answer_entry(now, entry, out);
        }
        self.answer_in_force_waits(now, out);
    }

    /// Answers an entry's waiting report and renews its lease.
    fn answer_entry(&mut self, now: Instant, id: Incarnation, out: &mut Vec<KeeperAction>) {
        let keepers = self.keeper_list();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let allocation = leader.allocator.allocate(now, id);
        let Some(entry) = leader.entries.get_mut(&id) else {
            return;
        };
        let Some(pending_report) = entry.pending_report.take() else {
            return;
        };
        assert!(
            !entry.removal_proposed,
            "an entry under removal gets no new lease"
        );
        entry.renew(now);
        let cancelled = entry.take_cancellations();
        let (held_config, entry) = (entry.config, entry.clone());
        let reply = KeeperReply::EntrySync {
            lease_ms: CONFIG_LEASE.as_ms(),
            config: self.state.config().update_since(held_config),
            directory: leader.directory_update(now, &entry),
            shares: allocation.shares,
            shares_seq: allocation.seq,
            cancelled,
            keepers,
        };
        self.reply(now, pending_report.token, reply, out);
    }

    /// Answers a report that a newer one of the same entry replaced. The update goes to the newer
    /// one.
    pub(super) fn answer_replaced(
        &mut self,
        now: Instant,
        replaced: Option<ReplyToken>,
        out: &mut Vec<KeeperAction>,
    ) {
        if let Some(token) = replaced {
            self.reply(now, token, KeeperReply::Done, out);
        }
    }

    fn answer_in_force_waits(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let waits = std::mem::take(&mut leader.in_force_waits);
        let mut answers = Vec::new();
        for wait in waits {
            match leader.is_in_force(now, wait.version) {
                true => answers.push((wait.token, wait.reply)),
                false if wait.until <= now => {
                    answers.push((wait.token, operator::not_in_force_yet(wait.version)));
                }
                false => leader.in_force_waits.push(wait),
            }
        }
        for (token, reply) in answers {
            self.reply(now, token, reply, out);
        }
    }

    /// Begins a graceful stop by requesting a leadership transfer.
    pub(super) fn begin_drain(&mut self, now: Instant, inputs: &mut Vec<Event>) {
        if self.drain_deadline.is_none() {
            tracing::info!(keeper = self.keeper_id.0, "drains");
            self.drain_deadline = Some(now + DurationMs::new(DRAIN_TIMEOUT_MS));
            inputs.push(Event::TransferLeadership { to: None });
        }
    }

    /// Completes the drain once this keeper doesn't lead and has no pending proposals or calls, or
    /// when the drain times out. The only voter has no keeper to transfer its leadership to and
    /// doesn't wait for that.
    pub(super) fn finish_drain(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        let Some(until) = self.drain_deadline else {
            return;
        };
        let only_voter = self.quorum.status().members.voters().count() <= 1;
        let transfer_done = only_voter || self.leader_state.is_none();
        let idle = self.pending_proposals.is_empty() && self.calls.is_empty();
        if !self.drained && ((transfer_done && idle) || until <= now) {
            self.drained = true;
            out.push(KeeperAction::Drained);
        }
    }
}
