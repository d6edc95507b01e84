//! Credits: the right of an entry to have a start accepted, dealt to where the work is.
//!
//! A credit reserves an idle slot for one entry. The book hands idle slots first to entries
//! that wait, in the order in which they asked, then back to the entry that used the slot
//! last. A credit that nobody has asked for never blocks anyone: an entry that waits, or that
//! starts without a credit, takes the reservation of whoever has been idle longest. The loser
//! is told by a recall, and a start that crosses it on the way is served like any start
//! without a credit.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};

use hemlock_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event::LinkId;

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// Round trip assumed before the first measurement, in microseconds.
const FIRST_ROUND_TRIP_MICROS: u64 = 5_000;

/// Longest round trip that a promise waits for, in microseconds.
const MAX_ROUND_TRIP_MICROS: u64 = 25_000;

/// A measured round trip counts one part in this many.
const SMOOTHING: u64 = 4;

/// What a deal changes: credits to grant and to recall, by link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deal {
    /// Credits to grant.
    pub granted: Vec<(LinkId, u16)>,
    /// Credits to recall.
    pub recalled: Vec<(LinkId, u16)>,
}

impl Deal {
    fn grant(&mut self, link: LinkId) {
        count(&mut self.granted, link);
    }

    fn recall(&mut self, link: LinkId) {
        count(&mut self.recalled, link);
    }

    /// Forgets the changes, keeping the memory.
    pub fn clear(&mut self) {
        self.granted.clear();
        self.recalled.clear();
    }
}

fn count(counts: &mut Vec<(LinkId, u16)>, link: LinkId) {
    match counts.iter_mut().find(|(known, _)| *known == link) {
        Some((_, number)) => *number += 1,
        None => counts.push((link, 1)),
    }
}

/// Who the idle slots of a deal may go to when nobody waits for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spare {
    /// Nobody: they stay unreserved.
    Keep,
    /// The link whose task has just ended.
    To(LinkId),
    /// Every link in turn.
    Spread,
    /// A link that has just opened, which also gets its part of what the others hold.
    Share(LinkId),
}

/// A rule that deals idle slots to the entries' links.
pub trait CreditPolicy: Send {
    /// An entry has connected.
    fn open(&mut self, link: LinkId);
    /// A link is closed; its credits are void.
    fn close(&mut self, link: LinkId);
    /// The link is silent: its credits are recalled and it gets none until it is heard.
    fn silence(&mut self, link: LinkId, out: &mut Deal);
    /// The silent link is heard again.
    fn hear(&mut self, link: LinkId);
    /// The link's round trip took `micros` microseconds.
    fn note_round_trip(&mut self, link: LinkId, micros: u64);
    /// The entry has `count` tasks waiting.
    fn want(&mut self, now: Instant, link: LinkId, count: u16);
    /// A start has arrived; it uses a credit if the link holds one. Says whether it did.
    fn consume(&mut self, now: Instant, link: LinkId) -> bool;
    /// A recall of `asked` credits was answered with `slots` returned.
    fn returned(&mut self, link: LinkId, asked: u16, slots: u16);
    /// Deals so that the reservations fit `idle` slots.
    fn deal(&mut self, now: Instant, idle: u16, spare: Spare, out: &mut Deal);
    /// Makes every credit and want void.
    fn void(&mut self);
    /// Slots reserved now.
    fn reserved(&self) -> u16;
    /// Links that wait for a slot.
    fn waiting(&self) -> usize;
    /// When a deal may find more to do, if the time alone can change that.
    fn next_wakeup(&self) -> Option<Instant>;
}

/// One link's credits.
#[derive(Debug, Default)]
struct Account {
    /// Credits that the entry may believe it holds.
    held: u16,
    /// Of these, credits that are being recalled and reserve nothing.
    recalling: u16,
    /// Of the reserved ones, credits granted to waiting work that must not be recalled yet.
    promised: u16,
    /// Until when.
    promised_until: Instant,
    /// Smoothed round trip, in microseconds; zero before the first measurement.
    round_trip_micros: u64,
    /// Waiting tasks of the entry.
    want: u16,
    /// Whether the link stands in the queue of waiting links.
    queued: bool,
    /// No credits are dealt to a silent link.
    silent: bool,
    /// Last use or grant, which orders the links for recalls.
    used: Instant,
    /// Credits ever granted.
    granted: u64,
    /// For each recall under way, the credits granted before it.
    recalls: VecDeque<u64>,
}

impl Account {
    fn reserved(&self) -> u16 {
        self.held - self.recalling
    }

    /// Reserved credits that may be recalled now.
    fn spare(&self) -> u16 {
        self.reserved().saturating_sub(self.promised)
    }

    /// How long an asked-for credit may take to come back as a start, given a margin.
    fn promise(&self, margin: DurationMs) -> DurationMs {
        let round_trip_micros = match self.round_trip_micros {
            0 => FIRST_ROUND_TRIP_MICROS,
            micros => micros.min(MAX_ROUND_TRIP_MICROS),
        };
        DurationMs::new(round_trip_micros.div_ceil(MICROS_PER_MS) + margin.as_ms())
    }

    fn settle_bounds(&mut self) {
        self.recalling = self.recalling.min(self.held);
        self.promised = self.promised.min(self.reserved());
    }
}

/// Deals idle slots ahead of demand and moves them to where it is; see the module's text.
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
        self.change(link, |account| {
            account.round_trip_micros = match account.round_trip_micros {
                0 => micros,
                known => (known * (SMOOTHING - 1) + micros) / SMOOTHING,
            }
            .max(1);
        });
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

/// Grants nothing: a start is accepted when a slot happens to be idle. The baseline.
#[derive(Debug, Default)]
pub struct NoCredits;

impl CreditPolicy for NoCredits {
    fn open(&mut self, _link: LinkId) {}
    fn close(&mut self, _link: LinkId) {}
    fn silence(&mut self, _link: LinkId, _out: &mut Deal) {}
    fn hear(&mut self, _link: LinkId) {}
    fn note_round_trip(&mut self, _link: LinkId, _micros: u64) {}
    fn want(&mut self, _now: Instant, _link: LinkId, _count: u16) {}
    fn consume(&mut self, _now: Instant, _link: LinkId) -> bool {
        false
    }
    fn returned(&mut self, _link: LinkId, _asked: u16, _slots: u16) {}
    fn deal(&mut self, _now: Instant, _idle: u16, _spare: Spare, _out: &mut Deal) {}
    fn void(&mut self) {}
    fn reserved(&self) -> u16 {
        0
    }
    fn waiting(&self) -> usize {
        0
    }
    fn next_wakeup(&self) -> Option<Instant> {
        None
    }
}
