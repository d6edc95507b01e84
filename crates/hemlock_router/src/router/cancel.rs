//! Cancellations by callers.

use hemlock_ledger::prelude::*;
use hemlock_types::prelude::*;

use super::Router;
use crate::action::{Action, Actions, CallResult, CallerFault};
use crate::event::CallId;
use crate::work::WorkKey;

impl Router {
    pub(super) fn cancel_submission(
        &mut self,
        call: CallId,
        submission: SubmissionId,
        out: &mut Actions,
    ) {
        match self.submissions.get(&submission).copied() {
            Some(work) => {
                self.cancel_work(work, out);
                out.push(Action::Answer {
                    call,
                    result: CallResult::CancelRecorded,
                    retry_after_ms: None,
                });
            }
            None => out.push(Action::RecordCancel { call, submission }),
        }
    }

    pub(super) fn cancel_recorded(
        &mut self,
        call: CallId,
        reply: Option<CancelReply>,
        out: &mut Actions,
    ) {
        let result = match reply {
            Some(CancelReply::Recorded { .. }) => CallResult::CancelRecorded,
            Some(CancelReply::Ended(record)) => Self::result_of(record.result),
            Some(CancelReply::Unknown) => CallResult::Rejected(CallerFault::UnknownSubmission),
            None => {
                out.push(Self::answer_unknown(call));
                return;
            }
        };
        out.push(Action::Answer {
            call,
            result,
            retry_after_ms: None,
        });
    }

    /// Cancels work: answers its callers at once and cancels its starts in flight.
    pub(super) fn cancel_work(&mut self, key: WorkKey, out: &mut Actions) {
        let (reason, proof) = (NotRunReason::Cancelled, NotRunProof::NeverSent);
        self.give_up(key, reason, proof, out);
    }
}
