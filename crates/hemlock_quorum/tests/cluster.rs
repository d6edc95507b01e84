//! A cluster of three keepers without faults, and with the plain ones.

mod sim;

use sim::Sim;

/// Longest time from a leader's death to the next accepted command, in milliseconds.
const TAKE_OVER_MS: u64 = 2_000;

fn founded(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3, 0);
    assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
    sim
}

#[test]
fn three_keepers_found_a_cluster_and_commit() {
    let mut sim = founded(1);
    assert!(sim.run_ms(2_000, |sim| sim.model.accepted.len() > 100));
    assert_eq!(sim.model.members().voters().count(), 3);
}

#[test]
fn a_leader_that_dies_is_replaced_in_time() {
    for seed in 0..40 {
        let mut sim = founded(seed);
        sim.run_ms(500, |_| false);
        let dead = sim.leader().expect("there is a leader");
        sim.crash(dead);
        let before = sim.model.accepted.len();
        let replaced = sim.run_ms(TAKE_OVER_MS, |sim| sim.model.accepted.len() > before);
        assert!(replaced, "seed {seed}");
    }
}
