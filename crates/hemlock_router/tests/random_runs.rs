//! Long randomised runs of complete routers with simplified agents and a simplified ledger.

mod world;

use world::World;

/// Number of steps of one run, unless `HEMLOCK_STEPS` is set.
const STEPS: u64 = 6_000;
/// Base of the seeds of all runs, unless `HEMLOCK_SEED` is set.
const SEED: u64 = 1;

fn env_number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run(policy: &str, entries: u32, agents: u64, offset: u64) {
    let seed = env_number("HEMLOCK_SEED", SEED) * 100 + offset;
    let mut world = World::new(seed, policy, entries, agents);
    for _ in 0..env_number("HEMLOCK_STEPS", STEPS) {
        world.step();
    }
    let call_log = world.finish();
    println!(
        "{policy}: {} complete, {} failed, {} not run",
        call_log.complete, call_log.failed, call_log.not_run
    );
    assert!(
        call_log.complete > call_log.failed,
        "more work must complete than fail"
    );
    assert!(
        call_log.failed > 0 && call_log.not_run > 0,
        "the run must include failures and refusals"
    );
}

#[test]
fn guarantees_hold_with_slot_credits() {
    for offset in 0..4 {
        run("credits", 3, 5, offset);
    }
}

#[test]
fn guarantees_hold_with_least_in_flight() {
    run("least-in-flight", 2, 4, 10);
}

#[test]
fn guarantees_hold_with_random_placement() {
    run("random", 2, 4, 20);
}
