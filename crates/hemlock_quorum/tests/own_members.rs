//! A keeper set that the leader keeps at a number of voters by itself.

mod sim;

use hemlock_quorum::prelude::*;
use sim::Sim;

/// Voters of the set as its leader sees it.
fn voters(sim: &Sim) -> Vec<KeeperId> {
    let nodes = sim.nodes.values();
    let cores = nodes.filter_map(|node| node.quorum.as_ref());
    let leader = cores.map(Quorum::status).find(|status| status.serving);
    leader.map_or_else(Vec::new, |status| {
        status.members.voters().map(|(id, _)| id).collect()
    })
}

#[test]
fn keepers_that_call_are_taken_in_up_to_the_target() {
    for seed in 0..40 {
        let mut sim = Sim::with_target(seed, 3, 4, Some(5));
        let done = sim.run_ms(20_000, |sim| voters(sim).len() == 5);
        assert!(done, "seed {seed}: {:?}", voters(&sim));
        sim.run_ms(3_000, |_| false);
        assert_eq!(voters(&sim).len(), 5, "seed {seed}: two stay learners");
    }
}

#[test]
fn a_keeper_that_is_gone_for_good_is_replaced_by_one_at_another_address() {
    for seed in 0..40 {
        let mut sim = Sim::with_target(seed, 3, 3, Some(5));
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
fn no_keeper_founds_a_cluster_that_may_not() {
    for seed in 0..20 {
        let mut sim = Sim::without_founding(seed, 3);
        sim.run_ms(10_000, |_| false);
        assert!(voters(&sim).is_empty(), "seed {seed}");
    }
}
