//! Processor time of placement decisions. A gateway has 0.12 of a core for some 300 of them a second.

mod fixture;

use std::time::Instant as WallClock;

use fixture::{job, queue, task};
use hemlock_dispatch::prelude::*;
use hemlock_jobs::prelude::*;
use hemlock_types::prelude::*;

const AGENTS: u64 = 32;
const JOBS: u64 = 20_000;

/// Places jobs of eight tasks over 32 shared instances, of which each reports its load 30 times a
/// second, and prints the mean time of a placement. The figure depends on the machine, so the test
/// has no bound and runs on request.
#[test]
#[ignore = "a measurement without a bound"]
fn mean_time_of_a_placement() {
    for (name, remote_factor, prefers) in [("plain", 1.0, false), ("uneven", 3.0, true)] {
        let now = Instant::from_ms(1_000);
        let store = fixture::store(vec![queue("urgent", 0)]);
        let settings = DispatchSettings {
            capacity: CapacitySource::Reported,
            records_ends: false,
            remote_factor,
            ..DispatchSettings::default()
        };
        let mut dispatcher = Dispatcher::new(now, settings, &store);
        let sessions: Vec<SessionId> = (0..AGENTS)
            .map(|agent| {
                let session = dispatcher.register(now, AgentId(agent));
                let mut instance = fixture::instance(agent);
                instance.labels = vec![format!("rack-{}", agent / 6)];
                let inventory = Inventory {
                    instance: Some(instance),
                    runs: Vec::new(),
                    ..Inventory::default()
                };
                dispatcher.adopt(now, AgentId(agent), session, &inventory);
                session
            })
            .collect();
        let mut spec = job(8, 4_700, 51);
        if prefers {
            spec.steps[0].preferred_rack = Some("rack-2".to_owned());
        }
        let mut open = std::collections::VecDeque::new();
        let mut store = JobStore::new(10_000);
        let mut spent = std::time::Duration::ZERO;
        let mut placed = 0;
        for id in 0..JOBS {
            let now = now + DurationMs::new(id * 25);
            let command = fixture::acceptance_in("urgent", id, spec.clone());
            store.apply(&Batch::new(id * 25, vec![command]));
            let accepted = store.job(JobId(id)).and_then(JobRecord::open);
            let accepted = accepted.expect("the job was accepted").clone();
            store.forget(JobId(id));
            let began = WallClock::now();
            for (agent, session) in (0..AGENTS).zip(&sessions) {
                let load = LoadReport {
                    free: Resources {
                        cpu_milli: 6_000 * (agent % 5),
                        memory_mb: 262_144,
                        accelerators: 0,
                    },
                    owners: 8,
                    share_cpu_milli: 8_000,
                    pace_percent: if prefers && agent % 4 == 0 { 180 } else { 90 },
                    last_order: id.saturating_sub(2),
                    next_ends_ms: [10, 20, 30, 40],
                    ..LoadReport::default()
                };
                dispatcher.confirm(now, AgentId(agent), *session);
                dispatcher.load_reported(now, AgentId(agent), *session, load);
            }
            dispatcher.job_accepted(now, JobId(id), "urgent", &accepted);
            placed += dispatcher
                .poll(now)
                .iter()
                .map(|o| o.starts.len())
                .sum::<usize>();
            spent += began.elapsed();
            open.push_back(id);
            if open.len() > 8 {
                let ended = open.pop_front().expect("eight jobs are open");
                for index in 0..8 {
                    let report = |run| RunReport {
                        task: task(ended, index),
                        run,
                        end: Some(RunEnd::Done),
                        took_ms: 51,
                    };
                    for (agent, session) in (0..AGENTS).zip(&sessions) {
                        let runs = dispatcher.runs_of(AgentId(agent));
                        let runs = runs.iter().filter(|(key, _, _)| *key == task(ended, index));
                        for (_, run, _) in runs {
                            dispatcher.report_end(now, AgentId(agent), *session, report(*run));
                        }
                    }
                }
                dispatcher.job_ended(JobId(ended));
            }
        }
        let each = spent.as_secs_f64() * 1e6 / placed as f64;
        println!("{name}: {each:.2} us a placement, {placed} placements");
    }
}
