//! Reports of agents with figures that no sound agent sends.

mod fixture;

use fixture::{Fixture, job};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;

const HUGE: Resources = Resources {
    cpu_milli: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u64::MAX,
};

fn huge_instance(agent: u64) -> InstanceReport {
    InstanceReport {
        capacity: HUGE,
        ..fixture::instance(agent)
    }
}

/// Guards against a leader or gateway that ends, or places all work at one instance, because a
/// capacity is too large to be calculated with.
#[test]
fn an_instance_with_an_impossible_capacity_gets_no_work() {
    let mut fixture = Fixture::new(2);
    let session = fixture.dispatcher.register(fixture.now, AgentId(2));
    let inventory = Inventory {
        instance: Some(huge_instance(2)),
        ..Inventory::default()
    };
    let adopted = fixture
        .dispatcher
        .adopt(fixture.now, AgentId(2), session, &inventory);
    assert!(adopted.is_some());
    let report = Some(huge_instance(2));
    fixture
        .dispatcher
        .instance_changed(fixture.now, AgentId(2), session, report, false);
    fixture.submit(1, job(30, 6_000, 60));
    let started = fixture.poll();
    assert_eq!(started.len(), 20, "two instances have room for ten each");
    assert!(started.iter().all(|(agent, _)| *agent != 2));
}

/// Guards against calculations with the figures of a load report that exceed 64 bits.
#[test]
fn a_load_report_with_impossible_figures_is_ignored() {
    let now = Instant::from_ms(1_000);
    let settings = DispatchSettings {
        capacity: CapacitySource::Reported,
        records_ends: false,
        ..DispatchSettings::default()
    };
    let queue = fixture::queue(fixture::QUEUE, 3);
    let mut store = fixture::store(vec![queue.clone()]);
    let mut dispatcher = Dispatcher::new(now, settings, &store);
    let report = |dispatcher: &mut Dispatcher, agent: u64, load: LoadReport| {
        let id = AgentId(agent);
        let session = dispatcher.register(now, id);
        let inventory = Inventory {
            instance: Some(fixture::instance(agent)),
            ..Inventory::default()
        };
        let adopted = dispatcher.adopt(now, id, session, &inventory);
        assert!(adopted.is_some());
        dispatcher.load_reported(now, id, session, load)
    };
    let sound = LoadReport {
        share_cpu_milli: 64_000,
        ..LoadReport::default()
    };
    let odd = [
        LoadReport {
            free: HUGE,
            ..sound
        },
        LoadReport {
            share_cpu_milli: u64::MAX,
            ..sound
        },
        LoadReport {
            queued_work: [u64::MAX; URGENCY_LEVELS],
            ..sound
        },
        LoadReport {
            pace_percent: u32::MAX,
            ..sound
        },
    ];
    let extreme = LoadReport {
        slowest_percent: u32::MAX,
        next_ends_ms: [u32::MAX; REPORTED_ENDS],
        last_order: u64::MAX,
        withheld_percent: u32::MAX,
        owners: u32::MAX,
        ..sound
    };
    for (agent, load) in (10..).zip(odd) {
        assert!(!report(&mut dispatcher, agent, load));
    }
    assert!(report(&mut dispatcher, 1, sound));
    assert!(report(&mut dispatcher, 2, extreme));
    let spec = job(2, 6_000, 60);
    store.apply(&Batch::new(0, vec![fixture::acceptance(1, spec.clone())]));
    let open = store.job(JobId(1)).and_then(JobRecord::open);
    let open = open.expect("the job was accepted");
    let _ = dispatcher.admit(now, &queue, &spec, None);
    dispatcher.job_accepted(now, JobId(1), fixture::QUEUE, open);
    dispatcher.poll(now);
}

/// Guards against a dispatcher that ends because of numbers in reports of runs that it doesn't know.
#[test]
fn reports_with_extreme_numbers_have_no_effect() {
    let mut fixture = Fixture::new(2);
    fixture.submit(1, job(1, 6_000, 900));
    let (agent, start) = fixture.poll()[0].clone();
    let extreme = TaskKey {
        job: JobId(u64::MAX),
        occurrence: u32::MAX,
        step: u16::MAX,
        index: u16::MAX,
    };
    for task in [extreme, start.task] {
        for run in [0, u64::MAX] {
            let ended = RunReport {
                task,
                run: RunNumber(run),
                end: Some(RunEnd::Done),
                took_ms: u64::MAX,
            };
            assert_eq!(fixture.report(agent, ended), EndAction::Confirm);
            let active = RunReport { end: None, ..ended };
            let stops = fixture.register(1 - agent, vec![active]).stops;
            assert_eq!(stops.len(), 1);
            fixture.register(1 - agent, vec![]);
        }
    }
    assert_eq!(fixture.poll(), vec![]);
    fixture.end(agent, start.task, start.run.0, RunEnd::Done);
    assert!(!fixture.store.job(JobId(1)).is_some_and(JobRecord::is_open));
}
