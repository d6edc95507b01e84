//! Tests of a leader that maintains a target number of voters automatically.

mod sim;

use hemlock_quorum::prelude::*;
use sim::Sim;

/// The voters in the leader's member set.
fn voters(sim: &Sim) -> Vec<KeeperId> {
    let nodes = sim.nodes.values();
    let cores = nodes.filter_map(|node| node.quorum.as_ref());
    let leader = cores.map(Quorum::status).find(|status| status.serving);
    leader.map_or_else(Vec::new, |status| {
        status.members.voters().map(|(id, _)| id).collect()
    })
}

#[test]
fn joining_keepers_are_added_up_to_the_target() {
    for seed in 0..40 {
        let mut sim = Sim::with_target_voters(seed, 3, 4, Some(5));
        let done = sim.run_ms(20_000, |sim| voters(sim).len() == 5);
        assert!(done, "seed {seed}: {:?}", voters(&sim));
        sim.run_ms(3_000, |_| false);
        assert_eq!(voters(&sim).len(), 5, "seed {seed}: two stay learners");
    }
}

#[test]
fn a_crashed_voter_is_replaced_by_a_learner_with_another_id() {
    for seed in 0..40 {
        let mut sim = Sim::with_target_voters(seed, 3, 3, Some(5));
        assert!(
            sim.run_ms(20_000, |sim| voters(sim).len() == 5),
            "seed {seed}"
        );
        let gone = voters(&sim)[0];
        sim.crash(gone);
        let replaced = |sim: &Sim| voters(sim).len() == 5 && !voters(sim).contains(&gone);
        assert!(
            sim.run_ms(10_000, replaced),
            "seed {seed}: {:?}",
            voters(&sim)
        );
    }
}

#[test]
fn no_cluster_is_bootstrapped_when_the_settings_forbid_it() {
    for seed in 0..20 {
        let mut sim = Sim::without_bootstrap(seed, 3);
        sim.run_ms(10_000, |_| false);
        assert!(voters(&sim).is_empty(), "seed {seed}");
    }
}
