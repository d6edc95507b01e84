//! Claiming submissions in the ledger.

use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;
use rand::RngExt;

use super::Router;
use super::callers::RETRY_AFTER_FAULT_MS;
use crate::action::{Action, Actions, CallResult, CallerFault, Observation};
use crate::event::ClaimAttempt;
use crate::fleet::EndpointKey;
use crate::placement::plan_agents;
use crate::submission::Phase;
use crate::timers::Timer;
use crate::work::{Work, WorkKey};

/// Delay before the first retry of a failed claim, in milliseconds; doubles with each retry.
const CLAIM_RETRY_MS: u64 = 50;
/// Maximum number of times that the retry delay of a failed claim doubles.
const CLAIM_RETRY_DOUBLINGS_MAX: u32 = 4;
/// Number of claims that may fail in a row; the submission is given up when the next one fails.
const CLAIM_FAILURES_MAX: u32 = 10;
/// Number of endpoints considered for each one that a claim may name.
const CANDIDATES_PER_PLANNED_AGENT: usize = 4;
/// Shortest delay before a submission that another entry runs is claimed again, in milliseconds.
const BUSY_RETRY_MIN_MS: u64 = 20;
/// Longest delay before a submission that another entry runs is claimed again, in milliseconds.
const BUSY_RETRY_MAX_MS: u64 = 1_000;

impl Router {
    /// Claims the submission in the ledger, naming the agents that may start its tasks.
    pub(super) fn claim(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
        let Some(work) = self.works.get(key) else {
            return;
        };
        let plan = self.choose_plan(work.service, work.tasks.len());
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let (deadline, tasks) = (work.deadline, work.tasks.len() as u16);
        let Some(submission) = &mut work.submission else {
            return;
        };
        self.claim_count += 1;
        let attempt = ClaimAttempt(self.claim_count);
        submission.begin_claim(now, attempt, plan);
        let claim = ClaimRequest {
            submission: submission.id,
            digest: submission.digest,
            entry: self.settings.entry,
            tasks,
            plan: plan_agents(submission.plan(), &self.fleet),
            deadline_ms: deadline.since(now).as_ms(),
        };
        out.push(Action::Claim { attempt, claim });
    }

    /// Chooses the endpoints that a claim names: all usable ones, or for a large service a random
    /// subset, so that a later owner has few agents to fence. Prefers endpoints whose agents have
    /// granted a slot.
    fn choose_plan(&mut self, service: crate::queue::ServiceKey, tasks: usize) -> Vec<EndpointKey> {
        let all = self.fleet.of_service(service);
        let usable = |key: &EndpointKey| {
            let endpoint = self.fleet.get(*key);
            endpoint.is_some_and(|endpoint| endpoint.is_reachable() && endpoint.health.is_healthy())
        };
        let max_agents = self.settings.max_plan_agents.max(tasks);
        let offset = match all.len() {
            0 => 0,
            len => self.rng.random_range(0..len),
        };
        let (after, before) = all.split_at(offset);
        let rotated = before.iter().chain(after);
        let candidates = rotated
            .copied()
            .filter(usable)
            .take(max_agents * CANDIDATES_PER_PLANNED_AGENT);
        let mut plan: Vec<_> = candidates.collect();
        let has_granted = |key: &EndpointKey| {
            self.fleet
                .get(*key)
                .is_some_and(|endpoint| endpoint.credits > 0)
        };
        plan.sort_by_key(|key| !has_granted(key));
        plan.truncate(max_agents);
        if plan.is_empty() {
            plan = all.iter().copied().take(max_agents).collect();
        }
        plan
    }

    pub(super) fn claim_answered(
        &mut self,
        now: Instant,
        id: SubmissionId,
        attempt: ClaimAttempt,
        reply: Option<ClaimReply>,
        out: &mut Actions,
    ) {
        let key = self.submissions.get(&id).copied();
        let awaits_answer = |work: &Work| {
            let submission = work.submission.as_ref();
            submission.is_some_and(|submission| submission.awaits_answer(attempt))
        };
        match key {
            Some(key) if self.works.get(key).is_some_and(awaits_answer) => {
                self.apply_claim_reply(now, key, reply, out);
            }
            // The answer is to an older claim, which a newer one has superseded.
            Some(_) => {}
            None => Self::end_orphaned_claim(id, reply, out),
        }
    }

    /// Ends a submission whose claim was granted after its work had been given up.
    fn end_orphaned_claim(id: SubmissionId, reply: Option<ClaimReply>, out: &mut Actions) {
        let Some(ClaimReply::Granted { epoch, previous }) = reply else {
            return;
        };
        let result = match previous {
            None => SubmissionResult::NotRun(NotRunReason::Deadline, NotRunProof::NeverSent),
            Some(_) => SubmissionResult::Failed(FailureKind::Unknown),
        };
        out.push(Action::End(EndRecord {
            submission: id,
            epoch,
            result,
        }));
    }

    fn apply_claim_reply(
        &mut self,
        now: Instant,
        key: WorkKey,
        reply: Option<ClaimReply>,
        out: &mut Actions,
    ) {
        match reply {
            Some(ClaimReply::Granted { epoch, previous }) => {
                self.claim_granted(now, key, epoch, previous, out);
            }
            Some(ClaimReply::Busy { retry_after_ms, .. }) => {
                let pause = retry_after_ms.clamp(BUSY_RETRY_MIN_MS, BUSY_RETRY_MAX_MS);
                self.retry_claim_later(now, key, pause, false);
            }
            Some(ClaimReply::Ended(record)) => self.claim_ended(now, key, record, out),
            Some(ClaimReply::Conflict) => {
                let result = CallResult::Rejected(CallerFault::Conflict);
                self.finish(key, result, None, out);
            }
            Some(ClaimReply::Cancelled) => {
                let result = CallResult::Failed(FailureKind::Cancelled);
                self.finish(key, result, None, out);
            }
            Some(ClaimReply::Full) => {
                let result = CallResult::NotRun(NotRunReason::QueueFull, NotRunProof::NeverSent);
                self.finish(key, result, Some(RETRY_AFTER_FAULT_MS), out);
            }
            None => self.claim_failed(now, key, out),
        }
    }

    fn claim_granted(
        &mut self,
        now: Instant,
        key: WorkKey,
        epoch: Epoch,
        previous: Option<PreviousClaim>,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let traceparent = work.traceparent.clone();
        let Some(submission) = &mut work.submission else {
            return;
        };
        let earlier = previous.map(|previous| previous.plan).unwrap_or_default();
        submission.grant(epoch, &earlier);
        let (claim_us, phase) = (now.micros_since(submission.asked_at()), submission.phase());
        Self::observe(
            out,
            Observation::ClaimDone {
                traceparent,
                claim_us,
            },
        );
        match phase {
            Phase::Fencing => {
                Self::observe(out, Observation::Adopted);
                self.send_fences(now, key, out);
            }
            _ => self.enqueue_held(key, out),
        }
    }

    fn claim_ended(&mut self, now: Instant, key: WorkKey, record: EndRecord, out: &mut Actions) {
        match record.result {
            SubmissionResult::CompleteElsewhere { plan } => {
                if let Some(work) = self.works.get_mut(key)
                    && let Some(submission) = &mut work.submission
                {
                    submission.begin_fetching(record.epoch, &plan);
                }
                self.send_fences(now, key, out);
            }
            result => self.finish(key, Self::result_of(result), None, out),
        }
    }

    fn claim_failed(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
        let failures = self
            .works
            .get(key)
            .and_then(|work| work.submission.as_ref())
            .map_or(0, |submission| submission.failed_claims());
        if failures >= CLAIM_FAILURES_MAX {
            let result = CallResult::Failed(FailureKind::Unknown);
            self.finish(key, result, Some(RETRY_AFTER_FAULT_MS), out);
            return;
        }
        let pause = CLAIM_RETRY_MS << failures.min(CLAIM_RETRY_DOUBLINGS_MAX);
        self.retry_claim_later(now, key, pause, true);
    }

    fn retry_claim_later(&mut self, now: Instant, key: WorkKey, pause_ms: u64, failed: bool) {
        if let Some(work) = self.works.get_mut(key)
            && let Some(submission) = &mut work.submission
        {
            submission.postpone(failed);
            let at = now + DurationMs::new(pause_ms);
            self.timers.set(at, Timer::RetryClaim(key));
        }
    }

    pub(super) fn retry_claim(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
        let waiting = self
            .works
            .get(key)
            .and_then(|work| work.submission.as_ref())
            .is_some_and(|submission| submission.phase() == Phase::Waiting);
        if waiting {
            self.claim(now, key, out);
        }
    }
}
