//! Hedged calls to an instance: a call without an answer is sent again, and the first answer wins.
//!
//! Covers lost answers: an instance may leave a call unanswered and execute it seconds later or
//! never. Waiting for the timeout of such a call takes longer than most tasks may wait. Repeating a
//! call is safe because every call is idempotent at one incarnation of the instance: a start names
//! its run, a stop fences its run, and a lease never gets shorter. The next incarnation knows none
//! of this, so no call is repeated after a loss.

use std::cell::Cell;
use std::rc::Rc;

use futures::future::{FutureExt, LocalBoxFuture, ready};
use futures::stream::{FuturesUnordered, StreamExt};
use hemlock_runs::prelude::*;
use hemlock_types::prelude::DurationMs;
use tokio::time::{Instant, timeout_at};

use crate::task_set::TaskSet;

/// Time without an answer after which a call is sent again. Instances answer within a few
/// milliseconds, and within about ten when they share a busy processor.
const RESEND_AFTER: DurationMs = DurationMs::new(25);
/// Attempts of a start or a stop. With half of all calls lost, one in sixteen stays unanswered.
const MAX_ATTEMPTS: u32 = 4;
/// Attempts of a listing. Fewer suffice because the next listing follows immediately.
const MAX_LISTING_ATTEMPTS: u32 = 2;

/// Wraps a driver and sends each call again while it is unanswered.
pub struct HedgedDriver {
    driver: Rc<dyn InstanceDriver>,
    /// Attempts that lost the race. They run to completion so that their connections can be reused.
    background: Rc<TaskSet>,
    /// Number of losses of the instance.
    losses: Rc<Cell<u64>>,
}

/// The first answer to a call, and the number of attempts made until then.
struct FirstAnswer<T> {
    value: T,
    attempts: u32,
}

impl HedgedDriver {
    /// Creates a driver that makes its calls through `driver`.
    pub fn new(driver: Rc<dyn InstanceDriver>) -> Self {
        Self {
            driver,
            background: Rc::default(),
            losses: Rc::default(),
        }
    }

    /// Repeats none of the pending calls any more, because the instance was lost.
    pub fn note_instance_lost(&self) {
        self.losses.set(self.losses.get() + 1);
    }

    fn repetition(&self, resend_after: DurationMs, max_attempts: u32) -> Repetition {
        Repetition {
            resend_after,
            max_attempts,
            losses: Rc::clone(&self.losses),
            losses_before: self.losses.get(),
        }
    }
}

/// How a call is repeated while it is unanswered.
struct Repetition {
    resend_after: DurationMs,
    max_attempts: u32,
    /// Number of losses of the instance, now and when the call was made. After a loss, a repetition
    /// would reach the next incarnation.
    losses: Rc<Cell<u64>>,
    losses_before: u64,
}

impl Repetition {
    fn allows(&self, attempts: u32) -> bool {
        attempts < self.max_attempts && self.losses.get() == self.losses_before
    }
}

/// Makes overlapping attempts of a call and returns the first answer.
async fn first_answer<T: 'static>(
    background: Rc<TaskSet>,
    repetition: Repetition,
    make_call: impl Fn() -> LocalBoxFuture<'static, T>,
    is_answer: impl Fn(&T) -> bool,
) -> FirstAnswer<T> {
    let mut in_flight = FuturesUnordered::from_iter([make_call()]);
    let mut attempts = 1;
    let mut next_attempt_at = Instant::now() + repetition.resend_after.as_std();
    let value = loop {
        let may_repeat = repetition.allows(attempts);
        if may_repeat && Instant::now() >= next_attempt_at {
            in_flight.push(make_call());
            attempts += 1;
            next_attempt_at = Instant::now() + repetition.resend_after.as_std();
            continue;
        }
        let next = match may_repeat {
            true => timeout_at(next_attempt_at, in_flight.next()).await.ok(),
            false => Some(in_flight.next().await),
        };
        match next.flatten() {
            Some(value) if is_answer(&value) => break value,
            Some(value) if in_flight.is_empty() => {
                // The instance may have closed a kept connection, so the first repetition needs no
                // delay. Further ones would flood an instance that resets every connection.
                if attempts > 1 && repetition.allows(attempts) {
                    tokio::time::sleep_until(next_attempt_at).await;
                }
                if !repetition.allows(attempts) {
                    break value;
                }
                next_attempt_at = Instant::now();
            }
            _ => {}
        }
    };
    if !in_flight.is_empty() {
        background.spawn(in_flight.for_each(|_| ready(())));
    }
    FirstAnswer { value, attempts }
}

fn is_listing_answer(result: &Result<Listing, ListError>) -> bool {
    !matches!(result, Err(ListError::Unanswered))
}

impl InstanceDriver for HedgedDriver {
    fn start(&self, call: StartCall) -> LocalBoxFuture<'static, StartResult> {
        let (driver, background) = (Rc::clone(&self.driver), Rc::clone(&self.background));
        let repetition = self.repetition(RESEND_AFTER, MAX_ATTEMPTS);
        async move {
            let make_call = || driver.start(call.clone());
            let is_answer = |result: &StartResult| *result != StartResult::Unanswered;
            let answer = first_answer(background, repetition, make_call, is_answer).await;
            match answer.value {
                // The refusal may be caused by an earlier attempt that started the run, which may
                // have ended since.
                StartResult::Refused(_) if answer.attempts > 1 => StartResult::Unanswered,
                result => result,
            }
        }
        .boxed_local()
    }

    fn stop(&self, call: StopCall) -> LocalBoxFuture<'static, StopResult> {
        let (driver, background) = (Rc::clone(&self.driver), Rc::clone(&self.background));
        let repetition = self.repetition(RESEND_AFTER, MAX_ATTEMPTS);
        async move {
            let make_call = || driver.stop(call);
            let is_answer = |result: &StopResult| *result != StopResult::Unanswered;
            first_answer(background, repetition, make_call, is_answer)
                .await
                .value
        }
        .boxed_local()
    }

    fn list(&self, call: ListCall) -> LocalBoxFuture<'static, Result<Listing, ListError>> {
        let (driver, background) = (Rc::clone(&self.driver), Rc::clone(&self.background));
        let resend_after = DurationMs::new(call.wait_ms + RESEND_AFTER.as_ms());
        let repetition = self.repetition(resend_after, MAX_LISTING_ATTEMPTS);
        async move {
            let make_call = || driver.list(call);
            first_answer(background, repetition, make_call, is_listing_answer)
                .await
                .value
        }
        .boxed_local()
    }

    fn identify(
        &self,
        name: String,
        fence: u64,
    ) -> LocalBoxFuture<'static, Result<Listing, ListError>> {
        let (driver, background) = (Rc::clone(&self.driver), Rc::clone(&self.background));
        let repetition = self.repetition(RESEND_AFTER, MAX_LISTING_ATTEMPTS);
        async move {
            let make_call = || driver.identify(name.clone(), fence);
            first_answer(background, repetition, make_call, is_listing_answer)
                .await
                .value
        }
        .boxed_local()
    }

    fn set_target(&self, name: Option<String>) {
        self.driver.set_target(name);
    }
}
