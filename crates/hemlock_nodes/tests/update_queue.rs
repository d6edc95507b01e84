//! Tests of merging a runner's updates to a gateway that answers late.

use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::message::{InstanceUpdate, Report};
use hemlock_nodes::update_queue::{PendingUpdate, UpdateQueue};

fn ended(job: u64) -> PendingUpdate {
    let task = TaskKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let ended = RunReport {
        task,
        run: RunNumber(2),
        end: Some(RunEnd::Done),
        took_ms: 60,
    };
    PendingUpdate {
        report: Report {
            ended: vec![ended],
            refused: Vec::new(),
        },
        instance: None,
    }
}

fn changed(runs_lost: bool) -> PendingUpdate {
    PendingUpdate {
        report: Report::default(),
        instance: Some(InstanceUpdate {
            suspects: Vec::new(),
            instance: None,
            runs_lost,
        }),
    }
}

/// Guards against a message for each end at a gateway that can't keep up.
#[test]
fn ends_that_arise_while_an_update_is_unanswered_are_sent_together() {
    let mut queue = UpdateQueue::default();
    assert_eq!(queue.push(ended(1)), Some(ended(1)));
    for job in 2..=20 {
        assert_eq!(queue.push(ended(job)), None);
    }
    let next = queue.finish().expect("19 ends wait");
    let jobs: Vec<u64> = next.report.ended.iter().map(|e| e.task.job.0).collect();
    assert_eq!(jobs, (2..=20).collect::<Vec<_>>());
    assert_eq!(queue.finish(), None);
    assert_eq!(queue.push(ended(21)), Some(ended(21)), "no delay when idle");
}

/// Guards against a gateway that is not told that the runs of an instance were lost.
#[test]
fn a_loss_of_runs_is_kept_when_a_later_change_is_merged() {
    let mut queue = UpdateQueue::default();
    queue.push(ended(1));
    queue.push(changed(true));
    queue.push(changed(false));
    queue.push(ended(2));
    let next = queue.finish().expect("changes wait");
    assert!(next.instance.is_some_and(|change| change.runs_lost));
    assert_eq!(next.report.ended.len(), 1);
}
