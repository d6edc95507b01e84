//! A cluster of three keepers through one fault at a time, or two in a row.

mod sim;

use hemlock_quorum::prelude::*;
use sim::Sim;

/// Longest time from a leader's death to the next accepted command, in milliseconds.
const TAKE_OVER_MS: u64 = 2_000;

/// Time in which a lost disk must be replaced, in milliseconds.
const REPAIR_MS: u64 = 10_000;

fn founded(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3, 0);
    assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
    sim.run_ms(500, |_| false);
    sim
}

fn leader(sim: &Sim) -> KeeperId {
    sim.leader().expect("there is a leader")
}

fn accepts_more(sim: &mut Sim, ms: u64, count: usize) -> bool {
    let before = sim.model.accepted.len();
    sim.run_ms(ms, |sim| sim.model.accepted.len() >= before + count)
}

fn is_voter(sim: &Sim, id: KeeperId) -> bool {
    let incarnation = sim.nodes[&id].incarnation;
    sim.model.members().is_voter(id, incarnation)
}

#[test]
fn three_keepers_found_a_cluster_and_commit() {
    let mut sim = founded(1);
    assert!(accepts_more(&mut sim, 2_000, 100));
    assert_eq!(sim.model.members().voters().count(), 3);
}

#[test]
fn a_leader_that_dies_is_replaced_in_time() {
    let mut took_ms = Vec::new();
    for seed in 0..200 {
        let mut sim = founded(seed);
        let dead = leader(&sim);
        sim.crash(dead);
        let died_us = sim.now_us;
        assert!(accepts_more(&mut sim, TAKE_OVER_MS, 1), "seed {seed}");
        took_ms.push((sim.now_us - died_us) / 1_000);
    }
    took_ms.sort_unstable();
    println!("median {} ms, longest {} ms", took_ms[100], took_ms[199]);
}

/// Longest time from the start of a majority after a loss of all power to the next accepted
/// command, in the median, in milliseconds.
const PROMPT_RECOVERY_MS: u64 = 300;

#[test]
fn prompt_keepers_serve_soon_after_all_power_was_lost() {
    let mut took_ms = Vec::new();
    for seed in 0..100 {
        let mut sim = Sim::with_prompt_elections(seed, 5, 0);
        assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
        for id in sim.ids() {
            sim.crash(id);
        }
        // Machines start one after the other.
        for (index, id) in sim.ids().into_iter().enumerate() {
            sim.run_ms(60, |_| false);
            sim.start(id);
            if index == 2 {
                took_ms.push(sim.now_us);
            }
        }
        assert!(accepts_more(&mut sim, TAKE_OVER_MS, 1), "seed {seed}");
        let started_us = took_ms.pop().expect("a majority has started");
        took_ms.push((sim.now_us - started_us) / 1_000);
    }
    took_ms.sort_unstable();
    let (median_ms, longest_ms) = (took_ms[50], took_ms[99]);
    println!("median {median_ms} ms, longest {longest_ms} ms");
    assert!(median_ms <= PROMPT_RECOVERY_MS, "{median_ms} ms");
}

#[test]
fn a_leader_that_is_cut_off_steps_down_and_follows_later() {
    for (seed, inwards, outwards) in [(1, true, true), (2, true, false), (3, false, true)] {
        let mut sim = founded(seed);
        let cut = leader(&sim);
        sim.cut_off(cut, inwards, outwards);
        let replaced = |sim: &Sim| {
            let leaders = sim.ids().into_iter().filter_map(|id| sim.status(id));
            let serving: Vec<_> = leaders.filter(|status| status.serving).collect();
            serving.len() == 1 && serving[0].leader != Some(cut)
        };
        assert!(sim.run_ms(3_000, replaced), "seed {seed}");
        sim.run_ms(60_000, |_| false);
        let term = sim.status(leader(&sim)).expect("it is up").term;
        sim.network.cut.clear();
        let follows = |sim: &Sim| {
            sim.status(cut)
                .is_some_and(|status| status.leader.is_some())
        };
        assert!(sim.run_ms(2_000, follows));
        let after = sim.status(leader(&sim)).expect("it is up").term;
        assert_eq!(after, term, "its return disturbs nobody");
        let last = LogIndex(sim.model.committed.len() as u64);
        assert!(sim.run_ms(3_000, |sim| sim.nodes[&cut].applied >= last));
    }
}

#[test]
fn a_second_disk_may_be_lost_right_after_a_repair() {
    for seed in 0..20 {
        let mut sim = founded(seed);
        let first = KeeperId(1 + seed % 3);
        let second = KeeperId(1 + (seed + 1) % 3);
        for lost in [first, second] {
            sim.replace_disk(lost);
            let repaired = sim.run_ms(REPAIR_MS, |sim| is_voter(sim, lost));
            assert!(repaired, "seed {seed}\n{}", sim.describe());
        }
        assert!(accepts_more(&mut sim, TAKE_OVER_MS, 10), "seed {seed}");
    }
}

#[test]
fn a_lost_majority_is_never_made_up() {
    let mut sim = founded(4);
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
fn a_keeper_returns_after_hundreds_of_entries() {
    let mut sim = founded(5);
    let away = sim.ids().into_iter().find(|id| *id != leader(&sim));
    let away = away.expect("there are followers");
    sim.crash(away);
    assert!(accepts_more(&mut sim, 30_000, 800));
    sim.start(away);
    let last = LogIndex(sim.model.committed.len() as u64);
    assert!(sim.run_ms(2_000, |sim| sim.nodes[&away].applied >= last));
    let status = sim.status(away).expect("it is up");
    assert!(
        status.last.since(status.snapshot) < 200,
        "the log is bounded"
    );
}

#[test]
fn leadership_is_handed_over_without_a_timeout() {
    let mut sim = founded(6);
    let old = leader(&sim);
    sim.feed(old, Event::TransferLeadership { to: None });
    let handed = |sim: &Sim| sim.leader().is_some_and(|leader| leader != old);
    assert!(sim.run_ms(150, handed), "sooner than any election timeout");
    assert!(accepts_more(&mut sim, 200, 1));
}

#[test]
fn an_added_keeper_votes_once_it_has_caught_up_and_may_be_removed() {
    let mut sim = Sim::new(7, 3, 1);
    let added = KeeperId(4);
    assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
    assert!(accepts_more(&mut sim, 10_000, 500));
    let token = sim.next_token();
    let change = MemberChange::Add(added);
    sim.feed(leader(&sim), Event::ChangeMembers { token, change });
    assert!(sim.run_ms(3_000, |sim| is_voter(sim, added)));
    assert!(sim.nodes[&added].applied.0 > 400);
    let token = sim.next_token();
    let change = MemberChange::Remove(leader(&sim));
    sim.feed(leader(&sim), Event::ChangeMembers { token, change });
    assert!(sim.run_ms(3_000, |sim| sim.model.members().voters().count() == 3));
    assert!(accepts_more(&mut sim, TAKE_OVER_MS, 10));
}

#[test]
fn a_keeper_that_only_its_own_log_takes_out_still_leads_the_others_back() {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 4, 0);
        assert!(sim.run_ms(5_000, |sim| sim.leader().is_some()));
        let removed = leader(&sim);
        let lost = KeeperId(removed.0 % 4 + 1);
        sim.cut_off(removed, false, true);
        let token = sim.next_token();
        let change = MemberChange::Remove(removed);
        sim.feed(removed, Event::ChangeMembers { token, change });
        sim.run_ms(50, |_| false);
        sim.crash(removed);
        sim.replace_disk(lost);
        sim.network.cut.clear();
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
fn founders_on_empty_disks_found_no_second_cluster_beside_the_first() {
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
