//! Policy that grants credits for idle slots before entries ask for them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};

use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::account::CreditAccount;
use super::{CreditChanges, CreditPolicy, Surplus};
use crate::event::LinkId;

/// Grants credits for idle slots ahead of demand and moves them to links with demand.
///
/// Idle slots go first to entries with waiting tasks, then to the entry that used them last. If no
/// slot is free for a waiting entry, a credit of the least recently used link is recalled.
#[derive(Debug)]
pub struct ReservingCredits {
    accounts: HashMap<LinkId, CreditAccount>,
    /// Links with waiting tasks, in the order in which they asked.
    waiting: VecDeque<LinkId>,
    /// Links with recallable credits, least recently used first.
    recallable: BTreeSet<(Instant, LinkId)>,
    /// Links with credits protected from recall; the protection that ends first is at the top.
    protections: BinaryHeap<Reverse<(Instant, LinkId)>>,
    /// All links, in the order in which surplus slots are granted.
    round_robin: VecDeque<LinkId>,
    /// Number of slots that the links' credits reserve.
    reserved: u16,
    /// Time beyond a round trip for which a requested credit is protected from recall.
    protection_margin: DurationMs,
    random: Pcg64Mcg,
}

impl ReservingCredits {
    /// Creates a policy without links. A credit granted to a waiting task is not recalled for a
    /// round trip and `protection_margin`. `seed` decides which links hold credits when there
    /// are fewer slots than links.
    pub fn new(protection_margin: DurationMs, seed: u64) -> Self {
        Self {
            accounts: HashMap::new(),
            waiting: VecDeque::new(),
            recallable: BTreeSet::new(),
            protections: BinaryHeap::new(),
            round_robin: VecDeque::new(),
            reserved: 0,
            protection_margin,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Changes the credits of one link, and updates `recallable` and `reserved` to match.
    fn update<R>(&mut self, link: LinkId, edit: impl FnOnce(&mut CreditAccount) -> R) -> Option<R> {
        let account = self.accounts.get_mut(&link)?;
        let (reserved, recallable, last_used) =
            (account.reserved(), account.recallable(), account.last_used);
        let result = edit(account);
        account.clamp_counts();
        self.reserved = self.reserved - reserved + account.reserved();
        let moved =
            last_used != account.last_used || (recallable > 0) != (account.recallable() > 0);
        if moved && recallable > 0 {
            self.recallable.remove(&(last_used, link));
        }
        if moved && account.recallable() > 0 {
            self.recallable.insert((account.last_used, link));
        }
        Some(result)
    }

    /// Grants one credit to the link. With `protect`, the link's recall protection starts anew.
    fn grant(&mut self, now: Instant, link: LinkId, protect: bool, out: &mut CreditChanges) {
        let margin = self.protection_margin;
        let until = self.update(link, |account| {
            account.held += 1;
            account.total_granted += 1;
            account.last_used = now;
            if protect {
                account.protected += 1;
                account.protected_until = now + account.protection(margin);
            }
            account.protected_until
        });
        if let Some(until) = until.filter(|_| protect) {
            self.protections.push(Reverse((until, link)));
        }
        out.grant(link);
    }

    /// Recalls one credit of the link. The slot is free at once, without waiting for the answer.
    fn recall(&mut self, link: LinkId, out: &mut CreditChanges) {
        self.update(link, |account| account.recalling += 1);
        out.recall(link);
    }

    /// Ends the recall protections whose time has passed.
    fn expire_protections(&mut self, now: Instant) {
        while let Some(Reverse((until, link))) = self.protections.peek().copied() {
            if until > now {
                return;
            }
            self.protections.pop();
            self.update(link, |account| {
                if account.protected_until <= now {
                    account.protected = 0;
                }
            });
        }
    }

    /// Returns the first waiting link, after removing links that no longer wait from the queue.
    fn first_waiting(&mut self) -> Option<LinkId> {
        while let Some(link) = self.waiting.front().copied() {
            let is_waiting = self
                .accounts
                .get(&link)
                .is_some_and(|account| account.waiting_tasks > 0 && !account.unresponsive);
            if is_waiting {
                return Some(link);
            }
            self.waiting.pop_front();
            if let Some(account) = self.accounts.get_mut(&link) {
                account.queued = false;
            }
        }
        None
    }

    /// Grants one credit to `link`, the first in the queue, and moves it to the back while it has
    /// more waiting tasks.
    fn grant_to_waiting(&mut self, now: Instant, link: LinkId, out: &mut CreditChanges) {
        self.grant(now, link, true, out);
        self.waiting.pop_front();
        let Some(account) = self.accounts.get_mut(&link) else {
            return;
        };
        account.waiting_tasks -= 1;
        account.queued = account.waiting_tasks > 0;
        if account.queued {
            self.waiting.push_back(link);
        }
    }

    /// Recalls credits until at most `idle` slots are reserved: first those of the least recently
    /// used links, and protected ones last.
    fn recall_excess(&mut self, idle: u16, out: &mut CreditChanges) {
        while self.reserved > idle {
            let recallable = self.recallable.first().map(|(_, link)| *link);
            let holder = recallable.or_else(|| self.next_protected());
            let Some(link) = holder else {
                return;
            };
            self.recall(link, out);
        }
    }

    /// Returns the link whose protection ends first among those that still reserve a slot.
    fn next_protected(&mut self) -> Option<LinkId> {
        while let Some(Reverse((_, link))) = self.protections.peek().copied() {
            let holds = self
                .accounts
                .get(&link)
                .is_some_and(|account| account.reserved() > 0);
            if holds {
                return Some(link);
            }
            self.protections.pop();
        }
        None
    }

    /// Recalls credits of the least recently used links and grants their slots to waiting links.
    fn reassign_to_waiting(&mut self, now: Instant, out: &mut CreditChanges) {
        while let Some(waiting) = self.first_waiting() {
            let holder = self
                .recallable
                .iter()
                .map(|(_, link)| *link)
                .find(|link| *link != waiting);
            let Some(holder) = holder else {
                return;
            };
            self.recall(holder, out);
            self.grant_to_waiting(now, waiting, out);
        }
    }

    /// Grants slots for which no link waits, in round-robin order.
    fn spread(&mut self, now: Instant, mut free: u16, out: &mut CreditChanges) {
        for _ in 0..self.round_robin.len() * usize::from(free) {
            let Some(link) = self.round_robin.pop_front() else {
                return;
            };
            let Some(account) = self.accounts.get(&link) else {
                continue;
            };
            self.round_robin.push_back(link);
            if account.unresponsive {
                continue;
            }
            self.grant(now, link, false, out);
            free -= 1;
            if free == 0 {
                return;
            }
        }
    }

    /// Moves recallable credits to a new link until it reserves an even share of the idle slots.
    /// The share is rounded up or down at random, so that with fewer slots than links every link
    /// is equally likely to hold a credit.
    fn rebalance(&mut self, now: Instant, idle: u16, link: LinkId, out: &mut CreditChanges) {
        let links = u16::try_from(self.round_robin.len())
            .unwrap_or(u16::MAX)
            .max(1);
        let remainder = idle % links;
        let share = idle / links + u16::from(self.random.random_range(0..links) < remainder);
        let reserved = |policy: &Self| {
            policy
                .accounts
                .get(&link)
                .map_or(share, CreditAccount::reserved)
        };
        while reserved(self) < share {
            let Some(holder) = self.largest_holder(link) else {
                return;
            };
            self.recall(holder, out);
            self.grant(now, link, false, out);
        }
    }

    /// Returns the link other than `except` with the most recallable credits; a random one if
    /// several have as many.
    fn largest_holder(&mut self, except: LinkId) -> Option<LinkId> {
        let count = self.round_robin.len();
        let start = self.random.random_range(0..count.max(1));
        let recallable =
            |link: &LinkId| self.accounts.get(link).map_or(0, CreditAccount::recallable);
        (0..count)
            .map(|step| self.round_robin[(start + step) % count])
            .filter(|link| *link != except && recallable(link) > 0)
            .max_by_key(recallable)
    }

    /// Voids all credits of a link and forgets its waiting tasks.
    fn clear_link(&mut self, link: LinkId) {
        self.update(link, |account| {
            account.held = 0;
            account.recalling = 0;
            account.waiting_tasks = 0;
            account.granted_at_recall.clear();
        });
    }
}

impl CreditPolicy for ReservingCredits {
    fn open(&mut self, link: LinkId) {
        self.accounts.insert(link, CreditAccount::default());
        self.round_robin.push_front(link);
    }

    fn close(&mut self, link: LinkId) {
        self.clear_link(link);
        self.accounts.remove(&link);
        self.round_robin.retain(|known| *known != link);
        self.waiting.retain(|known| *known != link);
    }

    fn suspend(&mut self, link: LinkId, out: &mut CreditChanges) {
        let reserved = self.update(link, |account| {
            let reserved = account.reserved();
            account.unresponsive = true;
            account.recalling = account.held;
            reserved
        });
        let recalled = reserved.unwrap_or(0);
        if recalled > 0 {
            out.recalled.push((link, recalled));
        }
    }

    fn resume(&mut self, link: LinkId) {
        self.update(link, |account| account.unresponsive = false);
    }

    fn record_round_trip(&mut self, link: LinkId, micros: u64) {
        self.update(link, |account| account.record_round_trip(micros));
    }

    fn set_waiting_tasks(&mut self, now: Instant, link: LinkId, count: u16) {
        self.expire_protections(now);
        let Some(account) = self.accounts.get_mut(&link) else {
            return;
        };
        account.waiting_tasks = count;
        if count > 0 && !account.queued {
            account.queued = true;
            self.waiting.push_back(link);
        }
    }

    fn consume(&mut self, now: Instant, link: LinkId) -> bool {
        let used = self.update(link, |account| {
            let used = account.held > 0;
            account.held = account.held.saturating_sub(1);
            account.protected = account.protected.saturating_sub(1);
            account.last_used = now;
            used
        });
        used.unwrap_or(false)
    }

    fn handle_returned(&mut self, link: LinkId, asked: u16, slots: u16) {
        self.update(link, |account| {
            let granted_before = account
                .granted_at_recall
                .pop_front()
                .unwrap_or(account.total_granted);
            let granted_since = account.total_granted - granted_before;
            account.held = account.held.saturating_sub(slots);
            account.recalling = account.recalling.saturating_sub(asked);
            // The entry had fewer credits than were recalled, so it can only hold credits that were
            // granted after the recall.
            if slots < asked {
                let possible = u16::try_from(granted_since).unwrap_or(u16::MAX);
                account.held = account.held.min(possible);
            }
        });
    }

    fn assign(&mut self, now: Instant, idle: u16, surplus: Surplus, out: &mut CreditChanges) {
        self.expire_protections(now);
        self.recall_excess(idle, out);
        while self.reserved < idle {
            let Some(link) = self.first_waiting() else {
                break;
            };
            self.grant_to_waiting(now, link, out);
        }
        self.reassign_to_waiting(now, out);
        let free = idle.saturating_sub(self.reserved);
        match surplus {
            Surplus::To(link)
                if free > 0
                    && self
                        .accounts
                        .get(&link)
                        .is_some_and(|account| !account.unresponsive) =>
            {
                self.grant(now, link, false, out);
            }
            Surplus::RoundRobin | Surplus::Rebalance(_) if free > 0 => self.spread(now, free, out),
            _ => {}
        }
        if let Surplus::Rebalance(link) = surplus {
            self.rebalance(now, idle, link, out);
        }
        for (link, _) in &out.recalled {
            if let Some(account) = self.accounts.get_mut(link) {
                account.granted_at_recall.push_back(account.total_granted);
            }
        }
        assert!(
            self.reserved <= idle,
            "credits reserve more slots than are idle"
        );
    }

    fn clear(&mut self) {
        let links: Vec<_> = self.accounts.keys().copied().collect();
        for link in links {
            self.clear_link(link);
        }
        self.protections.clear();
    }

    fn reserved(&self) -> u16 {
        self.reserved
    }

    fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn next_wakeup(&self) -> Option<Instant> {
        match self.waiting.is_empty() {
            true => None,
            false => self.protections.peek().map(|Reverse((until, _))| *until),
        }
    }
}
