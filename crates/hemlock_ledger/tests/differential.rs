//! Compares the ledger with a simple reference model that stores the records in a list.

use std::collections::BTreeSet;

use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const RETENTION_MS: u64 = 50;
const OWNER_GRACE_MS: u64 = 1_000;
const MAX_RECORDS: usize = 4;
const MAX_ANSWER_BYTES: usize = 12;

#[derive(Clone, Debug)]
enum Step {
    Claim {
        name: u8,
        entry: u8,
        plan: u8,
        deadline_ms: u16,
        other_content: bool,
    },
    End {
        name: u8,
        epoch: u8,
        kind: u8,
    },
    Cancel {
        name: u8,
    },
    Lookup {
        name: u8,
    },
    ToggleEntry {
        entry: u8,
    },
    AdvanceTime {
        ms: u16,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g) % 6;
        let entry = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Claim {
                name,
                entry,
                plan: u8::arbitrary(g) % 4,
                deadline_ms: u16::arbitrary(g) % 100,
                other_content: u8::arbitrary(g) % 8 == 0,
            },
            5..=7 => Self::End {
                name,
                epoch: u8::arbitrary(g) % 4,
                kind: u8::arbitrary(g) % 4,
            },
            8 => Self::Cancel { name },
            9 => Self::Lookup { name },
            10 => Self::ToggleEntry { entry },
            _ => Self::AdvanceTime {
                ms: u16::arbitrary(g) % 600,
            },
        }
    }
}

#[derive(Default)]
struct LiveSet(BTreeSet<Incarnation>);

impl LiveEntries for LiveSet {
    fn is_live(&self, entry: Incarnation) -> bool {
        self.0.contains(&entry)
    }
}

/// A submission in the reference model.
#[derive(Clone, Debug)]
struct ModelRecord {
    id: SubmissionId,
    digest: Digest,
    epoch: u32,
    cancelled: bool,
    forget_at_ms: u64,
    open: Option<(Incarnation, u64)>,
    plan: BTreeSet<Incarnation>,
    fence: BTreeSet<Incarnation>,
    result: Option<SubmissionResult>,
}

#[derive(Default)]
struct Model {
    records: Vec<ModelRecord>,
}

impl Model {
    fn forget(&mut self, now_ms: u64) {
        self.records.retain(|record| record.forget_at_ms > now_ms);
    }

    fn answer_bytes(&self) -> usize {
        self.records
            .iter()
            .filter_map(|r| r.result.as_ref())
            .map(answer_bytes)
            .sum()
    }

    fn claim(&mut self, now_ms: u64, request: &ClaimRequest, live_entries: &LiveSet) -> ClaimReply {
        let forget_at_ms = now_ms + request.deadline_ms + RETENTION_MS;
        let busy_until_ms = now_ms + request.deadline_ms + OWNER_GRACE_MS;
        let plan: BTreeSet<_> = request.plan.iter().copied().collect();
        let full = self.records.len() >= MAX_RECORDS;
        let Some(record) = self.records.iter_mut().find(|r| r.id == request.submission) else {
            if full {
                return ClaimReply::Full;
            }
            self.records.push(ModelRecord {
                id: request.submission,
                digest: request.digest,
                epoch: 1,
                cancelled: false,
                forget_at_ms,
                open: Some((request.entry, busy_until_ms)),
                plan,
                fence: BTreeSet::new(),
                result: None,
            });
            return granted(1, &BTreeSet::new());
        };
        if record.digest != request.digest {
            return ClaimReply::Conflict;
        }
        if let Some(result) = &record.result {
            return ended(record, result.clone());
        }
        if record.open.is_none() && record.cancelled {
            return ClaimReply::Cancelled;
        }
        let reply = match record.open {
            None => {
                record.epoch += 1;
                record.open = Some((request.entry, busy_until_ms));
                record.plan = plan;
                record.fence = BTreeSet::new();
                granted(record.epoch, &record.fence)
            }
            Some((owner, _)) if owner == request.entry => {
                record.plan.extend(plan);
                granted(record.epoch, &record.fence)
            }
            Some((owner, busy_until_ms))
                if now_ms < busy_until_ms && live_entries.is_live(owner) =>
            {
                return ClaimReply::Busy {
                    owner,
                    retry_after_ms: 100,
                };
            }
            Some(_) if record.cancelled => {
                let result = SubmissionResult::Failed(FailureKind::Cancelled);
                record.open = None;
                record.result = Some(result.clone());
                ended(record, result)
            }
            Some(_) => {
                record.epoch += 1;
                record
                    .fence
                    .extend(std::mem::replace(&mut record.plan, plan));
                record.open = Some((request.entry, busy_until_ms));
                granted(record.epoch, &record.fence)
            }
        };
        record.forget_at_ms = record.forget_at_ms.max(forget_at_ms);
        reply
    }

    fn end(&mut self, now_ms: u64, end: &EndRecord) {
        let available_bytes = MAX_ANSWER_BYTES - self.answer_bytes();
        let found = self.records.iter_mut().find(|r| r.id == end.submission);
        let Some(record) = found.filter(|r| r.open.is_some() && r.epoch == end.epoch.0) else {
            return;
        };
        record.open = None;
        record.forget_at_ms = record.forget_at_ms.max(now_ms + RETENTION_MS);
        record.result = match &end.result {
            SubmissionResult::NotRun(..) => None,
            result if answer_bytes(result) > available_bytes => {
                Some(SubmissionResult::CompleteElsewhere {
                    plan: record.fence.union(&record.plan).copied().collect(),
                })
            }
            result => Some(result.clone()),
        };
    }

    fn cancel(&mut self, id: SubmissionId) -> CancelReply {
        let Some(record) = self.records.iter_mut().find(|r| r.id == id) else {
            return CancelReply::Unknown;
        };
        match record.result.clone() {
            Some(result) => match ended(record, result) {
                ClaimReply::Ended(end) => CancelReply::Ended(end),
                _ => unreachable!(),
            },
            None => {
                record.cancelled = true;
                let owner = record.open.map(|(owner, _)| owner);
                CancelReply::Recorded { owner }
            }
        }
    }

    fn lookup(&self, now_ms: u64, id: SubmissionId, live_entries: &LiveSet) -> Option<ClaimReply> {
        let record = self.records.iter().find(|r| r.id == id)?;
        match (&record.result, record.open) {
            (Some(result), _) => Some(ended(record, result.clone())),
            (None, None) => record.cancelled.then_some(ClaimReply::Cancelled),
            (None, Some((owner, busy_until_ms))) => (now_ms < busy_until_ms
                && live_entries.is_live(owner))
            .then_some(ClaimReply::Busy {
                owner,
                retry_after_ms: 100,
            }),
        }
    }
}

fn granted(epoch: u32, fence: &BTreeSet<Incarnation>) -> ClaimReply {
    let plan: Vec<_> = fence.iter().copied().collect();
    ClaimReply::Granted {
        epoch: Epoch(epoch),
        previous: (!plan.is_empty()).then_some(PreviousClaim { plan }),
    }
}

fn ended(record: &ModelRecord, result: SubmissionResult) -> ClaimReply {
    ClaimReply::Ended(EndRecord {
        submission: record.id,
        epoch: Epoch(record.epoch),
        result,
    })
}

fn answer_bytes(result: &SubmissionResult) -> usize {
    match result {
        SubmissionResult::Complete { answers } => answers.iter().map(|a| a.body.len()).sum(),
        _ => 0,
    }
}

fn result_of(kind: u8) -> SubmissionResult {
    match kind {
        0 => SubmissionResult::NotRun(NotRunReason::Draining, NotRunProof::NeverSent),
        1 => SubmissionResult::Failed(FailureKind::Unknown),
        kind => SubmissionResult::Complete {
            answers: vec![Answer {
                status: 200,
                content_type: Default::default(),
                body: vec![kind; usize::from(kind) * 3].into(),
            }],
        },
    }
}

fn submission(name: u8) -> SubmissionId {
    SubmissionId::derive(&"sablah".into(), &name.to_string())
}

fn run(steps: &[Step]) -> bool {
    let limits = LedgerLimits::default()
        .with_retention_ms(RETENTION_MS)
        .with_max_records(MAX_RECORDS)
        .with_max_answer_bytes(MAX_ANSWER_BYTES);
    let mut ledger = Ledger::new(limits);
    let mut model = Model::default();
    let mut live_entries = LiveSet((0..3).map(Incarnation).collect());
    let mut now_ms = 0;
    let all_match = steps.iter().all(|step| {
        ledger.expire(now_ms, usize::MAX);
        model.forget(now_ms);
        let matches = match step {
            Step::Claim {
                name,
                entry,
                plan,
                deadline_ms,
                other_content,
            } => {
                let request = ClaimRequest {
                    submission: submission(*name),
                    digest: Digest::of_key(&[u8::from(*other_content)]),
                    entry: Incarnation((*entry).into()),
                    tasks: 1,
                    plan: vec![Incarnation(100 + u64::from(*plan))],
                    deadline_ms: (*deadline_ms).into(),
                };
                let expected = model.claim(now_ms, &request, &live_entries);
                ledger.claim(now_ms, &request, &live_entries) == expected
            }
            Step::End { name, epoch, kind } => {
                let end = EndRecord {
                    submission: submission(*name),
                    epoch: Epoch((*epoch).into()),
                    result: result_of(*kind),
                };
                model.end(now_ms, &end);
                ledger.end(now_ms, end);
                true
            }
            Step::Cancel { name } => {
                ledger.cancel(submission(*name)) == model.cancel(submission(*name))
            }
            Step::Lookup { name } => {
                let expected = model.lookup(now_ms, submission(*name), &live_entries);
                ledger.lookup(now_ms, submission(*name), &live_entries) == expected
            }
            Step::ToggleEntry { entry } => {
                let entry = Incarnation((*entry).into());
                let was_live = live_entries.0.remove(&entry);
                was_live || live_entries.0.insert(entry)
            }
            Step::AdvanceTime { ms } => {
                now_ms += u64::from(*ms);
                true
            }
        };
        matches
            && ledger.len() == model.records.len()
            && ledger.answer_bytes() == model.answer_bytes()
    });
    all_match && Ledger::from(ledger.snapshot()) == ledger
}

#[test]
fn matches_the_reference_model() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(steps: Vec<Step>) -> bool {
        run(&steps)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
