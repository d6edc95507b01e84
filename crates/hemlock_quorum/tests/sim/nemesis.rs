//! What goes wrong, alone or in pairs.

use hemlock_quorum::prelude::*;
use rand::RngExt;

use super::node::Node;
use super::{Happening, Sim, Tempo};

impl Sim {
    /// Lets things go wrong from now on.
    pub(crate) fn unleash(&mut self) {
        self.calm = false;
        self.network.loss = self.rng.random_range(0.0..0.2);
        self.network.repeat = self.rng.random_range(0.0..0.2);
        self.network.late = self.rng.random_range(0.0..0.2);
        self.tempo = Tempo::draw(&mut self.rng, self.tempo.prompt);
        self.schedule(1, Happening::Mischief);
    }

    /// Mends everything that can be mended.
    pub(crate) fn heal(&mut self) {
        self.calm = true;
        self.tempo = Tempo::calm(self.tempo.prompt);
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
        if self.rng.random_bool(0.3) {
            self.recover_for_a_while();
            return;
        }
        let pause_us = self.rng.random_range(1_000..self.tempo.mischief_us);
        self.schedule(pause_us, Happening::Mischief);
        let name = self.do_one_thing();
        self.plans.insert(name);
        if self.rng.random_bool(0.3) {
            let name = self.do_one_thing();
            self.plans.insert(name);
        }
    }

    /// Long enough for an election, so that the next fault meets a working cluster.
    fn recover_for_a_while(&mut self) {
        self.network.cut.clear();
        for id in self.ids() {
            self.nodes.get_mut(&id).expect("known").stall_us = 0;
            self.start(id);
        }
        let pause_us = self.rng.random_range(300_000..1_500_000);
        self.schedule(pause_us, Happening::Mischief);
        self.plans.insert("recover");
    }

    fn do_one_thing(&mut self) -> &'static str {
        let id = self.pick();
        match self.rng.random_range(0..22) {
            0..=2 => self.crash_for_a_while(id),
            3 => self.crash_for_long(id),
            4 => self.cut("cut two-way", id, true, true),
            5 => self.cut("cut inwards", id, true, false),
            6 => self.cut("cut outwards", id, false, true),
            7..=10 => self.mend_network(),
            11 => self.stall(id),
            12 => self.hand_over(),
            13..=14 => self.lose_disk(id),
            15..=16 => self.cut_pair(id),
            17 => self.crash_briefly(id),
            18 => self.crash_all(),
            _ => self.change_set(id),
        }
    }

    fn cut(&mut self, name: &'static str, id: KeeperId, inwards: bool, out: bool) -> &'static str {
        self.cut_off(id, inwards, out);
        name
    }

    /// Cuts one connection, in one direction or both.
    fn cut_pair(&mut self, id: KeeperId) -> &'static str {
        let other = self.pick();
        self.network.cut.insert((id, other));
        if self.rng.random_bool(0.5) {
            self.network.cut.insert((other, id));
        }
        "cut pair"
    }

    fn mend_network(&mut self) -> &'static str {
        self.network.cut.clear();
        "mend network"
    }

    pub(crate) fn crash(&mut self, id: KeeperId) {
        let node = self.nodes.get_mut(&id).expect("known");
        node.crash(&mut self.rng);
    }

    pub(crate) fn crash_briefly(&mut self, id: KeeperId) -> &'static str {
        self.crash(id);
        let after_us = self.rng.random_range(100..20_000);
        self.schedule(after_us, Happening::Restart(id));
        "crash briefly"
    }

    fn crash_all(&mut self) -> &'static str {
        for id in self.ids() {
            self.crash_for_a_while(id);
        }
        "crash all"
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
        self.replace_disk(id);
        "lose disk"
    }

    /// A keeper crashes and comes back on an empty disk.
    pub(crate) fn replace_disk(&mut self, id: KeeperId) {
        self.crash(id);
        let incarnation = self.draw_incarnation();
        let node = self.nodes.get_mut(&id).expect("known");
        node.incarnation = incarnation;
        node.disk = MemoryStorage::new(incarnation);
        let after_us = self.rng.random_range(1_000..500_000);
        self.schedule(after_us, Happening::Restart(id));
    }

    /// Up to three changes at once, as racing operators send them.
    fn change_set(&mut self, id: KeeperId) -> &'static str {
        let mut id = id;
        let mut name = "change refused";
        for _ in 0..self.rng.random_range(1..=3) {
            name = self.change_one(id);
            id = self.pick();
        }
        name
    }

    fn change_one(&mut self, id: KeeperId) -> &'static str {
        let Some(leader) = self.leader() else {
            return "change refused";
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
