//! Several dispatchers that place work on the same instances.

mod fixture;

use fixture::{job, queue, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;

/// A dispatcher that shares its instances with others.
struct Gateway {
    book: JobBook,
    dispatcher: Dispatcher,
    sessions: Vec<SessionId>,
    now: Instant,
}

impl Gateway {
    fn new(agents: u64) -> Self {
        let now = Instant::from_ms(1_000);
        let book = fixture::book(vec![queue("urgent", 0), queue("later", 2)]);
        let settings = DispatchSettings {
            capacity: CapacityView::Shared,
            records_ends: false,
            ..DispatchSettings::default()
        };
        let mut dispatcher = Dispatcher::new(now, settings, &book);
        let mut sessions = Vec::new();
        for agent in 0..agents {
            let session = dispatcher.register(now, AgentId(agent));
            let inventory = Inventory {
                instance: Some(fixture::instance(agent)),
                runs: Vec::new(),
            };
            dispatcher.adopt(now, AgentId(agent), session, &inventory);
            sessions.push(session);
        }
        Self {
            book,
            dispatcher,
            sessions,
            now,
        }
    }

    /// An agent tells what is left, and how much work of each level waits there.
    fn tell(&mut self, agent: u64, free_tasks: u64, queued_work: [u64; URGENCY_LEVELS]) {
        let room = Room {
            free: Resources {
                cpu_milli: free_tasks * 6_000,
                memory_mb: 262_144,
                accelerators: 0,
            },
            queued_work,
            slowest_percent: 0,
            owners: 4,
            last_order: 0,
        };
        let session = self.sessions[usize::try_from(agent).expect("a small number")];
        self.dispatcher
            .room_reported(self.now, AgentId(agent), session, room);
    }

    fn submit(&mut self, queue: &str, id: u64, spec: JobSpec) {
        let command = fixture::acceptance_in(queue, id, spec);
        self.book.apply(&Batch::new(0, vec![command]));
        let open = self.book.job(JobId(id)).and_then(JobRecord::open);
        let open = open.expect("it was accepted");
        self.dispatcher
            .job_accepted(self.now, JobId(id), queue, open);
    }

    /// An agent reports an end, which needs no more than to be noted.
    fn end(&mut self, agent: u64, report: RunReport) {
        let session = self.sessions[usize::try_from(agent).expect("a small number")];
        let verdict = self
            .dispatcher
            .report_end(self.now, AgentId(agent), session, report);
        if let EndVerdict::Record(end) = verdict {
            let (task, run) = (report.task, report.run);
            self.book
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

/// Work of so many milliseconds of a whole instance.
fn work(ms: u64) -> u64 {
    64_000 * ms
}

#[test]
fn urgent_work_passes_the_less_urgent_work_of_others_that_waits_at_full_instances() {
    let mut gateway = Gateway::new(2);
    // Both instances are full, and others' less urgent work of half a second waits at each.
    gateway.tell(0, 0, [0, 0, work(500), 0]);
    gateway.tell(1, 0, [0, 0, work(500), 0]);
    gateway.submit("urgent", 1, job(2, 6_000, 60));
    assert_eq!(gateway.poll().len(), 2);
}

#[test]
fn less_urgent_work_waits_where_its_turn_comes_first() {
    let mut gateway = Gateway::new(2);
    gateway.tell(0, 0, [work(40), 0, work(100), 0]);
    gateway.tell(1, 0, [0, 0, work(20), 0]);
    gateway.submit("later", 1, job(1, 6_000, 900));
    assert_eq!(gateway.poll(), vec![(1, task(1, 0))]);
}

#[test]
fn work_whose_turn_would_come_too_late_stays_here() {
    let mut gateway = Gateway::new(1);
    gateway.tell(0, 0, [work(400), 0, 0, 0]);
    gateway.submit("urgent", 1, job(1, 6_000, 60));
    assert_eq!(gateway.poll(), vec![]);
    gateway.tell(0, 0, [work(30), 0, 0, 0]);
    assert_eq!(gateway.poll().len(), 1);
}

#[test]
fn what_was_ordered_since_the_last_report_counts() {
    let mut gateway = Gateway::new(2);
    gateway.tell(0, 3, [0; URGENCY_LEVELS]);
    gateway.tell(1, 2, [0; URGENCY_LEVELS]);
    gateway.submit("urgent", 1, job(5, 6_000, 60));
    let placed = gateway.poll();
    let at = |agent| placed.iter().filter(|(at, _)| *at == agent).count();
    assert_eq!((at(0), at(1)), (3, 2));
}

#[test]
fn a_run_ordered_before_its_gateway_hears_that_earlier_ones_are_lost_goes_on() {
    let mut gateway = Gateway::new(1);
    gateway.tell(0, 2, [0; URGENCY_LEVELS]);
    gateway.submit("later", 1, job(1, 6_000, 900));
    assert_eq!(gateway.poll().len(), 1);

    // The runner tells of the lapsed run first, and of the changed instance in a message behind it.
    let (agent, session, now) = (AgentId(0), gateway.sessions[0], gateway.now);
    let first = RunNumber::default().next_unrecorded();
    let lapsed = RunReport {
        task: task(1, 0),
        run: first,
        end: Some(RunEnd::Lapsed),
        took_ms: 100,
    };
    gateway.dispatcher.report_end(now, agent, session, lapsed);
    assert_eq!(gateway.poll(), vec![(0, task(1, 0))], "the second run");

    let instance = Some(fixture::instance(0));
    gateway
        .dispatcher
        .instance_changed(now, agent, session, instance, true);
    assert_eq!(gateway.poll(), vec![], "no third run beside the second");
    let known = gateway.dispatcher.runs_of(agent).into_iter();
    let known: Vec<_> = known.map(|(task, run, _)| (task, run)).collect();
    assert_eq!(known, vec![(task(1, 0), first.next_unrecorded())]);
}

/// A job of two tasks, one of which is done, and whose objective has passed.
fn half_done_and_late(gateway: &mut Gateway) -> Instant {
    gateway.tell(0, 2, [0; URGENCY_LEVELS]);
    gateway.submit("later", 1, job(2, 6_000, 200));
    let leaves_at = gateway.now + DurationMs::new(2_000);
    gateway.dispatcher.note_caller_leaves(JobId(1), leaves_at);
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
    // The objective is 380 ms, and thrice that ends all worth of beginning the job.
    gateway.now += DurationMs::new(1_200);
    leaves_at
}

#[test]
fn the_rest_of_a_begun_job_waits_at_a_full_instance_while_its_caller_waits() {
    let mut gateway = Gateway::new(2);
    half_done_and_late(&mut gateway);
    // Full, with work of half a second that is as urgent by its queue: the late rest passes it.
    gateway.tell(0, 0, [0, 0, work(500), 0]);
    gateway.tell(1, 0, [0, 0, work(500), 0]);
    assert_eq!(gateway.poll().len(), 1);
    assert_eq!(gateway.dispatcher.hopeless_jobs(), vec![]);
}

#[test]
fn a_begun_job_is_hopeless_once_its_rest_cannot_end_before_its_caller_leaves() {
    let mut gateway = Gateway::new(1);
    let leaves_at = half_done_and_late(&mut gateway);
    gateway.tell(0, 0, [work(5_000), 0, 0, 0]);
    assert_eq!(gateway.poll(), vec![]);
    gateway.now = leaves_at;
    gateway.poll();
    assert_eq!(gateway.dispatcher.hopeless_jobs(), vec![JobId(1)]);
}

/// Whether an urgent job of eight tasks is taken in: its objective leaves it 96 ms to wait.
fn admits(gateway: &mut Gateway) -> bool {
    let spec = job(8, 6_000, 60);
    gateway
        .dispatcher
        .admit(gateway.now, &queue("urgent", 0), &spec, None)
        .is_ok()
}

#[test]
fn one_short_queue_among_long_ones_doesnt_admit_a_job_of_many_tasks() {
    let mut gateway = Gateway::new(3);
    gateway.tell(0, 0, [work(90), 0, 0, 0]);
    gateway.tell(1, 0, [work(90), 0, 0, 0]);
    gateway.tell(2, 0, [0; URGENCY_LEVELS]);
    assert!(!admits(&mut gateway));
    gateway.tell(0, 0, [work(20), 0, 0, 0]);
    gateway.tell(1, 0, [work(20), 0, 0, 0]);
    assert!(admits(&mut gateway));
}

#[test]
fn the_short_queue_of_an_instance_that_gets_no_work_admits_nothing() {
    let mut gateway = Gateway::new(2);
    gateway.tell(0, 8, [0; URGENCY_LEVELS]);
    // All runs fail at the first instance, until it is ejected.
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
    gateway.tell(0, 8, [0; URGENCY_LEVELS]);
    gateway.tell(1, 0, [work(60), 0, 0, 0]);
    assert!(!admits(&mut gateway));
}

impl Gateway {
    fn refuse(&mut self, agent: u64, task: TaskKey, reason: RefusalReason) {
        let session = self.sessions[usize::try_from(agent).expect("a small number")];
        let run = RunNumber::default().next_unrecorded();
        let agent = AgentId(agent);
        self.dispatcher
            .start_refused(self.now, agent, session, task, run, reason);
    }
}

/// A gateway with a job of two tasks that were ordered at a full instance.
fn two_waiting_there() -> Gateway {
    let mut gateway = Gateway::new(1);
    gateway.tell(0, 0, [0; URGENCY_LEVELS]);
    gateway.submit("later", 1, job(2, 6_000, 200));
    assert_eq!(gateway.poll().len(), 2);
    gateway
}

#[test]
fn a_job_whose_tasks_all_still_wait_at_instances_is_known_not_to_have_run() {
    let mut gateway = two_waiting_there();
    let now = gateway.now;
    let first = gateway.dispatcher.withdraw(now, JobId(1));
    assert_eq!(first, Withdrawal::Pending);
    let orders = gateway.dispatcher.poll(now);
    assert_eq!(orders[0].stops.len(), 2);
    gateway.refuse(0, task(1, 0), RefusalReason::Withdrawn);
    assert_eq!(gateway.dispatcher.take_withdrawn(), vec![]);
    gateway.refuse(0, task(1, 1), RefusalReason::Withdrawn);
    let withdrawn = gateway.dispatcher.take_withdrawn();
    assert_eq!(withdrawn, vec![(JobId(1), Withdrawal::NotRun)]);
}

#[test]
fn a_job_of_which_a_task_has_begun_may_have_run() {
    let mut gateway = two_waiting_there();
    let now = gateway.now;
    gateway.dispatcher.withdraw(now, JobId(1));
    gateway.refuse(0, task(1, 0), RefusalReason::Withdrawn);
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
fn a_job_that_ran_before_or_is_handed_in_again_is_not_told_to_be_withdrawn() {
    let mut gateway = Gateway::new(1);
    half_done_and_late(&mut gateway);
    let now = gateway.now;
    let withdrawal = gateway.dispatcher.withdraw(now, JobId(1));
    assert_eq!(withdrawal, Withdrawal::MayHaveRun);

    let mut gateway = two_waiting_there();
    gateway.dispatcher.withdraw(now, JobId(1));
    gateway.book.forget(JobId(1));
    gateway.submit("later", 1, job(2, 6_000, 200));
    gateway.refuse(0, task(1, 0), RefusalReason::Withdrawn);
    gateway.refuse(0, task(1, 1), RefusalReason::Withdrawn);
    assert_eq!(gateway.dispatcher.take_withdrawn(), vec![]);
}

#[test]
fn a_job_that_waits_at_its_gateway_has_not_run() {
    let mut gateway = Gateway::new(1);
    gateway.tell(0, 0, [work(5_000), 0, 0, 0]);
    gateway.submit("later", 1, job(2, 6_000, 200));
    assert_eq!(gateway.poll(), vec![]);
    let withdrawal = gateway.dispatcher.withdraw(gateway.now, JobId(1));
    assert_eq!(withdrawal, Withdrawal::NotRun);
}

#[test]
fn a_job_whose_runs_were_lost_sight_of_may_have_run() {
    let mut gateway = two_waiting_there();
    // Nothing is heard of the agent until none of its runs can be alive.
    gateway.now += DispatchSettings::default().expiry();
    gateway.poll();
    assert_eq!(gateway.dispatcher.runs_of(AgentId(0)), vec![]);
    let withdrawal = gateway.dispatcher.withdraw(gateway.now, JobId(1));
    assert_eq!(withdrawal, Withdrawal::MayHaveRun);
}

#[test]
fn a_job_whose_runs_are_lost_sight_of_while_it_is_taken_back_may_have_run() {
    let mut gateway = two_waiting_there();
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
