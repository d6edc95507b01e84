//! Long randomized runs with faults. `HEMLOCK_SEED` and `HEMLOCK_STEPS` set the first seed and the
//! minimum number of steps.

mod sim;

use std::collections::BTreeSet;

use hemlock_quorum::prelude::*;
use sim::Sim;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_STEPS: u64 = 120_000;

/// Number of steps of a run before the faults stop.
const RUN_STEPS: u64 = 15_000;

/// Time within which the cluster must recover after the faults stop, in milliseconds.
const RECOVERY_MS: u64 = 20_000;

fn env_or(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Whether there is a leader, and every member is a voter with its current disk and has applied
/// almost all committed entries.
fn is_recovered(sim: &Sim) -> bool {
    let members = sim.model.members();
    let last = LogIndex(sim.model.committed.len() as u64);
    let caught_up = |(id, member): (KeeperId, Member)| {
        let node = &sim.nodes[&id];
        let voter = member == Member::voter(node.incarnation);
        voter && node.applied.0 + 20 >= last.0
    };
    sim.leader().is_some() && members.iter().all(caught_up)
}

fn run(seed: u64, totals: &mut Totals) {
    let (bootstrap_keepers, spares) = if seed.is_multiple_of(3) {
        (5, 1)
    } else {
        (3, 2)
    };
    let mut sim = match seed.is_multiple_of(2) {
        true => Sim::with_fast_elections(seed, bootstrap_keepers, spares),
        false => Sim::new(seed, bootstrap_keepers, spares),
    };
    assert!(
        sim.run_ms(5_000, |sim| sim.leader().is_some()),
        "a leader was elected"
    );
    sim.start_faults();
    while sim.steps < RUN_STEPS {
        sim.step();
    }
    sim.stop_faults();
    let recovered = sim.run_ms(RECOVERY_MS, is_recovered);
    assert!(
        recovered,
        "the cluster did not recover, seed {seed}\n{}",
        sim.describe()
    );
    let before = sim.model.accepted.len();
    let serves = sim.run_ms(RECOVERY_MS, |sim| sim.model.accepted.len() > before + 50);
    assert!(
        serves,
        "the cluster did not accept commands after recovery, seed {seed}"
    );
    totals.add(&sim);
}

#[derive(Debug, Default)]
struct Totals {
    runs: u64,
    steps: u64,
    messages: u64,
    committed: usize,
    accepted: usize,
    undecided: u64,
    reads: u64,
    terms: usize,
    injected_faults: BTreeSet<&'static str>,
}

impl Totals {
    fn add(&mut self, sim: &Sim) {
        self.runs += 1;
        self.steps += sim.steps;
        self.messages += sim.network.messages;
        self.committed += sim.model.committed.len();
        self.accepted += sim.model.accepted.len();
        self.undecided += sim.model.undecided;
        self.reads += sim.model.reads_done;
        self.terms += sim.model.leaders.len();
        self.injected_faults.extend(&sim.injected_faults);
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    let mut seed = env_or("HEMLOCK_SEED", DEFAULT_SEED);
    let steps = env_or("HEMLOCK_STEPS", DEFAULT_STEPS);
    let mut totals = Totals::default();
    while totals.steps < steps {
        run(seed, &mut totals);
        seed += 1;
    }
    println!("{totals:?}");
    assert!(totals.accepted > 0 && totals.reads > 0);
}
