//! Keepers' cores with simulated entries, operators, network and disks, under random failures.
//!
//! Seed and length come from `HEMLOCK_SEED` and `HEMLOCK_STEPS`.

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
fn promises_hold_under_random_failures() {
    let seed = from_env("HEMLOCK_SEED", DEFAULT_SEED);
    let steps = from_env("HEMLOCK_STEPS", DEFAULT_STEPS);
    let mut world = World::new(seed);
    for _ in 0..steps {
        world.step();
    }
    let report = world.finish();
    println!("seed {seed}, {steps} steps: {report:?}");
    assert!(report.accepted > 0, "changes were accepted");
    assert!(report.in_force > 0, "changes came into force");
    assert!(report.granted > 0, "claims were granted");
    assert!(report.adopted > 0, "a dead entry's claims were taken over");
    assert!(report.elections > 1, "leaders changed");
}
