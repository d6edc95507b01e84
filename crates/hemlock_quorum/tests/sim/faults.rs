//! Random faults of keepers, disks and connections, alone or in pairs.

use hemlock_quorum::prelude::*;
use rand::RngExt;

use super::node::Node;
use super::{Rates, Sim, SimEvent};

impl Sim {
    /// Starts injecting faults.
    pub(crate) fn start_faults(&mut self) {
        self.faults_off = false;
        self.network.loss_rate = self.rng.random_range(0.0..0.2);
        self.network.duplicate_rate = self.rng.random_range(0.0..0.2);
        self.network.delay_rate = self.rng.random_range(0.0..0.2);
        self.rates = Rates::draw(&mut self.rng, self.rates.fast_elections);
        self.schedule(1, SimEvent::InjectFaults);
    }

    /// Stops injecting faults, restores the network and the disks, and restarts all keepers.
    pub(crate) fn stop_faults(&mut self) {
        self.faults_off = true;
        self.rates = Rates::without_faults(self.rates.fast_elections);
        self.network.loss_rate = 0.0;
        self.network.duplicate_rate = 0.0;
        self.network.delay_rate = 0.0;
        self.network.blocked.clear();
        for id in self.ids() {
            self.nodes
                .get_mut(&id)
                .expect("a known keeper")
                .extra_sync_us = 0;
            self.start(id);
        }
    }

    pub(crate) fn ids(&self) -> Vec<KeeperId> {
        self.nodes.keys().copied().collect()
    }

    fn pick_keeper(&mut self) -> KeeperId {
        let ids = self.ids();
        let any = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_bool(0.5) {
            true => self.leader().unwrap_or(any),
            false => any,
        }
    }

    pub(crate) fn inject_faults(&mut self) {
        if self.faults_off {
            return;
        }
        if self.rng.random_bool(0.3) {
            self.recover_briefly();
            return;
        }
        let pause_us = self.rng.random_range(1_000..self.rates.fault_interval_us);
        self.schedule(pause_us, SimEvent::InjectFaults);
        let name = self.inject_one_fault();
        self.injected_faults.insert(name);
        if self.rng.random_bool(0.3) {
            let name = self.inject_one_fault();
            self.injected_faults.insert(name);
        }
    }

    /// Restores everything for long enough that a leader can be elected, so that the next fault
    /// occurs in a working cluster.
    fn recover_briefly(&mut self) {
        self.network.blocked.clear();
        for id in self.ids() {
            self.nodes
                .get_mut(&id)
                .expect("a known keeper")
                .extra_sync_us = 0;
            self.start(id);
        }
        let pause_us = self.rng.random_range(300_000..1_500_000);
        self.schedule(pause_us, SimEvent::InjectFaults);
        self.injected_faults.insert("recover");
    }

    fn inject_one_fault(&mut self) -> &'static str {
        let id = self.pick_keeper();
        match self.rng.random_range(0..22) {
            0..=2 => self.crash_and_restart(id),
            3 => self.crash_for_long(id),
            4 => self.isolate("isolate", id, true, true),
            5 => self.isolate("block incoming", id, true, false),
            6 => self.isolate("block outgoing", id, false, true),
            7..=10 => self.restore_network(),
            11 => self.slow_disk(id),
            12 => self.transfer_leadership(),
            13..=14 => self.lose_disk(id),
            15..=16 => self.block_connection(id),
            17 => self.crash_briefly(id),
            18 => self.crash_all(),
            19 => self.crash_all_others(id),
            _ => self.change_members(id),
        }
    }

    fn isolate(
        &mut self,
        name: &'static str,
        id: KeeperId,
        inwards: bool,
        outwards: bool,
    ) -> &'static str {
        self.isolate_keeper(id, inwards, outwards);
        name
    }

    /// Blocks the connection to another keeper, in one direction or both.
    fn block_connection(&mut self, id: KeeperId) -> &'static str {
        let other = self.pick_keeper();
        self.network.blocked.insert((id, other));
        if self.rng.random_bool(0.5) {
            self.network.blocked.insert((other, id));
        }
        "block connection"
    }

    fn restore_network(&mut self) -> &'static str {
        self.network.blocked.clear();
        "restore network"
    }

    pub(crate) fn crash(&mut self, id: KeeperId) {
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        node.crash(&mut self.rng);
    }

    pub(crate) fn crash_briefly(&mut self, id: KeeperId) -> &'static str {
        self.crash(id);
        let after_us = self.rng.random_range(100..20_000);
        self.schedule(after_us, SimEvent::Restart(id));
        "crash briefly"
    }

    fn crash_all(&mut self) -> &'static str {
        for id in self.ids() {
            self.crash_and_restart(id);
        }
        "crash all"
    }

    /// Crashes all keepers but one, which may be a leader that holds a lease from their
    /// acknowledgements. They restart before the lease has expired.
    fn crash_all_others(&mut self, spared: KeeperId) -> &'static str {
        for id in self.ids().into_iter().filter(|id| *id != spared) {
            self.crash_briefly(id);
        }
        "crash all others"
    }

    fn crash_and_restart(&mut self, id: KeeperId) -> &'static str {
        self.crash(id);
        let after_us = self.rng.random_range(1_000..1_000_000);
        self.schedule(after_us, SimEvent::Restart(id));
        "crash"
    }

    /// Keeps the keeper down while hundreds of entries are committed.
    fn crash_for_long(&mut self, id: KeeperId) -> &'static str {
        self.crash(id);
        self.schedule(5_000_000, SimEvent::Restart(id));
        "crash for long"
    }

    fn slow_disk(&mut self, id: KeeperId) -> &'static str {
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        node.extra_sync_us = self.rng.random_range(0..500_000);
        "slow disk"
    }

    fn transfer_leadership(&mut self) -> &'static str {
        if let Some(leader) = self.leader() {
            self.feed(leader, Event::TransferLeadership { to: None });
        }
        "transfer leadership"
    }

    /// Whether all committed entries would survive the loss of one more disk.
    fn may_lose_disk(&self) -> bool {
        let committed = self.model.members();
        let on_current_disk = |(id, member): (KeeperId, Member)| {
            let node = self.nodes.get(&id);
            node.is_some_and(|node| node.incarnation == member.incarnation)
        };
        let knows_members = |node: &Node| {
            let status = node.quorum.as_ref().map(Quorum::status);
            status.is_none_or(|status| {
                status.members == committed || !committed.is_voter(node.id, node.incarnation)
            })
        };
        committed.voters().count() >= 3
            && committed.iter().all(on_current_disk)
            && self.nodes.values().all(knows_members)
            && self.nodes.values().all(|node| node.quorum.is_some())
    }

    /// Restarts a keeper with an empty disk, if no committed entry can be lost. This often happens
    /// right after another disk was replaced.
    pub(crate) fn lose_disk(&mut self, id: KeeperId) -> &'static str {
        if !self.may_lose_disk() {
            return "disk loss skipped";
        }
        self.replace_disk(id);
        "lose disk"
    }

    /// Crashes a keeper and restarts it with an empty disk.
    pub(crate) fn replace_disk(&mut self, id: KeeperId) {
        self.crash(id);
        let incarnation = self.draw_incarnation();
        let node = self.nodes.get_mut(&id).expect("a known keeper");
        node.incarnation = incarnation;
        node.disk = MemoryStorage::new(incarnation);
        let after_us = self.rng.random_range(1_000..500_000);
        self.schedule(after_us, SimEvent::Restart(id));
    }

    /// Sends up to three changes of the member set at once, as concurrent operators may.
    fn change_members(&mut self, id: KeeperId) -> &'static str {
        let mut id = id;
        let mut name = "change skipped";
        for _ in 0..self.rng.random_range(1..=3) {
            name = self.change_member(id);
            id = self.pick_keeper();
        }
        name
    }

    fn change_member(&mut self, id: KeeperId) -> &'static str {
        let Some(leader) = self.leader() else {
            return "change skipped";
        };
        let members = self.model.members();
        let (name, change) = match members.get(id) {
            None => ("add", MemberChange::Add(id)),
            Some(_) if members.voters().count() > 3 => ("remove", MemberChange::Remove(id)),
            Some(_) => ("promote", MemberChange::Promote(id)),
        };
        let token = self.next_token();
        self.feed(leader, Event::ChangeMembers { token, change });
        name
    }
}
