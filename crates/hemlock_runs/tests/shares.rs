//! Tests of the shares that owners have of an instance, with failures of the owners and the runner.

mod harness;

use harness::{CAPACITY, FENCE, Harness, start};
use hemlock_dispatch::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;
use hemlock_types::prelude::*;

const BUSY: Owner = Owner::Gateway(Incarnation(1));
const IDLE: Owner = Owner::Gateway(Incarnation(2));
const OTHER: Owner = Owner::Gateway(Incarnation(3));

fn share(harness: &Harness, owner: Owner) -> u64 {
    harness.runs.load_report(harness.now, owner).share_cpu_milli
}

/// Lets the owner order runs for the given time, `cpu_milli` of work on average. Every other owner
/// in `heard` stays in its session.
fn order_steadily(harness: &mut Harness, owner: Owner, cpu_milli: u64, ms: u64, heard: &[Owner]) {
    for step in 0..ms / 50 {
        let job = harness.now.as_micros() + owner_number(owner) * 1_000_000_000 + step;
        let mut order = start(job, 1, cpu_milli);
        order.expected_ms = 50;
        harness.order(owner, 1, vec![order], vec![]);
        harness.runs.take_outbox();
        keep_sessions(harness, heard, 50);
    }
}

/// Advances the time while the owners in `heard` are heard from.
fn keep_sessions(harness: &mut Harness, heard: &[Owner], ms: u64) {
    for _ in 0..ms / 50 {
        for owner in heard {
            harness.runs.owner_heard(*owner, SessionId(1), harness.now);
        }
        harness.run_for_ms(50);
    }
}

fn owner_number(owner: Owner) -> u64 {
    match owner {
        Owner::Leader => 0,
        Owner::Gateway(incarnation) => incarnation.0,
    }
}

/// An instance with three gateways, of which the first has ordered half of the capacity lately.
fn with_uneven_demand() -> Harness {
    let mut harness = Harness::new();
    for owner in [BUSY, IDLE, OTHER] {
        harness.attach(owner, 1, &[]);
    }
    order_steadily(&mut harness, BUSY, 32_000, 2_500, &[IDLE, OTHER]);
    harness
}

/// Guards against an equal share for a gateway that has more callers than its neighbours.
#[test]
fn below_the_capacity_each_owner_has_its_demand_and_an_equal_part_of_the_rest() {
    let harness = with_uneven_demand();
    let (busy, idle) = (share(&harness, BUSY), share(&harness, IDLE));
    assert!((40_000..48_000).contains(&busy), "{busy}");
    assert!((9_000..12_000).contains(&idle), "{idle}");
    let sum: u64 = harness.runs.shares(harness.now).iter().map(|s| s.1).sum();
    assert!(sum <= CAPACITY.cpu_milli);
}

/// Guards against shares that change with even demand, where the equal share was right.
#[test]
fn even_or_no_demand_gives_equal_shares() {
    let mut shares = Shares::default();
    let now = Instant::from_ms(1_000);
    assert_eq!(shares.share_cpu_milli(now, BUSY, 4, 64_000), 16_000);
    for work in [2_000_000, 20_000_000] {
        for owner in [BUSY, IDLE, OTHER, Owner::Leader] {
            shares.note_ordered(now, owner, work);
        }
        assert_eq!(shares.share_cpu_milli(now, OTHER, 4, 64_000), 16_000);
    }
}

/// Guards against a busy gateway that leaves nothing to one that wakes.
#[test]
fn above_the_capacity_shares_are_in_proportion_and_a_waking_owner_has_a_minimum() {
    let mut shares = Shares::default();
    let now = Instant::from_ms(1_000);
    shares.note_ordered(now, BUSY, 48_000_000);
    shares.note_ordered(now, OTHER, 16_000_000);
    let share = |owner| shares.share_cpu_milli(now, owner, 4, 64_000);
    assert_eq!(share(BUSY), 48_000);
    assert_eq!(share(OTHER), 16_000);
    assert_eq!(share(IDLE), 4_000);
}

/// Guards against a rate that doesn't decay when orders follow each other within a millisecond.
#[test]
fn the_demand_of_frequent_small_orders_is_their_rate() {
    let mut shares = Shares::default();
    for order in 0..10_000 {
        let now = Instant::from_micros(1_000_000 + order * 500);
        shares.note_ordered(now, BUSY, 5_000);
    }
    let demand = shares.demand_cpu_milli(Instant::from_ms(6_000), BUSY);
    assert!((9_900..=10_100).contains(&demand), "{demand}");
}

/// Guards against capacity that stays reserved for a gateway that has died or is frozen.
#[test]
fn a_silent_owner_gives_its_share_back_within_a_second() {
    let mut harness = with_uneven_demand();
    keep_sessions(&mut harness, &[IDLE, OTHER], 950);
    assert_eq!(harness.runs.session(BUSY), None);
    assert_eq!(share(&harness, IDLE), CAPACITY.cpu_milli / 2);
}

/// Guards against a gateway that gets no capacity after it was frozen.
#[test]
fn a_gateway_that_wakes_gets_capacity_at_once() {
    let mut harness = with_uneven_demand();
    keep_sessions(&mut harness, &[IDLE, OTHER], 1_000);
    order_steadily(&mut harness, OTHER, 60_000, 1_000, &[IDLE]);
    harness.attach(BUSY, 2, &[]);
    let equal = CAPACITY.cpu_milli / 3;
    assert!(share(&harness, BUSY) >= equal / 4);
}

/// Guards against a reconnection that costs a busy gateway its share.
#[test]
fn a_new_session_of_the_same_gateway_keeps_its_demand() {
    let mut harness = with_uneven_demand();
    let before = share(&harness, BUSY);
    harness.attach(BUSY, 2, &[]);
    assert_eq!(share(&harness, BUSY), before);
}

/// Guards against a gateway that is cut off, or lost its reports, and goes on with an old share:
/// the capacity doesn't depend on shares.
#[test]
fn orders_beyond_a_share_wait_and_the_capacity_is_kept() {
    let mut harness = Harness::new();
    harness.attach(BUSY, 1, &[]);
    harness.attach(IDLE, 1, &[]);
    assert_eq!(share(&harness, IDLE), CAPACITY.cpu_milli / 2);
    for job in 1..=20 {
        let (calls, refused) = harness.order(IDLE, 1, vec![start(job, 1, 16_000)], vec![]);
        assert_eq!(refused, vec![]);
        harness.execute(calls);
        assert!(harness.runs.used().cpu_milli <= CAPACITY.cpu_milli);
    }
    assert!(harness.runs.waiting() > 0);
}

/// Guards against a restarted runner that needs stored shares.
#[test]
fn a_restarted_runner_begins_with_equal_shares() {
    let mut harness = Harness::just_started(InstanceModel::new(1), FENCE + 1);
    harness.heartbeat(false);
    harness.list();
    for owner in [BUSY, IDLE] {
        harness.attach(owner, 1, &[]);
        assert!(share(&harness, owner) >= CAPACITY.cpu_milli / 2);
    }
    assert_eq!(share(&harness, BUSY), share(&harness, IDLE));
}
