//! A best-effort job that is cancelled at another gateway than the one that runs it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::{Run, SEARCH, SMALL};
use crate::Verdict;
use crate::deployment::{job, step};

const ID: &str = "5c0e7a21d94b36fa";
/// Steps of the job, one after another, with one task each.
const STEPS: u64 = 10;
const WORK_MS: u64 = 900;
/// Time for which the client waits for the job's end.
const WAIT: Duration = Duration::from_secs(12);
/// Time after which the client cancels the job.
const CANCEL_AFTER: Duration = Duration::from_millis(700);
/// Bounds of the rule, `cancel_ms` and `stopTimeoutMs`.
const CANCEL_MS: u64 = 3_000;
const STOP_MS: u64 = 50;
const TIMEOUT: Duration = Duration::from_millis(1_500);

impl Run<'_> {
    pub fn abandoned(&self) -> Verdict {
        let deployment = match self.deploy(SMALL) {
            Ok(deployment) => Arc::new(deployment),
            Err(verdict) => return verdict,
        };
        let mut steps = vec![step(1, 6_200, WORK_MS)];
        for earlier in 0..STEPS - 1 {
            steps.push(json!({"count": 1, "cpu": 6_200, "memMb": 256, "estimateMs": WORK_MS, "dependsOn": [earlier]}));
        }
        let body = job(&format!("work={WORK_MS}"), true, &steps);
        let path = format!("{SEARCH}{ID}");
        let client = {
            let (deployment, path) = (Arc::clone(&deployment), path.clone());
            thread::spawn(move || {
                let deadline = format!("X-Deadline-Ms: {}\r\n", WAIT.as_millis());
                deployment.client(0, "POST", &path, &deadline, &body, WAIT)
            })
        };
        thread::sleep(CANCEL_AFTER);
        // Without the disruption, the request reaches the gateway that runs the job.
        let gateway = usize::from(self.trouble);
        let reply = deployment.client(gateway, "DELETE", &path, "", "", TIMEOUT);
        let Some(status) = reply
            .map(|reply| reply.status)
            .filter(|s| matches!(s, 200 | 410))
        else {
            return Verdict::NotRun("the cancelling isn't acknowledged".to_owned());
        };
        let canceled_ms = self.record.now_ms();
        let _ = client.join();
        thread::sleep(Duration::from_millis(500));
        let events = deployment.minions.iter().flat_map(|minion| minion.events());
        let events: Vec<_> = events.filter(|event| event.task.starts_with(ID)).collect();
        let started = events
            .iter()
            .filter(|e| e.started_ms > canceled_ms + CANCEL_MS)
            .count();
        let running = events
            .iter()
            .filter(|e| {
                e.ended_ms
                    .is_none_or(|end| end > canceled_ms + CANCEL_MS + STOP_MS)
            })
            .count();
        self.record.note(format!(
            "cancelled with {status}; {started} tasks started and {running} ran later than allowed"
        ));
        match started + running {
            0 => Verdict::Held,
            _ => Verdict::Broken(format!(
                "UNASKED: {started} tasks start over 3 s after the job's cancelling was acknowledged with {status}, and {running} run on"
            )),
        }
    }
}
