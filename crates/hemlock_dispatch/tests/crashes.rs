//! Tasks whose instances crash, as the dispatcher of kept jobs treats them.

mod fixture;

use std::collections::BTreeSet;

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

const POSTINGS: &str = "postings";

/// A dispatcher with two queues of one service, the first of which has just been confined.
fn confined() -> (Fixture, BTreeSet<u64>) {
    let queues = vec![queue(QUEUE, 0), queue(POSTINGS, 1)];
    let mut fixture = Fixture::with_queues(8, queues);
    fixture.submit(1, job(1, 6_000, 60));
    for _ in 0..2 {
        let (agent, start) = fixture.poll().remove(0);
        fixture.end(agent, start.task, start.run.0, CRASHED);
    }
    assert_eq!(outcome(&fixture), Some(JobOutcome::Failed));
    fixture.submit(2, job(40, 6_000, 60));
    let used = |starts: Vec<(u64, StartOrder)>| starts.into_iter().map(|(agent, _)| agent);
    let reserved = used(fixture.poll()).collect();
    (fixture, reserved)
}

/// Guards against a queue whose tasks crash instances and thereby stop the work of all others.
#[test]
fn a_queue_whose_task_crashed_two_instances_is_confined_to_a_quarter_of_them() {
    let (mut fixture, reserved) = confined();
    assert_eq!(reserved.len(), 2, "{reserved:?}");
    let changes = fixture.dispatcher.take_confinement_changes();
    assert!(matches!(
        changes.as_slice(),
        [ConfinementChange::Confined { queue, .. }] if queue == QUEUE
    ));
    fixture.submit_to(POSTINGS, 3, job(100, 6_000, 60));
    let others: BTreeSet<u64> = fixture.poll().iter().map(|(agent, _)| *agent).collect();
    assert_eq!(others.len(), 6, "{others:?}");
    assert!(others.is_disjoint(&reserved));
}

/// Guards against a queue that stays confined after its tasks have stopped to crash instances.
#[test]
fn a_confined_queue_is_released_after_two_seconds_without_a_crash() {
    let (mut fixture, reserved) = confined();
    for _ in 0..22 {
        fixture.advance_ms(100);
    }
    fixture.submit(3, job(60, 6_000, 60));
    let agents: BTreeSet<u64> = fixture.poll().iter().map(|(agent, _)| *agent).collect();
    // The reserved instances are full of earlier work.
    assert_eq!(agents.len(), 6, "{agents:?}");
    assert!(agents.is_disjoint(&reserved));
}

/// Guards against a service with one instance that no queue may use any more.
#[test]
fn a_single_instance_is_shared_by_all_queues() {
    let queues = vec![queue(QUEUE, 0), queue(POSTINGS, 1)];
    let mut fixture = Fixture::with_queues(1, queues);
    fixture.submit(1, job(1, 6_000, 60));
    for _ in 0..2 {
        let (agent, start) = fixture.poll().remove(0);
        fixture.end(agent, start.task, start.run.0, CRASHED);
    }
    fixture.submit(2, job(1, 6_000, 60));
    fixture.submit_to(POSTINGS, 3, job(1, 6_000, 60));
    assert_eq!(fixture.poll().len(), 2);
}

/// Guards against jobs that are held until their deadline while every instance is known to be gone.
#[test]
fn jobs_are_rejected_while_all_instances_have_exited() {
    let mut fixture = Fixture::new(2);
    let spec = job(1, 6_000, 60);
    fixture.set_instance(0, None);
    assert!(fixture.admit(&spec).is_ok(), "an instance is left");
    fixture.set_instance(1, None);
    let rejected = fixture.admit(&spec).expect_err("no instance is left");
    assert_eq!(rejected.cause, RejectionCause::Wait);
    assert!(rejected.retry_after_ms >= 1_000);
    fixture.advance_ms(3_000);
    for agent in 0..2 {
        fixture.set_instance(agent, Some(2));
        assert!(fixture.admit(&spec).is_ok(), "an instance is back");
    }
    fixture.set_instance(0, None);
    fixture.set_instance(1, None);
    fixture.advance_ms(1_500);
    let rejected = fixture.admit(&spec).expect_err("an outage takes 3 s");
    assert_eq!(rejected.expected_wait_ms, 1_500);
}

/// Guards against rejecting jobs before any instance is known.
#[test]
fn jobs_are_admitted_while_no_instance_is_known() {
    let mut fixture = Fixture::new(0);
    assert!(fixture.admit(&job(1, 6_000, 60)).is_ok());
}

/// Guards against a gateway that learns only from crashes of its own jobs, at the cost of further
/// instances.
#[test]
fn suspects_of_other_dispatchers_confine_their_queue() {
    let mut fixture = Fixture::with_queues(8, vec![queue(QUEUE, 0), queue(POSTINGS, 1)]);
    let suspect = CrashSuspect {
        task: task(77, 0),
        queue: QueueId::of(QUEUE),
    };
    let now = fixture.now;
    for agent in [2, 2, 5] {
        let none = fixture.dispatcher.take_confinement_changes();
        assert_eq!(none, vec![], "one instance may crash for any reason");
        let id = AgentId(agent);
        fixture.dispatcher.note_suspects(now, id, &[suspect]);
    }
    let changes = fixture.dispatcher.take_confinement_changes();
    assert_eq!(changes.len(), 1);
    fixture.submit(1, job(40, 6_000, 60));
    let agents: BTreeSet<u64> = fixture.poll().iter().map(|(agent, _)| *agent).collect();
    assert_eq!(agents.len(), 2, "{agents:?}");
}

/// Guards against a confinement that ends because all instances of the queue are gone.
#[test]
fn an_outage_of_the_reserved_instances_prolongs_the_confinement() {
    let (mut fixture, reserved) = confined();
    fixture.dispatcher.take_confinement_changes();
    for agent in &reserved {
        fixture.set_instance(*agent, None);
    }
    for _ in 0..50 {
        fixture.advance_ms(100);
    }
    assert_eq!(fixture.dispatcher.take_confinement_changes(), vec![]);
}

/// Guards against a queue that is confined for good to instances that never come back.
#[test]
fn a_confined_queue_leaves_instances_that_are_gone_for_good() {
    let (mut fixture, reserved) = confined();
    for agent in &reserved {
        fixture.set_instance(*agent, None);
    }
    for _ in 0..130 {
        fixture.advance_ms(100);
    }
    fixture.submit(3, job(10, 6_000, 60));
    let agents: BTreeSet<u64> = fixture.poll().iter().map(|(agent, _)| *agent).collect();
    assert!(!agents.is_empty());
    assert!(agents.is_disjoint(&reserved));
}
