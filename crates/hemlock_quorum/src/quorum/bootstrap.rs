//! Bootstrapping of a cluster, and join requests of keepers that know no leader.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_types::ids::Incarnation;
use hemlock_types::time::{DurationMs, Instant};

use super::{JoinRequest, Quorum};
use crate::config::QuorumConfig;
use crate::disk_work::HardState;
use crate::entry::{Entry, Payload};
use crate::ids::{KeeperId, LogIndex, Term};
use crate::member::{Member, MemberSet};
use crate::message::{Body, Join, JoinReply};

/// Bits of this keeper's disk incarnation that are added to the first term.
const BOOTSTRAP_TERM_MASK: u64 = 0xffff;

/// Number of heartbeat intervals, beyond the longest election timeout, to wait for messages from an
/// existing cluster before bootstrapping.
const BOOTSTRAP_WAIT_HEARTBEATS: u64 = 2;

/// Largest number of join requests that are remembered. Any keeper may send one.
const MAX_JOIN_REQUESTS: usize = 64;

/// Decides whether this keeper may bootstrap the cluster.
///
/// Only the keeper with the lowest id may, once, when its own disk and those of all other
/// configured keepers are empty. Each of them reports this in a reply to the current incarnation of
/// this keeper's disk; replies to an earlier incarnation are ignored.
#[derive(Debug)]
pub(crate) struct Bootstrap {
    allow_bootstrap: bool,
    empty: bool,
    /// Earliest time for bootstrapping. The wait gives a leader's heartbeat or a candidate's vote
    /// request time to show that a cluster exists.
    not_before: Instant,
    empty_disk_replies: BTreeMap<KeeperId, Incarnation>,
    /// Keepers named by other keepers.
    contacts: BTreeSet<KeeperId>,
}

impl Bootstrap {
    pub(crate) fn new(config: &QuorumConfig, empty: bool) -> Self {
        Self {
            allow_bootstrap: config.allow_bootstrap
                && empty
                && config.bootstrap_keepers.iter().min() == Some(&config.id),
            empty,
            not_before: Instant::ZERO,
            empty_disk_replies: BTreeMap::new(),
            contacts: BTreeSet::new(),
        }
    }

    /// Starts the wait when the process starts. A single configured keeper does not wait, because
    /// no other keeper can belong to an existing cluster.
    pub(crate) fn start(&mut self, now: Instant, config: &QuorumConfig) {
        let is_only_keeper = config.bootstrap_keepers.iter().all(|id| *id == config.id);
        let wait_ms = match is_only_keeper {
            true => 0,
            false => config.election_max_ms + BOOTSTRAP_WAIT_HEARTBEATS * config.heartbeat_ms,
        };
        self.not_before = now + DurationMs::new(wait_ms);
    }

    /// Prevents bootstrapping, because a cluster exists.
    pub(crate) fn disable(&mut self) {
        self.allow_bootstrap = false;
    }

    /// Prevents bootstrapping and records that this disk is about to hold the log of a cluster.
    pub(crate) fn mark_disk_used(&mut self) {
        self.allow_bootstrap = false;
        self.empty = false;
    }
}

impl Quorum {
    /// Sends join requests to all known keepers while no leader is known.
    pub(super) fn send_join_requests(&mut self) {
        if self.leader.is_some() {
            return;
        }
        let empty = self.bootstrap.empty;
        for id in self.known_keepers() {
            self.send(id, None, Body::Join(Join { empty }));
        }
    }

    /// All keepers, except this one, that may know a leader.
    fn known_keepers(&self) -> BTreeSet<KeeperId> {
        let members = self.log.members().iter().map(|(id, _)| id);
        let mut known: BTreeSet<_> = self.config.bootstrap_keepers.iter().copied().collect();
        known.extend(members);
        known.extend(&self.bootstrap.contacts);
        known.remove(&self.config.id);
        known
    }

    pub(super) fn on_join(&mut self, from: KeeperId, sender: Incarnation, join: Join) {
        if !join.empty {
            self.bootstrap.disable();
        }
        if self.join_requests.len() < MAX_JOIN_REQUESTS || self.join_requests.contains_key(&from) {
            let received_at = self.now;
            let incarnation = sender;
            self.join_requests.insert(
                from,
                JoinRequest {
                    incarnation,
                    received_at,
                },
            );
        }
        let empty = self.bootstrap.empty;
        let members = self.log.members().iter().map(|(id, _)| id).collect();
        let reply = JoinReply { empty, members };
        self.send(from, Some(sender), Body::JoinReply(reply));
    }

    pub(super) fn on_join_reply(&mut self, from: KeeperId, sender: Incarnation, reply: JoinReply) {
        self.add_contacts(reply.members);
        match reply.empty {
            true => {
                self.bootstrap.empty_disk_replies.insert(from, sender);
                self.bootstrap_if_ready();
            }
            false => self.bootstrap.disable(),
        }
    }

    /// Prevents bootstrapping, because the sender belongs to a cluster.
    pub(super) fn record_existing_cluster(&mut self, sender: KeeperId) {
        self.bootstrap.disable();
        self.add_contacts(vec![sender]);
    }

    fn add_contacts(&mut self, members: Vec<KeeperId>) {
        let contacts = &mut self.bootstrap.contacts;
        if self.leader.is_none() && contacts.len() + members.len() <= MAX_JOIN_REQUESTS {
            contacts.extend(members);
        }
    }

    /// Appends the first log entry once all configured keepers have replied and the wait is over.
    pub(super) fn bootstrap_if_ready(&mut self) {
        let empty_disk_replies = &self.bootstrap.empty_disk_replies;
        let mut others = self.config.bootstrap_keepers.iter();
        let complete =
            others.all(|id| *id == self.config.id || empty_disk_replies.contains_key(id));
        let waited = self.now >= self.bootstrap.not_before;
        if !self.bootstrap.allow_bootstrap || !complete || !waited {
            return;
        }
        let bootstrap_keepers = &self.config.bootstrap_keepers;
        let others = empty_disk_replies
            .iter()
            .filter(|(id, _)| bootstrap_keepers.contains(id));
        let voters = others.map(|(id, disk)| (*id, Member::voter(*disk)));
        let own_member = (self.config.id, Member::voter(self.config.incarnation));
        let members = MemberSet::new(voters.chain([own_member]));
        self.bootstrap.mark_disk_used();
        self.append_first_entry(members);
    }

    /// Appends the first entry, which defines the initial members. The first term is derived from
    /// the disk incarnation, so that logs of different bootstraps can be told apart.
    fn append_first_entry(&mut self, members: MemberSet) {
        assert_eq!(
            self.log.last_index(),
            LogIndex::ZERO,
            "the log must be empty for bootstrapping"
        );
        let term = Term(1 + (self.config.incarnation.0 & BOOTSTRAP_TERM_MASK));
        self.change_hard_state(HardState {
            term: self.hard_state.term.max(term),
            voted_for: None,
        });
        self.log.append(Entry {
            term,
            index: LogIndex::ZERO.next(),
            payload: Payload::Members(members),
        });
        self.refuse_votes_until = self.now;
        self.election_deadline = self.now;
    }
}
