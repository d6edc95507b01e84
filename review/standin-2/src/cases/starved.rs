//! Kept jobs of which no task is ever started, because a few of the jobs on their queue can never
//! be done.

use std::thread;
use std::time::Duration;

use serde_json::json;

use super::{POSTING, Run, SMALL};
use crate::Verdict;
use crate::deployment::{Deployment, job, step};

/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(50);
/// Jobs sent: for six seconds.
const JOBS: u64 = 120;
/// While the first of them are sent, for three seconds, one in twenty can never be done.
const MIXED_JOBS: u64 = 60;
const HOPELESS_SHARE: u64 = 20;
/// Time that the minions have after the last job before it is asked for, `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job must have nothing running, as the rule says.
const NOTHING_RUNS: Duration = Duration::from_secs(3);
const TIMEOUT: Duration = Duration::from_millis(1_500);

fn path(number: u64) -> String {
    format!("{POSTING}5c0e7a21{number:07x}a")
}

fn state(deployment: &Deployment, number: u64) -> String {
    let gateway = number as usize % deployment.size.gateways;
    let reply = deployment.client(gateway, "GET", &path(number), "", "", TIMEOUT);
    let state = reply.and_then(|reply| Some(reply.body["state"].as_str()?.to_owned()));
    state.unwrap_or_default()
}

impl Run<'_> {
    pub fn starved(&self) -> Verdict {
        let deployment = match self.deploy(SMALL) {
            Ok(deployment) => deployment,
            Err(verdict) => return verdict,
        };
        let usual = job("work=200", false, &[step(2, 6_200, 200)]);
        // Its second step needs a label that no minion has.
        let hopeless = job(
            "work=60",
            false,
            &[
                step(4, 500, 60),
                json!({"count": 20, "cpu": 2_000, "memMb": 1_024, "estimateMs": 60, "dependsOn": [0],
                   "constraints": "c"}),
            ],
        );
        let mut accepted = Vec::new();
        let mut hopeless_count = 0;
        for number in 0..JOBS {
            let is_hopeless = self.trouble && number < MIXED_JOBS && number % HOPELESS_SHARE == 19;
            let body = if is_hopeless { &hopeless } else { &usual };
            let gateway = number as usize % deployment.size.gateways;
            let reply = deployment.client(gateway, "POST", &path(number), "", body, TIMEOUT);
            match reply.is_some_and(|reply| reply.status == 200) {
                true if is_hopeless => hopeless_count += 1,
                true => accepted.push(number),
                false => {}
            }
            thread::sleep(INTERVAL);
        }
        if accepted.len() < 50 {
            return Verdict::NotRun("too few jobs were accepted".to_owned());
        }
        thread::sleep(FINISH);
        let begun_ms = self.record.now_ms();
        let open: Vec<u64> = accepted
            .iter()
            .copied()
            .filter(|n| state(&deployment, *n) != "complete")
            .collect();
        thread::sleep(NOTHING_RUNS);
        let events: Vec<_> = deployment
            .minions
            .iter()
            .flat_map(|minion| minion.events())
            .collect();
        // Any run since then, by whatever job, would be in use of the service's capacity.
        let runs_since = events
            .iter()
            .filter(|event| event.ended_ms.is_none_or(|at| at >= begun_ms))
            .count();
        let ran_since = |number: u64| {
            let prefix = format!("5c0e7a21{number:07x}a.");
            events.iter().any(|event| {
                event.task.starts_with(&prefix) && event.ended_ms.is_none_or(|at| at >= begun_ms)
            })
        };
        let starved: Vec<u64> = open
            .into_iter()
            .filter(|number| !ran_since(*number) && state(&deployment, *number) != "complete")
            .collect();
        self.record.note(format!(
            "{} jobs accepted that can be done and {hopeless_count} that can't; {} of the first are not complete and have nothing running; runs at all minions in these {} s: {runs_since}",
            accepted.len(), starved.len(), NOTHING_RUNS.as_secs(),
        ));
        match starved.len() {
            0 => Verdict::Held,
            count => Verdict::Broken(format!(
                "LOST: {count} of {} accepted jobs have nothing running for 3 s, {} s after the end of the traffic, while {runs_since} runs are at the minions",
                accepted.len(),
                FINISH.as_secs(),
            )),
        }
    }
}
