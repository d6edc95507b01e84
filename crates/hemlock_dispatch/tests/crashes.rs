//! Tasks whose instances crash, as the dispatcher of kept jobs treats them.

mod fixture;

use fixture::{Fixture, QUEUE, job, queue, store, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;

const CRASHED: RunEnd = RunEnd::Crashed(Suspicion::Strong);

fn outcome(fixture: &Fixture) -> Option<JobOutcome> {
    fixture.store.job(JobId(1)).and_then(JobRecord::outcome)
}

/// Guards against a task that is started again without a record of the crash, so that a later leader
/// would count anew.
#[test]
fn a_crash_is_recorded_before_the_task_starts_again() {
    let mut fixture = Fixture::new(3);
    fixture.submit(1, job(1, 6_000, 60));
    let (agent, start) = fixture.poll().remove(0);
    let report = RunReport {
        task: start.task,
        run: start.run,
        end: Some(CRASHED),
        took_ms: 9,
    };
    let recorded = EndAction::Record(TaskEnd::Crashed(Suspicion::Strong));
    assert_eq!(fixture.report(agent, report), recorded);
    assert_eq!(fixture.poll(), vec![]);
    fixture.end(agent, start.task, start.run.0, CRASHED);
    let (other, _) = fixture.poll().remove(0);
    assert_ne!(other, agent, "the next run goes to another instance");
}

/// Guards against a count that ends with the leader that held it.
#[test]
fn a_new_leader_gives_up_a_task_that_crashed_under_the_one_before() {
    let mut store = store(vec![queue(QUEUE, 0)]);
    store.apply(&Batch::new(0, vec![Command::Lead]));
    let mut fixture = Fixture::with_store(store, 3);
    fixture.submit(1, job(1, 6_000, 60));
    let (agent, start) = fixture.poll().remove(0);
    fixture.end(agent, start.task, start.run.0, CRASHED);
    fixture.store.apply(&Batch::new(2_000, vec![Command::Lead]));
    let mut fixture = Fixture::with_store(fixture.store, 3);
    let (agent, start) = fixture.poll().remove(0);
    fixture.end(agent, start.task, start.run.0, CRASHED);
    assert_eq!(outcome(&fixture), Some(JobOutcome::Failed));
    assert_eq!(fixture.poll(), vec![]);
}

/// Guards against a crash that isn't counted because its report arrives after the task was requeued.
#[test]
fn a_late_report_of_a_crash_counts_and_leaves_the_next_run_alone() {
    let mut fixture = Fixture::with_store(store(vec![queue(QUEUE, 0)]), 3);
    fixture.submit(1, job(1, 6_000, 60));
    let (agent, first) = fixture.poll().remove(0);
    fixture.end(agent, first.task, first.run.0, RunEnd::Lapsed);
    let (other, second) = fixture.poll().remove(0);
    fixture.end(agent, first.task, first.run.0, CRASHED);
    assert_eq!(fixture.poll(), vec![], "the second run goes on");
    fixture.end(other, task(1, 0), second.run.0, RunEnd::Done);
    assert_eq!(outcome(&fixture), Some(JobOutcome::Complete));
}
