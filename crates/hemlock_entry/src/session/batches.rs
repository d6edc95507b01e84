//! Claims and ends, many to a message.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hemlock_ledger::prelude::*;
use hemlock_router::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{KeeperReply, KeeperRequest};
use std::sync::Arc;
use tokio::sync::Semaphore;

use super::client::Shared;
use crate::inbox::post_event;

/// Most claims or ends in one message.
const BATCH_MAX: usize = 256;
/// Messages with claims that may be out at once; while as many are, the next claims gather.
const CLAIM_MESSAGES_MAX: usize = 3;
/// Time for the answer to claims, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// Time for the answer to ends, in milliseconds.
const END_TIMEOUT_MS: u64 = 2_000;
/// Pause before ends are sent again, in milliseconds.
const END_RETRY_MS: u64 = 100;

fn take_batch<T>(queue: &RefCell<VecDeque<T>>) -> Vec<T> {
    let mut queue = queue.borrow_mut();
    let count = queue.len().min(BATCH_MAX);
    queue.drain(..count).collect()
}

/// Sends claims as they come.
pub(super) async fn run_claims(shared: Rc<Shared>) {
    let free = Arc::new(Semaphore::new(CLAIM_MESSAGES_MAX));
    loop {
        let Ok(permit) = Arc::clone(&free).acquire_owned().await else {
            return;
        };
        while shared.claims.borrow().is_empty() {
            shared.claims_waiting.notified().await;
        }
        let claims = take_batch(&shared.claims);
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            send_claims(&shared, claims).await;
            drop(permit);
        });
    }
}

async fn send_claims(shared: &Shared, claims: Vec<(ClaimAttempt, ClaimRequest)>) {
    let named = |(attempt, claim): &(ClaimAttempt, ClaimRequest)| (claim.submission, *attempt);
    let names: Vec<(SubmissionId, ClaimAttempt)> = claims.iter().map(named).collect();
    let claims = claims.into_iter().map(|(_, claim)| claim).collect();
    let request = KeeperRequest::Claims(claims);
    let patience = Duration::from_millis(CLAIM_TIMEOUT_MS);
    let replies = match shared.call(&request, patience).await {
        Some(KeeperReply::Claims(replies)) if replies.len() == names.len() => replies,
        _ => {
            for name in names {
                post_event(&shared.inbox, claim_event(name, None));
            }
            return;
        }
    };
    for (name, reply) in names.into_iter().zip(replies) {
        post_event(&shared.inbox, claim_event(name, Some(reply)));
    }
}

fn claim_event(name: (SubmissionId, ClaimAttempt), reply: Option<ClaimReply>) -> Event {
    let (submission, attempt) = name;
    Event::ClaimAnswered {
        submission,
        attempt,
        reply,
    }
}

/// Sends ends until each is recorded. A repeated end changes nothing.
pub(super) async fn run_ends(shared: Rc<Shared>) {
    loop {
        while shared.ends.borrow().is_empty() {
            shared.ends_waiting.notified().await;
        }
        let ends: Vec<EndRecord> = shared
            .ends
            .borrow()
            .iter()
            .take(BATCH_MAX)
            .cloned()
            .collect();
        let count = ends.len();
        let request = KeeperRequest::Ends(ends);
        let patience = Duration::from_millis(END_TIMEOUT_MS);
        match shared.call(&request, patience).await {
            Some(KeeperReply::Done) => drop(shared.ends.borrow_mut().drain(..count)),
            _ => tokio::time::sleep(Duration::from_millis(END_RETRY_MS)).await,
        }
    }
}
