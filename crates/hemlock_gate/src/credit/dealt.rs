//! The rule that deals idle slots ahead of demand.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};

use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::account::Account;
use super::{CreditPolicy, Deal, Spare};
use crate::event::LinkId;

/// Deals idle slots ahead of demand and moves them to where it is.
///
/// Idle slots go first to entries that wait, then back to the entry that used them last. An
/// entry that waits takes the reservation of whoever has been idle longest.
#[derive(Debug)]
pub struct DealtCredits {
    accounts: HashMap<LinkId, Account>,
    /// Waiting links in the order in which they asked.
    waiting: VecDeque<LinkId>,
    /// Links with spare credits, the longest idle first.
    spare: BTreeSet<(Instant, LinkId)>,
    /// Links with promised credits, the promise that ends first at the top.
    promises: BinaryHeap<Reverse<(Instant, LinkId)>>,
    /// Links in the order in which spare slots are spread.
    turn: VecDeque<LinkId>,
    reserved: u16,
    promise: DurationMs,
    random: Pcg64Mcg,
}

impl DealtCredits {
    /// A book whose asked-for credits can't be recalled for a round trip and `promise` more. The seed decides which
    /// links hold credits while there are fewer slots than links.
    pub fn new(promise: DurationMs, seed: u64) -> Self {
        Self {
            accounts: HashMap::new(),
            waiting: VecDeque::new(),
            spare: BTreeSet::new(),
            promises: BinaryHeap::new(),
            turn: VecDeque::new(),
            reserved: 0,
            promise,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Changes one account and keeps the order of spare credits and the sum in step with it.
    fn change<R>(&mut self, link: LinkId, edit: impl FnOnce(&mut Account) -> R) -> Option<R> {
        let account = self.accounts.get_mut(&link)?;
        let (reserved, spare, used) = (account.reserved(), account.spare(), account.used);
        let result = edit(account);
        account.settle_bounds();
        self.reserved = self.reserved - reserved + account.reserved();
        let moved = used != account.used || (spare > 0) != (account.spare() > 0);
        if moved && spare > 0 {
            self.spare.remove(&(used, link));
        }
        if moved && account.spare() > 0 {
            self.spare.insert((account.used, link));
        }
        Some(result)
    }

    fn grant(&mut self, now: Instant, link: LinkId, promised: bool, out: &mut Deal) {
        let margin = self.promise;
        let until = self.change(link, |account| {
            account.held += 1;
            account.granted += 1;
            account.used = now;
            if promised {
                account.promised += 1;
                account.promised_until = now + account.promise(margin);
            }
            account.promised_until
        });
        if let Some(until) = until.filter(|_| promised) {
            self.promises.push(Reverse((until, link)));
        }
        out.grant(link);
    }

    fn recall(&mut self, link: LinkId, out: &mut Deal) {
        self.change(link, |account| account.recalling += 1);
        out.recall(link);
    }

    fn end_promises(&mut self, now: Instant) {
        while let Some(Reverse((until, link))) = self.promises.peek().copied() {
            if until > now {
                return;
            }
            self.promises.pop();
            self.change(link, |account| {
                if account.promised_until <= now {
                    account.promised = 0;
                }
            });
        }
    }

    /// The link that has waited longest, without those that no longer wait.
    fn first_waiting(&mut self) -> Option<LinkId> {
        while let Some(link) = self.waiting.front().copied() {
            let waits = self
                .accounts
                .get(&link)
                .is_some_and(|account| account.want > 0 && !account.silent);
            if waits {
                return Some(link);
            }
            self.waiting.pop_front();
            if let Some(account) = self.accounts.get_mut(&link) {
                account.queued = false;
            }
        }
        None
    }

    /// Grants one credit to the link that has waited longest and moves it to the back.
    fn serve_waiting(&mut self, now: Instant, link: LinkId, out: &mut Deal) {
        self.grant(now, link, true, out);
        self.waiting.pop_front();
        let Some(account) = self.accounts.get_mut(&link) else {
            return;
        };
        account.want -= 1;
        account.queued = account.want > 0;
        if account.queued {
            self.waiting.push_back(link);
        }
    }

    /// Recalls until the reservations fit, the longest idle first; promises last.
    fn shrink(&mut self, idle: u16, out: &mut Deal) {
        while self.reserved > idle {
            let spare = self.spare.first().map(|(_, link)| *link);
            let holder = spare.or_else(|| self.any_promised());
            let Some(link) = holder else {
                return;
            };
            self.recall(link, out);
        }
    }

    /// The link whose promise ends first and that still holds a credit.
    fn any_promised(&mut self) -> Option<LinkId> {
        while let Some(Reverse((_, link))) = self.promises.peek().copied() {
            let holds = self
                .accounts
                .get(&link)
                .is_some_and(|account| account.reserved() > 0);
            if holds {
                return Some(link);
            }
            self.promises.pop();
        }
        None
    }

    /// Gives spare credits of idle links to waiting ones.
    fn move_to_waiting(&mut self, now: Instant, out: &mut Deal) {
        while let Some(waiting) = self.first_waiting() {
            let holder = self
                .spare
                .iter()
                .map(|(_, link)| *link)
                .find(|link| *link != waiting);
            let Some(holder) = holder else {
                return;
            };
            self.recall(holder, out);
            self.serve_waiting(now, waiting, out);
        }
    }

    /// Deals slots that nobody waits for to every link in turn.
    fn spread(&mut self, now: Instant, mut free: u16, out: &mut Deal) {
        for _ in 0..self.turn.len() * usize::from(free) {
            let Some(link) = self.turn.pop_front() else {
                return;
            };
            let Some(account) = self.accounts.get(&link) else {
                continue;
            };
            self.turn.push_back(link);
            if account.silent {
                continue;
            }
            self.grant(now, link, false, out);
            free -= 1;
            if free == 0 {
                return;
            }
        }
    }

    /// Moves spare credits to a new link until it holds its part of the idle slots, rounded up
    /// or down at random, so that every link is as likely to hold one as any other.
    fn share(&mut self, now: Instant, idle: u16, link: LinkId, out: &mut Deal) {
        let links = u16::try_from(self.turn.len()).unwrap_or(u16::MAX).max(1);
        let rest = idle % links;
        let part = idle / links + u16::from(self.random.random_range(0..links) < rest);
        let held = |book: &Self| book.accounts.get(&link).map_or(part, Account::reserved);
        while held(self) < part {
            let Some(holder) = self.richest(link) else {
                return;
            };
            self.recall(holder, out);
            self.grant(now, link, false, out);
        }
    }

    /// The link with the most spare credits besides `except`; a random one of them.
    fn richest(&mut self, except: LinkId) -> Option<LinkId> {
        let count = self.turn.len();
        let from = self.random.random_range(0..count.max(1));
        let spare = |link: &LinkId| self.accounts.get(link).map_or(0, Account::spare);
        (0..count)
            .map(|step| self.turn[(from + step) % count])
            .filter(|link| *link != except && spare(link) > 0)
            .max_by_key(spare)
    }

    fn drop_account(&mut self, link: LinkId) {
        self.change(link, |account| {
            account.held = 0;
            account.recalling = 0;
            account.want = 0;
            account.recalls.clear();
        });
    }
}

impl CreditPolicy for DealtCredits {
    fn open(&mut self, link: LinkId) {
        self.accounts.insert(link, Account::default());
        self.turn.push_front(link);
    }

    fn close(&mut self, link: LinkId) {
        self.drop_account(link);
        self.accounts.remove(&link);
        self.turn.retain(|known| *known != link);
        self.waiting.retain(|known| *known != link);
    }

    fn silence(&mut self, link: LinkId, out: &mut Deal) {
        let reserved = self.change(link, |account| {
            let reserved = account.reserved();
            account.silent = true;
            account.recalling = account.held;
            reserved
        });
        let lost = reserved.unwrap_or(0);
        if lost > 0 {
            out.recalled.push((link, lost));
        }
    }

    fn hear(&mut self, link: LinkId) {
        self.change(link, |account| account.silent = false);
    }

    fn note_round_trip(&mut self, link: LinkId, micros: u64) {
        self.change(link, |account| account.note_round_trip(micros));
    }

    fn want(&mut self, now: Instant, link: LinkId, count: u16) {
        self.end_promises(now);
        let Some(account) = self.accounts.get_mut(&link) else {
            return;
        };
        account.want = count;
        if count > 0 && !account.queued {
            account.queued = true;
            self.waiting.push_back(link);
        }
    }

    fn consume(&mut self, now: Instant, link: LinkId) -> bool {
        let used = self.change(link, |account| {
            let used = account.held > 0;
            account.held = account.held.saturating_sub(1);
            account.promised = account.promised.saturating_sub(1);
            account.used = now;
            used
        });
        used.unwrap_or(false)
    }

    fn returned(&mut self, link: LinkId, asked: u16, slots: u16) {
        self.change(link, |account| {
            let granted_before = account.recalls.pop_front().unwrap_or(account.granted);
            let granted_since = account.granted - granted_before;
            account.held = account.held.saturating_sub(slots);
            account.recalling = account.recalling.saturating_sub(asked);
            if slots < asked {
                let possible = u16::try_from(granted_since).unwrap_or(u16::MAX);
                account.held = account.held.min(possible);
            }
        });
    }

    fn deal(&mut self, now: Instant, idle: u16, spare: Spare, out: &mut Deal) {
        self.end_promises(now);
        self.shrink(idle, out);
        while self.reserved < idle {
            let Some(link) = self.first_waiting() else {
                break;
            };
            self.serve_waiting(now, link, out);
        }
        self.move_to_waiting(now, out);
        let free = idle.saturating_sub(self.reserved);
        match spare {
            Spare::To(link) if free > 0 && self.accounts.get(&link).is_some_and(|a| !a.silent) => {
                self.grant(now, link, false, out);
            }
            Spare::Spread | Spare::Share(_) if free > 0 => self.spread(now, free, out),
            _ => {}
        }
        if let Spare::Share(link) = spare {
            self.share(now, idle, link, out);
        }
        for (link, _) in &out.recalled {
            if let Some(account) = self.accounts.get_mut(link) {
                account.recalls.push_back(account.granted);
            }
        }
        assert!(
            self.reserved <= idle,
            "more slots are reserved than are idle"
        );
    }

    fn void(&mut self) {
        let links: Vec<_> = self.accounts.keys().copied().collect();
        for link in links {
            self.drop_account(link);
        }
        self.promises.clear();
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
            false => self.promises.peek().map(|Reverse((until, _))| *until),
        }
    }
}
