//! A kept job whose minions crash twice, by no fault of its own.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{Run, SEARCH, SMALL};
use crate::Verdict;
use crate::deployment::{Deployment, job, step};
use crate::minion::Minion;

const ID: &str = "5c0e7a21d94b36fa";
/// Task of the job at whose minions the platform's crashes happen.
const TASK: &str = "5c0e7a21d94b36fa.0.0.0";
/// Work of a task.
const WORK_MS: u64 = 6_000;
/// Time for which a task has run when its minion crashes.
const BEFORE_CRASH: Duration = Duration::from_millis(1_500);
/// Time after which another minion takes the place of one that crashed.
const DOWN: Duration = Duration::from_millis(4_500);
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that the job has in all.
const LONGEST: Duration = Duration::from_secs(60);

/// The minion that runs the task, once it has run there for a while.
fn host(deployment: &Deployment) -> Option<Arc<Minion>> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let mut minions = deployment.minions.iter();
        let host = minions.find(|minion| minion.runs().contains_key(TASK));
        if let Some(host) = host {
            thread::sleep(BEFORE_CRASH);
            if host.runs().contains_key(TASK) {
                return Some(Arc::clone(host));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

impl Run<'_> {
    pub fn crashed(&self) -> Verdict {
        let deployment = match self.deploy(SMALL) {
            Ok(deployment) => deployment,
            Err(verdict) => return verdict,
        };
        let body = job(
            &format!("work={WORK_MS}"),
            false,
            &[step(4, 6_200, WORK_MS)],
        );
        let path = format!("{SEARCH}{ID}");
        let reply = deployment.client(0, "POST", &path, "", &body, TIMEOUT);
        if reply.is_none_or(|reply| reply.status != 200) {
            return Verdict::NotRun("the job wasn't accepted".to_owned());
        }
        let mut restarts = Vec::new();
        for _ in 0..if self.trouble { 2 } else { 0 } {
            let Some(minion) = host(&deployment) else {
                break;
            };
            minion.crash();
            restarts.push(thread::spawn(move || {
                thread::sleep(DOWN);
                minion.start();
            }));
        }
        let until = Instant::now() + LONGEST;
        let state = loop {
            let reply = deployment.client(1, "GET", &path, "", "", TIMEOUT);
            let state = reply.and_then(|reply| Some(reply.body["state"].as_str()?.to_owned()));
            let state = state.unwrap_or_default();
            if matches!(state.as_str(), "complete" | "failed" | "canceled")
                || Instant::now() > until
            {
                break state;
            }
            thread::sleep(Duration::from_millis(500));
        };
        for restart in restarts {
            let _ = restart.join();
        }
        let events = deployment.minions.iter().flat_map(|minion| minion.events());
        let failed = events
            .filter(|event| event.task.starts_with(ID) && event.how == "failed")
            .count();
        self.record.note(format!(
            "the job is shown as {state:?}; ends `failed` of its runs: {failed}"
        ));
        match state.as_str() {
            "failed" | "canceled" => Verdict::Broken(format!(
                "LOST: an accepted job that nobody cancelled is shown as `{state}`, and {failed} of its runs have ended `failed`"
            )),
            "complete" => Verdict::Held,
            _ => Verdict::NotRun(format!("the job didn't end, its state is {state:?}")),
        }
    }
}
