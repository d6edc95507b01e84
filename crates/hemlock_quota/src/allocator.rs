//! Allocation of shares by the leading keeper.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_types::prelude::*;

use crate::account::ShareAccount;
use crate::message::{Demand, Share};
use crate::split::split;

/// Position of the term in an allocation's sequence number. The lower bits count the allocations of
/// the term.
const TERM_SHIFT: u32 = 32;
/// Interval after which the remainder of an uneven split moves on to other entries, in
/// milliseconds.
const ROTATION_MS: u64 = 1_000;

/// Divides every contract's limit on running tasks among the entries.
///
/// The sum of all shares that entries may still use never exceeds the limit. When a share is
/// lowered, the earlier one counts in full until it expires or the entry confirms the lower one.
///
/// A new leader does not know the allocations of its predecessor. Until every entry of the
/// predecessor has confirmed an allocation of the new leader, or is gone, the new leader only
/// renews the shares that entries report to hold.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    term: u64,
    /// Number of allocations in this term.
    allocations: u32,
    /// Period of validity of a share.
    lease: DurationMs,
    limits: BTreeMap<CustomerName, Limit>,
    entries: BTreeMap<Incarnation, EntryState>,
    lost: Vec<LostWork>,
    /// Customers whose shares may need to change since the latest
    /// [`entries_to_update`](Self::entries_to_update).
    changed: BTreeSet<CustomerName>,
    /// `true` if all entries were confirmed at the latest `entries_to_update`.
    was_confirmed: bool,
}

/// Limit of one customer.
#[derive(Clone, Copy, Debug)]
struct Limit {
    max_running: u32,
    /// Deadline of tasks that name none.
    deadline: DurationMs,
}

/// State of one entry.
#[derive(Clone, Debug, Default)]
struct EntryState {
    /// `true` if this leader knows all shares that the entry may hold.
    confirmed: bool,
    /// `true` if the entry has reported to this leader.
    reported: bool,
    /// Demand and shares by customer.
    accounts: BTreeMap<CustomerName, ShareAccount>,
}

/// Tasks of an entry whose lease has expired. They may still be running until `until`.
#[derive(Clone, Debug)]
struct LostWork {
    customer: CustomerName,
    count: u32,
    until: Instant,
}

/// Shares of one entry for all customers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Sequence number, which increases from term to term too.
    pub seq: u64,
    /// All shares that the entry holds from now on; they replace the earlier ones.
    pub shares: Vec<Share>,
}

impl ShareAllocator {
    /// Creates the allocator of the leader of `term`. The entries in `earlier` may hold shares from
    /// an earlier leader. Shares are valid for `lease`.
    pub fn new(
        term: u64,
        lease: DurationMs,
        earlier: impl IntoIterator<Item = Incarnation>,
    ) -> Self {
        let entries = earlier
            .into_iter()
            .map(|entry| (entry, EntryState::default()))
            .collect();
        Self {
            term,
            allocations: 0,
            lease,
            limits: BTreeMap::new(),
            entries,
            lost: Vec::new(),
            changed: BTreeSet::new(),
            was_confirmed: false,
        }
    }

    /// Sets a customer's limit and the default deadline of its tasks.
    pub fn set_limit(&mut self, customer: CustomerName, max_running: u32, deadline: DurationMs) {
        self.changed.insert(customer.clone());
        let limit = Limit {
            max_running,
            deadline,
        };
        self.limits.insert(customer, limit);
    }

    /// Adds a new entry, which holds no shares.
    pub fn join(&mut self, entry: Incarnation) {
        let new = EntryState {
            confirmed: true,
            ..EntryState::default()
        };
        self.entries.entry(entry).or_insert(new);
    }

    /// Returns whether the leader knows all shares that the entry may hold.
    pub fn is_confirmed(&self, entry: Incarnation) -> bool {
        self.entries
            .get(&entry)
            .is_none_or(|member| member.confirmed)
    }

    /// Returns whether the leader knows all shares that any entry may hold.
    pub fn all_confirmed(&self) -> bool {
        self.entries.values().all(|member| member.confirmed)
    }

    /// Removes an entry that has returned its shares and runs no tasks.
    pub fn leave(&mut self, entry: Incarnation) {
        if let Some(member) = self.entries.remove(&entry) {
            self.changed.extend(member.accounts.into_keys());
        }
    }

    /// Removes an entry whose lease has expired. The tasks that it last reported as running count
    /// against the limit for the customer's default deadline, because they may still be running.
    pub fn expire(&mut self, now: Instant, entry: Incarnation) {
        let Some(member) = self.entries.remove(&entry) else {
            return;
        };
        for (customer, account) in member.accounts {
            let limit = self.limits.get(&customer);
            let deadline = limit.map_or(DurationMs::default(), |limit| limit.deadline);
            self.changed.insert(customer.clone());
            self.lost.push(LostWork {
                customer,
                count: account.running(),
                until: now + deadline,
            });
        }
    }

    /// Handles an entry's report: the latest allocation that it has received, and its demand.
    pub fn report(&mut self, now: Instant, entry: Incarnation, seen: u64, demand: &[Demand]) {
        let Some(member) = self.entries.get_mut(&entry) else {
            return;
        };
        let first_report = !member.reported;
        member.reported = true;
        member.confirmed |= seen >> TERM_SHIFT == self.term;
        for account in member.accounts.values_mut() {
            account.acknowledge(seen);
        }
        for report in demand {
            let account = member.accounts.entry(report.customer.clone()).or_default();
            if first_report && !member.confirmed {
                account.grant(now, seen, report.held, now + self.lease);
            }
            if account.set_demand(report.running, report.queued) {
                self.changed.insert(report.customer.clone());
            }
        }
        let reported: BTreeSet<&CustomerName> =
            demand.iter().map(|report| &report.customer).collect();
        for (customer, account) in &mut member.accounts {
            if !reported.contains(customer) && account.set_demand(0, 0) {
                self.changed.insert(customer.clone());
            }
        }
    }

    /// Allocates new shares to the entry for all customers.
    ///
    /// # Panics
    ///
    /// Panics if the allocation would raise the sum of a customer's shares above the limit.
    pub fn allocate(&mut self, now: Instant, entry: Incarnation) -> Allocation {
        self.lost.retain(|lost| now < lost.until);
        self.allocations += 1;
        let seq = (self.term << TERM_SHIFT) | u64::from(self.allocations);
        let customers: Vec<CustomerName> = self.limits.keys().cloned().collect();
        let shares = customers
            .into_iter()
            .filter_map(|customer| self.allocate_share(now, entry, seq, customer))
            .collect();
        Allocation { seq, shares }
    }

    fn allocate_share(
        &mut self,
        now: Instant,
        entry: Incarnation,
        seq: u64,
        customer: CustomerName,
    ) -> Option<Share> {
        let all_confirmed = self.all_confirmed();
        let usage = self.usage(now, &customer)?;
        let count = match all_confirmed {
            true => usage.available(entry),
            false => usage.current(entry).min(usage.limit),
        };
        let before = usage.total_outstanding();
        let limit = usage.limit;
        let until = now + self.lease;
        let member = self.entries.get_mut(&entry)?;
        let account = member.accounts.entry(customer.clone()).or_default();
        account.grant(now, seq, count, until);
        let after = self.usage(now, &customer)?.total_outstanding();
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

    /// Returns the entries whose shares should change now: entries with queued tasks that can be
    /// allocated a larger share, and entries that hold more than their part while another entry
    /// needs it or the limit is exceeded.
    pub fn entries_to_update(&mut self, now: Instant) -> BTreeSet<Incarnation> {
        let mut due = BTreeSet::new();
        if !self.all_confirmed() {
            return due;
        }
        if !std::mem::replace(&mut self.was_confirmed, true) {
            self.changed.extend(self.limits.keys().cloned());
        }
        self.lost.retain(|lost| now < lost.until);
        for customer in std::mem::take(&mut self.changed) {
            let Some(usage) = self.usage(now, &customer) else {
                continue;
            };
            let is_short = usage.add_due(&mut due);
            if is_short {
                self.changed.insert(customer);
            }
        }
        due
    }

    /// Returns the largest number of the customer's tasks that all entries together may be running
    /// now.
    pub fn outstanding(&self, now: Instant, customer: &CustomerName) -> u64 {
        self.usage(now, customer)
            .map_or(0, |usage| usage.total_outstanding())
    }

    fn usage(&self, now: Instant, customer: &CustomerName) -> Option<LimitUsage> {
        let limit = self.limits.get(customer)?.max_running;
        let lost = self
            .lost
            .iter()
            .filter(|lost| lost.customer == *customer && now < lost.until)
            .map(|lost| lost.count)
            .fold(0, u32::saturating_add);
        let entries = self
            .entries
            .iter()
            .map(|(entry, member)| EntryUsage::new(now, *entry, member.accounts.get(customer)))
            .collect();
        let offset = usize::try_from(now.since(Instant::ZERO).as_ms() / ROTATION_MS).unwrap_or(0);
        Some(LimitUsage::new(limit, lost, entries, offset))
    }
}

/// Use of one customer's limit at one moment.
struct LimitUsage {
    limit: u32,
    /// Number of tasks of expired entries that may still be running.
    lost: u32,
    entries: Vec<EntryUsage>,
    /// Part of the limit that each entry should get for its demand, in the order of `entries`.
    targets: Vec<u32>,
}

/// One entry's part in a [`LimitUsage`].
struct EntryUsage {
    entry: Incarnation,
    /// Number of tasks that the entry runs or has queued.
    demand: u32,
    /// Latest share, unless it has expired.
    current: u32,
    /// Largest number of tasks that the entry may be running.
    outstanding: u32,
}

impl EntryUsage {
    fn new(now: Instant, entry: Incarnation, account: Option<&ShareAccount>) -> Self {
        Self {
            entry,
            demand: account.map_or(0, ShareAccount::demand),
            current: account.map_or(0, |account| account.current(now)),
            outstanding: account.map_or(0, |account| account.outstanding(now)),
        }
    }
}

impl LimitUsage {
    fn new(limit: u32, lost: u32, entries: Vec<EntryUsage>, offset: usize) -> Self {
        let demands: Vec<u32> = entries.iter().map(|usage| usage.demand).collect();
        let targets = split(limit.saturating_sub(lost), &demands, offset);
        Self {
            limit,
            lost,
            entries,
            targets,
        }
    }

    fn total_outstanding(&self) -> u64 {
        let held: u64 = self
            .entries
            .iter()
            .map(|usage| u64::from(usage.outstanding))
            .sum();
        held + u64::from(self.lost)
    }

    fn position(&self, entry: Incarnation) -> Option<usize> {
        self.entries.iter().position(|usage| usage.entry == entry)
    }

    fn current(&self, entry: Incarnation) -> u32 {
        self.position(entry)
            .map_or(0, |index| self.entries[index].current)
    }

    /// Returns the largest share that the entry can be allocated now: its target, as far as other
    /// entries do not still hold that part of the limit.
    fn available(&self, entry: Incarnation) -> u32 {
        let Some(index) = self.position(entry) else {
            return 0;
        };
        self.targets[index].min(self.free_for(index))
    }

    /// Returns the part of the limit that other entries do not hold.
    fn free_for(&self, index: usize) -> u32 {
        let others = self.total_outstanding() - u64::from(self.entries[index].outstanding);
        let free = u64::from(self.limit).saturating_sub(others);
        u32::try_from(free).unwrap_or(u32::MAX)
    }

    /// Adds the entries whose shares should change now to `due`. Returns whether an entry has to
    /// wait for a part of the limit that others still hold.
    fn add_due(&self, due: &mut BTreeSet<Incarnation>) -> bool {
        let mut is_short = false;
        for (index, usage) in self.entries.iter().enumerate() {
            let needed = usage.demand.min(self.targets[index]);
            match needed > usage.current {
                true if self.free_for(index) > usage.current => {
                    due.insert(usage.entry);
                }
                true => is_short = true,
                false => {}
            }
        }
        if is_short || self.total_outstanding() > u64::from(self.limit) {
            let holders = self.entries.iter().zip(&self.targets);
            due.extend(
                holders
                    .filter(|(usage, target)| usage.current > **target)
                    .map(|(usage, _)| usage.entry),
            );
        }
        is_short
    }
}
