//! The leading keeper's dealer of shares.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_types::prelude::*;

use crate::account::Account;
use crate::message::{Demand, Share};
use crate::split::split;

/// Bits of a deal's number that count within a term.
const TERM_SHIFT: u32 = 32;
/// How long an entry keeps its turn at the units that don't divide evenly, in milliseconds.
const TURN_MS: u64 = 1_000;

/// Deals every contract's running limit out to the entries.
///
/// The sum of all shares that entries may still go by never exceeds the limit. A share that was
/// lowered counts in full until the entry has taken the lower one or it has run out.
///
/// A new leader doesn't know what the earlier one dealt. Until every entry of the earlier leader
/// has confirmed a deal of the new one, or is gone, it only renews what an entry reports to hold.
#[derive(Clone, Debug)]
pub struct Dealer {
    term: u64,
    dealt: u32,
    lease: DurationMs,
    limits: BTreeMap<CustomerName, Limit>,
    entries: BTreeMap<Incarnation, Member>,
    lost: Vec<LostWork>,
    dirty: BTreeSet<CustomerName>,
    was_settled: bool,
}

/// One customer's limit.
#[derive(Clone, Copy, Debug)]
struct Limit {
    max_running: u32,
    deadline: DurationMs,
}

/// One entry.
#[derive(Clone, Debug, Default)]
struct Member {
    confirmed: bool,
    reported: bool,
    accounts: BTreeMap<CustomerName, Account>,
}

/// Work of an entry that is gone, which may still be running.
#[derive(Clone, Debug)]
struct LostWork {
    customer: CustomerName,
    count: u32,
    until: Instant,
}

/// What an entry is dealt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deal {
    /// The deal's number; it grows over all terms.
    pub seq: u64,
    /// Every share that the entry holds from now on.
    pub shares: Vec<Share>,
}

impl Dealer {
    /// The dealer of the leader of `term`, with the entries that may hold shares of an earlier
    /// leader. Shares hold for `lease`.
    pub fn new(
        term: u64,
        lease: DurationMs,
        earlier: impl IntoIterator<Item = Incarnation>,
    ) -> Self {
        let entries = earlier
            .into_iter()
            .map(|entry| (entry, Member::default()))
            .collect();
        Self {
            term,
            dealt: 0,
            lease,
            limits: BTreeMap::new(),
            entries,
            lost: Vec::new(),
            dirty: BTreeSet::new(),
            was_settled: false,
        }
    }

    /// Sets a customer's limit and the usual deadline of its work.
    pub fn set_limit(&mut self, customer: CustomerName, max_running: u32, deadline: DurationMs) {
        self.dirty.insert(customer.clone());
        let limit = Limit {
            max_running,
            deadline,
        };
        self.limits.insert(customer, limit);
    }

    /// Takes in a new entry, which holds no share.
    pub fn join(&mut self, entry: Incarnation) {
        let fresh = Member {
            confirmed: true,
            ..Member::default()
        };
        self.entries.entry(entry).or_insert(fresh);
    }

    /// Whether it is known what the entry may hold.
    pub fn is_confirmed(&self, entry: Incarnation) -> bool {
        self.entries
            .get(&entry)
            .is_none_or(|member| member.confirmed)
    }

    /// Whether it is known what every entry may hold.
    pub fn is_settled(&self) -> bool {
        self.entries.values().all(|member| member.confirmed)
    }

    /// Drops an entry that has given its shares back and runs nothing.
    pub fn leave(&mut self, entry: Incarnation) {
        if let Some(member) = self.entries.remove(&entry) {
            self.dirty.extend(member.accounts.into_keys());
        }
    }

    /// Drops an entry whose lease has run out. What it last reported as running holds its place
    /// for the usual deadline of such work.
    pub fn lose(&mut self, now: Instant, entry: Incarnation) {
        let Some(member) = self.entries.remove(&entry) else {
            return;
        };
        for (customer, account) in member.accounts {
            let limit = self.limits.get(&customer);
            let deadline = limit.map_or(DurationMs::default(), |limit| limit.deadline);
            self.dirty.insert(customer.clone());
            self.lost.push(LostWork {
                customer,
                count: account.running(),
                until: now + deadline,
            });
        }
    }

    /// Takes an entry's report: the deal that it has taken, and its demand.
    pub fn report(&mut self, now: Instant, entry: Incarnation, seen: u64, demand: &[Demand]) {
        let Some(member) = self.entries.get_mut(&entry) else {
            return;
        };
        let first = !member.reported;
        member.reported = true;
        member.confirmed |= seen >> TERM_SHIFT == self.term;
        for account in member.accounts.values_mut() {
            account.acknowledge(seen);
        }
        for report in demand {
            let account = member.accounts.entry(report.customer.clone()).or_default();
            if first && !member.confirmed {
                account.grant(now, seen, report.held, now + self.lease);
            }
            if account.set_demand(report.running, report.queued) {
                self.dirty.insert(report.customer.clone());
            }
        }
        let named: BTreeSet<&CustomerName> = demand.iter().map(|report| &report.customer).collect();
        for (customer, account) in &mut member.accounts {
            if !named.contains(customer) && account.set_demand(0, 0) {
                self.dirty.insert(customer.clone());
            }
        }
    }

    /// Deals the entry its shares anew.
    ///
    /// # Panics
    ///
    /// When a deal would raise the sum of a customer's shares above the limit.
    pub fn deal(&mut self, now: Instant, entry: Incarnation) -> Deal {
        self.lost.retain(|lost| now < lost.until);
        self.dealt += 1;
        let seq = (self.term << TERM_SHIFT) | u64::from(self.dealt);
        let customers: Vec<CustomerName> = self.limits.keys().cloned().collect();
        let shares = customers
            .into_iter()
            .filter_map(|customer| self.deal_one(now, entry, seq, customer))
            .collect();
        Deal { seq, shares }
    }

    fn deal_one(
        &mut self,
        now: Instant,
        entry: Incarnation,
        seq: u64,
        customer: CustomerName,
    ) -> Option<Share> {
        let settled = self.is_settled();
        let view = self.view(now, &customer)?;
        let count = match settled {
            true => view.affordable(entry),
            false => view.current(entry).min(view.limit),
        };
        let before = view.total_outstanding();
        let limit = view.limit;
        let until = now + self.lease;
        let member = self.entries.get_mut(&entry)?;
        let account = member.accounts.entry(customer.clone()).or_default();
        account.grant(now, seq, count, until);
        let after = self.view(now, &customer)?.total_outstanding();
        assert!(
            after <= before.max(u64::from(limit)),
            "the shares of {customer} exceed the limit of {limit}"
        );
        Some(Share {
            customer,
            count,
            valid_ms: self.lease.as_ms(),
        })
    }

    /// Entries whose shares should change at once: those that have work waiting and can be dealt
    /// more, and those that hold what such an entry is due.
    pub fn entries_to_deal(&mut self, now: Instant) -> BTreeSet<Incarnation> {
        let mut due = BTreeSet::new();
        if !self.is_settled() {
            return due;
        }
        if !std::mem::replace(&mut self.was_settled, true) {
            self.dirty.extend(self.limits.keys().cloned());
        }
        self.lost.retain(|lost| now < lost.until);
        for customer in std::mem::take(&mut self.dirty) {
            let Some(view) = self.view(now, &customer) else {
                continue;
            };
            let starved = view.add_due(&mut due);
            if starved {
                self.dirty.insert(customer);
            }
        }
        due
    }

    /// Most tasks of the customer that all entries together may be running now.
    pub fn outstanding(&self, now: Instant, customer: &CustomerName) -> u64 {
        self.view(now, customer)
            .map_or(0, |view| view.total_outstanding())
    }

    fn view(&self, now: Instant, customer: &CustomerName) -> Option<View> {
        let limit = self.limits.get(customer)?.max_running;
        let lost = self
            .lost
            .iter()
            .filter(|lost| lost.customer == *customer && now < lost.until)
            .map(|lost| lost.count)
            .fold(0, u32::saturating_add);
        let seats = self
            .entries
            .iter()
            .map(|(entry, member)| Seat::new(now, *entry, member.accounts.get(customer)))
            .collect();
        let turn = usize::try_from(now.since(Instant::ZERO).as_ms() / TURN_MS).unwrap_or(0);
        Some(View::new(limit, lost, seats, turn))
    }
}

/// One customer's shares at one moment.
struct View {
    limit: u32,
    lost: u32,
    seats: Vec<Seat>,
    targets: Vec<u32>,
}

/// One entry's place in a [`View`].
struct Seat {
    entry: Incarnation,
    want: u32,
    current: u32,
    outstanding: u32,
}

impl Seat {
    fn new(now: Instant, entry: Incarnation, account: Option<&Account>) -> Self {
        Self {
            entry,
            want: account.map_or(0, Account::want),
            current: account.map_or(0, |account| account.current(now)),
            outstanding: account.map_or(0, |account| account.outstanding(now)),
        }
    }
}

impl View {
    fn new(limit: u32, lost: u32, seats: Vec<Seat>, turn: usize) -> Self {
        let wants: Vec<u32> = seats.iter().map(|seat| seat.want).collect();
        let targets = split(limit.saturating_sub(lost), &wants, turn);
        Self {
            limit,
            lost,
            seats,
            targets,
        }
    }

    fn total_outstanding(&self) -> u64 {
        let held: u64 = self
            .seats
            .iter()
            .map(|seat| u64::from(seat.outstanding))
            .sum();
        held + u64::from(self.lost)
    }

    fn position(&self, entry: Incarnation) -> Option<usize> {
        self.seats.iter().position(|seat| seat.entry == entry)
    }

    fn current(&self, entry: Incarnation) -> u32 {
        self.position(entry)
            .map_or(0, |index| self.seats[index].current)
    }

    /// What the entry may be dealt: its part of the limit, as far as others don't hold it.
    fn affordable(&self, entry: Incarnation) -> u32 {
        let Some(index) = self.position(entry) else {
            return 0;
        };
        self.targets[index].min(self.free_for(index))
    }

    fn free_for(&self, index: usize) -> u32 {
        let others = self.total_outstanding() - u64::from(self.seats[index].outstanding);
        let free = u64::from(self.limit).saturating_sub(others);
        u32::try_from(free).unwrap_or(u32::MAX)
    }

    /// Adds the entries to deal to, and tells whether some entry waits for what others hold.
    fn add_due(&self, due: &mut BTreeSet<Incarnation>) -> bool {
        let mut starved = false;
        for (index, seat) in self.seats.iter().enumerate() {
            let wanted = seat.want.min(self.targets[index]);
            match wanted > seat.current {
                true if self.free_for(index) > seat.current => {
                    due.insert(seat.entry);
                }
                true => starved = true,
                false => {}
            }
        }
        if starved || self.total_outstanding() > u64::from(self.limit) {
            let holders = self.seats.iter().zip(&self.targets);
            due.extend(
                holders
                    .filter(|(seat, target)| seat.current > **target)
                    .map(|(seat, _)| seat.entry),
            );
        }
        starved
    }
}
