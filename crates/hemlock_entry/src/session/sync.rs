//! Reports to the leading keeper. Each answer carries the changes since the previous one.

use std::rc::Rc;
use std::time::Duration;

use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{EntrySync, KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::sync::oneshot;

use super::client::Shared;
use crate::inbox::{Input, post, post_event};

/// How long a keeper may delay its answer while nothing has changed, in milliseconds.
const MAX_ANSWER_DELAY_MS: u64 = 1_000;
/// Time beyond that delay after which the keeper counts as unresponsive, in milliseconds.
const ANSWER_GRACE_MS: u64 = 1_500;
/// Shortest time between two reports, in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 20;

/// Sends reports over one connection until the keeper becomes unresponsive or does not lead.
pub(super) async fn run_sync(shared: &Rc<Shared>, link: Link) {
    loop {
        let Some((sent, request)) = next_report(shared).await else {
            return;
        };
        let mut answer =
            tokio::task::spawn_local(send_report(Rc::clone(shared), link.clone(), sent, request));
        tokio::select! {
            keep_connection = &mut answer => if !keep_connection.unwrap_or(false) {
                return;
            },
            // The keeper answers the outstanding report as soon as a newer one arrives; the spawned
            // task handles that answer.
            () = early_report_due(shared) => {}
        }
    }
}

/// Sends one report and handles its answer. Returns `false` if another keeper must be tried.
async fn send_report(
    shared: Rc<Shared>,
    link: Link,
    sent: Instant,
    request: KeeperRequest,
) -> bool {
    let answer = call_keeper(&shared, &link, &request);
    handle_answer(&shared, sent, answer).await
}

/// Waits for the shortest time between reports, then for a signal that the demand has changed.
async fn early_report_due(shared: &Shared) {
    tokio::time::sleep(Duration::from_millis(MIN_REPORT_INTERVAL_MS)).await;
    shared.sync_soon.notified().await;
}

async fn next_report(shared: &Shared) -> Option<(Instant, KeeperRequest)> {
    if shared.left.get() {
        return None;
    }
    let (reply, report) = oneshot::channel();
    post(&shared.inbox, Input::Report(reply));
    let report = report.await.ok()?;
    let leaving = shared.leaving.get();
    let wait_ms = match leaving || !report.has_lease {
        true => 0,
        false => MAX_ANSWER_DELAY_MS,
    };
    let sync = EntrySync {
        entry: shared.identity.incarnation,
        domain: shared.domain.clone(),
        config: report.config,
        directory: report.directory,
        demand: report.demand,
        shares_seen: report.shares_seen,
        wait_ms,
        leaving,
    };
    Some((report.sent, KeeperRequest::EntrySync(sync)))
}

async fn call_keeper(shared: &Shared, link: &Link, request: &KeeperRequest) -> Option<KeeperReply> {
    let timeout = Duration::from_millis(MAX_ANSWER_DELAY_MS + ANSWER_GRACE_MS);
    let answer = tokio::time::timeout(timeout, link.call(request)).await;
    match answer {
        Ok(Ok(KeeperReply::NotLeader { leader })) => {
            shared.select_keeper(leader);
            None
        }
        Ok(Ok(KeeperReply::Unavailable)) => {
            tokio::time::sleep(Duration::from_millis(MIN_REPORT_INTERVAL_MS)).await;
            Some(KeeperReply::Unavailable)
        }
        Ok(Ok(KeeperReply::Done)) if is_leaving(request) => {
            shared.left.set(true);
            Some(KeeperReply::Done)
        }
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(_)) | Err(_) => {
            shared.select_keeper(None);
            None
        }
    }
}

fn is_leaving(request: &KeeperRequest) -> bool {
    matches!(request, KeeperRequest::EntrySync(report) if report.leaving)
}

/// Passes the update to the control thread. Returns `false` if another keeper must be tried.
async fn handle_answer(
    shared: &Shared,
    sent: Instant,
    answer: impl Future<Output = Option<KeeperReply>>,
) -> bool {
    let started = tokio::time::Instant::now();
    let keep_connection = match answer.await {
        Some(KeeperReply::EntrySync {
            lease_ms,
            config,
            directory,
            shares,
            shares_seq,
            cancelled,
            keepers,
        }) => {
            add_keepers(shared, &keepers);
            let update = SyncUpdate {
                sent,
                lease_ms,
                config,
                directory,
                shares,
                shares_seq,
                cancelled,
            };
            post_event(&shared.inbox, Event::Synced(Box::new(update)));
            true
        }
        // The entry is leaving, or a newer report has replaced this one.
        Some(KeeperReply::Done) => true,
        Some(KeeperReply::Unavailable) => {
            shared.select_keeper(None);
            false
        }
        Some(_) | None => false,
    };
    let pause = Duration::from_millis(MIN_REPORT_INTERVAL_MS);
    tokio::time::sleep_until(started + pause).await;
    keep_connection
}

fn add_keepers(shared: &Shared, keepers: &[std::net::SocketAddr]) {
    let mut known = shared.keepers.borrow_mut();
    for keeper in keepers {
        if !known.contains(keeper) {
            known.push_back(*keeper);
        }
    }
}
