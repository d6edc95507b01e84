//! Heartbeats of the instance, and answers of the instance that confirm them.

use std::rc::Rc;

use hemlock_dispatch::prelude::InstanceReport;
use hemlock_runs::prelude::*;
use hemlock_types::prelude::*;
use tracing::{info, warn};

use super::Runner;
use crate::listing_backoff::ListingBackoff;

/// Time for which an instance that doesn't answer is asked to confirm a heartbeat. A later heartbeat
/// starts another attempt.
const CONFIRMATION_TIMEOUT: DurationMs = DurationMs::new(1_500);
/// Most heartbeats that wait for their confirmation at once. Further ones are dropped, so that
/// another writer can't make the runner flood the instance with calls.
const MAX_UNCONFIRMED_HEARTBEATS: usize = 8;

/// Counts a heartbeat of an unconfirmed incarnation by the outcome of its check.
fn count_check(outcome: &'static str) {
    metrics::counter!("hemlock_runner_heartbeat_checks_total", "outcome" => outcome).increment(1);
}

impl Runner {
    /// Handles a heartbeat. One that names another incarnation than the present one has an effect
    /// only once the instance that it names has answered.
    pub fn handle_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) {
        let now = self.clock.now();
        let outcome = self.runs.borrow_mut().heartbeat_received(now, &heartbeat);
        match outcome {
            HeartbeatOutcome::Handled(change) => self.apply_heartbeat(&heartbeat, change),
            HeartbeatOutcome::Unconfirmed => self.request_confirmation(heartbeat),
        }
    }

    /// Requests the confirmation of an instance that an earlier process of this agent has recorded.
    pub(super) fn restore_instance(self: &Rc<Self>, recorded: Option<InstanceReport>) {
        let is_unknown = self.runs.borrow().instance().is_none();
        // Without a start time, an answer couldn't tell a restarted instance from the recorded one.
        let usable = recorded
            .filter(|recorded| is_unknown && recorded.id.born_ms > 0 && recorded.is_usable());
        if let Some(instance) = usable {
            self.request_confirmation(Heartbeat {
                instance,
                sequence: 0,
                cold_left_ms: 0,
            });
        }
    }

    /// Handles the instance's notice that it shuts down.
    pub fn handle_leave(self: &Rc<Self>, name: &str) {
        info!(event = "instance-left", instance = name);
        let change = self.runs.borrow_mut().instance_left(name);
        self.report_instance_change(change);
        self.listing_due.notify_one();
    }

    fn apply_heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat, change: InstanceChange) {
        let instance = &heartbeat.instance;
        if heartbeat.cold_left_ms > 0 {
            self.note_load_changed();
        }
        if change != InstanceChange::None {
            info!(event = "instance-beat", instance = instance.id.name, born = instance.id.born_ms,
                  domain = instance.failure_domain, draining = instance.draining,
                  change = ?change);
            self.driver.set_target(Some(instance.id.name.clone()));
            self.listing_due.notify_one();
        }
        self.report_instance_change(change);
    }

    fn request_confirmation(self: &Rc<Self>, heartbeat: Heartbeat) {
        let waiting = self.unconfirmed_heartbeats.get();
        if waiting >= MAX_UNCONFIRMED_HEARTBEATS {
            count_check("dropped");
            warn!(
                event = "beat-dropped",
                instance = heartbeat.instance.id.name,
                waiting
            );
            return;
        }
        self.unconfirmed_heartbeats.set(waiting + 1);
        let runner = Rc::clone(self);
        self.tasks.spawn(async move {
            runner.confirm_heartbeat(&heartbeat).await;
            let waiting = runner.unconfirmed_heartbeats.get();
            runner.unconfirmed_heartbeats.set(waiting - 1);
        });
    }

    /// Asks the instance that the heartbeat names for an answer, and applies the heartbeat if it
    /// comes from the same incarnation.
    async fn confirm_heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat) {
        let id = &heartbeat.instance.id;
        let received_at = self.clock.now();
        let mut backoff = ListingBackoff::default();
        let refutation = loop {
            let asked_at = self.clock.now();
            if asked_at > received_at + CONFIRMATION_TIMEOUT {
                break "unanswered";
            }
            let fence = self.runs.borrow().fence();
            match self.driver.identify(id.name.clone(), fence).await {
                Ok(listing) => match self.handle_identity(asked_at, heartbeat, &listing) {
                    Confirmation::Confirmed(change, calls) => {
                        count_check("confirmed");
                        self.apply_heartbeat(heartbeat, change);
                        self.make_calls(calls);
                        return;
                    }
                    Confirmation::Refuted => break "another-start-time",
                    Confirmation::Outdated => {}
                },
                Err(ListError::OtherInstance) => break "another-name",
                // A new process of the runner raises its fencing token with its next listing.
                Err(ListError::Gone | ListError::Fenced | ListError::Unanswered) => {
                    tokio::time::sleep(backoff.next_delay().as_std()).await;
                }
            }
        };
        count_check(refutation);
        let age_ms = self.clock.now().since(received_at).as_ms();
        warn!(
            event = "beat-unconfirmed",
            instance = id.name,
            born = id.born_ms,
            service = heartbeat.instance.service,
            cause = refutation,
            age_ms
        );
    }

    fn handle_identity(
        &self,
        asked_at: Instant,
        heartbeat: &Heartbeat,
        listing: &Listing,
    ) -> Confirmation {
        let mut runs = self.runs.borrow_mut();
        runs.confirm_heartbeat(self.clock.now(), asked_at, heartbeat, listing)
    }
}
