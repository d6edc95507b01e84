//! Instances whose capacity shrinks and grows while they run.

mod harness;

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;

use harness::{GATEWAY, Harness, instance, start, task};

fn set_capacity(harness: &mut Harness, sequence: u64, capacity: Resources) {
    let mut report = instance(harness.model.born_ms);
    report.capacity = capacity;
    let heartbeat = Heartbeat {
        instance: report,
        sequence,
        cold_left_ms: 0,
    };
    harness.receive(&heartbeat);
}

fn room(cpu_milli: u64, accelerators: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 262_144,
        accelerators,
    }
}

fn started(calls: &[DriverCall]) -> Vec<TaskKey> {
    let starts = calls.iter().filter_map(|call| match call {
        DriverCall::Start(start) => Some(start.task),
        DriverCall::Stop(_) => None,
    });
    starts.collect()
}

/// Guards against starts that exceed a capacity that has shrunk, and against a queue that stays
/// closed after it has grown again.
#[test]
fn nothing_starts_at_a_shrunk_instance_before_it_has_room() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 30_000);
    set_capacity(&mut harness, 10, room(32_000, 0));
    let (calls, refused) = harness.order(GATEWAY, 1, vec![start(2, 1, 6_000)], vec![]);
    assert_eq!((started(&calls), refused), (vec![], vec![]));
    set_capacity(&mut harness, 11, room(64_000, 0));
    let calls = harness.runs.start_queued(harness.now);
    assert_eq!(started(&calls), vec![task(2)]);
}

/// Guards against a queued start that no longer fits the instance and blocks all behind it.
#[test]
fn a_queued_start_that_a_shrunk_instance_can_not_run_is_refused() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 50_000);
    let starts = vec![start(2, 1, 40_000), start(3, 1, 6_000)];
    let (calls, refused) = harness.order(GATEWAY, 1, starts, vec![]);
    assert_eq!((started(&calls), refused), (vec![], vec![]));
    harness.runs.take_outbox();
    set_capacity(&mut harness, 10, room(32_000, 0));
    let reason = RefusalReason::NoRoom;
    let run = RunNumber(1);
    let refused = RefusedStart {
        task: task(2),
        run,
        reason,
    };
    let expected = vec![(GATEWAY, RunOutcome::Refused(refused))];
    assert_eq!(harness.runs.take_outbox(), expected);
    harness.model.end(task(1), RunEnd::Done);
    let call = harness.list_call();
    let listing = harness.model.list(&call).expect("the token is current");
    let (_, calls) = harness
        .runs
        .handle_listing(harness.now, harness.now, &listing);
    assert_eq!(started(&calls), vec![task(3)]);
}

/// Guards against a process that ends because a start that needs none of the exceeded resource is
/// carried out at an instance over its capacity.
#[test]
fn an_instance_over_its_capacity_starts_nothing_at_all() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    set_capacity(&mut harness, 10, room(64_000, 2));
    let mut accelerated = start(1, 1, 6_000);
    accelerated.needs.accelerators = 2;
    let (calls, _) = harness.order(GATEWAY, 1, vec![accelerated], vec![]);
    harness.execute(calls);
    set_capacity(&mut harness, 11, room(64_000, 1));
    let (calls, _) = harness.order(GATEWAY, 1, vec![start(2, 1, 6_000)], vec![]);
    assert_eq!(started(&calls), vec![]);
}
