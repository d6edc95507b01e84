//! Simulated entry, which holds a lease and shares, reports its demand and claims submissions.

use std::collections::BTreeMap;

use hemlock_contract::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quota::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{EntrySync, KeeperReply, KeeperRequest};
use rand::RngExt;
use rand_pcg::Pcg32;

/// Time in milliseconds after which an unanswered report is given up.
const REPLY_TIMEOUT_MS: u64 = 1_500;
/// Time in milliseconds for which the leader may hold a report.
const MAX_WAIT_MS: u64 = 1_000;

/// State of a simulated entry.
pub(crate) struct SimEntry {
    pub(crate) id: Incarnation,
    pub(crate) keeper: usize,
    pub(crate) config: ConfigVersion,
    pub(crate) lease_until: Instant,
    pub(crate) shares: BTreeMap<CustomerName, (u32, Instant)>,
    pub(crate) running: BTreeMap<CustomerName, u32>,
    shares_seen: u64,
    report: Option<(u64, Instant)>,
    pub(crate) claim: Option<(u64, Instant, ClaimRequest)>,
    next_report: Instant,
}

impl SimEntry {
    pub(crate) fn new(id: u64, now: Instant) -> Self {
        Self {
            id: Incarnation(id),
            keeper: 0,
            config: ConfigVersion(0),
            lease_until: now,
            shares: BTreeMap::new(),
            running: BTreeMap::new(),
            shares_seen: 0,
            report: None,
            claim: None,
            next_report: now,
        }
    }

    /// Returns the entry's share of a customer's limit, or 0 if it has expired.
    pub(crate) fn share(&self, now: Instant, customer: &CustomerName) -> u32 {
        match self.shares.get(customer) {
            Some((count, until)) if now < *until => *count,
            _ => 0,
        }
    }

    /// Gives up a report that wasn't answered in time, and returns the next report if it is due.
    pub(crate) fn poll(
        &mut self,
        now: Instant,
        number: u64,
        rng: &mut Pcg32,
    ) -> Option<KeeperRequest> {
        if let Some((_, sent)) = self.report
            && now.since(sent).as_ms() >= REPLY_TIMEOUT_MS
        {
            self.switch_keeper(now, rng);
        }
        if self.report.is_some() || now < self.next_report {
            return None;
        }
        self.report = Some((number, now));
        Some(KeeperRequest::EntrySync(self.sync(now, rng)))
    }

    fn sync(&mut self, now: Instant, rng: &mut Pcg32) -> EntrySync {
        let customers: Vec<CustomerName> = self.shares.keys().cloned().collect();
        let demand = customers
            .into_iter()
            .map(|customer| {
                let held = self.share(now, &customer);
                let running = rng.random_range(0..=held);
                self.running.insert(customer.clone(), running);
                Demand {
                    customer,
                    running,
                    queued: rng.random_range(0..20),
                    held,
                }
            })
            .collect();
        EntrySync {
            entry: self.id,
            domain: FailureDomainName::from("harju-1"),
            config: self.config,
            directory: (0, 0),
            demand,
            shares_seen: self.shares_seen,
            wait_ms: MAX_WAIT_MS,
            leaving: false,
        }
    }

    /// Gives up the pending report and selects a keeper at random for the next one.
    pub(crate) fn switch_keeper(&mut self, now: Instant, rng: &mut Pcg32) {
        self.report = None;
        self.keeper = rng.random_range(0..3);
        self.next_report = now + DurationMs::new(50);
    }

    /// Handles the reply to the report with this number.
    pub(crate) fn handle_sync_reply(
        &mut self,
        now: Instant,
        number: u64,
        reply: KeeperReply,
        rng: &mut Pcg32,
    ) {
        let sent = match self.report {
            Some((waiting, sent)) if waiting == number => sent,
            _ => return,
        };
        let KeeperReply::EntrySync {
            lease_ms,
            config,
            shares,
            shares_seq,
            ..
        } = reply
        else {
            return self.switch_keeper(now, rng);
        };
        self.report = None;
        self.next_report = now + DurationMs::new(rng.random_range(0..200));
        self.apply_config(&config);
        self.lease_until = self.lease_until.max(sent + DurationMs::new(lease_ms));
        if shares_seq > self.shares_seen {
            self.shares_seen = shares_seq;
            self.shares = shares
                .into_iter()
                .map(|share| {
                    let until = sent + DurationMs::new(share.valid_ms);
                    (share.customer, (share.count, until))
                })
                .collect();
        }
    }

    fn apply_config(&mut self, update: &ConfigUpdate) {
        let next = match update {
            ConfigUpdate::Current(version) => *version,
            ConfigUpdate::Delta { from, to, .. } => {
                assert_eq!(
                    *from, self.config,
                    "a delta starts from the entry's configuration"
                );
                *to
            }
            ConfigUpdate::Snapshot { version, .. } => *version,
        };
        assert!(
            next >= self.config,
            "an entry's configuration never reverts"
        );
        self.config = next;
    }
}
