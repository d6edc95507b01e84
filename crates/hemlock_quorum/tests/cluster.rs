//! Tests of a simulated cluster with one fault at a time, or two in a row.

mod sim;

use hemlock_quorum::prelude::*;
use sim::Sim;

/// Longest time from the crash of a leader to the next accepted command, in milliseconds.
const FAILOVER_MS: u64 = 2_000;

/// Time within which a keeper with a new disk must be a voter again, in milliseconds.
const REPAIR_MS: u64 = 10_000;

fn started_cluster(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3, 0);
    assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
    sim.run_ms(500, |_| false);
    sim
}

fn leader(sim: &Sim) -> KeeperId {
    sim.leader().expect("there is a leader")
}

fn accepts_commands(sim: &mut Sim, ms: u64, count: usize) -> bool {
    let before = sim.model.accepted.len();
    sim.run_ms(ms, |sim| sim.model.accepted.len() >= before + count)
}

fn is_voter(sim: &Sim, id: KeeperId) -> bool {
    let incarnation = sim.nodes[&id].incarnation;
    sim.model.members().is_voter(id, incarnation)
}

#[test]
fn three_keepers_bootstrap_a_cluster_and_commit() {
    let mut sim = started_cluster(1);
    assert!(accepts_commands(&mut sim, 2_000, 100));
    assert_eq!(sim.model.members().voters().count(), 3);
}

#[test]
fn a_crashed_leader_is_replaced_in_time() {
    let mut took_ms = Vec::new();
    for seed in 0..200 {
        let mut sim = started_cluster(seed);
        let crashed = leader(&sim);
        sim.crash(crashed);
        let crashed_us = sim.now_us;
        assert!(accepts_commands(&mut sim, FAILOVER_MS, 1), "seed {seed}");
        took_ms.push((sim.now_us - crashed_us) / 1_000);
    }
    took_ms.sort_unstable();
    println!("median {} ms, longest {} ms", took_ms[100], took_ms[199]);
}

/// Largest median time from the start of a majority after a power failure to the next accepted
/// command, in milliseconds.
const FAST_RECOVERY_MS: u64 = 300;

/// The same if all keepers start at the same moment, after at most one disk write of each.
const IMMEDIATE_RECOVERY_MS: u64 = 100;

/// Times from the start of a majority after a power failure to the next accepted command, over 100
/// seeds in ascending order. The keepers start `interval_ms` apart. If `without_leader` is set, the
/// latest leader and another keeper don't.
fn recovery_times_ms(interval_ms: u64, without_leader: bool) -> Vec<u64> {
    let mut took_ms = Vec::new();
    for seed in 0..100 {
        let mut sim = Sim::with_fast_elections(seed, 5, 0);
        assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
        sim.run_ms(500, |_| false);
        let mut ids = sim.ids();
        let last_leader = leader(&sim);
        for id in &ids {
            sim.crash(*id);
        }
        if without_leader {
            ids.retain(|id| *id != last_leader);
            ids.pop();
        }
        sim.run_ms(500, |_| false);
        let before = sim.model.accepted.len();
        let accepts = |sim: &Sim| sim.model.accepted.len() > before;
        let mut started_us = None;
        for (index, id) in ids.into_iter().enumerate() {
            if !accepts(&sim) {
                sim.run_ms(interval_ms, accepts);
            }
            sim.start(id);
            if index == 2 {
                started_us = Some(sim.now_us);
            }
        }
        assert!(sim.run_ms(FAILOVER_MS, accepts), "seed {seed}");
        let started_us = started_us.expect("a majority has started");
        took_ms.push((sim.now_us - started_us) / 1_000);
    }
    took_ms.sort_unstable();
    let (median_ms, longest_ms) = (took_ms[50], took_ms[99]);
    println!("{interval_ms} ms apart: median {median_ms} ms, longest {longest_ms} ms");
    took_ms
}

/// Guards against waiting out the lease of a leader that is known to have restarted.
#[test]
fn fast_elections_recover_quickly_after_a_power_failure() {
    let staggered_ms = recovery_times_ms(60, false);
    assert!(staggered_ms[50] <= FAST_RECOVERY_MS, "{staggered_ms:?}");
    let together_ms = recovery_times_ms(0, false);
    assert!(together_ms[50] <= IMMEDIATE_RECOVERY_MS, "{together_ms:?}");
    assert!(together_ms[95] <= FAST_RECOVERY_MS, "{together_ms:?}");
}

/// Guards against a split vote among keepers that have waited for the same time.
#[test]
fn keepers_that_start_together_without_the_leader_elect_one_at_once() {
    let took_ms = recovery_times_ms(0, true);
    assert!(took_ms[95] <= FAST_RECOVERY_MS, "{took_ms:?}");
}

#[test]
fn an_isolated_leader_steps_down_and_rejoins_as_a_follower() {
    for (seed, inwards, outwards) in [(1, true, true), (2, true, false), (3, false, true)] {
        let mut sim = started_cluster(seed);
        let isolated = leader(&sim);
        sim.isolate_keeper(isolated, inwards, outwards);
        let replaced = |sim: &Sim| {
            let leaders = sim.ids().into_iter().filter_map(|id| sim.status(id));
            let serving: Vec<_> = leaders.filter(|status| status.serving).collect();
            serving.len() == 1 && serving[0].leader != Some(isolated)
        };
        assert!(sim.run_ms(3_000, replaced), "seed {seed}");
        sim.run_ms(60_000, |_| false);
        let term = sim.status(leader(&sim)).expect("the keeper is up").term;
        sim.network.blocked.clear();
        let follows = |sim: &Sim| {
            sim.status(isolated)
                .is_some_and(|status| status.leader.is_some())
        };
        assert!(sim.run_ms(2_000, follows));
        let after = sim.status(leader(&sim)).expect("the keeper is up").term;
        assert_eq!(after, term, "rejoining causes no election");
        let last = LogIndex(sim.model.committed.len() as u64);
        assert!(sim.run_ms(3_000, |sim| sim.nodes[&isolated].applied >= last));
    }
}

#[test]
fn a_second_disk_may_be_lost_after_the_first_was_replaced() {
    for seed in 0..20 {
        let mut sim = started_cluster(seed);
        let first = KeeperId(1 + seed % 3);
        let second = KeeperId(1 + (seed + 1) % 3);
        for lost in [first, second] {
            sim.replace_disk(lost);
            let repaired = sim.run_ms(REPAIR_MS, |sim| is_voter(sim, lost));
            assert!(repaired, "seed {seed}\n{}", sim.describe());
        }
        assert!(accepts_commands(&mut sim, FAILOVER_MS, 10), "seed {seed}");
    }
}

#[test]
fn a_cluster_that_lost_a_majority_of_disks_commits_nothing() {
    let mut sim = started_cluster(4);
    let before = sim.model.committed.len();
    for id in [KeeperId(1), KeeperId(2)] {
        sim.replace_disk(id);
    }
    sim.run_ms(2_000, |_| false);
    let stopped = sim.model.committed.len();
    sim.run_ms(30_000, |_| false);
    assert!(sim.leader().is_none());
    assert!(stopped < before + 10);
    assert_eq!(sim.model.committed.len(), stopped);
}

#[test]
fn a_keeper_catches_up_after_missing_hundreds_of_entries() {
    let mut sim = started_cluster(5);
    let away = sim.ids().into_iter().find(|id| *id != leader(&sim));
    let away = away.expect("there is a follower");
    sim.crash(away);
    assert!(accepts_commands(&mut sim, 30_000, 800));
    sim.start(away);
    let last = LogIndex(sim.model.committed.len() as u64);
    assert!(sim.run_ms(2_000, |sim| sim.nodes[&away].applied >= last));
    let status = sim.status(away).expect("the keeper is up");
    assert!(
        status.last.since(status.snapshot) < 200,
        "the log must be compacted"
    );
}

#[test]
fn leadership_transfer_needs_no_election_timeout() {
    let mut sim = started_cluster(6);
    let old = leader(&sim);
    sim.feed(old, Event::TransferLeadership { to: None });
    let transferred = |sim: &Sim| sim.leader().is_some_and(|leader| leader != old);
    assert!(
        sim.run_ms(150, transferred),
        "must be faster than any election timeout"
    );
    assert!(accepts_commands(&mut sim, 200, 1));
}

#[test]
fn an_added_keeper_becomes_a_voter_and_a_leader_can_be_removed() {
    let mut sim = Sim::new(7, 3, 1);
    let added = KeeperId(4);
    assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
    assert!(accepts_commands(&mut sim, 10_000, 500));
    let token = sim.next_token();
    let change = MemberChange::Add(added);
    sim.feed(leader(&sim), Event::ChangeMembers { token, change });
    assert!(sim.run_ms(3_000, |sim| is_voter(sim, added)));
    assert!(sim.nodes[&added].applied.0 > 400);
    let token = sim.next_token();
    let change = MemberChange::Remove(leader(&sim));
    sim.feed(leader(&sim), Event::ChangeMembers { token, change });
    assert!(sim.run_ms(3_000, |sim| sim.model.members().voters().count() == 3));
    assert!(accepts_commands(&mut sim, FAILOVER_MS, 10));
}

#[test]
fn a_keeper_removed_only_in_its_own_log_can_still_be_elected() {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 4, 0);
        assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
        let removed = leader(&sim);
        let lost = KeeperId(removed.0 % 4 + 1);
        sim.isolate_keeper(removed, false, true);
        let token = sim.next_token();
        let change = MemberChange::Remove(removed);
        sim.feed(removed, Event::ChangeMembers { token, change });
        sim.run_ms(50, |_| false);
        sim.crash(removed);
        sim.replace_disk(lost);
        sim.network.blocked.clear();
        sim.start(removed);
        let repaired = sim.run_ms(REPAIR_MS, |sim| is_voter(sim, lost));
        assert!(repaired, "seed {seed}\n{}", sim.describe());
    }
}

fn change(sim: &mut Sim, change: MemberChange, done: impl FnMut(&Sim) -> bool) {
    let token = sim.next_token();
    let leader = leader(sim);
    sim.feed(leader, Event::ChangeMembers { token, change });
    assert!(
        sim.run_ms(REPAIR_MS, done),
        "{change:?}\n{}",
        sim.describe()
    );
}

#[test]
fn bootstrap_keepers_on_empty_disks_start_no_second_cluster() {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 3, 2);
        sim.stale_settings = true;
        assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
        for added in [4, 5].map(KeeperId) {
            change(&mut sim, MemberChange::Add(added), |sim| {
                is_voter(sim, added)
            });
        }
        for removed in [2, 3].map(KeeperId) {
            let gone = |sim: &Sim| !is_voter(sim, removed) && sim.leader().is_some();
            change(&mut sim, MemberChange::Remove(removed), gone);
            sim.replace_disk(removed);
        }
        sim.run_ms(2_000, |_| false);
        sim.replace_disk(KeeperId(1));
        let repaired = sim.run_ms(REPAIR_MS, |sim| is_voter(sim, KeeperId(1)));
        assert!(repaired, "seed {seed}\n{}", sim.describe());
    }
}
