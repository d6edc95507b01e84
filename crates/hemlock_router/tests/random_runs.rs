//! Long randomised runs of whole routers against naive agents and a naive ledger.

mod world;

use world::World;

/// Steps of one run when the environment names none.
const STEPS: u64 = 6_000;
/// Seed of the first run when the environment names none.
const SEED: u64 = 1;

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run(policy: &str, entries: u32, agents: u64, offset: u64) {
    let seed = number("HEMLOCK_SEED", SEED) * 100 + offset;
    let mut world = World::new(seed, policy, entries, agents);
    for _ in 0..number("HEMLOCK_STEPS", STEPS) {
        world.step();
    }
    let book = world.finish();
    println!(
        "{policy}: {} complete, {} failed, {} not run",
        book.complete, book.failed, book.not_run
    );
    assert!(
        book.complete > book.failed,
        "more work completes than fails"
    );
    assert!(
        book.failed > 0 && book.not_run > 0,
        "the run has met failures"
    );
}

#[test]
fn promises_hold_with_slot_credits() {
    for offset in 0..4 {
        run("credits", 3, 5, offset);
    }
}

#[test]
fn promises_hold_with_least_in_flight() {
    run("least-in-flight", 2, 4, 10);
}

#[test]
fn promises_hold_with_random_placement() {
    run("random", 2, 4, 20);
}
