//! Shares of an instance's capacity by the demand of its owners.
//!
//! Load pattern: callers are spread unevenly over the gateways, such as a quarter of them at one
//! gateway of eight. With an equal share, that gateway counts on half of the capacity that it could
//! have, and rejects work while instances have room. Its share of an instance therefore follows
//! what it and the other owners have ordered there lately.
//!
//! A share is advice for the owner's admission. It reserves nothing: the queue of the instance
//! orders the starts of all owners, and the runner enforces the capacity.

use std::collections::BTreeMap;

use hemlock_types::time::{DurationMs, Instant};

use crate::tracked_run::Owner;

/// Time constant of the demand. It covers several jobs of a small gateway, and a gateway that is
/// gone has lost most of its share when its session ends.
const TIME_CONSTANT: DurationMs = DurationMs::new(500);
/// Divisor of an equal share that gives the smallest share. A gateway that becomes active again has
/// no demand yet and needs some capacity to begin with.
const MIN_SHARE_DIVISOR: u64 = 4;

/// Exponentially decaying sum of the work that an owner has ordered.
#[derive(Clone, Copy, Debug)]
struct Demand {
    at: Instant,
    /// Decayed work, in milli-cores times milliseconds.
    work: f64,
}

impl Demand {
    fn work_at(&self, now: Instant) -> f64 {
        // Orders may follow each other within a millisecond.
        let elapsed_ms = now.micros_since(self.at) as f64 / 1_000.0;
        self.work * (-elapsed_ms / TIME_CONSTANT.as_ms() as f64).exp()
    }
}

/// The recent demand of each owner at one instance.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    demands: BTreeMap<Owner, Demand>,
}

impl Shares {
    /// Adds work that the owner has ordered, in milli-cores times milliseconds.
    pub fn note_ordered(&mut self, now: Instant, owner: Owner, work: u64) {
        let earlier = self.demands.get(&owner);
        let work = work as f64 + earlier.map_or(0.0, |demand| demand.work_at(now));
        self.demands.insert(owner, Demand { at: now, work });
    }

    /// Discards the demand of an owner whose session has ended.
    pub fn remove(&mut self, owner: Owner) {
        self.demands.remove(&owner);
    }

    /// The CPU that the owner's recent work takes, in milli-cores.
    pub fn demand_cpu_milli(&self, now: Instant, owner: Owner) -> u64 {
        let work = self.demands.get(&owner).map_or(0.0, |d| d.work_at(now));
        (work / TIME_CONSTANT.as_ms() as f64) as u64
    }

    /// The CPU that the recent work of all owners takes, in milli-cores.
    pub fn total_cpu_milli(&self, now: Instant) -> u64 {
        let owners = self.demands.keys();
        owners.map(|owner| self.demand_cpu_milli(now, *owner)).sum()
    }

    /// The CPU that the owner, one of `owners`, may count on, in milli-cores.
    ///
    /// While there is room, each owner has its own demand and an equal part of what is left. Above
    /// the capacity, the shares are in proportion to demand. The minimum may then raise the sum of
    /// the shares above the capacity by up to a quarter.
    pub fn share_cpu_milli(
        &self,
        now: Instant,
        owner: Owner,
        owners: usize,
        capacity_cpu_milli: u64,
    ) -> u64 {
        let own = self.demand_cpu_milli(now, owner);
        let total = self.total_cpu_milli(now);
        let equal = capacity_cpu_milli / owners.max(1) as u64;
        let share = match capacity_cpu_milli.checked_sub(total) {
            Some(left) => own + left / owners.max(1) as u64,
            None => (capacity_cpu_milli as f64 * own as f64 / total as f64) as u64,
        };
        share.max(equal / MIN_SHARE_DIVISOR)
    }
}
