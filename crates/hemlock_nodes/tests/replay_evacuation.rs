//! Evacuations under load, replayed against the engines of many gateways and the runs of many
//! instances.

#[allow(dead_code, unused_imports)]
mod replay;

use replay::{Burst, Deployment, Evacuation, Load, Replay, ReplayResult, Start, domain_of};

const SEARCH: usize = 0;
/// Longest time from the leader's commit until every process that is not cut off knows the
/// evacuation, in milliseconds: a runner's ping interval.
const DISTRIBUTED_MS: u64 = 300;
/// Time in which the starts that a runner had accepted before are carried out, in milliseconds.
const QUEUE_MS: u64 = 100;

/// Twelve gateways that share 68 instances in three failure domains.
fn deployment() -> Deployment {
    Deployment {
        gateways: 12,
        runners: 68,
        subset: 32,
        capacities_milli: vec![32_000, 32_000, 48_000],
        slowness: vec![1.0, 1.0, 0.77],
        link_us: 350,
        gateway_message_us: 150,
        runner_message_us: 100,
        gateway_weights: vec![1.0],
        racks: 7,
        remote_factor: 1.5,
    }
}

/// Plays a share of the usual load during evacuations.
fn play(rate: f64, evacuations: Vec<Evacuation>, bursts: Vec<Burst>) -> ReplayResult {
    let mut load = Load::users_mix(6.6 * rate, 3.2, 4_000);
    load.evacuations = evacuations;
    load.bursts = bursts;
    let result = Replay::run(deployment(), load, 1);
    println!("{result}");
    result
}

fn starts_in<'a>(result: &'a ReplayResult, domain: &'a str) -> impl Iterator<Item = &'a Start> {
    let starts = result.starts.iter();
    starts.filter(move |start| domain_of(start.runner) == domain)
}

/// Number of starts in a domain from `from_ms` to `to_ms`.
fn count(result: &ReplayResult, domain: &str, from_ms: u64, to_ms: u64) -> usize {
    let within = |start: &&Start| (from_ms * 1_000..to_ms * 1_000).contains(&start.at_us);
    starts_in(result, domain).filter(within).count()
}

#[test]
fn an_evacuation_under_load_stops_all_starts_in_time_and_the_rest_serves_the_callers() {
    let evacuation = Evacuation::new("b", 1_000, 2_500);
    let result = play(1.0, vec![evacuation], vec![]);
    assert!(count(&result, "b", 0, 1_000) > 100);
    assert_eq!(count(&result, "b", 1_000 + DISTRIBUTED_MS, 2_500), 0);
    assert!(count(&result, "b", 2_600, 4_000) > 100);
    assert!(result.earned_share() >= 0.95);
}

#[test]
fn an_evacuation_under_a_burst_rejects_what_the_rest_can_not_serve() {
    let burst = Burst {
        kind: None,
        factor: 1.8,
        from_ms: 800,
        to_ms: 2_800,
    };
    let evacuation = Evacuation::new("a", 1_000, 2_500);
    let result = play(1.0, vec![evacuation], vec![burst]);
    assert_eq!(count(&result, "a", 1_000 + DISTRIBUTED_MS, 2_500), 0);
    assert!(result.in_time_share(SEARCH) >= 0.9);
    for kind in &result.kinds {
        assert!(kind.late + kind.given_up <= kind.asked / 8, "{kind:?}");
    }
}

#[test]
fn an_evacuation_that_is_taken_back_halfway_changes_nothing_afterwards() {
    // Its end is committed before most runners have asked for its begin.
    let evacuations = (0..5).map(|n| Evacuation::new("c", 500 + 200 * n, 550 + 200 * n));
    let result = play(1.0, evacuations.collect(), vec![]);
    let undisturbed = play(1.0, vec![], vec![]);
    let starts = |result: &ReplayResult| count(result, "c", 2_000, 4_000) as f64;
    assert!(starts(&result) >= 0.9 * starts(&undisturbed));
    assert!(result.earned_share() >= undisturbed.earned_share() - 0.02);
}

#[test]
fn all_domains_evacuated_at_once_start_nothing_and_reject_callers_at_once() {
    let all = ["a", "b", "c"].map(|domain| Evacuation::new(domain, 1_000, 2_000));
    let result = play(0.85, all.to_vec(), vec![]);
    for domain in ["a", "b", "c"] {
        assert_eq!(count(&result, domain, 1_000 + DISTRIBUTED_MS, 2_000), 0);
        assert!(count(&result, domain, 2_000, 4_000) > 100);
    }
    let asked: u64 = result.kinds.iter().map(|kind| kind.asked).sum();
    let rejected: u64 = result.kinds.iter().map(|kind| kind.rejected).sum();
    let in_time: u64 = result.kinds.iter().map(|kind| kind.in_time).sum();
    // A quarter of the load arrives in this second.
    assert!(rejected >= asked / 5, "{rejected} of {asked}");
    assert!(in_time + rejected >= asked * 95 / 100);
}

#[test]
fn two_domains_may_be_evacuated_at_a_time() {
    let evacuations = vec![
        Evacuation::new("a", 800, 2_000),
        Evacuation::new("c", 1_200, 2_500),
    ];
    let result = play(0.4, evacuations, vec![]);
    assert_eq!(count(&result, "a", 800 + DISTRIBUTED_MS, 2_000), 0);
    assert_eq!(count(&result, "c", 1_200 + DISTRIBUTED_MS, 2_500), 0);
    assert!(result.earned_share() >= 0.95);
}

#[test]
fn a_runner_that_missed_the_evacuation_gets_no_starts() {
    let mut evacuation = Evacuation::new("b", 1_000, 4_000);
    evacuation.missed_by_runner = Some(1);
    assert_eq!(domain_of(1), "b");
    let result = play(1.0, vec![evacuation], vec![]);
    let late = result
        .starts
        .iter()
        .filter(|start| start.runner == 1 && start.at_us >= (1_000 + QUEUE_MS) * 1_000);
    assert_eq!(late.count(), 0);
    assert!(result.earned_share() >= 0.95);
}

#[test]
fn a_gateway_that_missed_the_evacuation_starts_nothing_and_serves_its_callers() {
    let mut evacuation = Evacuation::new("b", 1_000, 4_000);
    evacuation.missed_by_gateway = Some(3);
    let result = play(1.0, vec![evacuation], vec![]);
    assert_eq!(count(&result, "b", 1_000 + DISTRIBUTED_MS, 4_000), 0);
    assert!(result.gateway_share(3) >= 0.95);
}

#[test]
fn cold_instances_get_work_step_by_step_after_an_evacuation() {
    let mut evacuation = Evacuation::new("b", 500, 1_500);
    evacuation.cold_ms = 1_500;
    let result = play(0.85, vec![evacuation], vec![]);
    let after = starts_in(&result, "b").filter(|start| start.at_us >= 1_500_000);
    let cold: Vec<&Start> = after.filter(|start| start.cold_share > 0.0).collect();
    assert!(cold.len() > 100, "{} starts at cold instances", cold.len());
    // Heartbeats tell every 200 ms how much of the phase is left.
    let heartbeat_share = 200.0 / 1_500.0;
    for start in &cold {
        let usable = 1.0 - 0.75 * (start.cold_share - heartbeat_share).max(0.0);
        assert!(start.used_share <= usable, "{start:?}");
    }
    let fully_cold = cold.iter().filter(|start| start.cold_share > 0.95);
    for start in fully_cold {
        assert!(start.used_share <= 0.3, "{start:?}");
    }
    let late = starts_in(&result, "b").filter(|start| start.at_us >= 3_000_000);
    assert!(late.map(|start| start.used_share).fold(0.0, f64::max) > 0.5);
    assert!(result.earned_share() >= 0.95);
}
