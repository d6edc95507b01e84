//! How a cluster begins, and how a keeper on a new disk makes itself known.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_types::ids::Incarnation;
use hemlock_types::time::{DurationMs, Instant};

use super::{Joiner, Quorum};
use crate::config::QuorumConfig;
use crate::disk_work::HardState;
use crate::entry::{Entry, Payload};
use crate::ids::{KeeperId, LogIndex, Term};
use crate::member::{Member, MemberSet};
use crate::message::{Body, Join, JoinReply};

/// Bits of the founder's incarnation from which the first term is taken.
const FOUNDING_TERM_MASK: u64 = 0xffff;

/// Heartbeats past the longest election timeout for which a founder listens.
const LISTEN_HEARTBEATS: u64 = 2;

/// Callers that are remembered, whoever they are.
const MAX_JOINERS: usize = 64;

/// Whether this keeper may found the cluster.
///
/// Only the founder with the lowest id does, once, when its own disk and those of all other
/// founders are empty. Each says so in answer to this life of its disk, so that an answer to an
/// earlier life counts for nothing.
#[derive(Debug)]
pub(crate) struct Founding {
    may_found: bool,
    empty: bool,
    /// Nothing is founded before, so that a leader's heartbeat or a candidate's request can show
    /// that a cluster exists.
    not_before: Instant,
    answers: BTreeMap<KeeperId, Incarnation>,
    /// Keepers that others have named.
    contacts: BTreeSet<KeeperId>,
}

impl Founding {
    pub(crate) fn new(config: &QuorumConfig, empty: bool) -> Self {
        Self {
            may_found: config.may_found
                && empty
                && config.founders.iter().min() == Some(&config.me),
            empty,
            not_before: Instant::ZERO,
            answers: BTreeMap::new(),
            contacts: BTreeSet::new(),
        }
    }

    /// The process starts at `now`; a lone founder has nobody to listen for.
    pub(crate) fn start(&mut self, now: Instant, config: &QuorumConfig) {
        let alone = config.founders.iter().all(|id| *id == config.me);
        let listen_ms = match alone {
            true => 0,
            false => config.election_max_ms + LISTEN_HEARTBEATS * config.heartbeat_ms,
        };
        self.not_before = now + DurationMs::new(listen_ms);
    }

    /// A cluster exists already.
    pub(crate) fn forbid(&mut self) {
        self.may_found = false;
    }

    /// A cluster exists already, and this disk is about to hold its log.
    pub(crate) fn give_up(&mut self) {
        self.may_found = false;
        self.empty = false;
    }
}

impl Quorum {
    /// Makes this keeper known to all others while no leader talks to it.
    pub(super) fn call_for_leader(&mut self) {
        if self.leader.is_some() {
            return;
        }
        let empty = self.founding.empty;
        for id in self.known_keepers() {
            self.send(id, None, Body::Join(Join { empty }));
        }
    }

    /// Everyone but this keeper who may know a leader.
    fn known_keepers(&self) -> BTreeSet<KeeperId> {
        let members = self.log.members().iter().map(|(id, _)| id);
        let mut known: BTreeSet<_> = self.config.founders.iter().copied().collect();
        known.extend(members);
        known.extend(&self.founding.contacts);
        known.remove(&self.config.me);
        known
    }

    pub(super) fn on_join(&mut self, from: KeeperId, sender: Incarnation, join: Join) {
        if !join.empty {
            self.founding.forbid();
        }
        if self.joiners.len() < MAX_JOINERS || self.joiners.contains_key(&from) {
            let called = self.now;
            let incarnation = sender;
            self.joiners.insert(
                from,
                Joiner {
                    incarnation,
                    called,
                },
            );
        }
        let empty = self.founding.empty;
        let members = self.log.members().iter().map(|(id, _)| id).collect();
        let reply = JoinReply { empty, members };
        self.send(from, Some(sender), Body::JoinReply(reply));
    }

    pub(super) fn on_join_reply(&mut self, from: KeeperId, sender: Incarnation, reply: JoinReply) {
        self.note_contacts(reply.members);
        match reply.empty {
            true => {
                self.founding.answers.insert(from, sender);
                self.found_if_ready();
            }
            false => self.founding.forbid(),
        }
    }

    /// The sender belongs to a cluster, so none is to be founded.
    pub(super) fn note_cluster(&mut self, sender: KeeperId) {
        self.founding.forbid();
        self.note_contacts(vec![sender]);
    }

    fn note_contacts(&mut self, members: Vec<KeeperId>) {
        let contacts = &mut self.founding.contacts;
        if self.leader.is_none() && contacts.len() + members.len() <= MAX_JOINERS {
            contacts.extend(members);
        }
    }

    /// Writes the first entry, which states the founders, once all of them have answered.
    pub(super) fn found_if_ready(&mut self) {
        let answers = &self.founding.answers;
        let mut others = self.config.founders.iter();
        let complete = others.all(|id| *id == self.config.me || answers.contains_key(id));
        let listened = self.now >= self.founding.not_before;
        if !self.founding.may_found || !complete || !listened {
            return;
        }
        let founders = &self.config.founders;
        let others = answers.iter().filter(|(id, _)| founders.contains(id));
        let voters = others.map(|(id, disk)| (*id, Member::voter(*disk)));
        let me = (self.config.me, Member::voter(self.config.incarnation));
        let members = MemberSet::new(voters.chain([me]));
        self.founding.give_up();
        self.found(members);
    }

    /// The first term differs from that of any earlier founding, so that no two logs look alike.
    fn found(&mut self, members: MemberSet) {
        assert_eq!(self.log.last_index(), LogIndex::ZERO, "only an empty log");
        let term = Term(1 + (self.config.incarnation.0 & FOUNDING_TERM_MASK));
        self.change_hard_state(HardState {
            term: self.hard.term.max(term),
            voted_for: None,
        });
        self.log.append(Entry {
            term,
            index: LogIndex::ZERO.next(),
            payload: Payload::Members(members),
        });
        self.quiet_until = self.now;
        self.election_at = self.now;
    }
}
