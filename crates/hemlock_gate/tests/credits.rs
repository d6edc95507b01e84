//! Simulation of a gate and entries whose messages are delayed.
//!
//! Messages that cross can make the gate and an entry count different credits. The tests guard
//! against a difference that stays and keeps a slot idle while a task waits. Each entry follows the
//! protocol in the simplest way: it starts a waiting task for every credit, and reports its number
//! of waiting tasks whenever that has changed.

#[allow(dead_code, reason = "each test file uses only some of the fixtures")]
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

/// Message from an entry to the gate.
enum ToGate {
    Start(TaskSpec),
    Want(u16),
    Returned { asked: u16, slots: u16 },
}

/// Message from the gate to an entry.
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
    /// Number of waiting tasks last reported to the gate.
    reported: u16,
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
        if self.reported != self.waiting {
            self.reported = self.waiting;
            self.to_gate.push_back(ToGate::Want(self.waiting));
        }
    }

    fn receive(&mut self, message: ToEntry) {
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

/// A gate, its entries, and the running tasks.
struct Simulation {
    harness: Harness,
    slots: u16,
    entries: Vec<Entry>,
    running: Vec<RunKey>,
    next_request: u64,
    submitted: u64,
}

impl Simulation {
    fn new(slots: u16, entries: u64) -> Self {
        let mut simulation = Self {
            harness: Harness::new(GateConfig::new(AGENT)),
            slots,
            entries: (0..entries).map(|_| Entry::default()).collect(),
            running: Vec::new(),
            next_request: 0,
            submitted: 0,
        };
        simulation.handle(Event::Announced(offer(slots)));
        for number in 0..entries {
            let (link, entry) = (LinkId(number), Incarnation(number));
            simulation.handle(Event::Opened { link, entry });
        }
        simulation
    }

    fn handle(&mut self, event: Event) {
        for action in self.harness.handle(event) {
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
            other => panic!("unexpected action: {other:?}"),
        };
        let entry = usize::try_from(link.0).expect("the link number fits");
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
        self.handle(match message {
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
        self.entries[entry].receive(message);
        self.entries[entry].use_credits(&mut self.next_request);
        true
    }

    fn end_one(&mut self, choice: usize) {
        if !self.running.is_empty() {
            let run = self.running.swap_remove(choice % self.running.len());
            let outcome = answer("done");
            self.handle(Event::Ended {
                run,
                outcome,
                service_us: 1,
            });
        }
    }

    /// Delivers every message. Time advances in between, so that the recall protection of credits
    /// ends.
    fn deliver_all(&mut self) {
        for _ in 0..3 {
            let mut delivered = true;
            while delivered {
                delivered = false;
                for entry in 0..self.entries.len() {
                    delivered |= self.deliver_to_gate(entry);
                    delivered |= self.deliver_to_entry(entry);
                }
            }
            self.harness.now += DurationMs::new(100);
            self.handle(Event::Tick);
        }
        while (0..self.entries.len()).any(|entry| self.deliver_to_entry(entry)) {}
        for entry in 0..self.entries.len() {
            while self.deliver_to_gate(entry) || self.deliver_to_entry(entry) {}
        }
    }

    /// Checks a state without undelivered messages: the gate and the entries agree on the number of
    /// credits, and no slot is idle while a task waits.
    fn check_at_rest(&self) {
        let status = self.harness.gate.status();
        let held: u16 = self.entries.iter().map(|entry| entry.credits).sum();
        assert_eq!(
            status.reserved, held,
            "the gate and the entries count different credits"
        );
        let waiting: u16 = self.entries.iter().map(|entry| entry.waiting).sum();
        let idle = self.slots - status.running;
        assert!(
            waiting == 0 || idle == 0,
            "{idle} slots are idle while {waiting} tasks wait"
        );
        assert_eq!(
            status.running + status.reserved,
            self.slots,
            "a slot is neither used nor reserved"
        );
    }

    fn step(&mut self, [kind, a, b]: [u8; 3]) {
        let entry = usize::from(a) % self.entries.len();
        match kind % 16 {
            0 | 1 => self.submit(entry, u16::from(b % 6)),
            2..=5 => drop(self.deliver_to_gate(entry)),
            6..=10 => drop(self.deliver_to_entry(entry)),
            11..=13 => self.end_one(usize::from(b)),
            14 => self.harness.now += DurationMs::new(u64::from(b % 32)),
            _ => self.handle(Event::Tick),
        }
    }

    fn finish(&mut self) {
        for _ in 0..100_000 {
            self.deliver_all();
            self.check_at_rest();
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
    fn no_slot_stays_unused_in_short_runs(slots: u8, entries: u8, steps: Vec<(u8, u8, u8)>) -> bool {
        let mut simulation = Simulation::new(u16::from(slots % 9) + 1, u64::from(entries % 5) + 1);
        for (kind, a, b) in steps {
            simulation.step([kind, a, b]);
        }
        simulation.finish();
        true
    }
}

#[test]
fn no_slot_stays_unused_in_long_runs() {
    let seed = from_env("HEMLOCK_SEED", SEED);
    let steps = from_env("HEMLOCK_STEPS", STEPS);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for _ in 0..10 {
        let mut simulation =
            Simulation::new(random.random_range(1..=9), random.random_range(1..=16));
        for _ in 0..steps / 10 {
            simulation.step(random.random());
        }
        simulation.finish();
    }
}

#[test]
fn credits_move_from_an_idle_entry_to_a_waiting_one() {
    let mut simulation = Simulation::new(8, 2);
    simulation.deliver_all();
    assert_eq!(simulation.entries[0].credits, 4);
    simulation.submit(1, 20);
    simulation.deliver_all();
    assert_eq!(simulation.harness.gate.status().running, 8);
    simulation.finish();
    assert_eq!(
        (simulation.entries[1].done, simulation.entries[1].refused),
        (20, 0)
    );
}

#[test]
fn every_entry_holds_credits_at_some_gates_when_entries_outnumber_slots() {
    let held = |agent: u64, link: u64| -> u16 {
        let mut gate =
            Gate::new(GateConfig::new(Incarnation(agent))).expect("the state charts are valid");
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
        u16::try_from(actions.iter().map(credits).sum::<i32>()).expect("the sum is not negative")
    };
    for link in 0..16 {
        let sum: u16 = (0..110).map(|agent| held(agent, link)).sum();
        assert!(
            (27..=110).contains(&sum),
            "link {link} holds {sum} credits, an even share is 55"
        );
    }
}

#[test]
fn credits_of_an_unresponsive_entry_move_to_others() {
    let mut harness = Harness::serving(8, 2);
    let unresponsive = LinkId(0);
    let actions = harness.handle(Event::Unresponsive { link: unresponsive });
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
        "the other entry gets all credits of the unresponsive one: {actions:?}"
    );
    let closed = harness.handle(Event::Closed { link: LinkId(1) });
    assert_eq!(
        granted(unresponsive, &closed),
        0,
        "an unresponsive entry gets no credits"
    );
    let resumed = harness.handle(Event::Responsive { link: unresponsive });
    assert_eq!(granted(unresponsive, &resumed), 8);
}
