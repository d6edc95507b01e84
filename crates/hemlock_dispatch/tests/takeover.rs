//! Takeovers: what a new leader does with reports of runs that earlier leaders ordered.

mod fixture;

use fixture::{Fixture, job, queue, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;

/// A report of a run of the only task.
fn report(run: u64, end: Option<RunEnd>) -> RunReport {
    RunReport {
        task: task(1, 0),
        run: RunNumber(run),
        end,
        took_ms: 0,
    }
}

/// A run of the only task, as its agent proves it to be the latest one.
fn latest(run: u64) -> Vec<(TaskKey, RunNumber)> {
    vec![(task(1, 0), RunNumber(run))]
}

/// A new leader with one open task, to which none of `agents` agents of the earlier one has
/// reported.
fn new_leader(agents: u64) -> Fixture {
    let mut store = fixture::store(vec![queue("searches", 0)]);
    let enlist = |agent| Command::Enlist(AgentId(agent));
    let mut commands = vec![Command::Lead, fixture::acceptance(1, job(1, 6_000, 900))];
    commands.extend((0..agents).map(enlist));
    commands.push(Command::Lead);
    store.apply(&Batch::new(0, commands));
    Fixture::with_store(store, 0)
}

/// Lets the time pass after which none of the missing agents can have runs.
fn end_takeover(fixture: &mut Fixture) {
    // The agents are confirmed in between.
    let half_ms = DispatchSettings::default().expiry().as_ms() / 2 + 1;
    fixture.advance_ms(half_ms);
    fixture.advance_ms(half_ms);
}

/// The ends without a success, none of which proves that no later run exists.
const UNSUCCESSFUL_ENDS: [RunEnd; 7] = [
    RunEnd::Lapsed,
    RunEnd::Stopped,
    RunEnd::Broken,
    RunEnd::Alone,
    RunEnd::Stalled,
    RunEnd::Failed,
    RunEnd::Crashed(Suspicion::Weak),
];

/// Guards against a task that a new leader starts beside its run, because it took the end of an
/// older run, reported first, for the end of the latest one.
#[test]
fn the_end_of_an_older_run_starts_no_task_that_runs_elsewhere() {
    for end in UNSUCCESSFUL_ENDS {
        let mut fixture = new_leader(2);
        fixture.register(0, vec![report(1, Some(end))]);
        assert_eq!(fixture.poll(), vec![], "agent 1 may run the task: {end}");
        let adoption = fixture.register(1, vec![report(3, None)]);
        assert_eq!(adoption.stops, vec![]);
        assert_eq!(fixture.poll(), vec![], "agent 1 runs the task: {end}");
        end_takeover(&mut fixture);
        assert_eq!(fixture.poll(), vec![], "agent 1 runs the task: {end}");
    }
}

/// Guards against a task that runs again after its success, because a new leader took the end of an
/// older run, reported first, for the end of the latest one.
#[test]
fn the_end_of_an_older_run_does_not_hide_a_success() {
    for proof in [Vec::new(), latest(3)] {
        let mut fixture = new_leader(2);
        fixture.register(0, vec![report(1, Some(RunEnd::Lapsed))]);
        assert_eq!(fixture.poll(), vec![]);
        let done = report(3, Some(RunEnd::Done));
        let adoption = fixture.register_with(1, vec![done], proof);
        let record = EndAction::Record(TaskEnd::Done);
        assert_eq!(adoption.ends, vec![(done, record)]);
        end_takeover(&mut fixture);
        assert_eq!(fixture.poll(), vec![]);
    }
}

/// Guards against a stop of the latest run of a task, because an agent that had been suspended
/// reported an older one as active first.
#[test]
fn a_later_run_replaces_an_older_one_that_is_reported_as_active() {
    let mut fixture = new_leader(3);
    let adoption = fixture.register(0, vec![report(1, None)]);
    assert_eq!(adoption.stops, vec![]);
    let adoption = fixture.register(1, vec![report(3, None)]);
    assert_eq!(adoption.stops, vec![], "run 3 is the latest");
    let stops: Vec<(AgentId, RunNumber)> = fixture
        .poll_orders()
        .iter()
        .flat_map(|order| order.stops.iter().map(|stop| (order.agent, stop.run)))
        .collect();
    assert_eq!(stops, vec![(AgentId(0), RunNumber(1))]);
    fixture.end(0, task(1, 0), 1, RunEnd::Lapsed);
    end_takeover(&mut fixture);
    assert_eq!(fixture.poll(), vec![], "agent 1 runs the task");
    fixture.end(1, task(1, 0), 3, RunEnd::Done);
    assert!(!fixture.store.job(JobId(1)).is_some_and(JobRecord::is_open));
}

/// Guards against a task that is started because its older run, reported as active, turned out to
/// have lapsed before the agent of the latest run had reported.
#[test]
fn an_older_run_that_ends_in_session_starts_no_task_that_runs_elsewhere() {
    for end in UNSUCCESSFUL_ENDS {
        let mut fixture = new_leader(2);
        fixture.register(0, vec![report(1, None)]);
        fixture.end(0, task(1, 0), 1, end);
        assert_eq!(fixture.poll(), vec![], "agent 1 may run the task: {end}");
        let adoption = fixture.register(1, vec![report(3, None)]);
        assert_eq!(adoption.stops, vec![]);
        assert_eq!(fixture.poll(), vec![], "agent 1 runs the task: {end}");
    }
}

/// Guards against an agent whose second inventory no longer names an older run, so that its task is
/// started before the agent of the latest run has reported.
#[test]
fn an_older_run_that_is_lost_starts_no_task_that_runs_elsewhere() {
    let mut fixture = new_leader(2);
    fixture.register(0, vec![report(1, None)]);
    fixture.register(0, vec![]);
    assert_eq!(fixture.poll(), vec![], "agent 1 may run the task");
    let adoption = fixture.register(1, vec![report(3, None)]);
    assert_eq!(adoption.stops, vec![]);
}

/// Guards against a success of an older run that is recorded while the task runs again, and against
/// one that is confirmed without a record although no later run exists.
#[test]
fn a_success_without_proof_waits_until_all_agents_have_reported() {
    let done = report(1, Some(RunEnd::Done));
    let deferred = vec![(done, EndAction::Defer)];
    let mut fixture = new_leader(2);
    assert_eq!(fixture.register(0, vec![done]).ends, deferred);
    assert_eq!(fixture.report(0, done), EndAction::Defer);
    fixture.register(1, vec![report(3, None)]);
    assert_eq!(fixture.dispatcher.take_proven_successes(), vec![]);
    assert_eq!(fixture.report(0, done), EndAction::Confirm);

    let mut fixture = new_leader(2);
    assert_eq!(fixture.register(0, vec![done]).ends, deferred);
    assert_eq!(fixture.dispatcher.take_proven_successes(), vec![]);
    end_takeover(&mut fixture);
    assert_eq!(fixture.poll(), vec![]);
    assert_eq!(fixture.dispatcher.take_proven_successes(), latest(1));
    let record = EndAction::Record(TaskEnd::Done);
    assert_eq!(fixture.report(0, done), record);
}

/// Guards against a takeover that waits for missing agents although the report proves that no later
/// run exists.
#[test]
fn a_proven_end_takes_effect_at_once() {
    for end in UNSUCCESSFUL_ENDS {
        let mut fixture = new_leader(2);
        let adoption = fixture.register_with(0, vec![report(1, Some(end))], latest(1));
        if let [(ended, EndAction::Record(recorded))] = adoption.ends[..] {
            let run = ended.run;
            fixture
                .dispatcher
                .end_recorded(fixture.now, ended.task, run, recorded);
        }
        let started = fixture.poll();
        assert_eq!(started.len(), 1, "agent 1 is not awaited: {end}");
        assert!(started[0].1.run > RunNumber(1));
    }
    let done = report(1, Some(RunEnd::Done));
    let adoption = new_leader(2).register_with(0, vec![done], latest(1));
    let record = EndAction::Record(TaskEnd::Done);
    assert_eq!(adoption.ends, vec![(done, record)]);
}

/// Guards against a task whose run ends in a session with the new leader, and which then waits for
/// missing agents although the run was known to be the latest one.
#[test]
fn the_end_of_a_run_that_was_adopted_with_proof_takes_effect_at_once() {
    let mut fixture = new_leader(2);
    fixture.register_with(0, vec![report(1, None)], latest(1));
    fixture.end(0, task(1, 0), 1, RunEnd::Stopped);
    assert_eq!(fixture.poll().len(), 1);
}

/// Guards against a run number that no leader has used and that makes the true ones look older.
#[test]
fn a_run_number_that_no_leader_has_used_hides_no_run() {
    for odd in [1_u64 << 40, u64::MAX] {
        for end in [None, Some(RunEnd::Lapsed), Some(RunEnd::Done)] {
            let mut fixture = new_leader(2);
            fixture.register(0, vec![report(odd, end)]);
            let adoption = fixture.register(1, vec![report(3, None)]);
            assert_eq!(adoption.stops, vec![]);
            assert_eq!(fixture.poll(), vec![], "agent 1 runs the task");
            fixture.end(1, task(1, 0), 3, RunEnd::Stopped);
            let started = fixture.poll();
            assert!(started[0].1.run < RunNumber(1 << 40));
        }
    }
}

/// Guards against runs of successive leaders whose numbers don't tell which one is later.
#[test]
fn a_later_leader_uses_higher_numbers_however_often_starts_were_refused() {
    let mut store = fixture::store(vec![queue("searches", 0)]);
    let acceptance = fixture::acceptance(1, job(1, 6_000, 900));
    store.apply(&Batch::new(0, vec![Command::Lead, acceptance]));
    let mut earlier = Fixture::with_store(store.clone(), 1);
    let mut highest = RunNumber::default();
    for _ in 0..20_000 {
        earlier.advance_ms(10);
        for (agent, start) in earlier.poll() {
            highest = start.run;
            earlier.refuse(agent, &start, RefusalReason::NoInstance);
        }
    }
    assert!(highest > RunNumber(1_000), "{highest}");
    store.apply(&Batch::new(0, vec![Command::Lead]));
    let mut later = Fixture::with_store(store, 1);
    let (_, start) = later.poll()[0].clone();
    assert!(start.run > highest, "{} {highest}", start.run);
}
