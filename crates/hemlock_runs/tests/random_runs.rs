//! Random runs of gateways, runners and instances: however they meet, no task runs twice at once,
//! no instance's capacity is passed, and every caller gets an answer.
//!
//! `HEMLOCK_SEED` and `HEMLOCK_STEPS` choose other and longer runs.

mod world;

use world::World;

/// Steps of 5 ms for one seed.
const STEPS: u64 = 12_000;
/// Seeds that every run plays.
const SEEDS: u64 = 24;

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_task_runs_twice_at_once_whatever_is_lost_late_or_restarted() {
    let first = number("HEMLOCK_SEED", 1);
    let steps = number("HEMLOCK_STEPS", STEPS);
    let mut ended = 0;
    for seed in first..first + SEEDS {
        let mut world = World::new(seed);
        for _ in 0..steps {
            world.step();
        }
        world.heal();
        ended += world.ended;
        assert!(world.ended > 0, "seed {seed}: nothing was done");
    }
    println!("{ended} jobs ended over {SEEDS} seeds of {steps} steps");
}

#[test]
fn without_faults_every_job_is_done() {
    let mut world = World::calm(1);
    for _ in 0..STEPS {
        world.step();
    }
    world.heal();
    assert_eq!(world.ended, world.submitted);
}
