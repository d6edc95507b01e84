//! What the leader does with time: answering entries, expiry, drain.

use std::net::SocketAddr;

use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::KeeperReply;

use super::batch::Waiter;
use super::entries::CONFIG_LEASE;
use super::event::{KeeperAction, ReplyToken};
use super::{KeeperCore, UPKEEP_MS, operator};
use crate::command::CommandItem;

/// Longest time that a drain may take, in milliseconds.
const DRAIN_MS: u64 = 5_000;

impl KeeperCore {
    /// Whether a quorum vouches that no other keeper can lead now.
    pub(super) fn has_lease(&self, now: Instant) -> bool {
        let until = self.quorum.status().lease_until;
        self.leading.is_some() && until.is_some_and(|until| now < until)
    }

    /// The refusal that names the leader, as far as it is known.
    pub(super) fn not_leader(&self) -> KeeperReply {
        let leader = self.quorum.status().leader;
        let other = leader.filter(|leader| *leader != self.me);
        let addresses = self.keeper_addresses();
        KeeperReply::NotLeader {
            leader: other.and_then(|leader| addresses.get(&leader).copied()),
        }
    }

    /// Addresses of every keeper.
    pub(super) fn keeper_list(&self) -> Vec<SocketAddr> {
        self.keeper_addresses().into_values().collect()
    }

    /// Proposes what time has brought about.
    pub(super) fn keep_up(&mut self, now: Instant) {
        if now < self.upkeep_due {
            return;
        }
        self.upkeep_due = now + DurationMs::new(UPKEEP_MS);
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.directory.expire(now);
        for entry in leading.take_expired(now) {
            tracing::info!(%entry, "the lease of an entry has run out");
            self.batches
                .add(Waiter::Gone(entry), [CommandItem::EntryGone(entry)]);
        }
        let now_ms = leading.now_ms(now);
        if self.batches.is_empty() && self.proposed.is_empty() && self.state.has_expired(now_ms) {
            self.batches.add_empty();
        }
    }

    /// Answers every entry that there is news for, and every operator whose change is in force.
    pub(super) fn serve_entries(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        if !self.has_lease(now) {
            return;
        }
        let config = self.state.config().version();
        let due = match &mut self.leading {
            Some(leading) => {
                leading.mark_deals(now);
                leading.entries_to_answer(now, config)
            }
            None => return,
        };
        for entry in due {
            self.answer_entry(now, entry, out);
        }
        self.answer_force_waits(now, out);
    }

    /// Answers an entry's waiting report and renews its lease.
    fn answer_entry(&mut self, now: Instant, id: Incarnation, out: &mut Vec<KeeperAction>) {
        let keepers = self.keeper_list();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let deal = leading.dealer.allocate(now, id);
        let Some(entry) = leading.entries.get_mut(&id) else {
            return;
        };
        let Some(parked) = entry.parked.take() else {
            return;
        };
        assert!(!entry.going, "an entry that is given up gets no new lease");
        entry.renew(now);
        let cancelled = entry.take_cancellations();
        let (held_config, entry) = (entry.config, entry.clone());
        let reply = KeeperReply::EntrySync {
            lease_ms: CONFIG_LEASE.as_ms(),
            config: self.state.config().update_since(held_config),
            directory: leading.directory_update(now, &entry),
            shares: deal.shares,
            shares_seq: deal.seq,
            cancelled,
            keepers,
        };
        self.reply(now, parked.token, reply, out);
    }

    /// Answers a report that a newer one of the same entry replaces. The newer one gets the news.
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

    fn answer_force_waits(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let waits = std::mem::take(&mut leading.force_waits);
        let mut answers = Vec::new();
        for wait in waits {
            match leading.is_in_force(now, wait.version) {
                true => answers.push((wait.token, wait.reply)),
                false if wait.until <= now => {
                    answers.push((wait.token, operator::not_in_force_yet(wait.version)));
                }
                false => leading.force_waits.push(wait),
            }
        }
        for (token, reply) in answers {
            self.reply(now, token, reply, out);
        }
    }

    /// Begins to stop: hands leadership over.
    pub(super) fn begin_drain(&mut self, now: Instant, inputs: &mut Vec<Event>) {
        if self.drain.is_none() {
            tracing::info!(keeper = self.me.0, "drains");
            self.drain = Some(now + DurationMs::new(DRAIN_MS));
            inputs.push(Event::TransferLeadership { to: None });
        }
    }

    /// Ends the drain once another keeper leads and nobody waits for an answer.
    pub(super) fn finish_drain(&mut self, now: Instant, out: &mut Vec<KeeperAction>) {
        let Some(until) = self.drain else {
            return;
        };
        let alone = self.quorum.status().members.voters().count() <= 1;
        let handed_over = alone || self.leading.is_none();
        let idle = self.proposed.is_empty() && self.calls.is_empty();
        if !self.drained && ((handed_over && idle) || until <= now) {
            self.drained = true;
            out.push(KeeperAction::Drained);
        }
    }
}
