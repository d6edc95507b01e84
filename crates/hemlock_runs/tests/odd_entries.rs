//! Entries of other writers in an instance's listings and among its heartbeats.

mod harness;

use harness::{CAPACITY, GATEWAY, Harness, instance, needs, start, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_runs::prelude::*;

/// Lists the instance's runs together with what another writer has added.
fn list_with(harness: &mut Harness, add: impl FnOnce(&mut Listing)) {
    let call = harness.list_call();
    let mut listing = harness.model.list(&call).expect("the token is the highest");
    add(&mut listing);
    let (_, calls) = harness
        .runs
        .handle_listing(harness.now, harness.now, &listing);
    harness.execute(calls);
}

fn ends(harness: &mut Harness) -> Vec<(TaskKey, Option<RunEnd>)> {
    let outcomes = harness.runs.take_outbox().into_iter();
    let end = |(_, outcome): (Owner, RunOutcome)| match outcome {
        RunOutcome::Ended(report, _) => Some((report.task, report.end)),
        RunOutcome::Refused(_) => None,
    };
    outcomes.filter_map(end).collect()
}

/// An end of a run that this runner knows nothing of.
fn foreign_end(number: u64) -> ListedEnd {
    ListedEnd {
        number,
        task: task(77),
        run: RunNumber(2),
        end: RunEnd::Done,
    }
}

/// Guards against ends that are lost because a huge number, listed by another writer, was told to the
/// instance as the last end that it may forget.
#[test]
fn a_huge_number_of_an_end_hides_no_later_end() {
    for number in [1_000_000, 1 << 52, (1 << 53) - 1] {
        let mut harness = Harness::new();
        harness.attach(GATEWAY, 1, &[]);
        for job in 1..=3 {
            harness.start(GATEWAY, 1, job, 6_000);
            harness.model.end(task(job), RunEnd::Done);
            harness.advance_ms(20);
            list_with(&mut harness, |listing| {
                listing.ended.push(foreign_end(number));
            });
            assert_eq!(ends(&mut harness), vec![(task(job), Some(RunEnd::Done))]);
        }
        harness.list();
        assert_eq!(harness.runs.settled(), 3);
        assert!(harness.model.unsettled().is_empty());
    }
}

/// Guards against ends that are lost because another writer has used their number, or one that is to
/// come soon.
#[test]
fn a_number_that_another_writer_has_used_hides_no_end() {
    for number in 1..=6 {
        let mut harness = Harness::new();
        harness.attach(GATEWAY, 1, &[]);
        for job in 1..=8 {
            harness.start(GATEWAY, 1, job, 6_000);
            harness.advance_ms(20);
            list_with(&mut harness, |listing| {
                listing.ended.insert(0, foreign_end(number));
            });
            harness.model.end(task(job), RunEnd::Done);
            harness.advance_ms(20);
            list_with(&mut harness, |listing| {
                listing.ended.insert(0, foreign_end(number));
            });
            let ended = (task(job), Some(RunEnd::Done));
            assert_eq!(ends(&mut harness), vec![ended], "{number}");
        }
        harness.list();
        assert_eq!(harness.runs.settled(), 8);
        assert!(harness.model.unsettled().is_empty());
    }
}

/// Guards against ends that a new process of the runner never lets its instance forget.
#[test]
fn a_new_process_settles_high_numbers_once_another_end_follows() {
    let mut harness = Harness::new();
    for number in [5_000, 5_001, 9_000] {
        list_with(&mut harness, |listing| {
            listing.ended.push(foreign_end(number));
        });
    }
    assert_eq!(harness.runs.settled(), 5_001);
}

/// Guards against a task that starts again beside its run, because the entry of the run couldn't be
/// read and counted as missing.
#[test]
fn a_run_is_not_lost_while_its_entry_cannot_be_read() {
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    harness.start(GATEWAY, 1, 2, 6_000);
    harness.model.end(task(2), RunEnd::Done);
    harness.advance_ms(50);
    list_with(&mut harness, |listing| {
        listing.running.retain(|run| run.task != task(1));
        listing.unclear.push(task(1));
    });
    assert_eq!(ends(&mut harness), vec![(task(2), Some(RunEnd::Done))]);
    harness.model.end(task(1), RunEnd::Done);
    harness.advance_ms(50);
    list_with(&mut harness, |listing| listing.unclear.push(task(1)));
    assert_eq!(ends(&mut harness), vec![(task(1), Some(RunEnd::Done))]);
}

/// A heartbeat of the present incarnation that reports this part of the capacity.
fn heartbeat(sequence: u64, percent: u32) -> Heartbeat {
    let mut report = instance(1);
    report.capacity = CAPACITY.percent(percent);
    Heartbeat {
        instance: report,
        sequence,
        cold_left_ms: 0,
    }
}

fn reported_percent(harness: &Harness) -> u64 {
    let instance = harness.runs.instance().expect("the instance is there");
    instance.capacity.cpu_milli * 100 / CAPACITY.cpu_milli
}

/// Guards against heartbeats that look late, because one with a huge sequence number came before.
#[test]
fn a_huge_sequence_number_hides_no_later_heartbeat() {
    for huge in [1 << 32, 1 << 60, u64::MAX] {
        let mut harness = Harness::new();
        harness.receive(&heartbeat(huge, 90));
        assert_eq!(reported_percent(&harness), 100, "it is held back");
        harness.advance_ms(1_500);
        harness.receive(&heartbeat(2, 50));
        assert_eq!(reported_percent(&harness), 50);
    }
}

/// Guards against the same if the huge number is in the first heartbeat that a runner gets, or not
/// so huge.
#[test]
fn heartbeats_in_order_replace_one_with_a_higher_number() {
    for (first, odd) in [(true, u64::MAX), (false, 5_000)] {
        let mut harness = Harness::just_started(hemlock_standin::InstanceModel::new(1), 100);
        if !first {
            harness.receive(&heartbeat(1, 100));
        }
        harness.receive(&heartbeat(odd, 90));
        assert_eq!(reported_percent(&harness), 90);
        harness.advance_ms(1_500);
        harness.receive(&heartbeat(2, 50));
        harness.advance_ms(1_500);
        harness.receive(&heartbeat(3, 40));
        assert_eq!(reported_percent(&harness), 40);
    }
}

/// Guards against late heartbeats that replace newer ones.
#[test]
fn late_heartbeats_that_arrive_together_are_ignored() {
    let mut harness = Harness::new();
    harness.receive(&heartbeat(9, 50));
    for late in [5, 6, 7, 8] {
        harness.receive(&heartbeat(late, 100));
        harness.advance_ms(20);
    }
    assert_eq!(reported_percent(&harness), 50);
    harness.receive(&heartbeat(10, 60));
    harness.advance_ms(1_500);
    harness.receive(&heartbeat(8, 100));
    assert_eq!(reported_percent(&harness), 60);
}

/// Guards against an instance whose numbers have become high, and which is no longer listened to.
#[test]
fn sequence_numbers_that_continue_are_accepted_however_high_they_are() {
    let mut harness = Harness::new();
    harness.receive(&heartbeat(1 << 40, 50));
    harness.advance_ms(1_500);
    harness.receive(&heartbeat((1 << 40) + 1, 60));
    assert_eq!(reported_percent(&harness), 60);
}

/// Guards against a runner that ends because of the figures in an order or a claim.
#[test]
fn orders_and_claims_with_impossible_figures_disturb_no_run() {
    const HUGE: Resources = Resources {
        cpu_milli: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
    };
    let mut harness = Harness::new();
    harness.attach(GATEWAY, 1, &[]);
    harness.start(GATEWAY, 1, 1, 6_000);
    let sound = start(2, 1, 6_000);
    for odd in [
        StartOrder {
            needs: HUGE,
            ..sound.clone()
        },
        StartOrder {
            expected_ms: u64::MAX,
            ..sound.clone()
        },
        StartOrder {
            run: RunNumber(u64::MAX),
            ..sound.clone()
        },
        StartOrder {
            run: RunNumber(0),
            ..sound.clone()
        },
    ] {
        let (calls, refused) = harness.order(GATEWAY, 1, vec![odd], vec![]);
        assert_eq!((calls.len(), refused.len()), (0, 1));
    }
    let late = StartOrder {
        urgency: Urgency {
            class: u8::MAX,
            priority: u32::MAX,
            due_in_ms: u64::MAX,
        },
        stall_after_ms: u64::MAX,
        ..sound
    };
    let (calls, refused) = harness.order(GATEWAY, 1, vec![late], vec![]);
    assert_eq!((calls.len(), refused.len()), (1, 0));
    harness.execute(calls);

    // A new process learns the needs of the runs from the claims.
    let mut harness = Harness::just_started(harness.model, harness::FENCE + 1);
    harness.heartbeat(false);
    harness.list();
    let claim = |job, needs| Claim {
        task: task(job),
        run: RunNumber(1),
        needs,
    };
    let claims = [claim(1, HUGE), claim(2, needs(6_000)), claim(2, HUGE)];
    let inventory = harness.attach(GATEWAY, 2, &claims);
    assert!(inventory.runs.iter().all(|run| run.end.is_none()));
    assert_eq!(
        harness.runs.load_report(harness.now, GATEWAY).free,
        Resources::default()
    );
    for job in [1, 2] {
        harness.model.end(task(job), RunEnd::Done);
    }
    harness.list();
    assert_eq!(harness.runs.used(), &Resources::default());
}
