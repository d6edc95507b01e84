//! A kept job whose task twice runs on a minion that crashes.

use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::deployment::{Deployment, FIRST, job};

/// Work of the task: a few last several seconds.
const WORK_MS: u64 = 3_000;
/// Number of crashes, each of one of eight minions.
const CRASHES: usize = 2;
/// How long a minion that crashed stays away. The next one crashes only after it is back.
const OUTAGE: Duration = Duration::from_millis(1_200);
const ID: &str = "5c0e7a21d94b36f8";

pub(super) async fn play(deployment: &Deployment, trouble: bool) -> Verdict {
    let record = &deployment.record;
    let path = format!("{FIRST}{ID}");
    let phases = [json!({"count": 1, "cpu": 6200, "memMb": 64, "estimateMs": WORK_MS})];
    let job = job(&format!("work=0:{WORK_MS}"), false, &phases);
    let mut accepted = false;
    for _ in 0..5 {
        accepted = deployment.submit(0, &path, &job, 1_500).await.is_success();
        if accepted {
            break;
        }
        tokio::time::sleep(Duration::from_millis(1_300)).await;
    }
    if !accepted {
        return Verdict::NotRun;
    }
    for _ in 0..if trouble { CRASHES } else { 0 } {
        let mut victim = None;
        for _ in 0..200 {
            victim = deployment.minion_with(ID);
            if victim.is_some() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let Some(victim) = victim else {
            record.note("no minion runs the task".to_owned());
            break;
        };
        tokio::time::sleep(Duration::from_millis(500)).await;
        victim.crash();
        tokio::time::sleep(OUTAGE).await;
        if let Err(error) = victim.start() {
            record.note(format!("a minion can't start again: {error}"));
            return Verdict::NotRun;
        }
    }
    for attempt in 0..30u8 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let answer = deployment.get(attempt % 3, &path).await;
        let failed_ends = deployment
            .events
            .borrow()
            .iter()
            .filter(|e| e.what == "failed")
            .count();
        match answer.state() {
            "complete" => return Verdict::Held,
            "failed" | "canceled" => {
                record.note(format!(
                    "the job is shown as {}; {failed_ends} runs have ended failed",
                    answer.state()
                ));
                return Verdict::Broken;
            }
            _ => {}
        }
    }
    record.note("the job hasn't ended".to_owned());
    Verdict::Broken
}
