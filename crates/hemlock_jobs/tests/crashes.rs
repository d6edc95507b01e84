//! Crashes of the instances that ran a task, as the job store records them.

use bytes::Bytes;
use hemlock_jobs::prelude::*;

const ID: JobId = JobId(7);
const TASK: TaskKey = TaskKey {
    job: ID,
    occurrence: 0,
    step: 0,
    index: 1,
};

fn store() -> JobStore {
    let mut store = JobStore::new(10_000);
    accept(&mut store);
    store
}

fn accept(store: &mut JobStore) {
    let spec = JobSpec::new(Bytes::from_static(b"work"), vec![StepSpec::new(2)]);
    let acceptance = Acceptance::new(ID, "searches", "listings", 4, spec);
    apply(store, Command::Accept(Box::new(acceptance)));
}

fn apply(store: &mut JobStore, command: Command) -> ApplyOutcome {
    store.apply(&Batch::new(store.now_ms() + 1, vec![command]))[0]
}

fn crash(store: &mut JobStore, run: u64, suspicion: Suspicion) -> ApplyOutcome {
    let end = TaskEnd::Crashed(suspicion);
    apply(store, Command::End(TASK, RunNumber(run), end))
}

const FAILED: ApplyOutcome = ApplyOutcome::Ended(JobOutcome::Failed);

#[test]
fn a_strongly_suspected_task_is_given_up_after_two_crashes() {
    let mut store = store();
    assert_eq!(crash(&mut store, 1, Suspicion::Strong), ApplyOutcome::Done);
    assert_eq!(crash(&mut store, 3, Suspicion::Strong), FAILED);
}

/// Guards against an endless row of crashes by a task that crashes its instances late.
#[test]
fn a_weakly_suspected_task_is_given_up_after_three_crashes() {
    let mut store = store();
    assert_eq!(crash(&mut store, 1, Suspicion::Weak), ApplyOutcome::Done);
    assert_eq!(crash(&mut store, 3, Suspicion::Strong), ApplyOutcome::Done);
    assert_eq!(crash(&mut store, 5, Suspicion::Weak), FAILED);
}

/// Guards against a job that fails because one crash was reported by two leaders.
#[test]
fn a_crash_that_is_reported_again_counts_once() {
    let mut store = store();
    for _ in 0..3 {
        let outcome = crash(&mut store, 1, Suspicion::Strong);
        assert_eq!(outcome, ApplyOutcome::Done);
    }
}

#[test]
fn crashes_do_not_count_as_attempts_and_a_done_task_has_none() {
    let mut store = store();
    crash(&mut store, 1, Suspicion::Strong);
    let progress = store.job(ID).and_then(JobRecord::open);
    let progress = progress.and_then(|open| open.task(TASK).copied());
    assert_eq!(progress.map(|task| task.failures), Some(0));
    apply(&mut store, Command::End(TASK, RunNumber(3), TaskEnd::Done));
    assert_eq!(crash(&mut store, 5, Suspicion::Strong), ApplyOutcome::Done);
}

/// Guards against a leader that begins to count anew after a restart from a snapshot.
#[test]
fn a_snapshot_restores_crashes() {
    let mut store = store();
    crash(&mut store, 1, Suspicion::Strong);
    let snapshot = store.snapshot().expect("it encodes");
    let mut restored = JobStore::new(10_000);
    restored.restore(&snapshot).expect("it is valid");
    assert_eq!(restored.crashed_tasks(), store.crashed_tasks());
    assert_eq!(crash(&mut restored, 3, Suspicion::Strong), FAILED);
}

/// Guards against a gateway that counts anew when a job is submitted again.
#[test]
fn a_forgotten_job_keeps_its_crashes_for_the_retention_time() {
    let mut store = store();
    crash(&mut store, 2, Suspicion::Strong);
    store.forget(ID);
    accept(&mut store);
    assert_eq!(crash(&mut store, 4, Suspicion::Strong), FAILED);
    store.apply(&Batch::new(60_000, vec![]));
    assert!(store.crashed_tasks().is_empty());
}
