//! When runners report their load.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::Resources;
use hemlock_nodes::load_reports::{LoadReports, LoadSummary};
use hemlock_types::prelude::*;

const CAPACITY_CPU_MILLI: u64 = 64_000;
const GATEWAYS: usize = 8;

/// The load of an instance that runs tasks of 6 cores, with `queued_ms` of urgent work waiting.
fn load(running: usize, queued_ms: u64) -> LoadSummary {
    let used_cpu_milli = 6_000 * running as u64;
    let mut queued_work = [0; URGENCY_LEVELS];
    queued_work[0] = CAPACITY_CPU_MILLI * queued_ms;
    let report = LoadReport {
        free: Resources {
            cpu_milli: CAPACITY_CPU_MILLI - used_cpu_milli,
            ..Resources::default()
        },
        queued_work,
        ..LoadReport::default()
    };
    LoadSummary::new(&report, CAPACITY_CPU_MILLI, used_cpu_milli, running)
}

fn reported(now: Instant, summary: LoadSummary) -> LoadReports {
    let mut reports = LoadReports::default();
    reports.note_sent(now, summary);
    reports
}

#[test]
fn a_change_that_decides_placement_is_reported_within_a_fraction_of_a_short_task() {
    let now = Instant::from_ms(5_000);
    for (before, after) in [
        (load(9, 0), load(10, 0)),
        (load(10, 0), load(9, 0)),
        (load(10, 0), load(10, 40)),
    ] {
        let due = reported(now, before).due_at(&after, GATEWAYS);
        assert!(due.since(now).as_ms() <= 10);
    }
}

#[test]
fn a_change_that_decides_nothing_waits_longer() {
    let now = Instant::from_ms(5_000);
    let due = reported(now, load(3, 0)).due_at(&load(4, 0), GATEWAYS);
    let wait_ms = due.since(now).as_ms();
    assert!((30..=60).contains(&wait_ms), "{wait_ms} ms");
}

#[test]
fn many_gateways_get_fewer_reports_each() {
    let now = Instant::from_ms(5_000);
    let reports = reported(now, load(10, 0));
    let few = reports.due_at(&load(9, 0), 8);
    let many = reports.due_at(&load(9, 0), 80);
    assert!(many.since(now).as_ms() >= 8 * few.since(now).as_ms());
}

/// Guards against reports that take the processor time of a gateway that is short of it.
#[test]
fn a_gateway_that_answers_slowly_gets_fewer_reports() {
    let now = Instant::from_ms(5_000);
    let due_after_ms = |answer_us: u64| {
        let mut reports = reported(now, load(10, 0));
        reports.note_answered(500);
        (0..20).for_each(|_| reports.note_answered(answer_us));
        let due = reports.due_at(&load(9, 0), GATEWAYS);
        due.since(now).as_ms()
    };
    let fast_ms = due_after_ms(500);
    assert!(due_after_ms(5_000) >= 2 * fast_ms);
    // A slow network is no reason: the first answer is as slow as the others.
    let mut far = reported(now, load(10, 0));
    (0..20).for_each(|_| far.note_answered(5_000));
    let far_ms = far.due_at(&load(9, 0), GATEWAYS).since(now).as_ms();
    assert_eq!(far_ms, fast_ms);
    // Still within half of a short task.
    assert!(due_after_ms(50_000) <= 30);
}

/// Guards against reports of a load that the gateway knows from another message.
#[test]
fn a_message_that_carries_the_load_replaces_a_report() {
    let now = Instant::from_ms(5_000);
    let mut reports = reported(now, load(10, 0));
    assert!(!reports.is_changed());
    reports.note_changed();
    assert!(reports.is_changed());
    reports.note_sent(now, load(9, 0));
    assert!(!reports.is_changed());
}
