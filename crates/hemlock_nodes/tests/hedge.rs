//! Hedged calls to instances that leave calls unanswered.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::{FutureExt, LocalBoxFuture};
use hemlock_dispatch::prelude::RefusalReason;
use hemlock_jobs::prelude::*;
use hemlock_nodes::hedge::HedgedDriver;
use hemlock_runs::prelude::*;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Time after which a call to the instance counts as unanswered, in milliseconds.
const TIMEOUT_MS: u64 = 100;

/// An instance that answers each start after the given time in milliseconds, or never. It loses the
/// answer to the first listing.
#[derive(Default)]
struct ScriptedInstance {
    answers: RefCell<Vec<Option<(u64, StartResult)>>>,
    made: Cell<usize>,
    finished: Rc<Cell<usize>>,
}

impl InstanceDriver for ScriptedInstance {
    fn start(&self, _: StartCall) -> LocalBoxFuture<'static, StartResult> {
        let answer = self.answers.borrow().get(self.made.get()).copied();
        self.made.set(self.made.get() + 1);
        let finished = Rc::clone(&self.finished);
        let (after_ms, result) = answer
            .flatten()
            .unwrap_or((TIMEOUT_MS, StartResult::Unanswered));
        async move {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            finished.set(finished.get() + 1);
            result
        }
        .boxed_local()
    }

    fn stop(&self, _: StopCall) -> LocalBoxFuture<'static, StopResult> {
        unreachable!("nothing is stopped here")
    }

    fn list(&self, call: ListCall) -> LocalBoxFuture<'static, Result<Listing, ListError>> {
        let lost = self.made.get() == 0;
        self.made.set(self.made.get() + 1);
        async move {
            let after_ms = if lost { call.timeout_ms } else { call.wait_ms };
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            match lost {
                true => Err(ListError::Unanswered),
                false => Ok(Listing::default()),
            }
        }
        .boxed_local()
    }

    fn identify(&self, _: String, _: u64) -> LocalBoxFuture<'static, Result<Listing, ListError>> {
        unreachable!("no heartbeat arrives here")
    }

    fn set_target(&self, _: Option<String>) {}
}

fn start_call() -> StartCall {
    StartCall {
        task: "00000000000000aa.0.0.0".parse().expect("a task"),
        run: RunNumber(1),
        payload: Bytes::new(),
        lease_until_ms: 1_000,
        fence: 1,
    }
}

/// Makes a hedged start. Returns its result, its duration in milliseconds, the number of attempts
/// made and the number of attempts that ran to completion.
async fn start(answers: &[Option<(u64, StartResult)>]) -> (StartResult, u128, usize, usize) {
    let script = Rc::new(ScriptedInstance::default());
    script.answers.replace(answers.to_vec());
    let driver = HedgedDriver::new(Rc::clone(&script) as Rc<dyn InstanceDriver>);
    let call = start_call();
    LocalSet::new()
        .run_until(async {
            let began = Instant::now();
            let result = driver.start(call).await;
            let took_ms = began.elapsed().as_millis();
            tokio::time::sleep(Duration::from_millis(2 * TIMEOUT_MS)).await;
            (result, took_ms, script.made.get(), script.finished.get())
        })
        .await
}

const STARTED: StartResult = StartResult::Started;
const OUTDATED: StartResult = StartResult::Refused(RefusalReason::Outdated);

#[tokio::test(start_paused = true)]
async fn a_start_that_is_answered_soon_is_made_once() {
    let (result, took_ms, made, _) = start(&[Some((3, STARTED))]).await;
    assert_eq!((result, took_ms, made), (STARTED, 3, 1));
    let (result, _, made, _) = start(&[Some((3, OUTDATED))]).await;
    assert_eq!((result, made), (OUTDATED, 1));
}

#[tokio::test(start_paused = true)]
async fn a_start_whose_answer_is_lost_is_made_again_long_before_its_timeout() {
    let (result, took_ms, made, _) = start(&[None, Some((2, STARTED))]).await;
    assert_eq!((result, made), (STARTED, 2));
    assert!(took_ms <= 30, "{took_ms} ms");
}

#[tokio::test(start_paused = true)]
async fn a_refused_repetition_doesnt_prove_that_nothing_runs() {
    // The instance executed the first attempt, and the run ended before the second attempt.
    let (result, _, _, _) = start(&[None, Some((2, OUTDATED))]).await;
    assert_eq!(result, StartResult::Unanswered);
}

#[tokio::test(start_paused = true)]
async fn a_start_without_any_answer_is_unanswered_after_all_attempts() {
    let (result, took_ms, made, finished) = start(&[]).await;
    assert_eq!((result, made, finished), (StartResult::Unanswered, 4, 4));
    assert!(took_ms <= 200, "{took_ms} ms");
}

#[tokio::test(start_paused = true)]
async fn a_call_that_fails_at_once_is_repeated_at_once_and_then_paced() {
    let failed = Some((0, StartResult::Unanswered));
    let (result, took_ms, made, _) = start(&[failed, Some((2, STARTED))]).await;
    assert_eq!((result, took_ms, made), (STARTED, 2, 2));
    // The instance resets every connection.
    let (result, took_ms, made, _) = start(&[failed; 4]).await;
    assert_eq!((result, made), (StartResult::Unanswered, 4));
    assert!(took_ms >= 50, "4 attempts within {took_ms} ms");
}

/// Guards against tasks that run twice at once: the repetition of a start reached the incarnation
/// that had replaced the lost one, while the run counted as crashed and was started elsewhere.
#[tokio::test(start_paused = true)]
async fn a_start_is_not_repeated_after_its_instance_was_lost() {
    for (answers, made_before) in [(vec![], 2), (vec![Some((20, StartResult::Unanswered))], 2)] {
        let script = Rc::new(ScriptedInstance::default());
        script.answers.replace(answers);
        let driver = HedgedDriver::new(Rc::clone(&script) as Rc<dyn InstanceDriver>);
        let lose = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            assert_eq!(script.made.get(), made_before);
            driver.note_instance_lost();
        };
        let local = LocalSet::new();
        let starting = async { tokio::join!(driver.start(start_call()), lose).0 };
        let result = local.run_until(starting).await;
        assert_eq!(result, StartResult::Unanswered);
        assert_eq!(script.made.get(), made_before);
    }
}

#[tokio::test(start_paused = true)]
async fn attempts_that_lose_the_race_run_to_completion() {
    let answers = [Some((40, STARTED)), Some((60, STARTED))];
    let (result, took_ms, made, finished) = start(&answers).await;
    assert_eq!((result, took_ms, made, finished), (STARTED, 40, 2, 2));
}

#[tokio::test(start_paused = true)]
async fn a_listing_is_asked_for_again_after_the_time_that_it_may_wait() {
    let driver = HedgedDriver::new(Rc::new(ScriptedInstance::default()));
    let call = ListCall {
        fence: 1,
        born_ms: None,
        lease_until_ms: None,
        settled: 0,
        wait_ms: 50,
        timeout_ms: 150,
    };
    let local = LocalSet::new();
    let began = Instant::now();
    let listing = local.run_until(driver.list(call)).await;
    assert_eq!(listing, Ok(Listing::default()));
    let took_ms = began.elapsed().as_millis();
    assert!((50..=130).contains(&took_ms), "{took_ms} ms");
}
