//! A dispatcher that shares its instances with other dispatchers.

mod fixture;

use fixture::{job, queue, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;

/// The dispatcher of a gateway, which shares its instances with other gateways.
struct Gateway {
    store: JobStore,
    dispatcher: Dispatcher,
    sessions: Vec<SessionId>,
    now: Instant,
}

impl Gateway {
    fn new(agents: u64) -> Self {
        let now = Instant::from_ms(1_000);
        let store = fixture::store(vec![queue("urgent", 0), queue("later", 2)]);
        let settings = DispatchSettings {
            capacity: CapacitySource::Reported,
            records_ends: false,
            ..DispatchSettings::default()
        };
        let mut dispatcher = Dispatcher::new(now, settings, &store);
        let mut sessions = Vec::new();
        for agent in 0..agents {
            let session = dispatcher.register(now, AgentId(agent));
            let inventory = Inventory {
                instance: Some(fixture::instance(agent)),
                runs: Vec::new(),
                ..Inventory::default()
            };
            dispatcher.adopt(now, AgentId(agent), session, &inventory);
            sessions.push(session);
        }
        Self {
            store,
            dispatcher,
            sessions,
            now,
        }
    }

    /// Reports the load of an agent's instance: the number of further tasks that fit, and the
    /// queued work by urgency level.
    fn report_load(&mut self, agent: u64, free_tasks: u64, queued_work: [u64; URGENCY_LEVELS]) {
        self.report(agent, free_tasks, queued_work, 20);
    }

    /// Reports a full instance without a queue, at which a run is expected to end soon.
    fn report_next_end(&mut self, agent: u64, next_end_ms: u32) {
        self.report(agent, 0, [0; URGENCY_LEVELS], next_end_ms);
    }

    fn report(
        &mut self,
        agent: u64,
        free_tasks: u64,
        queued_work: [u64; URGENCY_LEVELS],
        next_end_ms: u32,
    ) {
        let load = LoadReport {
            free: Resources {
                cpu_milli: free_tasks * 6_000,
                memory_mb: 262_144,
                accelerators: 0,
            },
            queued_work,
            slowest_percent: 0,
            owners: 4,
            share_cpu_milli: 64_000 / 4,
            pace_percent: 0,
            suspended: false,
            last_order: 0,
            next_ends_ms: [next_end_ms; REPORTED_ENDS],
            withheld_percent: 0,
        };
        let session = self.sessions[usize::try_from(agent).expect("a small number")];
        self.dispatcher
            .load_reported(self.now, AgentId(agent), session, load);
    }

    fn submit(&mut self, queue: &str, id: u64, spec: JobSpec) {
        let command = fixture::acceptance_in(queue, id, spec);
        self.store.apply(&Batch::new(0, vec![command]));
        let open = self.store.job(JobId(id)).and_then(JobRecord::open);
        let open = open.expect("the job was accepted");
        self.dispatcher
            .job_accepted(self.now, JobId(id), queue, open);
    }

    /// Reports the end of a run, and records it if the dispatcher requires it.
    fn end(&mut self, agent: u64, report: RunReport) {
        let session = self.sessions[usize::try_from(agent).expect("a small number")];
        let action = self
            .dispatcher
            .report_end(self.now, AgentId(agent), session, report);
        if let Some(EndAction::Record(end)) = action {
            let (task, run) = (report.task, report.run);
            self.store
                .apply(&Batch::new(0, vec![Command::End(task, run, end)]));
            self.dispatcher.end_recorded(self.now, task, run, end);
        }
    }

    fn poll(&mut self) -> Vec<(u64, TaskKey)> {
        let orders = self.dispatcher.poll(self.now).into_iter();
        orders
            .flat_map(|order| {
                let agent = order.agent.0;
                order
                    .starts
                    .into_iter()
                    .map(move |start| (agent, start.task))
            })
            .collect()
    }
}

/// Work that takes a whole instance the given number of milliseconds.
fn work(ms: u64) -> u64 {
    64_000 * ms
}

#[test]
fn urgent_work_is_queued_at_full_instances_ahead_of_less_urgent_work() {
    let mut gateway = Gateway::new(2);
    // Both instances are full, and 500 ms of less urgent work of other gateways waits at each.
    gateway.report_load(0, 0, [0, 0, work(500), 0]);
    gateway.report_load(1, 0, [0, 0, work(500), 0]);
    gateway.submit("urgent", 1, job(2, 6_000, 60));
    assert_eq!(gateway.poll().len(), 2);
}

#[test]
fn less_urgent_work_goes_to_the_instance_with_the_shortest_wait() {
    let mut gateway = Gateway::new(2);
    gateway.report_load(0, 0, [work(40), 0, work(100), 0]);
    gateway.report_load(1, 0, [0, 0, work(20), 0]);
    gateway.submit("later", 1, job(1, 6_000, 900));
    assert_eq!(gateway.poll(), vec![(1, task(1, 0))]);
}

#[test]
fn work_that_would_wait_too_long_stays_at_the_gateway() {
    let mut gateway = Gateway::new(1);
    gateway.report_load(0, 0, [work(400), 0, 0, 0]);
    gateway.submit("urgent", 1, job(1, 6_000, 60));
    assert_eq!(gateway.poll(), vec![]);
    gateway.report_load(0, 0, [work(30), 0, 0, 0]);
    assert_eq!(gateway.poll().len(), 1);
}

#[test]
fn starts_ordered_since_the_last_report_reduce_free_capacity() {
    let mut gateway = Gateway::new(2);
    gateway.report_load(0, 3, [0; URGENCY_LEVELS]);
    gateway.report_load(1, 2, [0; URGENCY_LEVELS]);
    gateway.submit("urgent", 1, job(5, 6_000, 60));
    let placed = gateway.poll();
    let at = |agent| placed.iter().filter(|(at, _)| *at == agent).count();
    assert_eq!((at(0), at(1)), (3, 2));
}

#[test]
fn a_run_ordered_before_the_instance_change_is_reported_continues() {
    let mut gateway = Gateway::new(1);
    gateway.report_load(0, 2, [0; URGENCY_LEVELS]);
    gateway.submit("later", 1, job(1, 6_000, 900));
    assert_eq!(gateway.poll().len(), 1);

    // The runner reports the lapsed run first, and the changed instance in a later message.
    let (agent, session, now) = (AgentId(0), gateway.sessions[0], gateway.now);
    let first = RunNumber::default().next_unrecorded();
    let lapsed = RunReport {
        task: task(1, 0),
        run: first,
        end: Some(RunEnd::Lapsed),
        took_ms: 100,
    };
    gateway.dispatcher.report_end(now, agent, session, lapsed);
    assert_eq!(
        gateway.poll(),
        vec![(0, task(1, 0))],
        "the second run must start"
    );

    let instance = Some(fixture::instance(0));
    gateway
        .dispatcher
        .instance_changed(now, agent, session, instance, true);
    assert_eq!(
        gateway.poll(),
        vec![],
        "no third run must start beside the second"
    );
    let known = gateway.dispatcher.runs_of(agent).into_iter();
    let known: Vec<_> = known.map(|(task, run, _)| (task, run)).collect();
    assert_eq!(known, vec![(task(1, 0), first.next_unrecorded())]);
}

/// Prepares a job of two tasks, one of which is done, that has missed its objective. Returns the
/// caller's deadline.
fn late_job_with_one_task_done(gateway: &mut Gateway) -> Instant {
    gateway.report_load(0, 2, [0; URGENCY_LEVELS]);
    gateway.submit("later", 1, job(2, 6_000, 200));
    let deadline = gateway.now + DurationMs::new(2_000);
    gateway.dispatcher.set_caller_deadline(JobId(1), deadline);
    assert_eq!(gateway.poll().len(), 2);
    for (index, end) in [(0, RunEnd::Done), (1, RunEnd::Stalled)] {
        let report = RunReport {
            task: task(1, index),
            run: RunNumber::default().next_unrecorded(),
            end: Some(end),
            took_ms: 200,
        };
        gateway.end(0, report);
    }
    // The objective is 380 ms, and a job that has not started expires after three times that.
    gateway.now += DurationMs::new(1_200);
    deadline
}

#[test]
fn the_rest_of_a_started_job_queues_at_a_full_instance_until_the_caller_deadline() {
    let mut gateway = Gateway::new(2);
    late_job_with_one_task_done(&mut gateway);
    // The instances are full, and 500 ms of work of the same priority waits at each. The rest of
    // the late job must still be ordered.
    gateway.report_load(0, 0, [0, 0, work(500), 0]);
    gateway.report_load(1, 0, [0, 0, work(500), 0]);
    assert_eq!(gateway.poll().len(), 1);
    assert_eq!(gateway.dispatcher.expired_jobs(), vec![]);
}

#[test]
fn a_started_job_expires_once_it_cannot_end_before_the_caller_deadline() {
    let mut gateway = Gateway::new(1);
    let deadline = late_job_with_one_task_done(&mut gateway);
    gateway.report_load(0, 0, [work(5_000), 0, 0, 0]);
    assert_eq!(gateway.poll(), vec![]);
    gateway.now = deadline;
    gateway.poll();
    assert_eq!(gateway.dispatcher.expired_jobs(), vec![JobId(1)]);
}

/// Whether an urgent job of eight tasks is admitted. Its objective leaves a slack of 96 ms.
fn admits_eight_tasks(gateway: &mut Gateway) -> bool {
    let spec = job(8, 6_000, 60);
    gateway
        .dispatcher
        .admit(gateway.now, &queue("urgent", 0), &spec, None)
        .is_ok()
}

#[test]
fn one_short_queue_among_long_ones_doesnt_admit_a_job_of_many_tasks() {
    let mut gateway = Gateway::new(3);
    gateway.report_load(0, 0, [work(90), 0, 0, 0]);
    gateway.report_load(1, 0, [work(90), 0, 0, 0]);
    gateway.report_load(2, 0, [0; URGENCY_LEVELS]);
    assert!(!admits_eight_tasks(&mut gateway));
    gateway.report_load(0, 0, [work(20), 0, 0, 0]);
    gateway.report_load(1, 0, [work(20), 0, 0, 0]);
    assert!(admits_eight_tasks(&mut gateway));
}

#[test]
fn the_short_queue_of_an_ejected_instance_admits_nothing() {
    let mut gateway = Gateway::new(2);
    gateway.report_load(0, 8, [0; URGENCY_LEVELS]);
    // All runs at the first instance fail until it is ejected.
    for id in 1..=3 {
        gateway.submit("urgent", id, job(1, 6_000, 60));
        let placed = gateway.poll();
        assert_eq!(placed, vec![(0, task(id, 0))]);
        let report = RunReport {
            task: task(id, 0),
            run: RunNumber::default().next_unrecorded(),
            end: Some(RunEnd::Failed),
            took_ms: 60,
        };
        gateway.end(0, report);
        gateway.dispatcher.job_ended(JobId(id));
    }
    gateway.report_load(0, 8, [0; URGENCY_LEVELS]);
    gateway.report_load(1, 0, [work(60), 0, 0, 0]);
    assert!(!admits_eight_tasks(&mut gateway));
}

impl Gateway {
    fn refuse_start(&mut self, agent: u64, task: TaskKey, reason: RefusalReason) {
        let session = self.sessions[usize::try_from(agent).expect("a small number")];
        let run = RunNumber::default().next_unrecorded();
        let agent = AgentId(agent);
        self.dispatcher
            .start_refused(self.now, agent, session, task, run, reason);
    }
}

/// A gateway with a job of two tasks that are queued at a full instance.
fn gateway_with_two_queued_tasks() -> Gateway {
    let mut gateway = Gateway::new(1);
    gateway.report_load(0, 0, [0; URGENCY_LEVELS]);
    gateway.submit("later", 1, job(2, 6_000, 200));
    assert_eq!(gateway.poll().len(), 2);
    gateway
}

#[test]
fn a_withdrawn_job_whose_tasks_are_all_queued_has_not_run() {
    let mut gateway = gateway_with_two_queued_tasks();
    let now = gateway.now;
    let first = gateway.dispatcher.withdraw(now, JobId(1));
    assert_eq!(first, Withdrawal::Pending);
    let orders = gateway.dispatcher.poll(now);
    assert_eq!(orders[0].stops.len(), 2);
    gateway.refuse_start(0, task(1, 0), RefusalReason::Withdrawn);
    assert_eq!(gateway.dispatcher.take_withdrawn(), vec![]);
    gateway.refuse_start(0, task(1, 1), RefusalReason::Withdrawn);
    let withdrawn = gateway.dispatcher.take_withdrawn();
    assert_eq!(withdrawn, vec![(JobId(1), Withdrawal::NotRun)]);
}

#[test]
fn a_withdrawn_job_with_a_started_task_may_have_run() {
    let mut gateway = gateway_with_two_queued_tasks();
    let now = gateway.now;
    gateway.dispatcher.withdraw(now, JobId(1));
    gateway.refuse_start(0, task(1, 0), RefusalReason::Withdrawn);
    let report = RunReport {
        task: task(1, 1),
        run: RunNumber::default().next_unrecorded(),
        end: Some(RunEnd::Stopped),
        took_ms: 5,
    };
    gateway.end(0, report);
    let withdrawn = gateway.dispatcher.take_withdrawn();
    assert_eq!(withdrawn, vec![(JobId(1), Withdrawal::MayHaveRun)]);
}

#[test]
fn a_job_that_ran_or_was_resubmitted_is_not_reported_as_withdrawn() {
    let mut gateway = Gateway::new(1);
    late_job_with_one_task_done(&mut gateway);
    let now = gateway.now;
    let withdrawal = gateway.dispatcher.withdraw(now, JobId(1));
    assert_eq!(withdrawal, Withdrawal::MayHaveRun);

    let mut gateway = gateway_with_two_queued_tasks();
    gateway.dispatcher.withdraw(now, JobId(1));
    gateway.store.forget(JobId(1));
    gateway.submit("later", 1, job(2, 6_000, 200));
    gateway.refuse_start(0, task(1, 0), RefusalReason::Withdrawn);
    gateway.refuse_start(0, task(1, 1), RefusalReason::Withdrawn);
    assert_eq!(gateway.dispatcher.take_withdrawn(), vec![]);
}

#[test]
fn a_job_that_never_left_the_gateway_has_not_run() {
    let mut gateway = Gateway::new(1);
    gateway.report_load(0, 0, [work(5_000), 0, 0, 0]);
    gateway.submit("later", 1, job(2, 6_000, 200));
    assert_eq!(gateway.poll(), vec![]);
    let withdrawal = gateway.dispatcher.withdraw(gateway.now, JobId(1));
    assert_eq!(withdrawal, Withdrawal::NotRun);
}

#[test]
fn a_job_whose_agent_expired_may_have_run() {
    let mut gateway = gateway_with_two_queued_tasks();
    // The agent is silent until none of its runs can be alive.
    gateway.now += DispatchSettings::default().expiry();
    gateway.poll();
    assert_eq!(gateway.dispatcher.runs_of(AgentId(0)), vec![]);
    let withdrawal = gateway.dispatcher.withdraw(gateway.now, JobId(1));
    assert_eq!(withdrawal, Withdrawal::MayHaveRun);
}

#[test]
fn a_job_whose_agent_expires_during_withdrawal_may_have_run() {
    let mut gateway = gateway_with_two_queued_tasks();
    let now = gateway.now;
    assert_eq!(
        gateway.dispatcher.withdraw(now, JobId(1)),
        Withdrawal::Pending
    );
    gateway.now += DispatchSettings::default().expiry();
    gateway.poll();
    let withdrawn = gateway.dispatcher.take_withdrawn();
    assert_eq!(withdrawn, vec![(JobId(1), Withdrawal::MayHaveRun)]);
}

#[test]
fn a_retiring_agent_gets_no_starts_and_is_retired_once_its_runs_have_ended() {
    let mut gateway = Gateway::new(2);
    for agent in 0..2 {
        gateway.report_load(agent, 4, [0; URGENCY_LEVELS]);
    }
    gateway.submit("urgent", 1, job(1, 6_000, 60));
    let placed = gateway.poll();
    let (agent, task) = placed[0];
    gateway.dispatcher.set_retiring(AgentId(agent), true);
    for id in 2..10 {
        gateway.submit("urgent", id, job(1, 6_000, 60));
    }
    assert!(gateway.poll().iter().all(|(other, _)| *other != agent));
    assert!(!gateway.dispatcher.is_retired(AgentId(agent)));
    gateway.end(
        agent,
        RunReport {
            task,
            run: gateway.dispatcher.runs_of(AgentId(agent))[0].1,
            end: Some(RunEnd::Done),
            took_ms: 60,
        },
    );
    assert!(gateway.dispatcher.is_retired(AgentId(agent)));
}

#[test]
fn a_task_is_queued_at_the_full_instance_where_an_end_is_near() {
    let mut gateway = Gateway::new(3);
    for (agent, next_end_ms) in [(0, 80), (1, 10), (2, 60)] {
        gateway.report_next_end(agent, next_end_ms);
    }
    gateway.submit("urgent", 1, job(1, 6_000, 60));
    assert_eq!(gateway.poll()[0].0, 1);
}

#[test]
fn a_retired_agent_gets_starts_again_in_a_new_session() {
    let mut gateway = Gateway::new(1);
    let agent = AgentId(0);
    gateway.dispatcher.set_retiring(agent, true);
    let session = gateway.dispatcher.register(gateway.now, agent);
    let inventory = Inventory {
        instance: Some(fixture::instance(0)),
        runs: Vec::new(),
        ..Inventory::default()
    };
    gateway
        .dispatcher
        .adopt(gateway.now, agent, session, &inventory);
    gateway.sessions[0] = session;
    gateway.report_load(0, 4, [0; URGENCY_LEVELS]);
    gateway.submit("urgent", 1, job(1, 6_000, 60));
    assert_eq!(gateway.poll().len(), 1);
}
