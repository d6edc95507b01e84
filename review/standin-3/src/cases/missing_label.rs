//! A kept job whose second step needs a label that no minion has any more, and kept jobs that are
//! accepted after it.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::deployment::{Deployment, FIRST, job};

const BLOCKED_ID: &str = "5c0e7a21d94b36f8";
/// Tasks of the step that can't run: a quarter of the largest jobs.
const BLOCKED_TASKS: u32 = 60;
/// A job that is handed in after the check, so that the leader places waiting tasks again.
const LAST_ID: &str = "a0000000000000ff";
/// Jobs that every minion can run.
const LATER_JOBS: u64 = 12;
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job must have had nothing running.
const IDLE_MS: u64 = 3_000;

pub(super) async fn play(deployment: &Deployment, trouble: bool) -> Verdict {
    let record = &deployment.record;
    let phases = [
        json!({"count": 1, "cpu": 6200, "memMb": 64, "estimateMs": 900, "constraints": "a"}),
        json!({"count": BLOCKED_TASKS, "cpu": 1000, "memMb": 64, "estimateMs": 60,
               "constraints": "b", "dependsOn": [0]}),
    ];
    let blocked = job("work=0:900,1:60", false, &phases);
    let path = format!("{FIRST}{BLOCKED_ID}");
    if !deployment
        .submit(0, &path, &blocked, 1_500)
        .await
        .is_success()
    {
        return Verdict::NotRun;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    if trouble {
        let labelled = deployment
            .minions
            .iter()
            .filter(|m| m.kind.labels[0] == "b");
        labelled.for_each(|minion| minion.crash());
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut accepted = Vec::new();
    for number in 0..LATER_JOBS {
        let id = format!("a{number:015x}");
        let phases = [json!({"count": 2, "cpu": 6200, "memMb": 64, "estimateMs": 200})];
        let later = job("work=0:200", false, &phases);
        let path = format!("{FIRST}{id}");
        let frontend = (number % 3) as u8;
        if deployment
            .submit(frontend, &path, &later, 1_500)
            .await
            .is_success()
        {
            accepted.push(id);
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    record.note(format!(
        "end of the traffic; {} later jobs were accepted",
        accepted.len()
    ));
    if accepted.is_empty() {
        return Verdict::NotRun;
    }
    tokio::time::sleep(FINISH).await;
    let now_ms = record.now_ms();
    let running: usize = deployment.minions.iter().map(|m| m.running().len()).sum();
    record.note(format!("{running} tasks run on all minions"));
    let recent: BTreeSet<String> = {
        let events = deployment.events.borrow();
        let recent = events
            .iter()
            .filter(|event| event.at_ms + IDLE_MS >= now_ms);
        recent.map(|event| event.task[..16].to_owned()).collect()
    };
    let mut starved = 0;
    for id in &accepted {
        let answer = deployment.get(0, &format!("{FIRST}{id}")).await;
        let is_running = deployment.minion_with(id).is_some();
        let is_open = !matches!(answer.state(), "complete" | "failed" | "canceled");
        // Seven minions of 64 cores are there, of which the job needs 12.4.
        starved += usize::from(is_open && !is_running && !recent.contains(id));
    }
    record.note(format!(
        "{starved} of {} accepted jobs have had nothing running for 3 s, with {running} tasks \
         running on seven minions",
        accepted.len()
    ));
    // Not part of the check: shows what the jobs waited for.
    if starved > 0 {
        deployment.cancel(0, &path).await;
        let phases = [json!({"count": 1, "cpu": 6200, "memMb": 64, "estimateMs": 200})];
        let last = job("work=0:200", false, &phases);
        let path = format!("{FIRST}{LAST_ID}");
        deployment.submit(0, &path, &last, 1_500).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        for id in &accepted {
            deployment.get(0, &format!("{FIRST}{id}")).await;
        }
    }
    match starved {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
