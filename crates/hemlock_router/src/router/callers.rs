//! Answers to callers: refusals, queries, and calls that join running work.

use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Action, Actions, CallResult, CallerFault, Observation};
use crate::event::{CallId, Submit};
use crate::timers::Timer;
use crate::work::{Waiter, WorkKey};

/// Shortest delay after which a refused caller is asked to retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Longest delay after which a refused caller is asked to retry, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 10_000;
/// Delay after which a caller is asked to retry when keepers or endpoints failed, in milliseconds.
pub(super) const RETRY_AFTER_FAULT_MS: u64 = 1_000;

/// Purpose of a lookup in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LookupPurpose {
    /// The call is refused. It is answered "not run" only if the ledger holds no claim.
    Refusal {
        /// Reason for the refusal.
        reason: NotRunReason,
        /// Delay after which the caller should retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// A caller asks for the state of the submission.
    Query,
}

impl Router {
    /// Adds a caller to work that is already admitted here, if its submission has the same content.
    pub(super) fn join(
        &mut self,
        now: Instant,
        key: WorkKey,
        digest: Digest,
        submit: &Submit,
        out: &mut Actions,
    ) {
        let deadline_ms = submit.deadline_ms.unwrap_or(u64::MAX);
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let is_same_content = work
            .submission
            .as_ref()
            .is_some_and(|submission| submission.digest.matches(&digest));
        match (is_same_content, submit.detached) {
            (false, _) => Self::reject(submit.call, CallerFault::Conflict, out),
            (true, true) => Self::answer_running(submit.call, out),
            (true, false) => {
                let deadline = work.deadline.min(now + DurationMs::new(deadline_ms));
                let call = submit.call;
                work.waiters.push(Waiter { call, deadline });
                self.timers.set(deadline, Timer::CallDeadline(key, call));
            }
        }
    }

    pub(super) fn answer_running(call: CallId, out: &mut Actions) {
        out.push(Action::Answer {
            call,
            result: CallResult::Running,
            retry_after_ms: None,
        });
    }

    /// Refuses a call. A call with a submission may repeat one that has run already, so the ledger
    /// is looked up before the call is answered "not run".
    pub(super) fn refuse(&mut self, submit: &Submit, reason: NotRunReason, out: &mut Actions) {
        let retry_after_ms = self.retry_after_ms(submit, reason);
        match submit.submission {
            None => Self::answer_not_run(submit.call, reason, retry_after_ms, out),
            Some((submission, _)) => {
                let purpose = LookupPurpose::Refusal {
                    reason,
                    retry_after_ms,
                };
                let call = submit.call;
                self.lookups.insert(call, purpose);
                out.push(Action::Lookup { call, submission });
            }
        }
    }

    fn answer_not_run(
        call: CallId,
        reason: NotRunReason,
        retry_after_ms: Option<u64>,
        out: &mut Actions,
    ) {
        Self::observe(out, Observation::Refused(reason));
        out.push(Action::Answer {
            call,
            result: CallResult::NotRun(reason, NotRunProof::NeverSent),
            retry_after_ms,
        });
    }

    fn retry_after_ms(&mut self, submit: &Submit, reason: NotRunReason) -> Option<u64> {
        match reason {
            NotRunReason::Infeasible | NotRunReason::Cancelled => None,
            NotRunReason::OverLimit | NotRunReason::QueueFull | NotRunReason::Deadline => Some(
                self.backlog_ms(submit)
                    .clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS),
            ),
            NotRunReason::NoEndpoint
            | NotRunReason::Draining
            | NotRunReason::NoLease
            | NotRunReason::NoQuorum
            | NotRunReason::Refused => Some(RETRY_AFTER_FAULT_MS),
        }
    }

    /// Half of the expected time until the current backlog has started, in milliseconds.
    fn backlog_ms(&mut self, submit: &Submit) -> u64 {
        let Some(contract) = self.contracts.find(&submit.customer) else {
            return RETRY_AFTER_FAULT_MS;
        };
        let service = self.fleet.intern_service(&submit.service);
        let load = self.load_of(contract, service);
        let expected_us = submit.tasks.first().map_or(0, |task| {
            let key = self.estimates.intern(contract, service, &task.operation);
            self.estimates.expected_us(key)
        });
        let load = crate::admission::Load {
            expected_us,
            ..load
        };
        load.wait_ms() / 2
    }

    pub(super) fn query(&mut self, call: CallId, submission: SubmissionId, out: &mut Actions) {
        match self.submissions.contains_key(&submission) {
            true => Self::answer_running(call, out),
            false => {
                self.lookups.insert(call, LookupPurpose::Query);
                out.push(Action::Lookup { call, submission });
            }
        }
    }

    pub(super) fn lookup_answered(
        &mut self,
        call: CallId,
        reply: Option<Option<ClaimReply>>,
        out: &mut Actions,
    ) {
        let Some(purpose) = self.lookups.remove(&call) else {
            return;
        };
        match (reply, purpose) {
            (
                Some(None),
                LookupPurpose::Refusal {
                    reason,
                    retry_after_ms,
                },
            ) => Self::answer_not_run(call, reason, retry_after_ms, out),
            (Some(None), LookupPurpose::Query) => {
                Self::reject(call, CallerFault::UnknownSubmission, out);
            }
            (Some(Some(found)), LookupPurpose::Query) => {
                out.push(Self::answer_found(call, found, CallResult::Running));
            }
            (Some(Some(found)), LookupPurpose::Refusal { .. }) => {
                let unknown = CallResult::Failed(FailureKind::Unknown);
                out.push(Self::answer_found(call, found, unknown));
            }
            (None, _) => out.push(Self::answer_unknown(call)),
        }
    }

    /// The answer from the ledger's record; `result_if_open` when the submission has not ended.
    fn answer_found(call: CallId, found: ClaimReply, result_if_open: CallResult) -> Action {
        let (result, retry_after_ms) = match found {
            ClaimReply::Ended(record) => (Self::result_of(record.result), None),
            ClaimReply::Cancelled => (CallResult::Failed(FailureKind::Cancelled), None),
            ClaimReply::Conflict => (CallResult::Rejected(CallerFault::Conflict), None),
            ClaimReply::Busy { retry_after_ms, .. } => (result_if_open, Some(retry_after_ms)),
            ClaimReply::Granted { .. } | ClaimReply::Full => {
                (result_if_open, Some(RETRY_AFTER_FAULT_MS))
            }
        };
        Action::Answer {
            call,
            result,
            retry_after_ms,
        }
    }

    /// The answer to a call when the state of its submission can't be determined now.
    pub(super) fn answer_unknown(call: CallId) -> Action {
        Action::Answer {
            call,
            result: CallResult::Failed(FailureKind::Unknown),
            retry_after_ms: Some(RETRY_AFTER_FAULT_MS),
        }
    }

    /// Converts a recorded result to a call's result. Answers that only the agents hold are fetched
    /// by a resubmission, because the number of tasks is known from its content.
    pub(super) fn result_of(result: SubmissionResult) -> CallResult {
        match result {
            SubmissionResult::Complete { answers } => CallResult::Complete(answers),
            SubmissionResult::CompleteElsewhere { .. } => CallResult::CompleteElsewhere,
            SubmissionResult::Failed(kind) => CallResult::Failed(kind),
            SubmissionResult::NotRun(reason, proof) => CallResult::NotRun(reason, proof),
        }
    }

    /// Answers one caller whose own deadline has passed; the work continues.
    pub(super) fn call_deadline(
        &mut self,
        now: Instant,
        key: WorkKey,
        call: CallId,
        out: &mut Actions,
    ) {
        let Some(work) = self.works.get_mut(key) else {
            return;
        };
        let due = |waiter: &Waiter| waiter.call == call && waiter.deadline <= now;
        if now >= work.deadline || !work.waiters.iter().any(due) {
            return;
        }
        work.waiters.retain(|waiter| waiter.call != call);
        out.push(Action::Answer {
            call,
            result: CallResult::Failed(FailureKind::Deadline),
            retry_after_ms: Some(RETRY_AFTER_FAULT_MS),
        });
    }
}
