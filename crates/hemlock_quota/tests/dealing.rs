//! Shares as entries use them, under late answers, lost entries and new leaders.

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
fn a_split_uses_the_whole_limit_and_meets_small_wants() {
    fn property(limit: u32, wants: Vec<u16>, turn: usize) -> TestResult {
        if wants.is_empty() {
            return TestResult::discard();
        }
        let wants: Vec<u32> = wants.into_iter().map(u32::from).collect();
        let limit = limit % 100_000;
        let parts = split(limit, &wants, turn % 100);
        let sum: u64 = parts.iter().map(|part| u64::from(*part)).sum();
        // An entry with less than it wants has no less than any entry beyond its want, but for
        // the one unit that does not divide.
        let fair = parts
            .iter()
            .zip(&wants)
            .all(|(part, want)| part >= want || parts.iter().all(|other| *other <= part + 1));
        TestResult::from_bool(sum == u64::from(limit) && fair)
    }
    QuickCheck::new().quickcheck(property as fn(u32, Vec<u16>, usize) -> TestResult);
}

/// An answer on its way to an entry.
struct Answer {
    arrives: Instant,
    sent: Instant,
    deal: Deal,
}

/// An entry that takes answers as they come.
struct Entry {
    id: Incarnation,
    seen: u64,
    share: (u32, Instant),
    queued: u32,
    /// Whether it runs as much as it may, or nothing.
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

    fn take_answers(&mut self, now: Instant) {
        while let Some(index) = self.answers.iter().position(|answer| answer.arrives <= now) {
            let answer = self.answers.remove(index).expect("it was found");
            if answer.deal.seq > self.seen {
                self.seen = answer.deal.seq;
                let share = answer.deal.shares.first();
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

struct World {
    rng: Pcg32,
    now: Instant,
    term: u64,
    dealer: Dealer,
    entries: Vec<Entry>,
    /// Entries that are gone, with what they may still use until then.
    gone: Vec<Entry>,
    limit: u32,
    next: u64,
}

impl World {
    fn new(seed: u64, limit: u32) -> Self {
        let mut dealer = Dealer::new(1, LEASE, []);
        dealer.set_limit(customer(), limit, DEADLINE);
        Self {
            rng: Pcg32::seed_from_u64(seed),
            now: Instant::from_ms(1),
            term: 1,
            dealer,
            entries: Vec::new(),
            gone: Vec::new(),
            limit,
            next: 0,
        }
    }

    fn join(&mut self) {
        self.next += 1;
        let id = Incarnation(self.next);
        self.dealer.join(id);
        self.entries.push(Entry {
            id,
            seen: 0,
            share: (0, Instant::ZERO),
            queued: 0,
            busy: true,
            answers: VecDeque::new(),
        });
    }

    /// An entry reports; the answer comes late, or never.
    fn report(&mut self, index: usize, most_late_ms: u64) {
        let lost = most_late_ms > 0 && self.rng.random_range(0..10) == 0;
        let late = DurationMs::new(self.rng.random_range(0..=most_late_ms));
        let entry = &mut self.entries[index];
        let demand = [entry.demand(self.now)];
        self.dealer.report(self.now, entry.id, entry.seen, &demand);
        let deal = self.dealer.deal(self.now, entry.id);
        if !lost {
            entry.answers.push_back(Answer {
                arrives: self.now + late,
                sent: self.now,
                deal,
            });
        }
    }

    /// A new leader takes over; it knows which entries there are.
    fn elect(&mut self) {
        self.term += 1;
        let known = self.entries.iter().chain(&self.gone).map(|entry| entry.id);
        self.dealer = Dealer::new(self.term, LEASE, known);
        self.dealer.set_limit(customer(), self.limit, DEADLINE);
    }

    /// An entry dies; the leader drops it once its lease has run out.
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
            .for_each(|entry| entry.take_answers(now));
        self.gone
            .iter_mut()
            .for_each(|entry| entry.take_answers(now));
        // An answer to an entry that is gone may still arrive; its lease runs from the last one.
        let dealer = &mut self.dealer;
        self.gone.retain(|entry| {
            let done = entry.answers.is_empty() && entry.share.1 + LEASE <= now;
            if done {
                dealer.lose(now, entry.id);
            }
            !done
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
        let mut world = World::new(seed, limit);
        world.join();
        let mut most = 0;
        for step in 0..steps {
            world.step();
            let in_use = world.in_use();
            most = most.max(in_use);
            assert!(
                in_use <= limit,
                "seed {seed}, step {step}: {in_use} of {limit}"
            );
        }
        assert_eq!(most, limit, "the whole limit is used at times");
    }
}

/// Lets every entry report and take its answer a few times.
fn settle(world: &mut World, rounds: usize) {
    for _ in 0..rounds {
        for index in 0..world.entries.len() {
            world.now += DurationMs::new(1);
            world.report(index, 0);
            let now = world.now;
            world.entries[index].take_answers(now);
        }
    }
}

#[test]
fn shares_follow_demand_once_the_holder_has_confirmed() {
    let mut world = World::new(1, 88);
    world.join();
    world.join();
    settle(&mut world, 3);
    assert_eq!(world.entries[0].share(world.now), 44);
    world.entries[0].queued = 500;
    world.entries[1].busy = false;
    // The holder learns of it in the first round and confirms in the second.
    settle(&mut world, 2);
    assert_eq!(world.entries[0].share(world.now), 44);
    settle(&mut world, 1);
    assert_eq!(world.entries[0].share(world.now), 88);
}

#[test]
fn a_waiting_entry_makes_the_holder_due() {
    let mut world = World::new(1, 10);
    world.join();
    world.join();
    settle(&mut world, 3);
    world.entries[1].busy = false;
    settle(&mut world, 1);
    world.entries[0].queued = 50;
    let hungry = world.entries[0].demand(world.now);
    world.dealer.entries_to_deal(world.now);
    world
        .dealer
        .report(world.now, Incarnation(1), world.entries[0].seen, &[hungry]);
    let due = world.dealer.entries_to_deal(world.now);
    assert!(
        due.contains(&Incarnation(2)),
        "the holder of unused shares is told at once"
    );
}

#[test]
fn a_lowered_limit_counts_old_shares_until_they_are_taken_back_or_run_out() {
    let mut world = World::new(1, 10);
    world.join();
    world.join();
    settle(&mut world, 3);
    assert_eq!(world.in_use(), 10);
    world.dealer.set_limit(customer(), 4, DEADLINE);
    let deal = world.dealer.deal(world.now, Incarnation(1));
    assert_eq!(
        deal.shares[0].count, 0,
        "the other entry still holds 5 of 4"
    );
    settle(&mut world, 8);
    let later = world.now + LEASE;
    assert!(world.dealer.outstanding(later, &customer()) <= 4 + 10);
    assert_eq!(world.in_use(), 4);
}

#[test]
fn a_new_leader_raises_no_share_before_it_knows_all() {
    let mut world = World::new(1, 10);
    world.join();
    world.join();
    settle(&mut world, 3);
    world.elect();
    world.entries[0].queued = 100;
    for _ in 0..5 {
        world.report(0, 0);
        let now = world.now;
        world.entries[0].take_answers(now);
        assert_eq!(world.entries[0].share(now), 5, "the other entry may hold 5");
    }
    world.dealer.lose(world.now, Incarnation(2));
    let after = world.now + DEADLINE;
    world.now = after;
    settle(&mut world, 2);
    assert_eq!(world.entries[0].share(world.now), 10);
}
