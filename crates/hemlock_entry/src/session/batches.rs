//! Sends claims and ends to the keepers in batches.

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
const MAX_BATCH: usize = 256;
/// Most messages with claims that may be unanswered at once. Further claims are queued and share
/// the next message.
const MAX_CLAIM_MESSAGES: usize = 3;
/// Longest wait for the answer to claims, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// Longest wait for the answer to ends, in milliseconds.
const END_TIMEOUT_MS: u64 = 2_000;
/// Pause before ends are sent again, in milliseconds.
const END_RETRY_PAUSE_MS: u64 = 100;

fn take_batch<T>(queue: &RefCell<VecDeque<T>>) -> Vec<T> {
    let mut queue = queue.borrow_mut();
    let count = queue.len().min(MAX_BATCH);
    queue.drain(..count).collect()
}

/// Sends claims as they arrive.
pub(super) async fn run_claims(shared: Rc<Shared>) {
    let message_limit = Arc::new(Semaphore::new(MAX_CLAIM_MESSAGES));
    loop {
        let Ok(permit) = Arc::clone(&message_limit).acquire_owned().await else {
            return;
        };
        while shared.claims.borrow().is_empty() {
            shared.claim_queued.notified().await;
        }
        let claims = take_batch(&shared.claims);
        let (held, claims) = split_held_claims(&shared, claims);
        for (attempt, claim) in held {
            post_event(
                &shared.inbox,
                claim_event((claim.submission, attempt), None),
            );
        }
        if claims.is_empty() {
            continue;
        }
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            send_claims(&shared, claims).await;
            drop(permit);
        });
    }
}

type QueuedClaim = (ClaimAttempt, ClaimRequest);

/// Splits off the claims of submissions whose end is not recorded yet.
///
/// Such a claim must not overtake the end: the keepers would take it for a repeated claim of the
/// work that has ended, and grant it without a fence. It counts as failed and is made again later.
fn split_held_claims(
    shared: &Shared,
    claims: Vec<QueuedClaim>,
) -> (Vec<QueuedClaim>, Vec<QueuedClaim>) {
    let ends = shared.ends.borrow();
    claims
        .into_iter()
        .partition(|(_, claim)| ends.iter().any(|end| end.submission == claim.submission))
}

async fn send_claims(shared: &Shared, claims: Vec<(ClaimAttempt, ClaimRequest)>) {
    let id_of = |(attempt, claim): &(ClaimAttempt, ClaimRequest)| (claim.submission, *attempt);
    let ids: Vec<(SubmissionId, ClaimAttempt)> = claims.iter().map(id_of).collect();
    let claims = claims.into_iter().map(|(_, claim)| claim).collect();
    let request = KeeperRequest::Claims(claims);
    let timeout = Duration::from_millis(CLAIM_TIMEOUT_MS);
    let replies = match shared.call(&request, timeout).await {
        Some(KeeperReply::Claims(replies)) if replies.len() == ids.len() => replies,
        _ => {
            for id in ids {
                post_event(&shared.inbox, claim_event(id, None));
            }
            return;
        }
    };
    for (id, reply) in ids.into_iter().zip(replies) {
        post_event(&shared.inbox, claim_event(id, Some(reply)));
    }
}

fn claim_event(id: (SubmissionId, ClaimAttempt), reply: Option<ClaimReply>) -> Event {
    let (submission, attempt) = id;
    Event::ClaimAnswered {
        submission,
        attempt,
        reply,
    }
}

/// Sends each end until the keepers have recorded it. Recording an end again has no effect.
pub(super) async fn run_ends(shared: Rc<Shared>) {
    loop {
        while shared.ends.borrow().is_empty() {
            shared.end_queued.notified().await;
        }
        let ends: Vec<EndRecord> = shared
            .ends
            .borrow()
            .iter()
            .take(MAX_BATCH)
            .cloned()
            .collect();
        let count = ends.len();
        let request = KeeperRequest::Ends(ends);
        let timeout = Duration::from_millis(END_TIMEOUT_MS);
        match shared.call(&request, timeout).await {
            Some(KeeperReply::Done) => drop(shared.ends.borrow_mut().drain(..count)),
            _ => tokio::time::sleep(Duration::from_millis(END_RETRY_PAUSE_MS)).await,
        }
    }
}
