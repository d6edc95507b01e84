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

/// First pause before a failed claim is asked again, in milliseconds; each further one doubles.
const CLAIM_RETRY_MS: u64 = 50;
/// Longest pause before a failed claim is asked again, in doublings of the first.
const CLAIM_RETRY_DOUBLINGS_MAX: u32 = 4;
/// Claims that may fail in a row before the submission is given up.
const CLAIM_FAILURES_MAX: u32 = 10;
/// Endpoints that are looked at for each one that a claim may name.
const PLAN_LOOKS: usize = 4;
/// Shortest pause before a submission that another entry runs is asked for again.
const BUSY_MIN_MS: u64 = 20;
/// Longest pause before a submission that another entry runs is asked for again.
const BUSY_MAX_MS: u64 = 1_000;

impl Router {
    /// Asks the ledger for the submission, naming the endpoints that may start its tasks.
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
        self.claims += 1;
        let attempt = ClaimAttempt(self.claims);
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

    /// The endpoints that a claim may name: every usable one, or a random part of a large
    /// service, so that a later owner has few agents to fence. Those that have granted a slot
    /// come before the others that were looked at.
    fn choose_plan(&mut self, service: crate::queue::ServiceKey, tasks: usize) -> Vec<EndpointKey> {
        let all = self.fleet.of_service(service);
        let usable = |key: &EndpointKey| {
            let endpoint = self.fleet.get(*key);
            endpoint.is_some_and(|endpoint| endpoint.is_reachable() && endpoint.health.is_healthy())
        };
        let most = self.settings.max_plan_agents.max(tasks);
        let offset = match all.len() {
            0 => 0,
            len => self.rng.random_range(0..len),
        };
        let (after, before) = all.split_at(offset);
        let rotated = before.iter().chain(after);
        let looked_at = rotated.copied().filter(usable).take(most * PLAN_LOOKS);
        let mut plan: Vec<_> = looked_at.collect();
        let has_granted = |key: &EndpointKey| {
            self.fleet
                .get(*key)
                .is_some_and(|endpoint| endpoint.credits > 0)
        };
        plan.sort_by_key(|key| !has_granted(key));
        plan.truncate(most);
        if plan.is_empty() {
            plan = all.iter().copied().take(most).collect();
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
                self.claim_settled(now, key, reply, out);
            }
            // The claim that is out now was made later and supersedes this one.
            Some(_) => {}
            None => Self::release_stray_claim(id, reply, out),
        }
    }

    /// Ends a claim that was granted after its work had been given up.
    fn release_stray_claim(id: SubmissionId, reply: Option<ClaimReply>, out: &mut Actions) {
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

    fn claim_settled(
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
                let pause = retry_after_ms.clamp(BUSY_MIN_MS, BUSY_MAX_MS);
                self.claim_later(now, key, pause, false);
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
                self.ask_fenced(now, key, out);
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
                self.ask_fenced(now, key, out);
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
        self.claim_later(now, key, pause, true);
    }

    fn claim_later(&mut self, now: Instant, key: WorkKey, pause_ms: u64, failed: bool) {
        if let Some(work) = self.works.get_mut(key)
            && let Some(submission) = &mut work.submission
        {
            submission.postpone(failed);
            let at = now + DurationMs::new(pause_ms);
            self.timers.set(at, Timer::RetryClaim(key));
        }
    }

    pub(super) fn claim_again(&mut self, now: Instant, key: WorkKey, out: &mut Actions) {
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
