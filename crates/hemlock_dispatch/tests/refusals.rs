//! Starts that are refused again and again.

mod fixture;

use fixture::{Fixture, QUEUE, job, queue};
use hemlock_dispatch::prelude::*;
use hemlock_types::prelude::*;

const AGENTS: u64 = 4;
const TASKS: u16 = 8;
/// Most starts of a task that is refused for a second.
const MAX_STARTS_PER_TASK: usize = 20;
const STEP: DurationMs = DurationMs::new(1);
const REASONS: [RefusalReason; 8] = [
    RefusalReason::Outdated,
    RefusalReason::Session,
    RefusalReason::NoRoom,
    RefusalReason::NoInstance,
    RefusalReason::Unhealthy,
    RefusalReason::Unanswered,
    RefusalReason::Evacuated,
    RefusalReason::Suspended,
];

/// The dispatchers of a leader and of a gateway, which shares its instances with others.
fn fixtures() -> [Fixture; 2] {
    let shared = DispatchSettings {
        capacity: CapacitySource::Reported,
        records_ends: false,
        ..DispatchSettings::default()
    };
    [DispatchSettings::default(), shared].map(|settings| {
        let store = fixture::store(vec![queue(QUEUE, 0)]);
        let mut fixture = Fixture::with_settings(store, AGENTS, settings);
        (0..AGENTS).for_each(|agent| fixture.report_idle(agent));
        fixture
    })
}

/// Refuses all starts for a time, however often they are repeated, and returns their number.
fn refuse_for(fixture: &mut Fixture, duration: DurationMs, reason: RefusalReason) -> usize {
    let until = fixture.now + duration;
    let mut starts = 0;
    while fixture.now < until && starts < 100_000 {
        let refused = fixture.poll();
        for (agent, start) in &refused {
            fixture.refuse(*agent, start, reason);
            fixture.report_idle(*agent);
        }
        starts += refused.len();
        if refused.is_empty() {
            fixture.now += STEP;
        }
    }
    starts
}

/// Guards against starts that are repeated as fast as they are refused: two gateways had the same
/// job, and one repeated its starts at the instances where the other's tasks ran (review/12).
#[test]
fn refused_starts_are_repeated_at_a_bounded_rate() {
    for reason in REASONS {
        for mut fixture in fixtures() {
            fixture.submit(1, job(TASKS, 6_000, 60));
            let starts = refuse_for(&mut fixture, DurationMs::new(1_000), reason);
            let most = MAX_STARTS_PER_TASK * usize::from(TASKS);
            assert!(starts >= usize::from(TASKS), "{reason}: {starts} starts");
            assert!(starts <= most, "{reason}: {starts} starts");
        }
    }
}

#[test]
fn a_task_is_started_soon_after_its_refusals_end() {
    for mut fixture in fixtures() {
        fixture.submit(1, job(TASKS, 6_000, 60));
        refuse_for(
            &mut fixture,
            DurationMs::new(1_000),
            RefusalReason::Outdated,
        );
        let until = fixture.now + DurationMs::new(200);
        let mut started = 0;
        while fixture.now < until {
            started += fixture.poll().len();
            let next = fixture.dispatcher.next_deadline();
            fixture.now = next.max(fixture.now + STEP);
        }
        assert_eq!(started, usize::from(TASKS));
    }
}

#[test]
fn a_task_that_is_refused_once_or_twice_is_started_again_at_once() {
    for mut fixture in fixtures() {
        fixture.submit(1, job(1, 6_000, 60));
        for _ in 0..2 {
            let starts = fixture.poll();
            assert_eq!(starts.len(), 1);
            fixture.refuse(starts[0].0, &starts[0].1, RefusalReason::NoRoom);
        }
        assert_eq!(fixture.poll().len(), 1);
    }
}
