//! Kept jobs that wait for capacity that best-effort jobs use, and their queue's count.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use crate::Verdict;
use crate::deployment::{Deployment, FIRST, SECOND, job};

/// Large jobs that come in the usual traffic of four seconds.
const USUAL_LARGE_JOBS: u64 = 6;
/// Those that come in a burst of 1.8 times the usual traffic.
const BURST_LARGE_JOBS: u64 = 10;
const LARGE_WORK_MS: u64 = 10_500;
const KEPT_JOBS: u64 = 12;
/// `visible_ms` and 2 s more.
const COUNTED_AFTER_MS: u64 = 5_000;

pub(super) async fn play(deployment: &Deployment, trouble: bool) -> Verdict {
    let record = &deployment.record;
    let large_jobs = match trouble {
        true => BURST_LARGE_JOBS,
        false => USUAL_LARGE_JOBS,
    };
    let mut callers = JoinSet::new();
    let phases = [json!({"count": 8, "cpu": 6200, "memMb": 64, "estimateMs": LARGE_WORK_MS})];
    let large = job(&format!("work=0:{LARGE_WORK_MS}"), true, &phases);
    for number in 0..large_jobs {
        let path = format!("{FIRST}b{number:015x}");
        let (submitter, large) = (deployment.submitter(), large.clone());
        callers.spawn_local(async move {
            submitter
                .submit((number % 3) as u8, &path, &large, LARGE_WORK_MS + 4_000)
                .await
        });
        tokio::time::sleep(Duration::from_millis(4_000 / large_jobs)).await;
    }
    let mut accepted = BTreeSet::new();
    for number in 0..KEPT_JOBS {
        let id = format!("c{number:015x}");
        let phases = [json!({"count": 1, "cpu": 6200, "memMb": 64, "estimateMs": 200})];
        let kept = job("work=0:200", false, &phases);
        let path = format!("{SECOND}{id}");
        if deployment
            .submit((number % 3) as u8, &path, &kept, 1_500)
            .await
            .is_success()
        {
            accepted.insert(id);
        }
    }
    let accepted_at_ms = record.now_ms();
    record.note(format!("{} kept jobs were accepted", accepted.len()));
    if accepted.is_empty() {
        return Verdict::NotRun;
    }
    let mut broken = 0;
    // One reading may be 2 s old; three in a row, 300 ms apart, are taken.
    tokio::time::sleep(Duration::from_millis(COUNTED_AFTER_MS + 200)).await;
    for reading in 0..3u8 {
        let answer = deployment.get(reading, SECOND).await;
        let waiting = {
            let events = deployment.events.borrow();
            let begun: BTreeSet<&str> = events.iter().map(|event| &event.task[..16]).collect();
            accepted
                .iter()
                .filter(|id| !begun.contains(id.as_str()))
                .count() as u64
        };
        let age_ms = record.now_ms() - accepted_at_ms;
        let count = answer.body["queuedCount"].as_u64();
        record.note(format!(
            "{waiting} kept jobs that were accepted {age_ms} ms before or earlier haven't begun; \
             queuedCount is {count:?}"
        ));
        broken += u8::from(count.is_some_and(|count| count * 2 < waiting));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    while callers.join_next().await.is_some() {}
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for id in &accepted {
        deployment.get(0, &format!("{SECOND}{id}")).await;
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
