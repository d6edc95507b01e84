//! Best-effort jobs of a gateway that was stalled or cut off. A caller may have left meanwhile and
//! submitted its job through another gateway, before the end of the interruption or after it.

use bytes::Bytes;
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_nodes::gateway::engine::{Engine, EngineSettings, Submission};
use hemlock_nodes::message::{CallerAnswer, Rejection, Report, RunnerUpdate};
use hemlock_runs::prelude::RefusedStart;
use hemlock_types::prelude::*;
use tokio::sync::oneshot::Receiver;

/// Interval between two steps of an undisturbed gateway, in milliseconds.
const STEP_MS: u64 = 50;
const RUNNERS: u64 = 4;
/// Time after which callers whose connection broke submit their jobs again, in milliseconds.
const RESUBMIT_MS: u64 = 1_300;
/// Time after which a gateway closes the connection to a silent runner, in milliseconds.
const SILENT_AFTER_MS: u64 = 850;
const TASKS: u16 = 3;
const JOB: JobId = JobId(7);

fn queue() -> Queue {
    Queue {
        name: "searches".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/q/".to_owned(),
        service: "listings".to_owned(),
        timeout_ms: 60_000,
        priority: 0,
        max_attempts: 3,
        slack_factor: 2.0,
        target_latency_ms: 60_000,
    }
}

fn inventory(agent: AgentId, runs: Vec<RunReport>) -> Inventory {
    Inventory {
        instance: Some(InstanceReport {
            id: InstanceId {
                name: format!("i-{agent}"),
                born_ms: 1,
            },
            service: "listings".to_owned(),
            failure_domain: "a".to_owned(),
            capacity: Resources {
                cpu_milli: 64_000,
                memory_mb: 262_144,
                accelerators: 0,
            },
            labels: Vec::new(),
            draining: false,
        }),
        runs,
        latest_runs: Vec::new(),
    }
}

/// An idle instance with room for a few tasks.
fn load() -> LoadReport {
    LoadReport {
        free: Resources {
            cpu_milli: 64_000,
            memory_mb: 262_144,
            accelerators: 0,
        },
        ..LoadReport::default()
    }
}

type Start = (AgentId, TaskKey, RunNumber);

struct Gateway {
    now: Instant,
    engine: Engine,
    sessions: Vec<SessionId>,
    /// Every start that was ordered, with its time.
    starts: Vec<(Instant, Start)>,
    stops: usize,
}

impl Gateway {
    fn new() -> Self {
        let now = Instant::from_ms(1_000);
        let settings = EngineSettings {
            lease_ms: 1_000,
            remote_factor: 1.0,
            resubmit_ms: RESUBMIT_MS,
        };
        let mut engine = Engine::new(now, settings);
        engine.configure(&Configuration {
            version: 1,
            queues: vec![queue()],
            services: vec![ServicePool {
                name: "listings".to_owned(),
            }],
            document: Bytes::new(),
        });
        let mut gateway = Self {
            now,
            engine,
            sessions: Vec::new(),
            starts: Vec::new(),
            stops: 0,
        };
        gateway.begin_sessions(RunEnd::Lapsed);
        gateway
    }

    /// Begins new sessions with all runners, which report that the claimed runs have ended.
    fn begin_sessions(&mut self, end: RunEnd) {
        self.sessions.clear();
        for agent in (0..RUNNERS).map(AgentId) {
            let (session, claims) = self.engine.begin_session(self.now, agent);
            let ended = |(task, run, _)| RunReport {
                task,
                run,
                end: Some(end),
                took_ms: 0,
            };
            let runs = claims.into_iter().map(ended).collect();
            let inventory = inventory(agent, runs);
            self.engine
                .attached(self.now, agent, session, &inventory, load());
            self.sessions.push(session);
        }
    }

    fn submit(&mut self, task_ms: u64, time_left_ms: u64) -> Receiver<CallerAnswer> {
        self.try_submit(JOB, task_ms, time_left_ms, self.now)
            .expect("the gateway has room")
    }

    fn try_submit(
        &mut self,
        id: JobId,
        task_ms: u64,
        time_left_ms: u64,
        sent_after: Instant,
    ) -> Result<Receiver<CallerAnswer>, CallerAnswer> {
        let mut step = StepSpec::new(TASKS);
        step.needs.cpu_milli = 6_200;
        step.estimate_ms = task_ms;
        let submission = Submission {
            id,
            queue: &queue(),
            spec: JobSpec::new(Bytes::from_static(b"work"), vec![step]).with_best_effort(true),
            answer_deadline: self.now + DurationMs::new(time_left_ms),
            sent_after,
            peer: None,
        };
        self.engine.submit(self.now, submission)
    }

    fn step(&mut self) {
        for order in self.engine.step(self.now) {
            let agent = order.agent;
            let starts = order.starts.iter();
            let starts = starts.map(|start| (self.now, (agent, start.task, start.run)));
            self.starts.extend(starts);
            self.stops += order.stops.len();
        }
    }

    fn confirm_sessions(&mut self) {
        self.engine.note_runner_contact(self.now);
        for (agent, session) in (0..RUNNERS).map(AgentId).zip(self.sessions.clone()) {
            self.engine
                .confirm_session(self.now, agent, session, Some(load()));
        }
    }

    /// Passes time without an interruption.
    fn run_for_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.now += DurationMs::new(STEP_MS);
            self.step();
            self.confirm_sessions();
        }
    }

    /// Passes time in which the gateway is active but reaches no runner.
    fn run_cut_off_for_ms(&mut self, duration_ms: u64) {
        for elapsed_ms in (0..duration_ms).step_by(STEP_MS as usize) {
            if elapsed_ms >= SILENT_AFTER_MS {
                for (agent, session) in (0..RUNNERS).map(AgentId).zip(self.sessions.clone()) {
                    self.engine.close_session(self.now, agent, session);
                }
            }
            self.now += DurationMs::new(STEP_MS);
            self.step();
        }
    }

    fn stall_for_ms(&mut self, duration_ms: u64) {
        self.now += DurationMs::new(duration_ms);
    }

    /// Reports the ends of all runs that were started, as one update of each runner.
    fn end_runs(&mut self, end: RunEnd) {
        let report = |(task, run)| RunReport {
            task,
            run,
            end: Some(end),
            took_ms: 50,
        };
        let ended = self.started_runs(report);
        self.send_reports(ended.into_iter().map(|(agent, ended)| {
            let report = Report {
                ended: vec![ended],
                refused: Vec::new(),
            };
            (agent, report)
        }));
    }

    fn refuse_runs(&mut self, reason: RefusalReason) {
        let refused = self.started_runs(|(task, run)| RefusedStart { task, run, reason });
        self.send_reports(refused.into_iter().map(|(agent, refused)| {
            let report = Report {
                ended: Vec::new(),
                refused: vec![refused],
            };
            (agent, report)
        }));
    }

    fn started_runs<T>(&self, report: impl Fn((TaskKey, RunNumber)) -> T) -> Vec<(AgentId, T)> {
        let starts = self.starts.iter();
        starts
            .map(|(_, (agent, task, run))| (*agent, report((*task, *run))))
            .collect()
    }

    fn send_reports(&mut self, reports: impl Iterator<Item = (AgentId, Report)>) {
        for (agent, report) in reports {
            let update = RunnerUpdate {
                agent,
                session: self.sessions[usize::try_from(agent.0).expect("a small number")],
                report,
                load_report: load(),
                instance: None,
            };
            self.engine.handle_update(self.now, update);
        }
    }

    fn starts_since(&self, at: Instant) -> usize {
        let starts = self.starts.iter();
        starts.filter(|(started_at, _)| *started_at >= at).count()
    }

    fn starts_after(&self, at: Instant) -> usize {
        let starts = self.starts.iter();
        starts.filter(|(started_at, _)| *started_at > at).count()
    }
}

/// Guards against tasks that run twice at once: a gateway that was stalled started a job again that
/// its caller had submitted through another gateway meanwhile (review/12).
#[test]
fn runs_that_lapsed_in_a_stall_are_not_started_again() {
    for stall_ms in [700, 1_250, 1_900, 10_000] {
        let mut gateway = Gateway::new();
        let mut answer = gateway.submit(2_000, 60_000);
        gateway.run_for_ms(300);
        assert_eq!(gateway.starts.len(), usize::from(TASKS));
        let stalled_at = gateway.now;
        gateway.stall_for_ms(stall_ms);
        // The order in which a gateway learns of the ends of its runs and sessions varies.
        gateway.end_runs(RunEnd::Stopped);
        gateway.step();
        gateway.stall_for_ms(50);
        gateway.begin_sessions(RunEnd::Lapsed);
        gateway.step();
        gateway.run_for_ms(400);
        assert_eq!(gateway.starts_after(stalled_at), 0, "{stall_ms} ms");
        assert_eq!(
            answer.try_recv(),
            Ok(CallerAnswer::Undecided),
            "{stall_ms} ms"
        );
    }
}

/// Guards against runs that go on beside those of another gateway: their caller left in a stall that
/// was shorter than the leases of its runs.
#[test]
fn runs_that_outlast_a_stall_end_before_callers_submit_again() {
    for (stall_ms, task_ms) in [(350, 2_000), (600, 2_000), (350, 500), (800, 100)] {
        let mut gateway = Gateway::new();
        let mut answer = gateway.submit(task_ms, 60_000);
        gateway.run_for_ms(300);
        let stalled_at = gateway.now;
        gateway.stall_for_ms(stall_ms);
        gateway.step();
        gateway.confirm_sessions();
        let time_left_ms = RESUBMIT_MS - stall_ms - 100;
        gateway.run_for_ms(time_left_ms);
        assert_eq!(gateway.stops, usize::from(TASKS), "{stall_ms} ms");
        assert_eq!(gateway.starts_after(stalled_at), 0, "{stall_ms} ms");
        assert_eq!(
            answer.try_recv(),
            Ok(CallerAnswer::Undecided),
            "{stall_ms} ms"
        );
    }
}

/// Guards against a job that is started again after several stalls, of which each alone is short.
#[test]
fn stalls_in_series_count_from_the_first_one() {
    let mut gateway = Gateway::new();
    let mut answer = gateway.submit(100, 60_000);
    gateway.run_for_ms(50);
    let stalled_at = gateway.now;
    for _ in 0..3 {
        gateway.stall_for_ms(350);
        gateway.step();
        gateway.confirm_sessions();
        gateway.run_for_ms(50);
    }
    gateway.end_runs(RunEnd::Stopped);
    gateway.run_for_ms(500);
    assert_eq!(gateway.starts_after(stalled_at), 0);
    assert_eq!(answer.try_recv(), Ok(CallerAnswer::Undecided));
}

/// Guards against tasks that waited for capacity and are started after a stall.
#[test]
fn waiting_tasks_are_not_started_after_a_stall() {
    let mut gateway = Gateway::new();
    let mut answer = gateway.submit(2_000, 60_000);
    gateway.step();
    gateway.refuse_runs(RefusalReason::NoRoom);
    let stalled_at = gateway.now;
    gateway.stall_for_ms(1_500);
    gateway.step();
    gateway.run_for_ms(400);
    assert_eq!(gateway.starts_after(stalled_at), 0);
    let rejected = matches!(answer.try_recv(), Ok(CallerAnswer::Rejected { .. }));
    assert!(rejected, "no task has run");
}

/// Guards against the same failure at a gateway that goes on while neither runners nor callers reach
/// it.
#[test]
fn runs_that_lapsed_while_the_gateway_was_cut_off_are_not_started_again() {
    for cut_ms in [700, 1_500, 5_000] {
        let mut gateway = Gateway::new();
        let mut answer = gateway.submit(2_000, 60_000);
        gateway.run_for_ms(300);
        let cut_at = gateway.now;
        gateway.run_cut_off_for_ms(cut_ms);
        gateway.begin_sessions(RunEnd::Lapsed);
        gateway.step();
        gateway.run_for_ms(400);
        assert_eq!(gateway.starts_after(cut_at), 0, "{cut_ms} ms");
        assert_eq!(
            answer.try_recv(),
            Ok(CallerAnswer::Undecided),
            "{cut_ms} ms"
        );
    }
}

/// A gateway that hears from other callers meanwhile has only lost its runners, and would notice if
/// the job's caller left.
#[test]
fn runs_are_started_again_after_a_loss_of_all_runners() {
    let mut gateway = Gateway::new();
    let mut answer = gateway.submit(2_000, 60_000);
    gateway.run_for_ms(300);
    for id in 0..5 {
        gateway.run_cut_off_for_ms(500);
        drop(gateway.try_submit(JobId(100 + id), 100, 1_500, gateway.now));
    }
    let lost_at = gateway.now;
    gateway.begin_sessions(RunEnd::Lapsed);
    gateway.run_for_ms(100);
    assert!(gateway.starts_after(lost_at) >= usize::from(TASKS));
    assert!(answer.try_recv().is_err(), "the job goes on");
}

#[test]
fn results_that_were_ready_are_delivered_after_a_stall() {
    for (stall_ms, are_claimed) in [(700, false), (1_900, true), (1_900, false), (5_000, false)] {
        let mut gateway = Gateway::new();
        let mut answer = gateway.submit(2_000, 60_000);
        gateway.run_for_ms(300);
        gateway.stall_for_ms(stall_ms);
        gateway.step();
        gateway.stall_for_ms(100);
        match are_claimed {
            true => gateway.begin_sessions(RunEnd::Done),
            // The updates were sent before the runners ended the sessions.
            false => gateway.end_runs(RunEnd::Done),
        }
        gateway.step();
        let complete = CallerAnswer::Finished(JobOutcome::Complete);
        assert_eq!(answer.try_recv(), Ok(complete), "{stall_ms} ms");
    }
}

#[test]
fn a_short_job_goes_on_after_a_short_stall() {
    let mut gateway = Gateway::new();
    let mut answer = gateway.submit(100, 60_000);
    gateway.step();
    let stalled_at = gateway.now;
    gateway.stall_for_ms(400);
    gateway.step();
    gateway.end_runs(RunEnd::Lapsed);
    gateway.run_for_ms(50);
    assert_eq!(gateway.starts_after(stalled_at), usize::from(TASKS));
    gateway.end_runs(RunEnd::Done);
    let complete = CallerAnswer::Finished(JobOutcome::Complete);
    assert_eq!(answer.try_recv(), Ok(complete));
}

#[test]
fn a_gateway_that_only_waits_gives_no_job_up() {
    let mut gateway = Gateway::new();
    let mut answer = gateway.submit(20_000, 60_000);
    for _ in 0..5 {
        gateway.run_for_ms(4_000);
        let waited_until = gateway.now;
        gateway.end_runs(RunEnd::Lapsed);
        gateway.step();
        assert_eq!(gateway.starts_since(waited_until), usize::from(TASKS));
    }
    assert!(answer.try_recv().is_err(), "the job goes on");
}

/// Guards against a job that is started from a request that was sent during a stall: its caller may
/// have left, and the close of its connection is still on its way.
#[test]
fn a_request_that_may_have_been_sent_in_a_stall_is_rejected() {
    let mut gateway = Gateway::new();
    let connected_at = gateway.now;
    gateway.run_for_ms(200);
    gateway.stall_for_ms(1_000);
    let id = JobId(8);
    let rejected = CallerAnswer::Rejected {
        reason: Rejection::Interrupted,
        retry_after_ms: 1_000,
    };
    let answer = gateway.try_submit(id, 100, 1_500, connected_at);
    assert_eq!(answer.err(), Some(rejected.clone()));
    let accepted_at = gateway.now + DurationMs::new(20);
    gateway.run_for_ms(1_000);
    for sent_after in [connected_at, accepted_at] {
        let answer = gateway.try_submit(id, 100, 1_500, sent_after);
        assert_eq!(answer.err(), Some(rejected.clone()));
    }
    // A connection that was established after the stall proves that its client is there.
    let fresh = gateway.try_submit(id, 100, 1_500, gateway.now);
    assert!(fresh.is_ok());
    gateway.run_for_ms(300);
    assert!(
        gateway
            .try_submit(JobId(9), 100, 1_500, connected_at)
            .is_ok()
    );
}

/// Guards against the same failure if the connection was established after the last contact and
/// before the cut, whose begin nobody tells.
#[test]
fn a_request_on_a_connection_that_may_be_older_than_a_cut_is_rejected() {
    let mut gateway = Gateway::new();
    gateway.run_for_ms(200);
    let connected_at = gateway.now + DurationMs::new(100);
    gateway.run_cut_off_for_ms(1_500);
    gateway.begin_sessions(RunEnd::Lapsed);
    gateway.run_for_ms(300);
    let id = JobId(8);
    let answer = gateway.try_submit(id, 100, 1_500, connected_at);
    let rejected = CallerAnswer::Rejected {
        reason: Rejection::Interrupted,
        retry_after_ms: 1_000,
    };
    assert_eq!(answer.err(), Some(rejected));
    assert!(gateway.try_submit(id, 100, 1_500, gateway.now).is_ok());
}

#[test]
fn a_caller_that_submits_again_here_lets_its_job_go_on() {
    let mut gateway = Gateway::new();
    let _left = gateway.submit(2_000, 60_000);
    gateway.run_for_ms(300);
    gateway.stall_for_ms(1_500);
    gateway.step();
    gateway.begin_sessions(RunEnd::Lapsed);
    let back_at = gateway.now;
    gateway.run_for_ms(100);
    assert_eq!(gateway.starts_after(back_at), 0);
    gateway.now += DurationMs::new(10);
    let mut answer = gateway.submit(2_000, 60_000);
    gateway.run_for_ms(100);
    assert_eq!(gateway.starts_after(back_at), usize::from(TASKS));
    gateway.run_for_ms(1_500);
    assert!(answer.try_recv().is_err(), "the job goes on");
}
