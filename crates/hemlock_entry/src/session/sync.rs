//! Reports to the leading keeper, each answered with what is new.

use std::rc::Rc;
use std::time::Duration;

use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{EntrySync, KeeperReply, KeeperRequest};
use hemlock_wire::prelude::*;
use tokio::sync::oneshot;

use super::client::Shared;
use crate::inbox::{Input, post, post_event};

/// How long a keeper may hold an answer back, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Time past that after which the keeper counts as silent, in milliseconds.
const ANSWER_GRACE_MS: u64 = 1_500;
/// Shortest time between two reports, in milliseconds.
const REPORT_PAUSE_MS: u64 = 20;

/// Reports over one connection until the keeper falls silent or doesn't lead.
pub(super) async fn run_sync(shared: &Rc<Shared>, link: Link) {
    loop {
        let Some((sent, request)) = next_report(shared).await else {
            return;
        };
        let mut answer = tokio::task::spawn_local(exchange_report(
            Rc::clone(shared),
            link.clone(),
            sent,
            request,
        ));
        tokio::select! {
            goes_on = &mut answer => if !goes_on.unwrap_or(false) {
                return;
            },
            // The keeper answers an older report as soon as a newer one arrives; the task of the
            // older one takes that answer.
            () = soon(shared) => {}
        }
    }
}

/// Sends one report and passes the news on; `false` when another keeper has to be asked.
async fn exchange_report(
    shared: Rc<Shared>,
    link: Link,
    sent: Instant,
    request: KeeperRequest,
) -> bool {
    let answer = exchange(&shared, &link, &request);
    take_answer(&shared, sent, answer).await
}

/// Returns when demand has changed much, at the soonest after the pause between reports.
async fn soon(shared: &Shared) {
    tokio::time::sleep(Duration::from_millis(REPORT_PAUSE_MS)).await;
    shared.sync_soon.notified().await;
}

async fn next_report(shared: &Shared) -> Option<(Instant, KeeperRequest)> {
    if shared.left.get() {
        return None;
    }
    let (answer, report) = oneshot::channel();
    post(&shared.inbox, Input::Report(answer));
    let report = report.await.ok()?;
    let leaving = shared.leaving.get();
    let wait_ms = match leaving || !report.has_lease {
        true => 0,
        false => WAIT_MS,
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

async fn exchange(shared: &Shared, link: &Link, request: &KeeperRequest) -> Option<KeeperReply> {
    let patience = Duration::from_millis(WAIT_MS + ANSWER_GRACE_MS);
    let answer = tokio::time::timeout(patience, link.call(request)).await;
    match answer {
        Ok(Ok(KeeperReply::NotLeader { leader })) => {
            shared.prefer(leader);
            None
        }
        Ok(Ok(KeeperReply::Unavailable)) => {
            tokio::time::sleep(Duration::from_millis(REPORT_PAUSE_MS)).await;
            Some(KeeperReply::Unavailable)
        }
        Ok(Ok(KeeperReply::Done)) if is_leaving(request) => {
            shared.left.set(true);
            Some(KeeperReply::Done)
        }
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(_)) | Err(_) => {
            shared.prefer(None);
            None
        }
    }
}

fn is_leaving(request: &KeeperRequest) -> bool {
    matches!(request, KeeperRequest::EntrySync(report) if report.leaving)
}

/// Passes the news on; `false` when another keeper has to be asked.
async fn take_answer(
    shared: &Shared,
    sent: Instant,
    answer: impl Future<Output = Option<KeeperReply>>,
) -> bool {
    let started = tokio::time::Instant::now();
    let goes_on = match answer.await {
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
            let news = SyncUpdate {
                sent,
                lease_ms,
                config,
                directory,
                shares,
                shares_seq,
                cancelled,
            };
            post_event(&shared.inbox, Event::Synced(Box::new(news)));
            true
        }
        // The answer to an entry that is leaving, or to a report that a newer one has replaced.
        Some(KeeperReply::Done) => true,
        Some(KeeperReply::Unavailable) => {
            shared.prefer(None);
            false
        }
        Some(_) | None => false,
    };
    let pause = Duration::from_millis(REPORT_PAUSE_MS);
    tokio::time::sleep_until(started + pause).await;
    goes_on
}

fn add_keepers(shared: &Shared, keepers: &[std::net::SocketAddr]) {
    let mut known = shared.keepers.borrow_mut();
    for keeper in keepers {
        if !known.contains(keeper) {
            known.push_back(*keeper);
        }
    }
}
