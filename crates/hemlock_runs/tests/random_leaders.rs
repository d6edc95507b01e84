//! Randomized simulation of successive leaders, runners and instances. It checks that no task of a
//! kept job runs twice at once, or again after an end `done` that the instance was told to forget, that
//! no job is complete without all of its tasks, and that every job ends.
//!
//! `HEMLOCK_SEED` sets the first seed, `HEMLOCK_SEEDS` their number and `HEMLOCK_STEPS` the steps per
//! seed.

mod leaders;

use leaders::Simulation;

/// Default number of steps of 5 ms per seed.
const STEPS: u64 = 12_000;
/// Default number of consecutive seeds.
const SEEDS: u64 = 12;

/// Reads a number from an environment variable.
fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_kept_task_runs_twice_despite_changes_of_the_leader() {
    let first = number("HEMLOCK_SEED", 1);
    let steps = number("HEMLOCK_STEPS", STEPS);
    let mut terms = 0;
    let mut ended = 0;
    for seed in first..first + number("HEMLOCK_SEEDS", SEEDS) {
        let mut simulation = Simulation::new(seed);
        for _ in 0..steps {
            simulation.step();
        }
        simulation.drain();
        terms += simulation.terms();
        ended += simulation.ended_jobs();
    }
    println!("{ended} jobs ended over {terms} terms of leaders");
    assert!(ended > terms, "{ended} jobs ended over {terms} terms");
}
