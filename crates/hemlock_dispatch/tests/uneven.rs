//! Placement on instances of uneven speed and distance.

mod fixture;

use fixture::{job, queue};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;

const SLOW: u32 = 180;
const FAST: u32 = 80;
const UNKNOWN: u32 = 0;

/// A gateway's dispatcher with shared instances, each on a rack of its own.
struct Gateway {
    store: JobStore,
    dispatcher: Dispatcher,
    sessions: Vec<SessionId>,
    now: Instant,
    jobs: u64,
}

impl Gateway {
    fn new(agents: u64, remote_factor: f64) -> Self {
        let now = Instant::from_ms(1_000);
        let store = fixture::store(vec![queue("urgent", 0)]);
        let settings = DispatchSettings {
            capacity: CapacitySource::Reported,
            records_ends: false,
            remote_factor,
            ..DispatchSettings::default()
        };
        let mut dispatcher = Dispatcher::new(now, settings, &store);
        let attach = |agent| {
            let session = dispatcher.register(now, AgentId(agent));
            let inventory = Inventory {
                instance: Some(fixture::instance(agent)),
                runs: Vec::new(),
                ..Inventory::default()
            };
            dispatcher.adopt(now, AgentId(agent), session, &inventory);
            session
        };
        let sessions = (0..agents).map(attach).collect();
        Self {
            store,
            dispatcher,
            sessions,
            now,
            jobs: 0,
        }
    }

    /// Reports an instance with room for a number of tasks, or the time until the next end.
    fn report(&mut self, agent: usize, free_tasks: u64, next_end_ms: u32, pace_percent: u32) {
        let load = LoadReport {
            free: Resources {
                cpu_milli: free_tasks * 6_000,
                memory_mb: 262_144,
                accelerators: 0,
            },
            owners: 4,
            share_cpu_milli: 16_000,
            pace_percent,
            next_ends_ms: [next_end_ms; REPORTED_ENDS],
            ..LoadReport::default()
        };
        let (id, session) = (AgentId(agent as u64), self.sessions[agent]);
        self.dispatcher.load_reported(self.now, id, session, load);
    }

    /// Reports an idle instance 0 and three full ones, at which runs end soon.
    fn report_one_idle(&mut self, idle_pace: u32, full_pace: u32) {
        self.now += DurationMs::new(60);
        self.report(0, 4, 0, idle_pace);
        (1..4).for_each(|agent| self.report(agent, 0, 30, full_pace));
    }

    /// Places a job of the given width and duration, and returns the agents with the expected
    /// durations there.
    fn place(&mut self, width: u16, ms: u64, rack: Option<&str>) -> Vec<(u64, u64)> {
        self.jobs += 1;
        let mut spec = job(width, 6_000, ms);
        spec.steps[0].preferred_rack = rack.map(str::to_owned);
        let command = fixture::acceptance_in("urgent", self.jobs, spec);
        self.store.apply(&Batch::new(0, vec![command]));
        let id = JobId(self.jobs);
        let open = self.store.job(id).and_then(JobRecord::open);
        let open = open.expect("the job was accepted");
        self.dispatcher.job_accepted(self.now, id, "urgent", open);
        let orders = self.dispatcher.poll(self.now).into_iter();
        let placed = orders.flat_map(|order| {
            let agent = order.agent.0;
            let starts = order.starts.into_iter();
            starts.map(move |start| (agent, start.expected_ms))
        });
        let placed = placed.collect();
        self.dispatcher.job_ended(id);
        placed
    }
}

#[test]
fn long_tasks_wait_for_fast_instances_and_short_ones_use_slow_ones() {
    // At half speed, a task of 200 ms takes nearly all of its objective of 380 ms, while one of
    // 60 ms has a third of its objective left.
    let mut gateway = Gateway::new(4, 1.0);
    gateway.report_one_idle(SLOW, FAST);
    assert_ne!(gateway.place(1, 200, None)[0].0, 0);
    gateway.report_one_idle(SLOW, FAST);
    assert_eq!(gateway.place(1, 60, None)[0].0, 0);
}

#[test]
fn instances_of_unknown_or_even_pace_are_compared_by_their_wait() {
    for (idle, full) in [(UNKNOWN, UNKNOWN), (UNKNOWN, FAST), (110, 90)] {
        let mut gateway = Gateway::new(4, 1.0);
        gateway.report_one_idle(idle, full);
        assert_eq!(gateway.place(1, 200, None)[0].0, 0, "{idle} and {full} %");
    }
}

#[test]
fn a_restarted_instance_is_not_placed_by_the_pace_of_its_earlier_incarnation() {
    let mut gateway = Gateway::new(4, 1.0);
    gateway.report_one_idle(SLOW, FAST);
    assert_ne!(gateway.place(1, 200, None)[0].0, 0);
    let (session, instance) = (gateway.sessions[0], Some(fixture::instance(0)));
    gateway
        .dispatcher
        .instance_changed(gateway.now, AgentId(0), session, instance, true);
    assert_eq!(gateway.place(1, 200, None)[0].0, 0);
}

#[test]
fn a_slow_turn_and_a_recovery_change_the_next_placements() {
    let mut gateway = Gateway::new(4, 1.0);
    for (pace, waits) in [(100, false), (230, true), (100, false)] {
        gateway.report_one_idle(pace, 100);
        let agent = gateway.place(1, 200, None)[0].0;
        assert_eq!(agent != 0, waits, "at {pace} %");
    }
}

#[test]
fn the_preferred_rack_is_left_when_its_wait_exceeds_the_cost_of_the_distance() {
    // A task of 51 ms behind a wait of 60 ms on its rack.
    for (remote_factor, expected) in [(1.0, (0, 51)), (1.5, (1, 76)), (3.0, (0, 51))] {
        let mut gateway = Gateway::new(2, remote_factor);
        gateway.report(0, 0, 60, UNKNOWN);
        gateway.report(1, 4, 0, UNKNOWN);
        let placed = gateway.place(1, 51, Some("rack-0"));
        assert_eq!(placed, vec![expected], "remote factor {remote_factor}");
    }
}

#[test]
fn tasks_of_a_hot_key_run_elsewhere_when_its_rack_dies() {
    let mut gateway = Gateway::new(3, 3.0);
    (0..3).for_each(|agent| gateway.report(agent, 200, 0, UNKNOWN));
    for _ in 0..6 {
        let placed = gateway.place(8, 51, Some("rack-0"));
        assert!(placed.iter().all(|placed| *placed == (0, 51)));
    }
    let session = gateway.sessions[0];
    let dead = AgentId(0);
    gateway.dispatcher.close_session(gateway.now, dead, session);
    let placed = gateway.place(8, 51, Some("rack-0"));
    assert_eq!(placed.len(), 8);
    assert!(placed.iter().all(|(agent, ms)| *agent != 0 && *ms == 153));
}

#[test]
fn work_without_a_preferred_rack_avoids_a_rack_in_demand() {
    let mut gateway = Gateway::new(3, 3.0);
    (0..3).for_each(|agent| gateway.report(agent, 200, 0, UNKNOWN));
    assert!(
        gateway
            .place(40, 51, None)
            .iter()
            .any(|(agent, _)| *agent == 0)
    );
    for _ in 0..6 {
        gateway.place(8, 51, Some("rack-0"));
    }
    gateway.now += DurationMs::new(60);
    (0..3).for_each(|agent| gateway.report(agent, 200, 0, UNKNOWN));
    assert!(
        gateway
            .place(40, 51, None)
            .iter()
            .all(|(agent, _)| *agent != 0)
    );
    // The others are full: the rack in demand is better than a wait.
    (1..3).for_each(|agent| gateway.report(agent, 0, 30, UNKNOWN));
    assert_eq!(gateway.place(1, 51, None)[0].0, 0);
}
