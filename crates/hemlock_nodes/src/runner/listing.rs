//! Renewing leases, and hearing of ends.

use std::rc::Rc;

use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use tracing::warn;

use super::Runner;

/// How long an instance on which nothing runs may wait before it answers.
const IDLE_WAIT: DurationMs = DurationMs::new(100);
/// How long an instance may wait for the end of what runs. A lost answer hides all ends for this
/// time, which holds up the work that waits for their room; a busy instance has an end every 20 ms.
const BUSY_WAIT: DurationMs = DurationMs::new(20);
/// Time beyond the wait after which a listing counts as unanswered.
const ANSWER_TIME: DurationMs = DurationMs::new(100);
/// Pause while an end waits to be settled: the instance would repeat it at once.
const UNSETTLED_PAUSE: DurationMs = DurationMs::new(10);
/// Pause after an instance was found to be gone.
const GONE_PAUSE: DurationMs = DurationMs::new(200);
impl Runner {
    /// Renews leases and takes in ends. Never returns.
    pub(super) async fn keep_listing(self: &Rc<Self>) {
        loop {
            let call = self.next_listing().await;
            let asked_at = self.clock.now();
            let answer = self.driver.list(call).await;
            let now = self.clock.now();
            if self.runs.borrow().fence() != call.fence {
                continue;
            }
            match answer {
                Ok(listing) => {
                    self.take_listing(now, asked_at, &listing);
                }
                Err(ListError::Unanswered) => {
                    let change = self.runs.borrow_mut().expire_silent_instance(now);
                    self.tell_lost(change, "silent");
                }
                Err(ListError::Gone) => {
                    self.lose_instance("gone");
                    self.pause(GONE_PAUSE).await;
                }
                Err(ListError::OtherInstance) => {
                    self.lose_instance("another");
                    self.driver.set_target(None);
                }
                Err(ListError::Fenced) => {
                    warn!(event = "fenced", fence = call.fence);
                    self.runs.borrow_mut().raise_fence();
                }
            }
        }
    }

    /// The next call, once it is due.
    async fn next_listing(&self) -> ListCall {
        if self.runs.borrow().has_unsettled_ends() {
            self.pause(UNSETTLED_PAUSE).await;
        }
        let mut runs = self.runs.borrow_mut();
        let now = self.clock.now();
        let fence = runs.fence();
        let wait = match runs.running() {
            _ if runs.has_unsettled_ends() => DurationMs::new(0),
            0 => IDLE_WAIT,
            _ => BUSY_WAIT,
        };
        ListCall {
            fence,
            lease_until_ms: runs.renew_lease(now),
            settled: runs.settled(),
            wait_ms: wait.as_ms(),
            timeout_ms: wait.as_ms() + ANSWER_TIME.as_ms(),
        }
    }

    async fn pause(&self, span: DurationMs) {
        // Either way the loop goes on.
        let _ = tokio::time::timeout(span.as_std(), self.listing_due.notified()).await;
    }

    fn take_listing(self: &Rc<Self>, now: Instant, asked_at: Instant, listing: &Listing) {
        let (change, calls) = self
            .runs
            .borrow_mut()
            .handle_listing(now, asked_at, listing);
        self.tell_change(change);
        self.make_calls(calls);
        self.tell_outcomes();
    }

    fn lose_instance(self: &Rc<Self>, cause: &'static str) {
        let change = self.runs.borrow_mut().instance_lost(self.clock.now());
        self.tell_lost(change, cause);
    }

    fn tell_lost(self: &Rc<Self>, change: InstanceChange, cause: &'static str) {
        if change != InstanceChange::None {
            warn!(event = "instance-lost", cause);
        }
        self.tell_change(change);
    }
}
