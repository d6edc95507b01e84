//! Updates from the leading keeper.

use hemlock_types::prelude::*;

use super::Router;
use crate::action::Actions;
use crate::event::SyncUpdate;

impl Router {
    pub(super) fn apply_sync(&mut self, update: SyncUpdate, out: &mut Actions) {
        self.contracts.update(&update.config);
        self.contracts
            .set_shares(update.sent, &update.shares, update.shares_seq);
        let until = update.sent + DurationMs::new(update.lease_ms);
        self.lease_until = self.lease_until.max(until);
        let changes = self.fleet.update(&update.directory, &self.settings.domain);
        for change in changes {
            self.apply_fleet_change(change, out);
        }
        self.unpark_all();
        for submission in update.cancelled {
            if let Some(work) = self.submissions.get(&submission).copied() {
                self.cancel_work(work, out);
            }
        }
    }

    fn unpark_all(&mut self) {
        let waiting = |state: &crate::contracts::ContractState| !state.parked.is_empty();
        let parked: Vec<_> = self
            .contracts
            .iter()
            .filter(|(_, state)| waiting(state))
            .map(|(key, _)| key)
            .collect();
        for contract in parked {
            self.unpark(contract);
        }
        for service in 0..self.services.len() {
            self.services_to_dispatch
                .insert(crate::queue::ServiceKey(service as u32));
        }
    }
}
