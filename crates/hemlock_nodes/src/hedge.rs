//! Calls to an instance that are sent again while their answer is missing.
//!
//! Answers the load pattern of lost answers: an instance leaves some calls unanswered, and carries
//! them out seconds later or never. Waiting for the timeout of such a call costs more than most
//! tasks may wait. Every call is idempotent: a start names its run, a stop fences its run, and a
//! lease never shortens. So the same call is made again soon, and the first answer counts.

use std::rc::Rc;

use futures::future::{FutureExt, LocalBoxFuture, ready};
use futures::stream::{FuturesUnordered, StreamExt};
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;

use crate::task_set::TaskSet;

/// Time after which a call without an answer is made again: instances answer within a few
/// milliseconds, and within some ten when they share a busy processor.
const RESEND_AFTER: DurationMs = DurationMs::new(25);
/// How often a start or a stop is made: with half of all calls lost, one in sixteen stays without
/// an answer.
const MAX_ATTEMPTS: u32 = 4;
/// How often a listing is asked for. The next one follows at once anyway.
const MAX_LISTING_ATTEMPTS: u32 = 2;

/// Makes each call again while its answer is missing.
pub struct HedgedDriver {
    driver: Rc<dyn InstanceDriver>,
    /// Attempts whose answers aren't waited for any more. They go on, so that their connections can
    /// be used again.
    surplus: Rc<TaskSet>,
}

/// The first answer to a call.
struct FirstAnswer<T> {
    value: T,
    attempts: u32,
}

impl HedgedDriver {
    /// Makes its calls through `driver`.
    pub fn new(driver: Rc<dyn InstanceDriver>) -> Self {
        Self {
            driver,
            surplus: Rc::default(),
        }
    }
}

/// Makes a call until one attempt is answered, at most `max_attempts` times.
async fn first_answer<T: 'static>(
    surplus: Rc<TaskSet>,
    resend_after: DurationMs,
    max_attempts: u32,
    make_call: impl Fn() -> LocalBoxFuture<'static, T>,
    is_answer: impl Fn(&T) -> bool,
) -> FirstAnswer<T> {
    let mut open = FuturesUnordered::new();
    open.push(make_call());
    let mut attempts = 1;
    let value = loop {
        let next = match attempts < max_attempts {
            true => tokio::time::timeout(resend_after.as_std(), open.next()).await,
            false => Ok(open.next().await),
        };
        match next {
            Ok(Some(value)) if is_answer(&value) => break value,
            Ok(Some(value)) if attempts == max_attempts && open.is_empty() => break value,
            _ if attempts < max_attempts => {
                open.push(make_call());
                attempts += 1;
            }
            _ => {}
        }
    };
    if !open.is_empty() {
        surplus.spawn(open.for_each(|_| ready(())));
    }
    FirstAnswer { value, attempts }
}

impl InstanceDriver for HedgedDriver {
    fn start(&self, call: StartCall) -> LocalBoxFuture<'static, StartResult> {
        let (driver, surplus) = (Rc::clone(&self.driver), Rc::clone(&self.surplus));
        async move {
            let make_call = || driver.start(call.clone());
            let is_answer = |result: &StartResult| *result != StartResult::Unanswered;
            let answer =
                first_answer(surplus, RESEND_AFTER, MAX_ATTEMPTS, make_call, is_answer).await;
            match answer.value {
                // An earlier attempt may have started the run, which may even have ended since.
                StartResult::Refused(_) if answer.attempts > 1 => StartResult::Unanswered,
                result => result,
            }
        }
        .boxed_local()
    }

    fn stop(&self, call: StopCall) -> LocalBoxFuture<'static, StopResult> {
        let (driver, surplus) = (Rc::clone(&self.driver), Rc::clone(&self.surplus));
        async move {
            let make_call = || driver.stop(call);
            let is_answer = |result: &StopResult| *result != StopResult::Unanswered;
            first_answer(surplus, RESEND_AFTER, MAX_ATTEMPTS, make_call, is_answer)
                .await
                .value
        }
        .boxed_local()
    }

    fn list(&self, call: ListCall) -> LocalBoxFuture<'static, Result<Listing, ListError>> {
        let (driver, surplus) = (Rc::clone(&self.driver), Rc::clone(&self.surplus));
        let resend_after = DurationMs::new(call.wait_ms + RESEND_AFTER.as_ms());
        async move {
            let make_call = || driver.list(call);
            let is_answer =
                |result: &Result<Listing, ListError>| !matches!(result, Err(ListError::Unanswered));
            first_answer(
                surplus,
                resend_after,
                MAX_LISTING_ATTEMPTS,
                make_call,
                is_answer,
            )
            .await
            .value
        }
        .boxed_local()
    }

    fn set_target(&self, name: Option<String>) {
        self.driver.set_target(name);
    }
}
