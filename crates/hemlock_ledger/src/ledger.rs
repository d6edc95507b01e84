//! The ledger's state and the changes it takes.

use std::collections::BTreeSet;

use hemlock_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::limits::LedgerLimits;
use crate::message::{
    CancelReply, ClaimReply, ClaimRequest, EndRecord, PreviousClaim, SubmissionResult,
};
use crate::record::{Claim, Record, State, deadline_ms, result_bytes};
use crate::records::Records;

/// Tells which entries hold a configuration lease, and so may still be running what they claimed.
pub trait LiveEntries {
    /// Whether the entry is alive.
    fn is_live(&self, entry: Incarnation) -> bool;
}

/// Every submission that is open or remembered.
///
/// Every keeper applies the same changes in the same order, with the same time in milliseconds,
/// and so holds the same state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    limits: LedgerLimits,
    records: Records,
    forget: BTreeSet<(u64, SubmissionId)>,
    answer_bytes: usize,
}

/// A ledger at one moment, to be written down while the ledger itself goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    limits: LedgerLimits,
    records: Records,
}

impl From<LedgerSnapshot> for Ledger {
    fn from(snapshot: LedgerSnapshot) -> Self {
        let records = snapshot.records;
        let forget = records
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
            forget,
            answer_bytes,
        }
    }
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            limits,
            records: Records::default(),
            forget: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    /// Number of submissions held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// The ledger as it is now. Takes little time however much it holds.
    pub fn snapshot(&self) -> LedgerSnapshot {
        LedgerSnapshot {
            limits: self.limits,
            records: self.records.clone(),
        }
    }

    /// Bytes of answers held.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Takes a claim at `now_ms`.
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
                adopt(now_ms, record, request, fence)
            }
        };
        self.remember_until(request.submission, self.forget_after(now_ms, request));
        reply
    }

    fn claim_first(&mut self, now_ms: u64, request: &ClaimRequest) -> ClaimReply {
        if self.records.len() >= self.limits.max_records {
            return ClaimReply::Full;
        }
        let forget_at_ms = self.forget_after(now_ms, request);
        let record = Record::first(
            request,
            Claim::new(now_ms, request, Vec::new()),
            forget_at_ms,
        );
        let epoch = record.epoch;
        self.forget.insert((forget_at_ms, request.submission));
        self.records.insert(request.submission, record);
        ClaimReply::Granted {
            epoch,
            previous: None,
        }
    }

    /// Takes the end of a submission at `now_ms`. A report of another epoch than the latest
    /// claim's, or after the end, changes nothing.
    pub fn end(&mut self, now_ms: u64, end: EndRecord) {
        let Some(record) = self.records.get_mut(&end.submission) else {
            return;
        };
        match &record.state {
            State::Open(claim) if record.epoch == end.epoch => {
                let room = self.limits.max_answer_bytes - self.answer_bytes;
                record.state = end_state(claim, end.result, room);
            }
            _ => return,
        }
        self.answer_bytes += record.answer_bytes();
        assert!(
            self.answer_bytes <= self.limits.max_answer_bytes,
            "answers held stay within their bound"
        );
        let forget_at_ms = now_ms.saturating_add(self.limits.retention_ms);
        self.remember_until(end.submission, forget_at_ms);
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

    /// What a claim would find, without claiming; `None` when the submission is unknown.
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

    /// When the next submission is due to be forgotten, in milliseconds.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.forget.first().map(|(at_ms, _)| *at_ms)
    }

    /// Every open submission that was cancelled, with its owner.
    pub fn cancelled_open(&self) -> impl Iterator<Item = (SubmissionId, Incarnation)> {
        self.records
            .iter()
            .filter(|(_, record)| record.cancelled)
            .filter_map(|(submission, record)| match &record.state {
                State::Open(claim) => Some((*submission, claim.owner)),
                State::Ended(_) | State::Released => None,
            })
    }

    /// Forgets submissions whose time is over at `now_ms`, `most` at once, and returns how many.
    pub fn expire(&mut self, now_ms: u64, most: usize) -> usize {
        let mut forgotten = 0;
        while forgotten < most
            && let Some((at_ms, submission)) = self.forget.first().copied()
            && at_ms <= now_ms
        {
            self.forget.pop_first();
            if let Some(record) = self.records.remove(&submission) {
                self.answer_bytes -= record.answer_bytes();
                forgotten += 1;
            }
        }
        assert_eq!(
            self.forget.len(),
            self.records.len(),
            "every submission held has one time at which it is forgotten"
        );
        forgotten
    }

    fn forget_after(&self, now_ms: u64, request: &ClaimRequest) -> u64 {
        now_ms
            .saturating_add(deadline_ms(request))
            .saturating_add(self.limits.retention_ms)
    }

    /// Moves the time at which a submission is forgotten, never to an earlier one.
    fn remember_until(&mut self, submission: SubmissionId, at_ms: u64) {
        let Some(record) = self.records.get_mut(&submission) else {
            return;
        };
        if at_ms <= record.forget_at_ms {
            return;
        }
        self.forget.remove(&(record.forget_at_ms, submission));
        record.forget_at_ms = at_ms;
        self.forget.insert((at_ms, submission));
    }
}

fn ended(submission: SubmissionId, epoch: Epoch, result: SubmissionResult) -> ClaimReply {
    ClaimReply::Ended(EndRecord {
        submission,
        epoch,
        result,
    })
}

/// Whether the owner is left to finish: it is alive and its deadline has not passed. Taking over
/// is safe at any time, because the new owner fences the agents of the earlier ones.
fn is_busy(claim: &Claim, now_ms: u64, entries: &dyn LiveEntries) -> bool {
    now_ms < claim.busy_until_ms && entries.is_live(claim.owner)
}

/// Grants a submission of which nothing has run so far.
fn grant_again(now_ms: u64, record: &mut Record, request: &ClaimRequest) -> ClaimReply {
    record.epoch = record.epoch.next();
    record.state = State::Open(Claim::new(now_ms, request, Vec::new()));
    ClaimReply::Granted {
        epoch: record.epoch,
        previous: None,
    }
}

/// Answers an owner that asks again, because the answer was lost or it needs further agents.
fn repeat_grant(record: &mut Record, request: &ClaimRequest) -> ClaimReply {
    let State::Open(claim) = &mut record.state else {
        unreachable!("only an open submission has an owner");
    };
    claim.widen(&request.plan);
    ClaimReply::Granted {
        epoch: record.epoch,
        previous: previous(&claim.fence),
    }
}

/// Makes the asking entry the owner in place of one that is gone.
fn adopt(
    now_ms: u64,
    record: &mut Record,
    request: &ClaimRequest,
    fence: Vec<Incarnation>,
) -> ClaimReply {
    let epoch = record.epoch.next();
    assert!(epoch > record.epoch, "a new owner has a higher epoch");
    record.epoch = epoch;
    let previous = previous(&fence);
    record.state = State::Open(Claim::new(now_ms, request, fence));
    ClaimReply::Granted { epoch, previous }
}

fn previous(fence: &[Incarnation]) -> Option<PreviousClaim> {
    match fence {
        [] => None,
        agents => Some(PreviousClaim {
            plan: agents.to_vec(),
        }),
    }
}

/// Where a submission stands after its owner's report, with `room` bytes left for answers.
fn end_state(claim: &Claim, result: SubmissionResult, room: usize) -> State {
    match result {
        SubmissionResult::NotRun(..) => State::Released,
        result if result_bytes(&result) > room => {
            State::Ended(SubmissionResult::CompleteElsewhere {
                plan: claim.all_agents(),
            })
        }
        result => State::Ended(result),
    }
}
