//! A best-effort job at a frontend that stands still for a while, whose client sends it again to
//! another frontend.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;

use crate::Verdict;
use crate::deployment::{Deployment, FIRST, Submitter, job};
use crate::proxy;

const ID: &str = "5c0e7a21d94b36f8";
const WORK_MS: u64 = 2_000;
/// Work of the tasks of other clients' jobs.
const OTHER_WORK_MS: u64 = 600;
/// Interval of other clients' jobs.
const OTHER_INTERVAL: Duration = Duration::from_millis(90);
/// How long the client means to wait for the job's end.
const WAIT_MS: u64 = 6_000;
/// Time from the first submission until the frontend stands still.
const FREEZE_AFTER: Duration = Duration::from_millis(300);
/// How long it stands still.
const FREEZE: Duration = Duration::from_millis(1_900);
/// Time from the first submission until the client's connection breaks.
const BREAK_AFTER_MS: u64 = 400;
/// `retransmitMs`.
const RETRANSMIT: Duration = Duration::from_millis(1_300);

pub(super) async fn play(deployment: &Deployment, trouble: bool) -> Verdict {
    let record = &deployment.record;
    let frozen: proxy::Frozen = Rc::new(Cell::new(false));
    let started = proxy::start(
        deployment.frontend(0),
        Rc::clone(&frozen),
        Rc::clone(record),
    );
    let Ok(ingress) = started.await else {
        return Verdict::NotRun;
    };
    let others = tokio::task::spawn_local(other_clients(deployment.submitter()));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let phases = [json!({"count": 8, "cpu": 6200, "memMb": 64, "estimateMs": WORK_MS})];
    let body = job(&format!("work=0:{WORK_MS}"), true, &phases);
    let path = format!("{FIRST}{ID}");
    let submitter = deployment.submitter();
    let client = tokio::task::spawn_local(async move {
        submitter
            .submit_and_break(ingress, &path, &body, WAIT_MS, BREAK_AFTER_MS)
            .await;
        tokio::time::sleep(RETRANSMIT).await;
        submitter.submit(1, &path, &body, WAIT_MS).await
    });
    tokio::time::sleep(FREEZE_AFTER).await;
    if deployment.minion_with(ID).is_none() {
        record.note("the job doesn't run".to_owned());
        return Verdict::NotRun;
    }
    if trouble {
        frozen.set(true);
        if !deployment.signal("gateway", 0, "STOP") {
            return Verdict::NotRun;
        }
    }
    tokio::time::sleep(FREEZE).await;
    if trouble {
        if !deployment.signal("gateway", 0, "CONT") {
            return Verdict::NotRun;
        }
        frozen.set(false);
    }
    let answer = client.await.unwrap_or_default();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    others.abort();
    record.note(format!("the client's last answer is {}", answer.status));
    match doubled_runs(deployment) {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Submits the jobs of other clients, which use some two thirds of the minions.
async fn other_clients(submitter: Submitter) {
    let submitter = Rc::new(submitter);
    let phases = [json!({"count": 8, "cpu": 6200, "memMb": 64, "estimateMs": OTHER_WORK_MS})];
    let body = job(&format!("work=0:{OTHER_WORK_MS}"), true, &phases);
    let mut callers = tokio::task::JoinSet::new();
    for number in 0u64.. {
        let (submitter, body) = (Rc::clone(&submitter), body.clone());
        callers.spawn_local(async move {
            let path = format!("{FIRST}d{number:015x}");
            let frontend = 1 + (number % 2) as u8;
            submitter.submit(frontend, &path, &body, 1_500).await
        });
        tokio::time::sleep(OTHER_INTERVAL).await;
    }
}

/// The number of starts of a task that was running at another minion.
fn doubled_runs(deployment: &Deployment) -> usize {
    let mut running: BTreeMap<(&str, usize), u64> = BTreeMap::new();
    let mut doubled = 0;
    let events = deployment.events.borrow();
    for event in events.iter().filter(|event| event.task.starts_with(ID)) {
        let task = event.task.as_str();
        match event.what {
            "start" => {
                let mut others = running.keys();
                let other = others.find(|(other, at)| *other == task && *at != event.minion);
                if let Some((_, at)) = other {
                    deployment.record.note(format!(
                        "{task} is started at minion {} at {} ms while it runs at minion {at}",
                        event.minion, event.at_ms
                    ));
                    doubled += 1;
                }
                running.insert((task, event.minion), event.run);
            }
            crate::minion::NOTED => {}
            _ => {
                running.remove(&(task, event.minion));
            }
        }
    }
    doubled
}
