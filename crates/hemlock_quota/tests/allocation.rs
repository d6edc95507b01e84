//! Simulation of entries that use their shares while answers are late or lost, entries die and
//! leaders change. The sum of the shares in use must never exceed the limit.

use std::collections::VecDeque;

use hemlock_quota::prelude::*;
use hemlock_quota::split::split;
use hemlock_types::prelude::*;
use quickcheck::{QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const LEASE: DurationMs = DurationMs::new(8_000);
const DEADLINE: DurationMs = DurationMs::new(10_000);
const DEFAULT_SEED: u64 = 1;
const DEFAULT_STEPS: u64 = 40_000;

fn customer() -> CustomerName {
    CustomerName::from("sablah")
}

fn from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn a_split_uses_the_whole_limit_and_meets_small_demands() {
    fn property(limit: u32, demands: Vec<u16>, offset: usize) -> TestResult {
        if demands.is_empty() {
            return TestResult::discard();
        }
        let demands: Vec<u32> = demands.into_iter().map(u32::from).collect();
        let limit = limit % 100_000;
        let parts = split(limit, &demands, offset % 100);
        let sum: u64 = parts.iter().map(|part| u64::from(*part)).sum();
        // An entry whose demand is not met has at least as much as every other entry, except for
        // one unit of the remainder.
        let fair = parts
            .iter()
            .zip(&demands)
            .all(|(part, demand)| part >= demand || parts.iter().all(|other| *other <= part + 1));
        TestResult::from_bool(sum == u64::from(limit) && fair)
    }
    QuickCheck::new().quickcheck(property as fn(u32, Vec<u16>, usize) -> TestResult);
}

/// An undelivered answer to an entry's report.
struct Answer {
    arrives: Instant,
    sent: Instant,
    allocation: Allocation,
}

/// An entry that applies answers as they arrive.
struct Entry {
    id: Incarnation,
    /// Sequence number of the latest allocation that it has applied.
    seen: u64,
    /// Share and its end of validity.
    share: (u32, Instant),
    queued: u32,
    /// `true` if it runs as many tasks as its share allows; otherwise it runs none.
    busy: bool,
    answers: VecDeque<Answer>,
}

impl Entry {
    fn share(&self, now: Instant) -> u32 {
        match self.share {
            (count, until) if now < until => count,
            _ => 0,
        }
    }

    fn apply_answers(&mut self, now: Instant) {
        while let Some(index) = self.answers.iter().position(|answer| answer.arrives <= now) {
            let answer = self.answers.remove(index).expect("the position is valid");
            if answer.allocation.seq > self.seen {
                self.seen = answer.allocation.seq;
                let share = answer.allocation.shares.first();
                let count = share.map_or(0, |share| share.count);
                self.share = (count, answer.sent + LEASE);
            }
        }
    }

    fn demand(&self, now: Instant) -> Demand {
        Demand {
            customer: customer(),
            running: if self.busy { self.share(now) } else { 0 },
            queued: self.queued,
            held: self.share(now),
        }
    }
}

struct Simulation {
    rng: Pcg32,
    now: Instant,
    term: u64,
    allocator: ShareAllocator,
    entries: Vec<Entry>,
    /// Entries that have died but whose lease has not expired. They still count as using their
    /// shares.
    gone: Vec<Entry>,
    limit: u32,
    last_id: u64,
}

impl Simulation {
    fn new(seed: u64, limit: u32) -> Self {
        let mut allocator = ShareAllocator::new(1, LEASE, []);
        allocator.set_limit(customer(), limit, DEADLINE);
        Self {
            rng: Pcg32::seed_from_u64(seed),
            now: Instant::from_ms(1),
            term: 1,
            allocator,
            entries: Vec::new(),
            gone: Vec::new(),
            limit,
            last_id: 0,
        }
    }

    fn join(&mut self) {
        self.last_id += 1;
        let id = Incarnation(self.last_id);
        self.allocator.join(id);
        self.entries.push(Entry {
            id,
            seen: 0,
            share: (0, Instant::ZERO),
            queued: 0,
            busy: true,
            answers: VecDeque::new(),
        });
    }

    /// An entry reports. The answer arrives up to `max_delay_ms` late, or never.
    fn report(&mut self, index: usize, max_delay_ms: u64) {
        let lost = max_delay_ms > 0 && self.rng.random_range(0..10) == 0;
        let delay = DurationMs::new(self.rng.random_range(0..=max_delay_ms));
        let entry = &mut self.entries[index];
        let demand = [entry.demand(self.now)];
        self.allocator
            .report(self.now, entry.id, entry.seen, &demand);
        let allocation = self.allocator.allocate(self.now, entry.id);
        if !lost {
            entry.answers.push_back(Answer {
                arrives: self.now + delay,
                sent: self.now,
                allocation,
            });
        }
    }

    /// A new leader takes over. It knows the entries but not their shares.
    fn elect(&mut self) {
        self.term += 1;
        let known = self.entries.iter().chain(&self.gone).map(|entry| entry.id);
        self.allocator = ShareAllocator::new(self.term, LEASE, known);
        self.allocator.set_limit(customer(), self.limit, DEADLINE);
    }

    /// An entry dies. The leader removes it when its lease has expired.
    fn kill(&mut self, index: usize) {
        let entry = self.entries.swap_remove(index);
        self.gone.push(entry);
    }

    fn step(&mut self) {
        self.now += DurationMs::new(self.rng.random_range(0..50));
        let pick = self.rng.random_range(0..2_000);
        let index = self.rng.random_range(0..self.entries.len().max(1));
        match pick {
            0 => self.elect(),
            1..4 if self.entries.len() > 1 => self.kill(index),
            4..20 if self.entries.len() < 5 => self.join(),
            20..400 if !self.entries.is_empty() => self.report(index, 400),
            400..500 if !self.entries.is_empty() => {
                self.entries[index].queued = self.rng.random_range(0..30);
            }
            _ => {}
        }
        let now = self.now;
        self.entries
            .iter_mut()
            .for_each(|entry| entry.apply_answers(now));
        self.gone
            .iter_mut()
            .for_each(|entry| entry.apply_answers(now));
        // An answer to a dead entry may still arrive; its lease runs from the latest one.
        let allocator = &mut self.allocator;
        self.gone.retain(|entry| {
            let has_expired = entry.answers.is_empty() && entry.share.1 + LEASE <= now;
            if has_expired {
                allocator.expire(now, entry.id);
            }
            !has_expired
        });
    }

    fn in_use(&self) -> u32 {
        let all = self.entries.iter().chain(&self.gone);
        all.map(|entry| entry.share(self.now)).sum()
    }
}

#[test]
fn shares_in_use_never_exceed_the_limit() {
    let seed = from_env("HEMLOCK_SEED", DEFAULT_SEED);
    let steps = from_env("HEMLOCK_STEPS", DEFAULT_STEPS);
    for limit in [1, 2, 10, 88] {
        let mut simulation = Simulation::new(seed, limit);
        simulation.join();
        let mut max_in_use = 0;
        for step in 0..steps {
            simulation.step();
            let in_use = simulation.in_use();
            max_in_use = max_in_use.max(in_use);
            assert!(
                in_use <= limit,
                "seed {seed}, step {step}: {in_use} in use of {limit}"
            );
        }
        assert_eq!(
            max_in_use, limit,
            "the whole limit must be used at some time"
        );
    }
}

/// Lets every entry report and apply the answer `rounds` times.
fn exchange(simulation: &mut Simulation, rounds: usize) {
    for _ in 0..rounds {
        for index in 0..simulation.entries.len() {
            simulation.now += DurationMs::new(1);
            simulation.report(index, 0);
            let now = simulation.now;
            simulation.entries[index].apply_answers(now);
        }
    }
}

#[test]
fn shares_move_to_demand_once_the_holder_has_confirmed() {
    let mut simulation = Simulation::new(1, 88);
    simulation.join();
    simulation.join();
    exchange(&mut simulation, 3);
    assert_eq!(simulation.entries[0].share(simulation.now), 44);
    simulation.entries[0].queued = 500;
    simulation.entries[1].busy = false;
    // The holder receives its lower share in the first round and confirms it in the second.
    exchange(&mut simulation, 2);
    assert_eq!(simulation.entries[0].share(simulation.now), 44);
    exchange(&mut simulation, 1);
    assert_eq!(simulation.entries[0].share(simulation.now), 88);
}

#[test]
fn a_holder_of_unused_shares_is_updated_when_another_entry_has_demand() {
    let mut simulation = Simulation::new(1, 10);
    simulation.join();
    simulation.join();
    exchange(&mut simulation, 3);
    simulation.entries[1].busy = false;
    exchange(&mut simulation, 1);
    simulation.entries[0].queued = 50;
    let demand = simulation.entries[0].demand(simulation.now);
    simulation.allocator.entries_to_update(simulation.now);
    simulation.allocator.report(
        simulation.now,
        Incarnation(1),
        simulation.entries[0].seen,
        &[demand],
    );
    let due = simulation.allocator.entries_to_update(simulation.now);
    assert!(
        due.contains(&Incarnation(2)),
        "the holder of unused shares must be updated at once"
    );
}

#[test]
fn a_lowered_limit_counts_old_shares_until_they_are_replaced_or_expire() {
    let mut simulation = Simulation::new(1, 10);
    simulation.join();
    simulation.join();
    exchange(&mut simulation, 3);
    assert_eq!(simulation.in_use(), 10);
    simulation.allocator.set_limit(customer(), 4, DEADLINE);
    let allocation = simulation
        .allocator
        .allocate(simulation.now, Incarnation(1));
    assert_eq!(
        allocation.shares[0].count, 0,
        "the other entry still holds 5 of 4"
    );
    exchange(&mut simulation, 8);
    let later = simulation.now + LEASE;
    assert!(simulation.allocator.outstanding(later, &customer()) <= 4 + 10);
    assert_eq!(simulation.in_use(), 4);
}

#[test]
fn a_new_leader_raises_no_share_before_it_knows_all_shares() {
    let mut simulation = Simulation::new(1, 10);
    simulation.join();
    simulation.join();
    exchange(&mut simulation, 3);
    simulation.elect();
    simulation.entries[0].queued = 100;
    for _ in 0..5 {
        simulation.report(0, 0);
        let now = simulation.now;
        simulation.entries[0].apply_answers(now);
        assert_eq!(
            simulation.entries[0].share(now),
            5,
            "the other entry may hold 5"
        );
    }
    simulation.allocator.expire(simulation.now, Incarnation(2));
    let after = simulation.now + DEADLINE;
    simulation.now = after;
    exchange(&mut simulation, 2);
    assert_eq!(simulation.entries[0].share(simulation.now), 10);
}
