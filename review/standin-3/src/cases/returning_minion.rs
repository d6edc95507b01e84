//! Kept jobs that wait for a minion which has crashed and comes back.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::deployment::{Deployment, FIRST, job};
use crate::minion::NOTED;

/// Crashes of one of eight minions, one after the other.
const ROUNDS: u64 = 16;
const WORK_MS: u64 = 30;
const OUTAGE_MS: u64 = 1_000;

pub(super) async fn play(deployment: &Deployment, trouble: bool) -> Verdict {
    let record = &deployment.record;
    let labelled = deployment
        .minions
        .iter()
        .find(|minion| minion.kind.labels[0] == "b");
    let Some(minion) = labelled else {
        return Verdict::NotRun;
    };
    let phases = [
        json!({"count": 4, "cpu": 6200, "memMb": 64, "estimateMs": WORK_MS,
                         "constraints": "b"}),
    ];
    let body = job(&format!("work=0:{WORK_MS}"), false, &phases);
    for round in 0..ROUNDS {
        let path = format!("{FIRST}1{round:015x}");
        if !deployment.submit(0, &path, &body, 1_500).await.is_success() {
            return Verdict::NotRun;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        if trouble {
            minion.crash();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // This job waits until the minion is back.
        let path = format!("{FIRST}2{round:015x}");
        deployment.submit(1, &path, &body, 1_500).await;
        if trouble {
            // The outages differ a little, as those of real crashes do.
            tokio::time::sleep(Duration::from_millis(OUTAGE_MS + round * 37)).await;
            if let Err(error) = minion.start() {
                record.note(format!("the minion can't start again: {error}"));
                return Verdict::NotRun;
            }
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
        if repeated_successes(deployment) > 0 {
            return Verdict::Broken;
        }
    }
    Verdict::Held
}

/// The number of starts after a run of the same task has ended `done`, where that end has been
/// taken note of by now.
fn repeated_successes(deployment: &Deployment) -> usize {
    let events = deployment.events.borrow();
    let noted: BTreeSet<(&str, u64)> = events
        .iter()
        .filter(|event| event.what == NOTED)
        .map(|event| (event.task.as_str(), event.run))
        .collect();
    let mut succeeded: BTreeSet<&str> = BTreeSet::new();
    let mut repeated = 0;
    for event in events.iter() {
        match event.what {
            "done" if noted.contains(&(event.task.as_str(), event.run)) => {
                succeeded.insert(&event.task);
            }
            "start" if succeeded.contains(event.task.as_str()) => {
                deployment.record.note(format!(
                    "{} is started as run {} at {} ms, after a success that was taken note of",
                    event.task, event.run, event.at_ms
                ));
                repeated += 1;
            }
            _ => {}
        }
    }
    repeated
}
