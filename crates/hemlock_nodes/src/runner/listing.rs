//! Listings: calls that renew the leases and return the ends of runs.

use std::rc::Rc;

use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use tracing::{info, warn};

use super::Runner;
use crate::listing_backoff::ListingBackoff;
use crate::run_log::log_ownership_changes;

/// Longest time that an idle instance may hold a listing before it answers.
const IDLE_HOLD: DurationMs = DurationMs::new(100);
/// Longest time that a busy instance may hold a listing until a run ends. A lost answer delays all
/// ends by this time, and with them the work that waits for the capacity; a busy instance has an
/// end every 20 ms.
const BUSY_HOLD: DurationMs = DurationMs::new(20);
/// Time after the hold time at which a listing counts as unanswered.
const LISTING_ANSWER_TIMEOUT: DurationMs = DurationMs::new(100);
/// Delay while an end is unsettled, because the instance would return it again at once.
const UNSETTLED_DELAY: DurationMs = DurationMs::new(10);
/// Delay after an instance was found to be gone.
const GONE_DELAY: DurationMs = DurationMs::new(200);

impl Runner {
    /// Renews leases and handles ended runs. Returns once a later process has taken over the
    /// instance.
    pub(super) async fn run_listings(self: &Rc<Self>) {
        let mut backoff = ListingBackoff::default();
        loop {
            let call = self.next_listing().await;
            let sent_at = self.clock.now();
            let answer = self.driver.list(call).await;
            let now = self.clock.now();
            if self.runs.borrow().fence() != call.fence {
                continue;
            }
            let predates = self.runs.borrow().predates_incarnation(sent_at);
            match answer {
                // The call failed at an incarnation that another one has replaced meanwhile.
                Err(error @ (ListError::Gone | ListError::OtherInstance)) if predates => {
                    let asked_ms = now.since(sent_at).as_ms();
                    info!(event = "listing-outdated", result = ?error, asked_ms);
                }
                Ok(listing) => {
                    backoff.reset();
                    self.handle_listing(now, sent_at, &listing);
                }
                Err(ListError::Unanswered) => {
                    let change = self.runs.borrow_mut().expire_silent_instance(now);
                    self.report_instance_lost(change, "silent");
                    tokio::time::sleep(backoff.next_delay().as_std()).await;
                }
                Err(ListError::Gone) => {
                    self.handle_instance_lost(sent_at, "gone");
                    self.delay_listing(GONE_DELAY).await;
                }
                Err(ListError::OtherInstance) => {
                    self.handle_instance_lost(sent_at, "another");
                    self.driver.set_target(None);
                }
                Err(ListError::Fenced) => {
                    let action = self.runs.borrow_mut().handle_fenced();
                    warn!(event = "fenced", fence = call.fence, action = ?action);
                    if action == FenceAction::StepDown {
                        return;
                    }
                }
            }
        }
    }

    /// Returns the next listing call once it is due.
    async fn next_listing(&self) -> ListCall {
        // The instance repeats entries that can't be used, like unsettled ends.
        if self.runs.borrow().has_unsettled_ends() || self.unusable_entries.get() > 0 {
            self.delay_listing(UNSETTLED_DELAY).await;
        }
        let mut runs = self.runs.borrow_mut();
        let now = self.clock.now();
        let fence = runs.fence();
        let wait = match runs.running() {
            _ if runs.has_unsettled_ends() => DurationMs::new(0),
            0 => IDLE_HOLD,
            _ => BUSY_HOLD,
        };
        ListCall {
            fence,
            born_ms: runs.born_ms(),
            lease_until_ms: runs.renew_lease(now),
            settled: runs.settled(),
            wait_ms: wait.as_ms(),
            timeout_ms: wait.as_ms() + LISTING_ANSWER_TIMEOUT.as_ms(),
        }
    }

    async fn delay_listing(&self, span: DurationMs) {
        // A notification only shortens the delay.
        let _ = tokio::time::timeout(span.as_std(), self.listing_due.notified()).await;
    }

    fn handle_listing(self: &Rc<Self>, now: Instant, sent_at: Instant, listing: &Listing) {
        self.note_unusable_entries(listing);
        let (change, calls) = self.runs.borrow_mut().handle_listing(now, sent_at, listing);
        log_ownership_changes(self.runs.borrow_mut().take_ownership_changes());
        if change == InstanceChange::RunsLost {
            let (born, runs) = (listing.born_ms, listing.running.len());
            let asked_ms = now.since(sent_at).as_ms();
            warn!(event = "instance-restarted", born, runs, asked_ms);
        }
        self.report_instance_change(change);
        self.make_calls(calls);
        self.report_outcomes();
    }

    /// Logs a changed number of entries that can't be used. The instance may list them for good.
    fn note_unusable_entries(&self, listing: &Listing) {
        let unusable = listing.unusable;
        if self.unusable_entries.replace(unusable) != unusable {
            let unclear = listing.unclear.len();
            warn!(event = "listing-entries-unusable", unusable, unclear);
            metrics::gauge!("hemlock_runner_unusable_entries").set(unusable as f64);
        }
    }

    fn handle_instance_lost(self: &Rc<Self>, asked_at: Instant, cause: &'static str) {
        let now = self.clock.now();
        let change = self.runs.borrow_mut().instance_lost(now, asked_at);
        self.report_instance_lost(change, cause);
    }

    fn report_instance_lost(self: &Rc<Self>, change: InstanceChange, cause: &'static str) {
        if change != InstanceChange::None {
            warn!(event = "instance-lost", cause);
        }
        self.report_instance_change(change);
    }
}
