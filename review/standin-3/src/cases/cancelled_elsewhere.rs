//! A best-effort job whose first connection breaks, so that it is sent again to another frontend, and
//! which is then cancelled at the client's usual frontend.

use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::deployment::{Deployment, FIRST, job};
use crate::minion::NOTED;

const ID: &str = "5c0e7a21d94b36f8";
/// Work of each of the tasks, which run one after the other.
const WORK_MS: u64 = 2_500;
/// The frontend to which the client's connections usually go.
const HOME: u8 = 0;
/// The frontend that the retry reaches.
const OTHER: u8 = 1;
/// How long the client waits for the job's end.
const WAIT_MS: u64 = 12_000;
/// Time after which the client's first connection breaks.
const BREAK_AFTER_MS: u64 = 100;
/// `retransmitMs`.
const RETRANSMIT: Duration = Duration::from_millis(1_300);
/// `cancel_ms`.
const CANCEL_MS: u64 = 3_000;
/// `stopTimeoutMs`.
const STOP_MS: u64 = 50;

pub(super) async fn play(deployment: &Deployment, trouble: bool) -> Verdict {
    let record = &deployment.record;
    let path = format!("{FIRST}{ID}");
    let step = |depends_on: &[u16]| {
        json!({"count": 1, "cpu": 6200, "memMb": 64, "estimateMs": WORK_MS,
               "dependsOn": depends_on})
    };
    let body = job(
        &format!("work=0:{WORK_MS},1:{WORK_MS},2:{WORK_MS}"),
        true,
        &[step(&[]), step(&[0]), step(&[1])],
    );
    let first = deployment
        .submit_and_break(HOME, &path, &body, WAIT_MS, BREAK_AFTER_MS)
        .await;
    if first.status != 0 {
        record.note("the first attempt is answered".to_owned());
        return Verdict::NotRun;
    }
    tokio::time::sleep(RETRANSMIT).await;
    let submitter = deployment.submitter();
    let submitted = {
        let path = path.clone();
        tokio::task::spawn_local(
            async move { submitter.submit(OTHER, &path, &body, WAIT_MS).await },
        )
    };
    tokio::time::sleep(Duration::from_millis(700)).await;
    if deployment.minion_with(ID).is_none() {
        record.note("the job doesn't run".to_owned());
        return Verdict::NotRun;
    }
    if !trouble {
        let answer = submitted.await.unwrap_or_default();
        return match answer.state() {
            "complete" => Verdict::Held,
            _ => Verdict::Broken,
        };
    }
    let answer = deployment.cancel(HOME, &path).await;
    if !answer.is_success() && answer.status != 410 {
        record.note("the cancel isn't acknowledged".to_owned());
        return Verdict::NotRun;
    }
    let acked_at_ms = record.now_ms();
    tokio::time::sleep(Duration::from_millis(9_000)).await;
    let mut broken = false;
    for event in deployment
        .events
        .borrow()
        .iter()
        .filter(|e| e.task.starts_with(ID))
    {
        let after_ms = event.at_ms.saturating_sub(acked_at_ms);
        let limit_ms = match event.what {
            NOTED => continue,
            "start" => CANCEL_MS,
            _ => CANCEL_MS + STOP_MS,
        };
        if event.at_ms > acked_at_ms + limit_ms {
            record.note(format!(
                "{} {} run {} {after_ms} ms after the cancel was acknowledged",
                event.what, event.task, event.run
            ));
            broken = true;
        }
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
