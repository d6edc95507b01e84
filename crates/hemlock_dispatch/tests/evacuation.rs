//! Evacuated and cold instances: where the dispatcher places work, and what admission counts.

mod fixture;

use std::collections::BTreeSet;

use fixture::{Fixture, QUEUE, job, queue, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;

const AGENTS: u64 = 6;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Whole capacity of an instance, in thousandths of a core.
const WHOLE: u64 = 64_000;

fn evacuate(domain: &str) -> Command {
    Command::Evacuate(domain.to_owned())
}

fn end(domain: &str) -> Command {
    Command::EndEvacuation(domain.to_owned())
}

/// A leader's dispatcher with two agents in each of three failure domains.
fn in_three_domains() -> Fixture {
    let mut fixture = Fixture::new(AGENTS);
    fixture.set_domains(&DOMAINS);
    fixture
}

fn agents(placed: &[(u64, StartOrder)]) -> BTreeSet<u64> {
    placed.iter().map(|(agent, _)| *agent).collect()
}

fn fill(fixture: &mut Fixture, id: u64) -> Vec<(u64, StartOrder)> {
    fixture.submit(id, job(6, WHOLE, 60));
    fixture.poll()
}

#[test]
fn nothing_is_placed_in_an_evacuated_domain_until_its_evacuation_ends() {
    let mut fixture = in_three_domains();
    fixture.change_evacuations(evacuate("b"));
    let placed = fill(&mut fixture, 1);
    assert_eq!(agents(&placed), BTreeSet::from([0, 2, 3, 5]));
    fixture.advance_ms(100);
    assert!(fixture.poll().is_empty());
    fixture.change_evacuations(end("b"));
    assert_eq!(agents(&fixture.poll()), BTreeSet::from([1, 4]));
}

#[test]
fn active_runs_in_an_evacuated_domain_end_as_usual() {
    let mut fixture = in_three_domains();
    let placed = fill(&mut fixture, 1);
    fixture.change_evacuations(evacuate("a"));
    let orders = fixture.poll_orders();
    assert!(orders.iter().all(|order| order.stops.is_empty()));
    for (agent, start) in &placed {
        fixture.end(*agent, start.task, start.run.0, RunEnd::Done);
    }
    let outcome = fixture.store.job(JobId(1)).and_then(JobRecord::outcome);
    assert_eq!(outcome, Some(JobOutcome::Complete));
}

#[test]
fn an_evacuation_that_is_taken_back_halfway_leaves_the_dispatcher_as_before() {
    let mut fixture = in_three_domains();
    for _ in 0..5 {
        fixture.change_evacuations(evacuate("a"));
        fixture.change_evacuations(end("a"));
    }
    assert_eq!(agents(&fill(&mut fixture, 1)).len(), 6);
}

#[test]
fn an_earlier_set_does_not_revert_a_later_one() {
    let mut fixture = in_three_domains();
    fixture.change_evacuations(evacuate("a"));
    let begun = fixture.store.evacuations().clone();
    fixture.change_evacuations(end("a"));
    assert!(!fixture.dispatcher.set_evacuations(&begun));
    assert_eq!(agents(&fill(&mut fixture, 1)).len(), 6);
}

#[test]
fn a_new_leader_places_nothing_in_a_domain_evacuated_under_an_earlier_one() {
    let mut fixture = in_three_domains();
    fixture.change_evacuations(evacuate("c"));
    let mut next = Fixture::with_store(fixture.store.clone(), AGENTS);
    next.set_domains(&DOMAINS);
    assert_eq!(agents(&fill(&mut next, 1)), BTreeSet::from([0, 1, 3, 4]));
}

#[test]
fn an_instance_that_reappears_in_another_domain_follows_that_domain() {
    let mut fixture = in_three_domains();
    fixture.change_evacuations(evacuate("a"));
    fixture.set_domains(&["b", "a", "b"]);
    assert_eq!(agents(&fill(&mut fixture, 1)), BTreeSet::from([0, 2, 3, 5]));
}

#[test]
fn a_start_refused_as_evacuated_goes_elsewhere_and_is_no_failure() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, job(1, WHOLE, 60));
    let (first, start) = fixture.poll().remove(0);
    // The runner has heard of the evacuation before this dispatcher.
    fixture.withhold(first, WITHHOLDS_ALL);
    fixture.refuse(first, &start, RefusalReason::Evacuated);
    let (second, again) = fixture.poll().remove(0);
    assert_eq!((second, again.task), (1 - first, task(1, 0)));
    // Repeated refusals don't eject the instance.
    for id in 2..8 {
        fixture.withhold(first, 0);
        fixture.submit(id, job(1, WHOLE, 60));
        let placed = fixture.poll();
        let [(agent, start)] = &placed[..] else {
            panic!("the instance is free again: {placed:?}");
        };
        assert_eq!(*agent, first);
        fixture.withhold(first, WITHHOLDS_ALL);
        fixture.refuse(first, start, RefusalReason::Evacuated);
        assert!(fixture.poll().is_empty());
        fixture.cancel(id);
    }
}

#[test]
fn new_work_is_rejected_at_once_while_all_instances_are_evacuated() {
    let mut fixture = in_three_domains();
    for domain in ["a", "b"] {
        fixture.change_evacuations(evacuate(domain));
        assert_eq!(fixture.admit(&job(1, 6_000, 60)), Ok(()));
    }
    fixture.change_evacuations(evacuate("c"));
    let refusal = fixture.admit(&job(1, 6_000, 60));
    assert_eq!(refusal.map_err(|error| error.retry_after_ms), Err(1_000));
    // A job that was accepted before waits and is not lost.
    fixture.submit(1, job(2, 6_000, 60));
    assert!(fixture.poll().is_empty());
    fixture.change_evacuations(end("b"));
    assert_eq!(fixture.admit(&job(1, 6_000, 60)), Ok(()));
    let placed = fixture.poll();
    assert_eq!(placed.len(), 2);
    assert!(agents(&placed).is_subset(&BTreeSet::from([1, 4])));
}

#[test]
fn admission_does_not_count_evacuated_instances() {
    // Work of 100 ms for all six instances together waits.
    let mut fixture = in_three_domains();
    fixture.submit(1, job(6, WHOLE, 1_000));
    fixture.poll();
    fixture.submit(2, job(12, WHOLE, 50));
    let expected_wait_ms = |fixture: &mut Fixture| {
        let refusal = fixture.admit_within(&job(1, 6_000, 60), Some(DurationMs::new(0)));
        refusal
            .expect_err("the caller doesn't wait")
            .expected_wait_ms
    };
    let before_ms = expected_wait_ms(&mut fixture);
    fixture.change_evacuations(evacuate("a"));
    fixture.change_evacuations(evacuate("b"));
    let after_ms = expected_wait_ms(&mut fixture);
    assert_eq!((before_ms, after_ms), (100, 300));
}

// Cold instances.

/// The number of tasks of a sixteenth of an instance that are placed at a cold one.
fn placed_while_withholding(percent: u32) -> usize {
    let mut fixture = Fixture::new(1);
    fixture.withhold(0, percent);
    fixture.submit(1, job(16, WHOLE / 16, 60));
    fixture.poll().len()
}

#[test]
fn a_cold_instance_gets_work_in_proportion_to_what_is_not_withheld() {
    let placed = [75, 50, 25, 1, 0].map(placed_while_withholding);
    assert_eq!(placed, [4, 8, 12, 15, 16]);
}

#[test]
fn an_instance_that_becomes_cold_while_it_is_busy_gets_nothing_more() {
    let mut fixture = Fixture::new(1);
    fixture.submit(1, job(8, WHOLE / 16, 60));
    assert_eq!(fixture.poll().len(), 8);
    fixture.withhold(0, 75);
    fixture.submit(2, job(8, WHOLE / 16, 60));
    assert!(fixture.poll().is_empty());
    fixture.withhold(0, 25);
    assert_eq!(fixture.poll().len(), 4);
}

#[test]
fn an_idle_cold_instance_gets_one_task_of_any_size() {
    let mut fixture = Fixture::new(2);
    fixture.withhold(0, 75);
    fixture.withhold(1, 75);
    fixture.submit(1, job(4, WHOLE / 2, 60));
    let placed = fixture.poll();
    assert_eq!(agents(&placed), BTreeSet::from([0, 1]));
    assert_eq!(placed.len(), 2, "the rest waits: {placed:?}");
}

#[test]
fn admission_counts_the_usable_part_of_a_cold_instance() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, job(2, WHOLE, 1_000));
    fixture.poll();
    fixture.submit(2, job(2, WHOLE, 50));
    let expected_wait_ms = |fixture: &mut Fixture| {
        let refusal = fixture.admit_within(&job(1, 6_000, 60), Some(DurationMs::new(0)));
        refusal
            .expect_err("the caller doesn't wait")
            .expected_wait_ms
    };
    assert_eq!(expected_wait_ms(&mut fixture), 50);
    fixture.withhold(0, 75);
    fixture.withhold(1, 75);
    assert_eq!(expected_wait_ms(&mut fixture), 200);
}

/// A gateway's dispatcher with one agent that reports this load.
fn gateway(load: LoadReport) -> (Dispatcher, JobStore) {
    let now = Instant::from_ms(1_000);
    let mut store = fixture::store(vec![queue(QUEUE, 0)]);
    let settings = DispatchSettings {
        capacity: CapacitySource::Reported,
        records_ends: false,
        ..DispatchSettings::default()
    };
    let mut dispatcher = Dispatcher::new(now, settings, &store);
    let session = dispatcher.register(now, AgentId(0));
    let inventory = Inventory {
        instance: Some(fixture::instance(0)),
        runs: Vec::new(),
        ..Inventory::default()
    };
    dispatcher.adopt(now, AgentId(0), session, &inventory);
    dispatcher.load_reported(now, AgentId(0), session, load);
    store.apply(&Batch::new(
        0,
        vec![fixture::acceptance(1, job(16, WHOLE / 16, 60))],
    ));
    let open = store.job(JobId(1)).and_then(JobRecord::open);
    let open = open.expect("the job was accepted");
    dispatcher.job_accepted(now, JobId(1), QUEUE, open);
    (dispatcher, store)
}

fn placed_at_gateway(load: LoadReport) -> usize {
    let (mut dispatcher, _) = gateway(load);
    let orders = dispatcher.poll(Instant::from_ms(1_000));
    orders.iter().map(|order| order.starts.len()).sum()
}

#[test]
fn a_gateway_queues_nothing_at_a_cold_instance() {
    let report = |free_sixteenths: u64, withheld_percent| LoadReport {
        free: Resources {
            cpu_milli: free_sixteenths * WHOLE / 16,
            memory_mb: 262_144,
            accelerators: 0,
        },
        owners: 1,
        share_cpu_milli: WHOLE,
        withheld_percent,
        ..LoadReport::default()
    };
    assert_eq!(placed_at_gateway(report(16, 75)), 4);
    // Other gateways' runs take two of the four usable sixteenths.
    assert_eq!(placed_at_gateway(report(14, 75)), 2);
    assert_eq!(placed_at_gateway(report(10, 75)), 0);
    assert_eq!(placed_at_gateway(report(16, WITHHOLDS_ALL)), 0);
    // A report can't withhold more than everything.
    assert_eq!(placed_at_gateway(report(16, u32::MAX)), 0);
}
