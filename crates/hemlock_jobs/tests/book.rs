//! The record of jobs: what each command does, and that copies agree.

use bytes::Bytes;
use hemlock_jobs::prelude::*;
use quickcheck::{Arbitrary, Gen, quickcheck};

const ID: JobId = JobId(0x5c0e_7a21_d94b_36f8);

fn accept(id: JobId, widths: &[u16], max_attempts: u32) -> Command {
    let steps = widths.iter().map(|width| StepSpec::new(*width)).collect();
    let spec = JobSpec::new(Bytes::from_static(b"work"), steps);
    let acceptance = Acceptance::new(id, "searches", "listings", max_attempts, spec);
    Command::Accept(Box::new(acceptance))
}

fn task(step: u16, index: u16) -> TaskKey {
    TaskKey {
        job: ID,
        occurrence: 0,
        step,
        index,
    }
}

fn end(step: u16, index: u16, run: u64, end: TaskEnd) -> Command {
    Command::End(task(step, index), RunNumber(run), end)
}

fn apply(book: &mut JobBook, command: Command) -> Applied {
    book.apply(&Batch::new(book.now_ms(), vec![command]))[0]
}

#[test]
fn a_job_handed_in_twice_is_one_job() {
    let mut book = JobBook::new(1_000);
    assert_eq!(apply(&mut book, accept(ID, &[2], 1)), Applied::Accepted);
    assert_eq!(apply(&mut book, accept(ID, &[3], 1)), Applied::Duplicate);
    let open = book.job(ID).and_then(JobRecord::open).expect("it is open");
    assert_eq!(open.steps[0].len(), 2);
}

#[test]
fn a_job_is_complete_only_when_every_task_is_done() {
    let mut book = JobBook::new(1_000);
    apply(&mut book, accept(ID, &[1, 2], 2));
    assert_eq!(apply(&mut book, end(0, 0, 1, TaskEnd::Done)), Applied::Done);
    assert_eq!(apply(&mut book, end(1, 1, 1, TaskEnd::Done)), Applied::Done);
    assert!(book.job(ID).is_some_and(JobRecord::is_open));
    let last = apply(&mut book, end(1, 0, 1, TaskEnd::Done));
    assert_eq!(last, Applied::Ended(JobOutcome::Complete));
}

#[test]
fn a_job_fails_exactly_when_a_task_has_failed_as_often_as_it_may() {
    let mut book = JobBook::new(1_000);
    apply(&mut book, accept(ID, &[2], 2));
    assert_eq!(
        apply(&mut book, end(0, 0, 1, TaskEnd::Failed)),
        Applied::Done
    );
    assert_eq!(
        apply(&mut book, end(0, 1, 1, TaskEnd::Failed)),
        Applied::Done
    );
    let last = apply(&mut book, end(0, 0, 2, TaskEnd::Failed));
    assert_eq!(last, Applied::Ended(JobOutcome::Failed));
}

#[test]
fn an_end_that_is_told_again_counts_once() {
    let mut book = JobBook::new(1_000);
    apply(&mut book, accept(ID, &[1], 2));
    for _ in 0..5 {
        let told = apply(&mut book, end(0, 0, 1, TaskEnd::Failed));
        assert_eq!(told, Applied::Done);
    }
    let open = book.job(ID).and_then(JobRecord::open).expect("it is open");
    assert_eq!(open.steps[0][0].failures, 1);
}

#[test]
fn a_cancelled_job_takes_no_more_ends() {
    let mut book = JobBook::new(1_000);
    apply(&mut book, accept(ID, &[1], 1));
    let canceled = Applied::Ended(JobOutcome::Canceled);
    assert_eq!(apply(&mut book, Command::Cancel(ID)), canceled);
    let late = apply(&mut book, end(0, 0, 1, TaskEnd::Done));
    assert_eq!(late, Applied::AlreadyEnded(JobOutcome::Canceled));
    assert_eq!(
        apply(&mut book, Command::Cancel(JobId(1))),
        Applied::Unknown
    );
}

#[test]
fn ended_jobs_are_kept_for_the_retention_time_and_open_ones_for_ever() {
    let mut book = JobBook::new(1_000);
    apply(&mut book, accept(ID, &[1], 1));
    apply(&mut book, accept(JobId(2), &[1], 1));
    book.apply(&Batch::new(50, vec![Command::Cancel(ID)]));
    book.apply(&Batch::new(1_049, vec![]));
    assert!(book.job(ID).is_some());
    book.apply(&Batch::new(1_050, vec![]));
    assert!(book.job(ID).is_none());
    assert!(book.job(JobId(2)).is_some());
}

#[test]
fn the_highest_version_is_in_force_whatever_the_order() {
    let version = |version| {
        Command::Configure(Box::new(Configuration {
            version,
            ..Configuration::default()
        }))
    };
    let mut book = JobBook::new(1_000);
    assert_eq!(apply(&mut book, version(7)), Applied::Configured);
    assert_eq!(apply(&mut book, version(3)), Applied::Outdated);
    assert_eq!(apply(&mut book, version(7)), Applied::Outdated);
    assert_eq!(apply(&mut book, version(9)), Applied::Configured);
    assert_eq!(book.configuration().map(|held| held.version), Some(9));
}

/// A short row of commands over few ids, so that they meet.
#[derive(Clone, Debug)]
struct Row(Vec<Command>);

impl Arbitrary for Row {
    fn arbitrary(g: &mut Gen) -> Self {
        let command = |g: &mut Gen| {
            let id = JobId(u64::arbitrary(g) % 4);
            let key = TaskKey {
                job: id,
                occurrence: 0,
                step: 0,
                index: u16::arbitrary(g) % 3,
            };
            let run = RunNumber(1 + u64::arbitrary(g) % 3);
            match u8::arbitrary(g) % 8 {
                0 | 1 => accept(id, &[2], 2),
                2 => Command::Cancel(id),
                3 => Command::Enlist(AgentId(id.0)),
                4 => Command::Delist(AgentId(id.0)),
                5 => Command::End(key, run, TaskEnd::Failed),
                _ => Command::End(key, run, TaskEnd::Done),
            }
        };
        let count = usize::arbitrary(g) % 40;
        Self((0..count).map(|_| command(g)).collect())
    }
}

quickcheck! {
    /// A copy that goes on from a snapshot in the middle ends like one that applied everything.
    fn a_snapshot_stands_in_for_what_came_before(row: Row, cut: usize) -> bool {
        let cut = cut % (row.0.len() + 1);
        let mut whole = JobBook::new(20);
        let mut copy = JobBook::new(20);
        for (at, command) in row.0.iter().enumerate() {
            if at == cut {
                let data = whole.snapshot().expect("the record has an encoding");
                copy.restore(&data).expect("the same bytes");
            }
            let batch = Batch::new(at as u64, vec![command.clone()]);
            let results = whole.apply(&batch);
            if at >= cut && copy.apply(&batch) != results {
                return false;
            }
        }
        cut == row.0.len() || whole.snapshot() == copy.snapshot()
    }

    /// However commands meet, a job that has ended once never ends otherwise.
    fn an_outcome_never_changes(row: Row) -> bool {
        let mut book = JobBook::new(1_000_000);
        let mut outcomes = std::collections::HashMap::new();
        for command in row.0 {
            apply(&mut book, command);
            for (id, record) in book.jobs() {
                let outcome = record.outcome();
                let changed = |outcome| *outcomes.entry(id).or_insert(outcome) != outcome;
                if outcome.is_some_and(changed) {
                    return false;
                }
            }
        }
        true
    }
}

#[test]
fn run_numbers_rise_and_tell_whether_their_ends_are_recorded() {
    for number in (0..20).map(RunNumber) {
        let (kept, other) = (number.next_recorded(), number.next_unrecorded());
        assert!(kept > number && other > number);
        assert!(kept.is_recorded() && !other.is_recorded());
    }
    assert_eq!(RunNumber::default().next_recorded(), RunNumber(1));
}
