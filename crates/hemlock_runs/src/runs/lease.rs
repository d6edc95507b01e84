//! The lease of the instance's runs: how far it may be renewed, and when it has lapsed.

use hemlock_dispatch::prelude::{lease_within, longest_lease};
use hemlock_types::time::{DurationMs, Instant};

use super::{InstanceChange, Loss, NumberedEnd, Runs};
use crate::tracked_run::{Owner, Phase, TrackedRun};

/// Safety margin after the longest lease, in milliseconds, before the runs that it covers count as
/// ended.
const LEASE_MARGIN_MS: u64 = 50;
/// Time by which a gateway's runs end before its callers submit their jobs again, in milliseconds.
/// It covers messages in transit and the error of the estimated clock.
pub(super) const RESUBMIT_MARGIN_MS: u64 = 50;

impl Runs {
    /// Whether the lease may be extended.
    ///
    /// While a stop is unanswered, only the end of the lease guarantees that the run ends, and the
    /// caller may soon submit the job again. While ends wait for an absent leader, only a lapse of
    /// the lease guarantees that they no longer count once their tasks are started elsewhere.
    pub fn may_renew(&self, now: Instant) -> bool {
        let unanswered =
            |tracked: &TrackedRun| matches!(tracked.phase, Phase::Stopping { accepted: None, .. });
        !self.table.values().any(unanswered) && !self.holds_ends_without_leader(now)
    }

    /// Whether there are ends that must be recorded while no leader with authority over this agent
    /// can record them.
    fn holds_ends_without_leader(&self, now: Instant) -> bool {
        let authority = DurationMs::new(self.settings.leader_authority_ms);
        let confirmed_at = self.leader_confirmed_at;
        let has_authority = confirmed_at.is_some_and(|at| now <= at + authority);
        let is_pending = |end: &NumberedEnd| !end.settled && !end.lease_lapsed;
        !has_authority && self.ends.values().any(is_pending)
    }

    /// Marks all kept ends as no longer valid if the lease has lapsed while no leader could record
    /// them.
    pub(super) fn mark_lapsed_ends(&mut self, now: Instant) {
        let margin = DurationMs::new(LEASE_MARGIN_MS);
        let lapsed = now > self.lease_extended_at + self.longest_lease() + margin;
        if lapsed && self.holds_ends_without_leader(now) {
            self.ends
                .values_mut()
                .for_each(|end| end.lease_lapsed = true);
        }
    }

    /// Estimated time on the instance's clock, in milliseconds.
    fn clock_ms(&self, now: Instant) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.clock_ms + now.since(reading.at).as_ms())
    }

    /// Time by which the runs of gateways must be over unless they are heard from again: the callers
    /// of the one that has been silent for the longest time may submit their jobs again then.
    fn gateways_limit(&self) -> Option<Instant> {
        let may_go_on = |tracked: &&TrackedRun| {
            let has_stopped = matches!(
                tracked.phase,
                Phase::Stopping {
                    accepted: Some(_),
                    ..
                }
            );
            matches!(tracked.owner, Some(Owner::Gateway(_))) && !has_stopped
        };
        let heard_at = |owner: Owner| match self.owners.get(&owner) {
            Some(state) => Some(state.last_sign.unwrap_or(Instant::ZERO)),
            None => self.departed.get(&owner).copied(),
        };
        let runs = self.table.values().filter(may_go_on);
        let runs = runs.filter_map(|tracked| tracked.owner);
        // A lease never gets shorter, so it limits what is started under it later as well.
        let queued = self.queued.values().map(|queued| queued.owner);
        let queued = queued.filter(|owner| matches!(owner, Owner::Gateway(_)));
        let earliest = runs.chain(queued).filter_map(heard_at).min()?;
        let limit_ms = self.settings.resubmit_ms.saturating_sub(RESUBMIT_MARGIN_MS);
        Some(earliest + DurationMs::new(limit_ms))
    }

    /// Extends the lease to its full duration from now, or as far as the silence of gateways allows,
    /// and returns its end on the instance's clock.
    fn extend_lease(&mut self, now: Instant) -> Option<u64> {
        let limit = self.gateways_limit();
        let allowed_ms = limit.map(|limit| lease_within(limit.since(now)));
        let length_ms = allowed_ms.map_or(self.settings.lease_ms, |allowed_ms| {
            allowed_ms.min(self.settings.lease_ms)
        });
        let until_ms = self.clock_ms(now)? + length_ms;
        self.lease_until_max_ms = self.lease_until_max_ms.max(until_ms);
        self.lease_extended_at = now;
        Some(until_ms)
    }

    /// Extends the lease for a listing and returns its new end on the instance's clock.
    ///
    /// Returns `None` if [`Runs::may_renew`] forbids it, while the instance does not answer, and
    /// while a run is unclaimed. The owner of such a run may be gone; without a renewal the run
    /// ends with its last lease, however often this process is restarted.
    pub fn renew_lease(&mut self, now: Instant) -> Option<u64> {
        let may_renew = self.may_renew(now) && !self.has_unclaimed() && self.is_answering(now);
        may_renew.then(|| self.extend_lease(now)).flatten()
    }

    /// The end of the lease for a start now, on the instance's clock, if enough is left of it. A
    /// start that may not extend the lease uses the rest of the current one.
    pub(super) fn lease_for_start(&mut self, now: Instant) -> Option<u64> {
        if !self.is_answering(now) {
            return None;
        }
        let until_ms = match self.may_renew(now) {
            true => self.extend_lease(now)?.max(self.lease_until_max_ms),
            false => self.lease_until_max_ms,
        };
        let min_until_ms = self.clock_ms(now)? + self.settings.min_start_lease_ms;
        (until_ms >= min_until_ms).then_some(until_ms)
    }

    /// Whether the instance has answered recently. An instance that does not answer may still
    /// execute the calls that it receives, so runs are started and the lease is renewed only while
    /// it answers.
    pub(crate) fn is_answering(&self, now: Instant) -> bool {
        now <= self.last_answered_request_at + DurationMs::new(self.settings.answer_timeout_ms)
    }

    /// Treats the instance as lost if it has not answered for longer than any lease that may have
    /// been granted to it.
    pub fn expire_silent_instance(&mut self, now: Instant) -> InstanceChange {
        let margin = DurationMs::new(self.settings.max_stop_ms + LEASE_MARGIN_MS);
        let lapsed = now > self.lease_extended_at + self.longest_lease() + margin;
        match lapsed && !self.is_answering(now) {
            true => self.note_lost(now, Loss::Silent, |_, _| false),
            false => InstanceChange::None,
        }
    }

    /// The longest real duration of a lease: an instance's clock may be slow.
    pub fn longest_lease(&self) -> DurationMs {
        longest_lease(self.settings.lease_ms)
    }
}
