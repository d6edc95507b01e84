//! Compares placement policies with reference implementations that scan all endpoints.

use hemlock_directory::prelude::*;
use hemlock_router::fleet::{EndpointKey, Fleet, FleetChange};
use hemlock_router::placement::{Placement, PlacementRequest, placement_named};
use hemlock_router::queue::ServiceKey;
use hemlock_types::prelude::*;
use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn announcement(agent: u64) -> Announcement {
    Announcement {
        agent: Incarnation(agent),
        service: "portaal".into(),
        slots: 4,
        connections: 64,
        address: ([127, 0, 0, 1], 1).into(),
        domain: format!("domain-{}", agent % 3).as_str().into(),
        rack: "rack".into(),
        cores: 64,
        memory_mb: 1_000,
        state: EndpointState::Serving,
    }
}

fn fleet(count: u64) -> (Fleet, Vec<EndpointKey>) {
    let mut fleet = Fleet::default();
    let update = DirectoryUpdate::Snapshot {
        generation: 1,
        version: 1,
        endpoints: (1..=count).map(announcement).collect(),
    };
    let changes = fleet.update(&update, &"domain-0".into());
    let keys = changes.into_iter().map(|change| match change {
        FleetChange::Added(key) | FleetChange::Changed(key) | FleetChange::Unlisted(key) => key,
    });
    let keys = keys.collect();
    (fleet, keys)
}

fn request(plan: Option<&[EndpointKey]>) -> PlacementRequest<'_> {
    PlacementRequest {
        service: ServiceKey(0),
        plan,
        avoid: None,
        cores: 0,
        memory_mb: 0,
        starts_by_rack: &[],
    }
}

/// Changes random endpoints and checks that each choice of the policy is among those that the
/// reference implementation `may_choose` allows.
fn matches_reference(
    policy: &str,
    seed: u64,
    restricted: bool,
    may_choose: impl Fn(&Fleet, &[EndpointKey]) -> Vec<EndpointKey>,
) -> bool {
    let mut rng = Pcg64::seed_from_u64(seed);
    let (mut fleet, keys) = fleet(9);
    let mut placement: Box<dyn Placement> = placement_named(policy).expect("a known policy");
    let mut plan: Vec<_> = keys
        .iter()
        .copied()
        .filter(|_| rng.random_bool(0.4))
        .collect();
    plan.sort_unstable();
    for _ in 0..200 {
        let key = keys[rng.random_range(0..keys.len())];
        let endpoint = fleet.get_mut(key).expect("known");
        match rng.random_range(0..4) {
            0 => endpoint.connected = rng.random_bool(0.8),
            1 => endpoint.credits = rng.random_range(0..3),
            2 => endpoint.in_flight = rng.random_range(0..5),
            _ => endpoint.leaving = rng.random_bool(0.2),
        }
        placement.update(key, fleet.get(key).expect("known"));
        let candidates = match restricted {
            true => plan.clone(),
            false => keys.clone(),
        };
        let allowed = may_choose(&fleet, &candidates);
        let chosen = placement.pick(&request(restricted.then_some(&plan[..])), &fleet, &mut rng);
        match chosen {
            Some(chosen) => assert!(allowed.contains(&chosen), "{policy} chose {chosen:?}"),
            None => assert!(allowed.is_empty(), "{policy} chose none of {allowed:?}"),
        }
    }
    true
}

fn with_credit(fleet: &Fleet, keys: &[EndpointKey]) -> Vec<EndpointKey> {
    let with_slots = |key: &&EndpointKey| {
        let endpoint = fleet.get(**key).expect("known");
        endpoint.is_open() && endpoint.credits > 0
    };
    let with_slots: Vec<_> = keys.iter().filter(with_slots).copied().collect();
    let local = |key: &&EndpointKey| fleet.get(**key).is_some_and(|endpoint| endpoint.is_local);
    let local: Vec<_> = with_slots.iter().filter(local).copied().collect();
    match local.is_empty() {
        true => with_slots,
        false => local,
    }
}

fn least_loaded(fleet: &Fleet, keys: &[EndpointKey]) -> Vec<EndpointKey> {
    let load = |key: &EndpointKey| {
        let endpoint = fleet.get(*key).expect("known");
        let free = endpoint.is_open() && endpoint.in_flight < endpoint.announcement.slots;
        free.then_some(endpoint.in_flight)
    };
    let least = keys.iter().filter_map(load).min();
    let least_loaded = keys
        .iter()
        .filter(|key| load(key).is_some() && load(key) == least);
    least_loaded.copied().collect()
}

quickcheck! {
    fn credits_choose_a_granted_slot_in_the_own_domain_first(seed: u64, restricted: bool) -> bool {
        matches_reference("credits", seed, restricted, with_credit)
    }

    fn least_in_flight_chooses_like_a_full_scan(seed: u64, restricted: bool) -> bool {
        matches_reference("least-in-flight", seed, restricted, least_loaded)
    }
}

#[test]
fn an_unknown_policy_is_refused() {
    assert!(placement_named("fastest").is_err());
}
