//! The job store: the effect of each command, and the agreement of replicas.

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

fn apply(store: &mut JobStore, command: Command) -> ApplyOutcome {
    store.apply(&Batch::new(store.now_ms(), vec![command]))[0]
}

#[test]
fn a_job_submitted_twice_is_stored_once() {
    let mut store = JobStore::new(1_000);
    assert_eq!(
        apply(&mut store, accept(ID, &[2], 1)),
        ApplyOutcome::Accepted
    );
    assert_eq!(
        apply(&mut store, accept(ID, &[3], 1)),
        ApplyOutcome::Duplicate
    );
    let open = store
        .job(ID)
        .and_then(JobRecord::open)
        .expect("the job is open");
    assert_eq!(open.steps[0].len(), 2);
}

#[test]
fn a_job_is_complete_only_when_every_task_is_done() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, accept(ID, &[1, 2], 2));
    assert_eq!(
        apply(&mut store, end(0, 0, 1, TaskEnd::Done)),
        ApplyOutcome::Done
    );
    assert_eq!(
        apply(&mut store, end(1, 1, 1, TaskEnd::Done)),
        ApplyOutcome::Done
    );
    assert!(store.job(ID).is_some_and(JobRecord::is_open));
    let last = apply(&mut store, end(1, 0, 1, TaskEnd::Done));
    assert_eq!(last, ApplyOutcome::Ended(JobOutcome::Complete));
}

#[test]
fn a_job_fails_when_a_task_reaches_its_maximum_of_attempts() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, accept(ID, &[2], 2));
    assert_eq!(
        apply(&mut store, end(0, 0, 1, TaskEnd::Failed)),
        ApplyOutcome::Done
    );
    assert_eq!(
        apply(&mut store, end(0, 1, 1, TaskEnd::Failed)),
        ApplyOutcome::Done
    );
    let last = apply(&mut store, end(0, 0, 2, TaskEnd::Failed));
    assert_eq!(last, ApplyOutcome::Ended(JobOutcome::Failed));
}

#[test]
fn a_repeated_end_counts_once() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, accept(ID, &[1], 2));
    for _ in 0..5 {
        let repeated = apply(&mut store, end(0, 0, 1, TaskEnd::Failed));
        assert_eq!(repeated, ApplyOutcome::Done);
    }
    let open = store
        .job(ID)
        .and_then(JobRecord::open)
        .expect("the job is open");
    assert_eq!(open.steps[0][0].failures, 1);
}

#[test]
fn a_cancelled_job_ignores_later_ends() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, accept(ID, &[1], 1));
    let canceled = ApplyOutcome::Ended(JobOutcome::Canceled);
    assert_eq!(apply(&mut store, Command::Cancel(ID)), canceled);
    let late = apply(&mut store, end(0, 0, 1, TaskEnd::Done));
    assert_eq!(late, ApplyOutcome::AlreadyEnded(JobOutcome::Canceled));
    assert_eq!(
        apply(&mut store, Command::Cancel(JobId(1))),
        ApplyOutcome::Unknown
    );
}

#[test]
fn ended_jobs_are_removed_after_the_retention_time_and_open_ones_are_kept() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, accept(ID, &[1], 1));
    apply(&mut store, accept(JobId(2), &[1], 1));
    store.apply(&Batch::new(50, vec![Command::Cancel(ID)]));
    store.apply(&Batch::new(1_049, vec![]));
    assert!(store.job(ID).is_some());
    store.apply(&Batch::new(1_050, vec![]));
    assert!(store.job(ID).is_none());
    assert!(store.job(JobId(2)).is_some());
}

#[test]
fn the_highest_version_is_in_force_regardless_of_order() {
    let version = |version| {
        Command::Configure(Box::new(Configuration {
            version,
            ..Configuration::default()
        }))
    };
    let mut store = JobStore::new(1_000);
    assert_eq!(apply(&mut store, version(7)), ApplyOutcome::Configured);
    assert_eq!(apply(&mut store, version(3)), ApplyOutcome::Outdated);
    assert_eq!(apply(&mut store, version(7)), ApplyOutcome::Outdated);
    assert_eq!(apply(&mut store, version(9)), ApplyOutcome::Configured);
    assert_eq!(
        store.configuration().map(|current| current.version),
        Some(9)
    );
}

/// A short sequence of commands on few ids, so that commands affect the same jobs.
#[derive(Clone, Debug)]
struct CommandSequence(Vec<Command>);

impl Arbitrary for CommandSequence {
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
            match u8::arbitrary(g) % 10 {
                0 | 1 => accept(id, &[2], 2),
                2 => Command::Cancel(id),
                3 => Command::Enlist(AgentId(id.0)),
                4 => Command::Delist(AgentId(id.0)),
                5 => Command::End(key, run, TaskEnd::Failed),
                6 => Command::Evacuate(id.to_string()),
                7 => Command::EndEvacuation(id.to_string()),
                _ => Command::End(key, run, TaskEnd::Done),
            }
        };
        let count = usize::arbitrary(g) % 40;
        Self((0..count).map(|_| command(g)).collect())
    }
}

quickcheck! {
    /// A replica that continues from a snapshot ends in the same state as one that applied every
    /// command.
    fn a_snapshot_restores_an_equal_replica(sequence: CommandSequence, snapshot_at: usize) -> bool {
        let snapshot_at = snapshot_at % (sequence.0.len() + 1);
        let mut whole = JobStore::new(20);
        let mut copy = JobStore::new(20);
        for (at, command) in sequence.0.iter().enumerate() {
            if at == snapshot_at {
                let data = whole.snapshot().expect("the store can be encoded");
                copy.restore(&data).expect("the snapshot is valid");
            }
            let batch = Batch::new(at as u64, vec![command.clone()]);
            let results = whole.apply(&batch);
            if at >= snapshot_at && copy.apply(&batch) != results {
                return false;
            }
        }
        snapshot_at == sequence.0.len() || whole.snapshot() == copy.snapshot()
    }

    /// A job that has ended never gets another outcome, whatever commands follow.
    fn the_outcome_of_a_job_never_changes(sequence: CommandSequence) -> bool {
        let mut store = JobStore::new(1_000_000);
        let mut outcomes = std::collections::HashMap::new();
        for command in sequence.0 {
            apply(&mut store, command);
            for (id, record) in store.jobs() {
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
fn run_numbers_increase_and_encode_whether_their_ends_are_recorded() {
    for number in (0..20).map(RunNumber) {
        let (kept, other) = (number.next_recorded(), number.next_unrecorded());
        assert!(kept > number && other > number);
        assert!(kept.is_recorded() && !other.is_recorded());
    }
    assert_eq!(RunNumber::default().next_recorded(), RunNumber(1));
}

/// Guards against processes that end, or place all work at one instance, because of a stored capacity
/// that can't be calculated with.
#[test]
fn an_instance_with_an_impossible_capacity_is_not_stored() {
    let report = |cpu_milli| {
        let mut capacity = MAX_RESOURCES;
        capacity.cpu_milli = cpu_milli;
        Box::new(InstanceReport {
            id: InstanceId {
                name: "i-1".to_owned(),
                born_ms: 1,
            },
            service: "s".to_owned(),
            failure_domain: "a".to_owned(),
            capacity,
            labels: Vec::new(),
            draining: false,
        })
    };
    let mut store = JobStore::new(1_000);
    let sound = Command::NoteInstance(AgentId(1), report(64_000));
    let odd = Command::NoteInstance(AgentId(1), report(u64::MAX));
    store.apply(&Batch::new(0, vec![sound, odd]));
    let capacity = |store: &JobStore| store.instance(AgentId(1)).map(|i| i.capacity.cpu_milli);
    assert_eq!(capacity(&store), Some(64_000));
    let snapshot = store.snapshot().expect("it encodes");
    let mut restored = JobStore::new(1_000);
    restored.restore(&snapshot).expect("it decodes");
    assert_eq!(capacity(&restored), Some(64_000));
}
