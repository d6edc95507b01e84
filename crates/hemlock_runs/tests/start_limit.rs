//! Starts at an instance whose failure domain is evacuated or that is cold.

mod harness;

use harness::{GATEWAY, Harness, instance, start, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;
use hemlock_standin::InstanceModel;

/// The failure domain of the harness's instance.
const DOMAIN: &str = "a";
/// CPU of a sixteenth of the instance, in thousandths of a core.
const SIXTEENTH: u64 = 64_000 / 16;

fn evacuated(domains: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    domains.iter().for_each(|domain| evacuations.begin(domain));
    evacuations
}

fn refusals(harness: &mut Harness) -> Vec<(Owner, RefusalReason)> {
    let refusal = |(owner, outcome): (Owner, RunOutcome)| match outcome {
        RunOutcome::Refused(refused) => Some((owner, refused.reason)),
        RunOutcome::Ended(..) => None,
    };
    let outcomes = harness.runs.take_outbox();
    outcomes.into_iter().filter_map(refusal).collect()
}

/// Orders a start, and returns the reason if it is refused.
fn try_start(harness: &mut Harness, owner: Owner, job: u64, cpu: u64) -> Option<RefusalReason> {
    let (calls, refused) = harness.order(owner, 1, vec![start(job, 1, cpu)], vec![]);
    harness.execute(calls);
    refused.first().map(|refused| refused.reason)
}

fn report_cold(harness: &mut Harness, sequence: u64, cold_left_ms: u64) -> InstanceChange {
    let heartbeat = Heartbeat {
        instance: instance(harness.model.born_ms),
        sequence,
        cold_left_ms,
    };
    harness.receive(&heartbeat)
}

#[test]
fn an_evacuated_instance_refuses_new_and_queued_starts_and_finishes_active_runs() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.attach(Owner::Leader, 1, &[]);
    harness.start(GATEWAY, 1, 1, 64_000);
    assert_eq!(try_start(&mut harness, GATEWAY, 2, 64_000), None);
    assert_eq!(try_start(&mut harness, Owner::Leader, 3, 64_000), None);
    assert_eq!(harness.runs.waiting(), 2);

    assert!(harness.runs.note_evacuations(&evacuated(&["b", DOMAIN])));
    let evacuated_reason = RefusalReason::Evacuated;
    assert_eq!(
        refusals(&mut harness),
        vec![
            (GATEWAY, evacuated_reason),
            (Owner::Leader, evacuated_reason)
        ]
    );
    for owner in [GATEWAY, Owner::Leader] {
        let refused = try_start(&mut harness, owner, 4, SIXTEENTH);
        assert_eq!(refused, Some(evacuated_reason));
    }
    let report = harness.runs.load_report(harness.now, GATEWAY);
    assert_eq!(report.withheld_percent, WITHHOLDS_ALL);
    harness.run_for_ms(500);
    assert!(harness.model.running().contains_key(&task(1)));
    harness.model.end(task(1), RunEnd::Done);
    harness.run_for_ms(500);
    assert_eq!(harness.model.started.len(), 1, "nothing more was started");
}

#[test]
fn an_instance_in_another_domain_is_not_affected() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    assert!(harness.runs.note_evacuations(&evacuated(&["b", "aa"])));
    assert_eq!(try_start(&mut harness, GATEWAY, 1, SIXTEENTH), None);
    let report = harness.runs.load_report(harness.now, GATEWAY);
    assert_eq!(report.withheld_percent, 0);
}

#[test]
fn starts_are_accepted_again_after_the_end_and_an_earlier_set_changes_nothing() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    let begun = evacuated(&[DOMAIN]);
    let mut ended = begun.clone();
    ended.end(DOMAIN);
    assert!(harness.runs.note_evacuations(&begun));
    assert!(harness.runs.note_evacuations(&ended));
    // The answer of an earlier leader arrives late.
    assert!(!harness.runs.note_evacuations(&begun));
    assert_eq!(try_start(&mut harness, GATEWAY, 1, SIXTEENTH), None);
    assert_eq!(harness.model.started.len(), 1);
}

#[test]
fn an_agent_without_its_leader_keeps_the_last_set() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.attach(Owner::Leader, 1, &[]);
    harness.runs.note_evacuations(&evacuated(&[DOMAIN]));
    for _ in 0..100 {
        harness.run_for_ms(100);
        harness.runs.owner_heard(GATEWAY, SessionId(1), harness.now);
    }
    assert_eq!(harness.runs.session(Owner::Leader), None);
    assert_eq!(
        try_start(&mut harness, GATEWAY, 1, SIXTEENTH),
        Some(RefusalReason::Evacuated)
    );
}

#[test]
fn an_instance_that_restarts_in_an_evacuated_domain_gets_nothing() {
    let mut harness = Harness::new();
    harness.runs.note_evacuations(&evacuated(&[DOMAIN]));
    harness.model = InstanceModel::new(2);
    harness.heartbeat(false);
    harness.list();
    harness.attach(GATEWAY, 1, &[]);
    assert_eq!(
        try_start(&mut harness, GATEWAY, 1, SIXTEENTH),
        Some(RefusalReason::Evacuated)
    );
}

#[test]
fn an_instance_that_reports_an_evacuated_domain_later_loses_its_queue() {
    let mut harness = Harness::new();
    harness.runs.note_evacuations(&evacuated(&["z"]));
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 64_000);
    assert_eq!(try_start(&mut harness, GATEWAY, 2, SIXTEENTH), None);
    let mut moved = instance(harness.model.born_ms);
    moved.failure_domain = "z".to_owned();
    let heartbeat = Heartbeat {
        instance: moved,
        sequence: 10,
        cold_left_ms: 0,
    };
    harness.receive(&heartbeat);
    assert_eq!(
        refusals(&mut harness),
        vec![(GATEWAY, RefusalReason::Evacuated)]
    );
}

// Cold instances.

/// Number of sixteenths of the instance that further starts of two owners get.
fn fill(harness: &mut Harness, first_job: u64) -> usize {
    let owners = [GATEWAY, Owner::Leader];
    let accepted = (first_job..first_job + 20).filter(|job| {
        let owner = owners[usize::try_from(*job).expect("a small number") % 2];
        try_start(harness, owner, *job, SIXTEENTH).is_none()
    });
    accepted.count()
}

fn cold_harness(cold_left_ms: u64) -> Harness {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.attach(Owner::Leader, 1, &[]);
    report_cold(&mut harness, 10, cold_left_ms);
    harness
}

#[test]
fn a_fully_cold_instance_gets_a_quarter_of_its_capacity_from_all_owners_together() {
    let mut harness = cold_harness(2_000);
    assert_eq!(fill(&mut harness, 1), 4);
    assert_eq!(harness.runs.running(), 4);
    assert_eq!(
        try_start(&mut harness, GATEWAY, 90, SIXTEENTH),
        Some(RefusalReason::NoRoom)
    );
}

#[test]
fn the_limit_grows_to_all_of_the_capacity_as_the_cold_phase_runs_out() {
    let mut harness = cold_harness(2_000);
    let mut running = Vec::new();
    for step in 0..5 {
        fill(&mut harness, 100 * (step + 1));
        running.push(harness.runs.running());
        // Heartbeats name what is left, with some delay.
        harness.advance_ms(500);
        report_cold(
            &mut harness,
            11 + step,
            1_500_u64.saturating_sub(500 * step),
        );
        harness.list();
    }
    assert_eq!(running, [4, 7, 10, 13, 16]);
}

#[test]
fn a_cold_phase_is_over_without_further_heartbeats() {
    let mut harness = cold_harness(2_000);
    harness.advance_ms(2_000);
    harness.list();
    let report = harness.runs.load_report(harness.now, GATEWAY);
    assert_eq!(report.withheld_percent, 0);
}

#[test]
fn starts_that_wait_when_the_instance_becomes_cold_are_refused() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 60_000);
    assert_eq!(try_start(&mut harness, GATEWAY, 2, 60_000), None);
    report_cold(&mut harness, 10, 2_000);
    assert_eq!(
        refusals(&mut harness),
        vec![(GATEWAY, RefusalReason::NoRoom)]
    );
    assert!(harness.model.running().contains_key(&task(1)));
}

#[test]
fn an_idle_cold_instance_accepts_one_start_of_any_size() {
    let mut harness = cold_harness(2_000);
    assert_eq!(try_start(&mut harness, GATEWAY, 1, 48_000), None);
    assert_eq!(
        try_start(&mut harness, GATEWAY, 2, SIXTEENTH),
        Some(RefusalReason::NoRoom)
    );
}

#[test]
fn the_cold_phase_of_an_instance_ends_with_its_restart() {
    let mut harness = cold_harness(60_000);
    harness.model = InstanceModel::new(2);
    harness.list();
    let report = harness.runs.load_report(harness.now, GATEWAY);
    assert_eq!(report.withheld_percent, 0);
    harness.heartbeat(false);
    assert_eq!(
        harness
            .runs
            .load_report(harness.now, GATEWAY)
            .withheld_percent,
        0
    );
}

#[test]
fn a_late_report_of_a_short_rest_does_not_begin_another_cold_phase() {
    let mut harness = cold_harness(2_000);
    harness.advance_ms(2_050);
    report_cold(&mut harness, 11, 80);
    assert_eq!(harness.runs.withheld_percent(harness.now), 3);
    // After a while without reports, the next one does.
    harness.advance_ms(5_000);
    report_cold(&mut harness, 12, 20);
    assert_eq!(harness.runs.withheld_percent(harness.now), 75);
}

#[test]
fn absurd_rests_of_a_cold_phase_are_bounded() {
    let mut harness = cold_harness(u64::MAX);
    assert_eq!(harness.runs.withheld_percent(harness.now), 75);
    harness.advance_ms(600_000);
    assert_eq!(harness.runs.withheld_percent(harness.now), 0);
}
