//! What goes wrong, alone or in pairs.

use hemlock_quorum::prelude::*;
use rand::RngExt;

use super::node::Node;
use super::{Happening, Sim};

impl Sim {
    /// Lets things go wrong from now on.
    pub(crate) fn unleash(&mut self) {
        self.calm = false;
        self.network.loss = self.rng.random_range(0.0..0.1);
        self.network.repeat = self.rng.random_range(0.0..0.1);
        self.network.late = self.rng.random_range(0.0..0.05);
        self.schedule(1, Happening::Mischief);
    }

    /// Mends everything that can be mended.
    pub(crate) fn heal(&mut self) {
        self.calm = true;
        self.network.loss = 0.0;
        self.network.repeat = 0.0;
        self.network.late = 0.0;
        self.network.cut.clear();
        for id in self.ids() {
            self.nodes.get_mut(&id).expect("known").stall_us = 0;
            self.start(id);
        }
    }

    pub(crate) fn ids(&self) -> Vec<KeeperId> {
        self.nodes.keys().copied().collect()
    }

    fn pick(&mut self) -> KeeperId {
        let ids = self.ids();
        let any = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_bool(0.5) {
            true => self.leader().unwrap_or(any),
            false => any,
        }
    }

    pub(crate) fn do_mischief(&mut self) {
        if self.calm {
            return;
        }
        let pause_us = self.rng.random_range(10_000..1_500_000);
        self.schedule(pause_us, Happening::Mischief);
        let id = self.pick();
        let plan = self.rng.random_range(0..16);
        let name = match plan {
            0..=2 => self.crash_for_a_while(id),
            3 => self.crash_for_long(id),
            4 => self.cut("cut two-way", id, true, true),
            5 => self.cut("cut inwards", id, true, false),
            6 => self.cut("cut outwards", id, false, true),
            7..=9 => self.mend_network(),
            10 => self.stall(id),
            11 => self.hand_over(),
            12..=13 => self.lose_disk(id),
            _ => self.change_set(id),
        };
        self.plans.insert(name);
    }

    fn cut(&mut self, name: &'static str, id: KeeperId, inwards: bool, out: bool) -> &'static str {
        self.cut_off(id, inwards, out);
        name
    }

    fn mend_network(&mut self) -> &'static str {
        self.network.cut.clear();
        "mend network"
    }

    pub(crate) fn crash(&mut self, id: KeeperId) {
        let node = self.nodes.get_mut(&id).expect("known");
        node.crash(&mut self.rng);
    }

    fn crash_for_a_while(&mut self, id: KeeperId) -> &'static str {
        self.crash(id);
        let after_us = self.rng.random_range(1_000..1_000_000);
        self.schedule(after_us, Happening::Restart(id));
        "crash"
    }

    /// Hundreds of entries pass while the keeper is down.
    fn crash_for_long(&mut self, id: KeeperId) -> &'static str {
        self.crash(id);
        self.schedule(5_000_000, Happening::Restart(id));
        "crash for long"
    }

    fn stall(&mut self, id: KeeperId) -> &'static str {
        let node = self.nodes.get_mut(&id).expect("known");
        node.stall_us = self.rng.random_range(0..500_000);
        "slow disk"
    }

    fn hand_over(&mut self) -> &'static str {
        if let Some(leader) = self.leader() {
            self.feed(leader, Event::TransferLeadership { to: None });
        }
        "hand over"
    }

    /// Whether every committed entry would survive the loss of one more disk.
    fn may_lose_disk(&self) -> bool {
        let committed = self.model.members();
        let whole = |(id, member): (KeeperId, Member)| {
            let node = self.nodes.get(&id);
            node.is_some_and(|node| node.incarnation == member.incarnation)
        };
        let agreed = |node: &Node| {
            let status = node.quorum.as_ref().map(Quorum::status);
            status.is_none_or(|status| {
                status.members == committed || !committed.is_voter(node.id, node.incarnation)
            })
        };
        committed.voters().count() >= 3
            && committed.iter().all(whole)
            && self.nodes.values().all(agreed)
            && self.nodes.values().all(|node| node.quorum.is_some())
    }

    /// A keeper comes back on an empty disk, often right after another one was repaired.
    pub(crate) fn lose_disk(&mut self, id: KeeperId) -> &'static str {
        if !self.may_lose_disk() {
            return "lose disk refused";
        }
        self.crash(id);
        let incarnation = self.draw_incarnation();
        let node = self.nodes.get_mut(&id).expect("known");
        node.incarnation = incarnation;
        node.disk = MemoryStorage::new(incarnation);
        let after_us = self.rng.random_range(1_000..500_000);
        self.schedule(after_us, Happening::Restart(id));
        "lose disk"
    }

    fn change_set(&mut self, id: KeeperId) -> &'static str {
        let Some(leader) = self.leader() else {
            return "change refused";
        };
        let members = self.model.members();
        let change = match members.get(id) {
            None => MemberChange::Add(id),
            Some(_) if members.voters().count() > 3 => MemberChange::Remove(id),
            Some(_) => MemberChange::Promote(id),
        };
        let token = self.next_token();
        self.feed(leader, Event::ChangeMembers { token, change });
        match change {
            MemberChange::Add(_) => "add",
            MemberChange::Remove(_) => "remove",
            _ => "promote",
        }
    }
}
