//! Randomized simulations of gateways, runners and instances. They check that no task runs twice at
//! once, that no instance exceeds its capacity, and that every caller gets an answer.
//!
//! `HEMLOCK_SEED` sets the first seed and `HEMLOCK_STEPS` the steps per seed.

mod simulation;

use simulation::Simulation;

/// Default number of steps of 5 ms per seed.
const STEPS: u64 = 12_000;
/// Number of consecutive seeds in one test run.
const SEEDS: u64 = 24;

/// Reads a number from an environment variable.
fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_task_runs_twice_at_once_despite_faults_and_restarts() {
    let first = number("HEMLOCK_SEED", 1);
    let steps = number("HEMLOCK_STEPS", STEPS);
    let mut ended = 0;
    for seed in first..first + SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..steps {
            simulation.step();
        }
        simulation.drain();
        ended += simulation.ended;
        assert!(simulation.ended > 0, "seed {seed}: no job ended");
    }
    println!("{ended} jobs ended over {SEEDS} seeds of {steps} steps");
}

#[test]
fn without_faults_every_job_is_done() {
    let mut simulation = Simulation::without_faults(1);
    for _ in 0..STEPS {
        simulation.step();
    }
    simulation.drain();
    assert_eq!(simulation.ended, simulation.submitted);
}
