//! A simplified ledger that holds one record per submission.

use std::collections::{BTreeSet, HashMap};

use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;

#[derive(Debug)]
struct Record {
    digest: Digest,
    epoch: Epoch,
    owner: Option<Incarnation>,
    plan: BTreeSet<Incarnation>,
    ended: Option<EndRecord>,
}

/// The records of all submissions.
#[derive(Debug, Default)]
pub(crate) struct FakeLedger {
    records: HashMap<SubmissionId, Record>,
}

impl FakeLedger {
    pub(crate) fn claim(
        &mut self,
        claim: &ClaimRequest,
        is_alive: impl Fn(Incarnation) -> bool,
    ) -> ClaimReply {
        let record = self
            .records
            .entry(claim.submission)
            .or_insert_with(|| Record {
                digest: claim.digest,
                epoch: Epoch(0),
                owner: None,
                plan: BTreeSet::new(),
                ended: None,
            });
        if record.digest != claim.digest {
            return ClaimReply::Conflict;
        }
        if let Some(ended) = &record.ended {
            return ClaimReply::Ended(ended.clone());
        }
        match record.owner {
            Some(owner) if owner != claim.entry && is_alive(owner) => ClaimReply::Busy {
                owner,
                retry_after_ms: 100,
            },
            owner => {
                let plan: Vec<_> = record.plan.iter().copied().collect();
                record.epoch = record.epoch.next();
                record.owner = Some(claim.entry);
                record.plan.extend(&claim.plan);
                ClaimReply::Granted {
                    epoch: record.epoch,
                    previous: owner.map(|_| PreviousClaim { plan }),
                }
            }
        }
    }

    pub(crate) fn end(&mut self, end: EndRecord) {
        let Some(record) = self.records.get_mut(&end.submission) else {
            return;
        };
        if end.epoch != record.epoch || record.ended.is_some() {
            return;
        }
        match end.result {
            SubmissionResult::NotRun(..) => {
                record.owner = None;
                record.plan.clear();
            }
            _ => record.ended = Some(end),
        }
    }

    pub(crate) fn lookup(&self, submission: SubmissionId) -> Option<ClaimReply> {
        let record = self.records.get(&submission)?;
        match (&record.ended, record.owner) {
            (Some(ended), _) => Some(ClaimReply::Ended(ended.clone())),
            (None, Some(owner)) => Some(ClaimReply::Busy {
                owner,
                retry_after_ms: 100,
            }),
            (None, None) => None,
        }
    }

    pub(crate) fn cancel(&self, submission: SubmissionId) -> CancelReply {
        match self.records.get(&submission) {
            Some(record) => CancelReply::Recorded {
                owner: record.owner,
            },
            None => CancelReply::Unknown,
        }
    }
}
