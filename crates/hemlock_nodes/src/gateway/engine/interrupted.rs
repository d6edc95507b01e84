//! Jobs that are open across an interruption, and requests that may be as old.

use hemlock_jobs::prelude::*;
use hemlock_types::time::{DurationMs, Instant};
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::{Engine, RETRY_AFTER_MS};
use crate::gateway::interruptions::Interruption;
use crate::message::{CallerAnswer, Rejection};

/// Time that stopping the runs of a job takes at most, with the messages that it needs.
const STOP_TIMEOUT: DurationMs = DurationMs::new(150);
/// Time after an interruption in which results that were ready are still received. Sessions with
/// runners begin anew within it.
const RESULT_GRACE: DurationMs = DurationMs::new(150);

/// Returns the answer to a request whose caller may have left and submitted the job elsewhere.
pub(super) fn reject_outdated(id: JobId, queue: &Queue) -> CallerAnswer {
    info!(event = "job-rejected", job = %id, queue = queue.name, cause = "interrupted",
          retry_after_ms = RETRY_AFTER_MS);
    metrics::counter!("hemlock_gateway_jobs_total", "answer" => "rejected").increment(1);
    CallerAnswer::Rejected {
        reason: Rejection::Interrupted,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

impl Engine {
    /// Records that the gateway is active. Must be called before anything is started.
    pub(super) fn note_active(&mut self, now: Instant) {
        let stall = self.interruptions.note_active(now);
        self.handle_interruption(now, stall);
    }

    /// Records that a runner was heard from. Must be called before its message is handled.
    pub fn note_runner_contact(&mut self, now: Instant) {
        let silence = self.interruptions.note_runner_contact(now);
        self.handle_interruption(now, silence);
    }

    pub(super) fn note_caller_contact(&mut self, now: Instant) {
        let silence = self.interruptions.note_caller_contact(now);
        self.handle_interruption(now, silence);
    }

    /// Limits the open jobs after an interruption, in which their callers may have left and submitted
    /// them through another gateway.
    ///
    /// No caller does so sooner than `resubmit_after` after the last sign of it. A job that is
    /// expected to end before that may go on. Any other gets no further starts, and is given up once
    /// the results that were ready have had time to arrive.
    fn handle_interruption(&mut self, now: Instant, interruption: Option<Interruption>) {
        let Some(interruption) = interruption else {
            return;
        };
        let Interruption { cause, since, .. } = interruption;
        metrics::counter!("hemlock_gateway_interruptions_total", "cause" => cause.to_string())
            .increment(1);
        let open: Vec<JobId> = self.waiters.keys().copied().collect();
        let mut held = 0;
        for id in &open {
            held += usize::from(self.limit_job(now, *id, since));
        }
        warn!(event = "interrupted", cause = %cause, for_ms = now.since(since).as_ms(),
              open_jobs = open.len(), held_jobs = held);
    }

    /// Limits an open job whose caller was last known to wait at `seen_at`, or when it submitted the
    /// job if that was later. Returns whether the job gets no further starts.
    fn limit_job(&mut self, now: Instant, id: JobId, seen_at: Instant) -> bool {
        // A job without remaining work is being withdrawn.
        let Some(remaining) = self.dispatcher.remaining_work(id) else {
            return false;
        };
        let Some(waiter) = self.waiters.get_mut(&id) else {
            return false;
        };
        let seen_at = seen_at.max(waiter.submitted_at);
        let latest_end = (seen_at + self.resubmit_after).before(STOP_TIMEOUT);
        let is_held = now + remaining > latest_end;
        let deadline = match is_held {
            true => now + RESULT_GRACE,
            false => latest_end,
        };
        let earlier = waiter.answer_deadline;
        let answer_deadline = deadline.min(earlier);
        waiter.answer_deadline = answer_deadline;
        waiter.is_unconfirmed |= answer_deadline < earlier;
        self.answer_deadlines.remove(&(earlier, id));
        self.answer_deadlines.insert((answer_deadline, id));
        info!(event = "job-limited", job = %id, is_held, remaining_ms = remaining.as_ms(),
              unseen_for_ms = now.since(seen_at).as_ms());
        match is_held {
            true => self.dispatcher.set_held(id, true),
            false => self.dispatcher.set_caller_deadline(id, answer_deadline),
        }
        is_held
    }

    /// Lets the caller of an open job that is submitted again wait for it. `is_outdated` says that
    /// the caller may have left since.
    pub(super) fn join(
        &mut self,
        now: Instant,
        id: JobId,
        answer_deadline: Instant,
        is_outdated: bool,
    ) -> oneshot::Receiver<CallerAnswer> {
        let earlier = self.waiters.get(&id);
        let limit = earlier.filter(|waiter| waiter.is_unconfirmed);
        match limit.map(|waiter| waiter.answer_deadline) {
            None => self.wait_for(now, id, answer_deadline),
            Some(limit) if is_outdated => {
                let receiver = self.wait_for(now, id, answer_deadline.min(limit));
                if let Some(waiter) = self.waiters.get_mut(&id) {
                    waiter.is_unconfirmed = true;
                }
                receiver
            }
            // A caller waits at one gateway at a time.
            Some(_) => {
                self.dispatcher.set_held(id, false);
                self.dispatcher.set_caller_deadline(id, answer_deadline);
                self.wait_for(now, id, answer_deadline)
            }
        }
    }
}
