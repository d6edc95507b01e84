//! State of the ledger and the operations on it.

use std::collections::BTreeSet;

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::limits::LedgerLimits;
use crate::message::{
    CancelReply, ClaimReply, ClaimRequest, EndRecord, PreviousClaim, SubmissionResult,
};
use crate::record::{Claim, Record, State, deadline_ms, result_bytes};
use crate::records::Records;

/// Knows which entries hold a configuration lease and so may still be running submissions that they
/// have claimed.
pub trait LiveEntries {
    /// Whether the entry holds a lease.
    fn is_live(&self, entry: Incarnation) -> bool;
}

/// All submissions that are open, or that have ended within the retention time.
///
/// Every keeper applies the same operations in the same order and with the same timestamps, and
/// therefore holds the same state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    limits: LedgerLimits,
    records: Records,
    expiry_queue: BTreeSet<(u64, SubmissionId)>,
    answer_bytes: usize,
}

/// A copy of the ledger at one moment. It can be encoded while the ledger continues to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    limits: LedgerLimits,
    records: Records,
}

impl From<LedgerSnapshot> for Ledger {
    fn from(snapshot: LedgerSnapshot) -> Self {
        let records = snapshot.records;
        let expiry_queue = records
            .iter()
            .map(|(submission, record)| (record.forget_at_ms, *submission))
            .collect();
        let answer_bytes = records
            .iter()
            .map(|(_, record)| record.answer_bytes())
            .sum();
        Self {
            limits: snapshot.limits,
            records,
            expiry_queue,
            answer_bytes,
        }
    }
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            records: Records::default(),
            expiry_queue: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    /// Number of stored submissions.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no submission is stored.
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// Takes a snapshot. This is cheap, independent of the number of submissions.
    pub fn snapshot(&self) -> LedgerSnapshot {
        LedgerSnapshot {
            limits: self.limits,
            records: self.records.clone(),
        }
    }

    /// Total size of the stored answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Handles a claim at time `now_ms`.
    pub fn claim(
        &mut self,
        now_ms: u64,
        request: &ClaimRequest,
        entries: &dyn LiveEntries,
    ) -> ClaimReply {
        let Some(record) = self.records.get_mut(&request.submission) else {
            return self.claim_first(now_ms, request);
        };
        let reply = match &mut record.state {
            _ if record.digest != request.digest => return ClaimReply::Conflict,
            State::Ended(result) => {
                return ended(request.submission, record.epoch, result.clone());
            }
            State::Released if record.cancelled => return ClaimReply::Cancelled,
            State::Released => grant_again(now_ms, record, request),
            State::Open(claim) if claim.owner == request.entry => repeat_grant(record, request),
            State::Open(claim) if is_busy(claim, now_ms, entries) => {
                return ClaimReply::Busy {
                    owner: claim.owner,
                    retry_after_ms: self.limits.retry_after_ms,
                };
            }
            State::Open(_) if record.cancelled => {
                record.state = State::Ended(SubmissionResult::Failed(FailureKind::Cancelled));
                ended(
                    request.submission,
                    record.epoch,
                    SubmissionResult::Failed(FailureKind::Cancelled),
                )
            }
            State::Open(claim) => {
                let fence = claim.all_agents();
                take_over(now_ms, record, request, fence)
            }
        };
        self.extend_expiry(request.submission, self.expiry_ms(now_ms, request));
        reply
    }

    fn claim_first(&mut self, now_ms: u64, request: &ClaimRequest) -> ClaimReply {
        if self.records.len() >= self.limits.max_records {
            return ClaimReply::Full;
        }
        let forget_at_ms = self.expiry_ms(now_ms, request);
        let record = Record::first(
            request,
            Claim::new(now_ms, request, Vec::new()),
            forget_at_ms,
        );
        let epoch = record.epoch;
        self.expiry_queue.insert((forget_at_ms, request.submission));
        self.records.insert(request.submission, record);
        ClaimReply::Granted {
            epoch,
            previous: None,
        }
    }

    /// Records the end of a submission at time `now_ms`. Ignored if the submission is not open, or
    /// if the epoch is not that of the latest claim.
    pub fn end(&mut self, now_ms: u64, end: EndRecord) {
        let Some(record) = self.records.get_mut(&end.submission) else {
            return;
        };
        match &record.state {
            State::Open(claim) if record.epoch == end.epoch => {
                let available_bytes = self.limits.max_answer_bytes - self.answer_bytes;
                record.state = end_state(claim, end.result, available_bytes);
            }
            _ => return,
        }
        self.answer_bytes += record.answer_bytes();
        assert!(
            self.answer_bytes <= self.limits.max_answer_bytes,
            "stored answers stay within the size limit"
        );
        let forget_at_ms = now_ms.saturating_add(self.limits.retention_ms);
        self.extend_expiry(end.submission, forget_at_ms);
    }

    /// Records a cancellation.
    pub fn cancel(&mut self, submission: SubmissionId) -> CancelReply {
        let Some(record) = self.records.get_mut(&submission) else {
            return CancelReply::Unknown;
        };
        match &record.state {
            State::Ended(result) => CancelReply::Ended(EndRecord {
                submission,
                epoch: record.epoch,
                result: result.clone(),
            }),
            State::Released => {
                record.cancelled = true;
                CancelReply::Recorded { owner: None }
            }
            State::Open(claim) => {
                let owner = claim.owner;
                record.cancelled = true;
                CancelReply::Recorded { owner: Some(owner) }
            }
        }
    }

    /// Returns the reply to a claim without making one, or `None` if the submission is unknown or
    /// could be claimed.
    pub fn lookup(
        &self,
        now_ms: u64,
        submission: SubmissionId,
        entries: &dyn LiveEntries,
    ) -> Option<ClaimReply> {
        let record = self.records.get(&submission)?;
        match &record.state {
            State::Ended(result) => Some(ended(submission, record.epoch, result.clone())),
            State::Released if record.cancelled => Some(ClaimReply::Cancelled),
            State::Released => None,
            State::Open(claim) if is_busy(claim, now_ms, entries) => Some(ClaimReply::Busy {
                owner: claim.owner,
                retry_after_ms: self.limits.retry_after_ms,
            }),
            State::Open(_) => None,
        }
    }

    /// Time of the next expiry of a submission, in milliseconds.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.expiry_queue.first().map(|(expiry_ms, _)| *expiry_ms)
    }

    /// Iterates over the cancelled submissions that are still open, with their owners.
    pub fn cancelled_open(&self) -> impl Iterator<Item = (SubmissionId, Incarnation)> {
        self.records
            .iter()
            .filter(|(_, record)| record.cancelled)
            .filter_map(|(submission, record)| match &record.state {
                State::Open(claim) => Some((*submission, claim.owner)),
                State::Ended(_) | State::Released => None,
            })
    }

    /// Removes up to `max_count` submissions that have expired at `now_ms`, and returns how many.
    pub fn expire(&mut self, now_ms: u64, max_count: usize) -> usize {
        let mut forgotten = 0;
        while forgotten < max_count
            && let Some((expiry_ms, submission)) = self.expiry_queue.first().copied()
            && expiry_ms <= now_ms
        {
            self.expiry_queue.pop_first();
            if let Some(record) = self.records.remove(&submission) {
                self.answer_bytes -= record.answer_bytes();
                forgotten += 1;
            }
        }
        assert_eq!(
            self.expiry_queue.len(),
            self.records.len(),
            "every stored submission has exactly one expiry time"
        );
        forgotten
    }

    fn expiry_ms(&self, now_ms: u64, request: &ClaimRequest) -> u64 {
        now_ms
            .saturating_add(deadline_ms(request))
            .saturating_add(self.limits.retention_ms)
    }

    /// Postpones the expiry of a submission. An earlier time is ignored.
    fn extend_expiry(&mut self, submission: SubmissionId, expiry_ms: u64) {
        let Some(record) = self.records.get_mut(&submission) else {
            return;
        };
        if expiry_ms <= record.forget_at_ms {
            return;
        }
        self.expiry_queue.remove(&(record.forget_at_ms, submission));
        record.forget_at_ms = expiry_ms;
        self.expiry_queue.insert((expiry_ms, submission));
    }
}

fn ended(submission: SubmissionId, epoch: Epoch, result: SubmissionResult) -> ClaimReply {
    ClaimReply::Ended(EndRecord {
        submission,
        epoch,
        result,
    })
}

/// Whether the owner may continue: it holds a lease and its deadline has not passed. Taking over is
/// safe at any time, because the new owner fences the agents of earlier owners.
fn is_busy(claim: &Claim, now_ms: u64, entries: &dyn LiveEntries) -> bool {
    now_ms < claim.busy_until_ms && entries.is_live(claim.owner)
}

/// Grants a released submission, for which no task has run.
fn grant_again(now_ms: u64, record: &mut Record, request: &ClaimRequest) -> ClaimReply {
    record.epoch = record.epoch.next();
    record.state = State::Open(Claim::new(now_ms, request, Vec::new()));
    ClaimReply::Granted {
        epoch: record.epoch,
        previous: None,
    }
}

/// Repeats the grant when the owner claims again, because the reply was lost or it needs further
/// agents.
fn repeat_grant(record: &mut Record, request: &ClaimRequest) -> ClaimReply {
    let State::Open(claim) = &mut record.state else {
        unreachable!("only an open submission has an owner");
    };
    claim.add_agents(&request.plan);
    ClaimReply::Granted {
        epoch: record.epoch,
        previous: previous_claim(&claim.fence),
    }
}

/// Makes the claiming entry the owner, in place of one that is no longer live or whose deadline has
/// passed.
fn take_over(
    now_ms: u64,
    record: &mut Record,
    request: &ClaimRequest,
    fence: Vec<Incarnation>,
) -> ClaimReply {
    let epoch = record.epoch.next();
    assert!(epoch > record.epoch, "a new owner has a higher epoch");
    record.epoch = epoch;
    let previous = previous_claim(&fence);
    record.state = State::Open(Claim::new(now_ms, request, fence));
    ClaimReply::Granted { epoch, previous }
}

fn previous_claim(fence: &[Incarnation]) -> Option<PreviousClaim> {
    match fence {
        [] => None,
        agents => Some(PreviousClaim {
            plan: agents.to_vec(),
        }),
    }
}

/// State of a submission after its owner has reported the end, with `available_bytes` left for
/// answers.
fn end_state(claim: &Claim, result: SubmissionResult, available_bytes: usize) -> State {
    match result {
        SubmissionResult::NotRun(..) => State::Released,
        result if result_bytes(&result) > available_bytes => {
            State::Ended(SubmissionResult::CompleteElsewhere {
                plan: claim.all_agents(),
            })
        }
        result => State::Ended(result),
    }
}
