//! Credits between a gate and entries whose messages take time.
//!
//! Each entry is the simplest that keeps to the protocol: it starts a waiting task for every
//! credit, and asks for slots when it has tasks without credits.

#[allow(dead_code, reason = "each test file uses a part")]
mod common;

use std::collections::VecDeque;

use common::*;
use hemlock_gate::prelude::*;
use hemlock_types::prelude::*;
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEPS: u64 = 5_000;
const SEED: u64 = 20_261_204;

/// What travels from an entry to the gate.
enum ToGate {
    Start(TaskSpec),
    Want(u16),
    Returned { asked: u16, slots: u16 },
}

/// What travels from the gate to an entry.
enum ToEntry {
    Credits(u16),
    Settled { outcome: Outcome, granted: u16 },
    Recall(u16),
}

/// An entry, and the two directions of its connection.
#[derive(Default)]
struct Entry {
    credits: u16,
    waiting: u16,
    told: u16,
    done: u64,
    refused: u64,
    to_gate: VecDeque<ToGate>,
    to_entry: VecDeque<ToEntry>,
}

impl Entry {
    fn use_credits(&mut self, next_request: &mut u64) {
        while self.credits > 0 && self.waiting > 0 {
            self.credits -= 1;
            self.waiting -= 1;
            *next_request += 1;
            self.to_gate.push_back(ToGate::Start(spec(*next_request)));
        }
        if self.told != self.waiting {
            self.told = self.waiting;
            self.to_gate.push_back(ToGate::Want(self.waiting));
        }
    }

    fn take(&mut self, message: ToEntry) {
        match message {
            ToEntry::Credits(slots) => self.credits += slots,
            ToEntry::Settled { outcome, granted } => {
                self.credits += granted;
                match outcome {
                    Outcome::NotRun(..) => {
                        self.refused += 1;
                        self.waiting += 1;
                    }
                    _ => self.done += 1,
                }
            }
            ToEntry::Recall(asked) => {
                let slots = asked.min(self.credits);
                self.credits -= slots;
                self.to_gate.push_back(ToGate::Returned { asked, slots });
            }
        }
    }
}

/// A gate, its entries, and what runs.
struct World {
    bench: Bench,
    slots: u16,
    entries: Vec<Entry>,
    running: Vec<RunKey>,
    next_request: u64,
    submitted: u64,
}

impl World {
    fn new(slots: u16, entries: u64) -> Self {
        let mut world = Self {
            bench: Bench::new(GateConfig::new(AGENT)),
            slots,
            entries: (0..entries).map(|_| Entry::default()).collect(),
            running: Vec::new(),
            next_request: 0,
            submitted: 0,
        };
        world.tell(Event::Announced(offer(slots)));
        for number in 0..entries {
            let (link, entry) = (LinkId(number), Incarnation(number));
            world.tell(Event::Opened { link, entry });
        }
        world
    }

    fn tell(&mut self, event: Event) {
        for action in self.bench.tell(event) {
            self.route(action);
        }
    }

    fn route(&mut self, action: Action) {
        let (link, message) = match action {
            Action::Run { run, .. } => return self.running.push(run),
            Action::Grant { link, slots } => (link, ToEntry::Credits(slots)),
            Action::Granted { link, slots, .. } => (link, ToEntry::Credits(slots)),
            Action::Recall { link, slots } => (link, ToEntry::Recall(slots)),
            Action::Settle {
                link,
                outcome,
                granted,
                ..
            } => (link, ToEntry::Settled { outcome, granted }),
            other => panic!("not in this test: {other:?}"),
        };
        let entry = usize::try_from(link.0).expect("a small number");
        self.entries[entry].to_entry.push_back(message);
    }

    fn submit(&mut self, entry: usize, tasks: u16) {
        self.entries[entry].waiting += tasks;
        self.submitted += u64::from(tasks);
        self.entries[entry].use_credits(&mut self.next_request);
    }

    fn deliver_to_gate(&mut self, entry: usize) -> bool {
        let link = LinkId(entry as u64);
        let Some(message) = self.entries[entry].to_gate.pop_front() else {
            return false;
        };
        let call = CallId(0);
        self.tell(match message {
            ToGate::Start(spec) => Event::Start { link, spec },
            ToGate::Want(count) => Event::Want { link, call, count },
            ToGate::Returned { asked, slots } => Event::Returned { link, asked, slots },
        });
        true
    }

    fn deliver_to_entry(&mut self, entry: usize) -> bool {
        let Some(message) = self.entries[entry].to_entry.pop_front() else {
            return false;
        };
        self.entries[entry].take(message);
        self.entries[entry].use_credits(&mut self.next_request);
        true
    }

    fn end_one(&mut self, choice: usize) {
        if !self.running.is_empty() {
            let run = self.running.swap_remove(choice % self.running.len());
            let outcome = answer("done");
            self.tell(Event::Ended {
                run,
                outcome,
                service_us: 1,
            });
        }
    }

    /// Delivers every message; promised credits run out meanwhile.
    fn settle_down(&mut self) {
        for _ in 0..3 {
            let mut moved = true;
            while moved {
                moved = false;
                for entry in 0..self.entries.len() {
                    moved |= self.deliver_to_gate(entry);
                    moved |= self.deliver_to_entry(entry);
                }
            }
            self.bench.now += DurationMs::new(100);
            self.tell(Event::Tick);
        }
        while (0..self.entries.len()).any(|entry| self.deliver_to_entry(entry)) {}
        for entry in 0..self.entries.len() {
            while self.deliver_to_gate(entry) || self.deliver_to_entry(entry) {}
        }
    }

    /// Nothing is under way: the books agree, and no slot idles while a task waits.
    fn check_quiet(&self) {
        let status = self.bench.gate.status();
        let believed: u16 = self.entries.iter().map(|entry| entry.credits).sum();
        assert_eq!(status.reserved, believed, "the books differ");
        let waiting: u16 = self.entries.iter().map(|entry| entry.waiting).sum();
        let idle = self.slots - status.running;
        assert!(waiting == 0 || idle == 0, "{idle} idle, {waiting} wait");
        assert_eq!(
            status.running + status.reserved,
            self.slots,
            "a slot is stranded"
        );
    }

    fn step(&mut self, [kind, a, b]: [u8; 3]) {
        let entry = usize::from(a) % self.entries.len();
        match kind % 16 {
            0 | 1 => self.submit(entry, u16::from(b % 6)),
            2..=5 => drop(self.deliver_to_gate(entry)),
            6..=10 => drop(self.deliver_to_entry(entry)),
            11..=13 => self.end_one(usize::from(b)),
            14 => self.bench.now += DurationMs::new(u64::from(b % 32)),
            _ => self.tell(Event::Tick),
        }
    }

    fn finish(&mut self) {
        for _ in 0..100_000 {
            self.settle_down();
            self.check_quiet();
            if self.running.is_empty() {
                break;
            }
            self.end_one(0);
        }
        let done: u64 = self.entries.iter().map(|entry| entry.done).sum();
        assert_eq!(done, self.submitted, "a task is lost");
    }
}

quickcheck! {
    fn credits_are_never_stranded(slots: u8, entries: u8, steps: Vec<(u8, u8, u8)>) -> bool {
        let mut world = World::new(u16::from(slots % 9) + 1, u64::from(entries % 5) + 1);
        for (kind, a, b) in steps {
            world.step([kind, a, b]);
        }
        world.finish();
        true
    }
}

#[test]
fn long_runs_strand_no_credit() {
    let seed = from_env("HEMLOCK_SEED", SEED);
    let steps = from_env("HEMLOCK_STEPS", STEPS);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..10 {
        let mut world = World::new(random.random_range(1..=9), random.random_range(1..=16));
        for _ in 0..steps / 10 {
            world.step(random.random());
        }
        world.finish();
    }
}

#[test]
fn idle_entry_loses_its_credits_to_one_that_waits() {
    let mut world = World::new(8, 2);
    world.settle_down();
    assert_eq!(world.entries[0].credits, 4);
    world.submit(1, 20);
    world.settle_down();
    assert_eq!(world.bench.gate.status().running, 8);
    world.finish();
    assert_eq!((world.entries[1].done, world.entries[1].refused), (20, 0));
}

#[test]
fn entries_beyond_the_slots_hold_credits_at_some_gates() {
    let held = |agent: u64, link: u64| -> u16 {
        let mut gate = Gate::new(GateConfig::new(Incarnation(agent))).expect("sound charts");
        let mut actions = Actions::new();
        let announced = Event::Announced(offer(8));
        gate.handle(Instant::ZERO, announced, &mut actions);
        for number in 0..16 {
            let (link, entry) = (LinkId(number), Incarnation(number));
            gate.handle(Instant::ZERO, Event::Opened { link, entry }, &mut actions);
        }
        let credits = |action: &Action| match action {
            Action::Grant { link: to, slots } if to.0 == link => i32::from(*slots),
            Action::Recall { link: to, slots } if to.0 == link => -i32::from(*slots),
            _ => 0,
        };
        u16::try_from(actions.iter().map(credits).sum::<i32>()).expect("no negative sum")
    };
    for link in 0..16 {
        let sum: u16 = (0..110).map(|agent| held(agent, link)).sum();
        assert!(
            (27..=110).contains(&sum),
            "link {link} holds {sum}, a fair part is 55"
        );
    }
}

#[test]
fn silent_entry_strands_nothing() {
    let mut bench = Bench::serving(8, 2);
    let silent = LinkId(0);
    let actions = bench.tell(Event::Silent { link: silent });
    let granted = |link, actions: &[Action]| -> u16 {
        let slots = |action: &Action| match action {
            Action::Grant { link: to, slots } if *to == link => *slots,
            _ => 0,
        };
        actions.iter().map(slots).sum()
    };
    assert_eq!(
        granted(LinkId(1), &actions),
        4,
        "all that the silent one held: {actions:?}"
    );
    let closed = bench.tell(Event::Closed { link: LinkId(1) });
    assert_eq!(granted(silent, &closed), 0, "a silent entry gets none");
    let heard = bench.tell(Event::Heard { link: silent });
    assert_eq!(granted(silent, &heard), 8);
}
