//! Simulation of keeper cores with entries, operators, network and disks, under random failures.
//!
//! `HEMLOCK_SEED` sets the seed and `HEMLOCK_STEPS` the number of steps.

mod entry;
mod operators;
mod world;

use world::World;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_STEPS: u64 = 60_000;

fn from_env(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn invariants_hold_under_random_failures() {
    let seed = from_env("HEMLOCK_SEED", DEFAULT_SEED);
    let steps = from_env("HEMLOCK_STEPS", DEFAULT_STEPS);
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.step();
    }
    let report = world.finish();
    println!("seed {seed}, {steps} steps: {report:?}");
    assert!(report.accepted > 0, "some changes are accepted");
    assert!(report.in_force > 0, "some changes are reported as in force");
    assert!(report.granted > 0, "some claims are granted");
    assert!(
        report.adopted > 0,
        "some claims of dead entries are taken over"
    );
    assert!(report.elections > 1, "the leader changes");
}
