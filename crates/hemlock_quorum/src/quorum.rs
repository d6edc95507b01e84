//! The pure core of the replicated log.

mod commit;
mod election;
mod flush;
mod follower;
mod following;
mod founding;
mod leading;
mod members;
mod proposals;
mod replication;
mod role_state;
mod snapshots;

use std::collections::{BTreeMap, VecDeque};

use hemlock_types::ids::Incarnation;
use hemlock_types::time::{DurationMs, Instant};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::action::Action;
use crate::config::QuorumConfig;
use crate::disk_work::{HardState, RecoveredState};
use crate::durable::Durable;
use crate::error::QuorumError;
use crate::event::Event;
use crate::ids::{KeeperId, LogIndex, Term, WorkId};
use crate::log::Log;
use crate::message::{Body, Message};
use crate::snapshot::{Snapshot, SnapshotHead};
use crate::status::{FollowerStatus, QuorumRole, QuorumStatus};
use founding::Founding;
use role_state::RoleState;
use snapshots::Incoming;

/// One keeper's part of the replicated log.
///
/// It does no I/O and reads no clock: the shell feeds [`Event`]s and does the [`Action`]s.
#[derive(Debug)]
pub struct Quorum {
    config: QuorumConfig,
    rng: Pcg32,
    now: Instant,
    started: bool,
    role: RoleState,
    leader: Option<KeeperId>,
    hard: HardState,
    hard_changed: bool,
    /// The work that makes the present vote durable.
    hard_work: WorkId,
    log: Log,
    durable: Durable,
    commit: LogIndex,
    applied: LogIndex,
    applied_bytes: u64,
    snapshot: Option<Snapshot>,
    snapshot_asked: bool,
    snapshot_after_entries: u64,
    incoming: Option<Incoming>,
    /// Up to where the log is known to agree with the leader's.
    agreed: LogIndex,
    /// The latest `sent_us` from the present leader.
    echo_us: u64,
    ack_due: bool,
    /// No vote is given before, because a leader may rely on its lease.
    quiet_until: Instant,
    election_at: Instant,
    next_call: Instant,
    joiners: BTreeMap<KeeperId, Joiner>,
    founding: Founding,
    held: VecDeque<(WorkId, KeeperId, Message)>,
    out: Vec<Action>,
}

/// A keeper that has called because no leader talks to it.
#[derive(Clone, Copy, Debug)]
struct Joiner {
    incarnation: Incarnation,
    called: Instant,
}

impl Quorum {
    /// A core that goes on from what the disk holds. `seed` spreads its election timeouts.
    ///
    /// The first event makes it restore the state machine from the recovered snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the settings contradict each other or the disk.
    pub fn new(
        config: QuorumConfig,
        seed: u64,
        recovered: RecoveredState,
    ) -> Result<Self, QuorumError> {
        config.check()?;
        check_incarnation(&config, &recovered)?;
        check_gaps(&recovered)?;
        let empty = recovered.is_empty();
        let head = recovered
            .snapshot
            .as_ref()
            .map_or_else(SnapshotHead::default, |snapshot| snapshot.head.clone());
        let base = head.index;
        let log = Log::new(head, recovered.entries);
        let last = log.last_index();
        Ok(Self {
            founding: Founding::new(&config, empty),
            snapshot_after_entries: config.snapshot_after_entries,
            config,
            rng: Pcg32::seed_from_u64(seed),
            now: Instant::ZERO,
            started: false,
            role: RoleState::Follower,
            leader: None,
            hard: recovered.hard_state,
            hard_changed: false,
            hard_work: WorkId::default(),
            log,
            durable: Durable::new(last),
            commit: base,
            applied: base,
            applied_bytes: 0,
            snapshot: recovered.snapshot,
            snapshot_asked: false,
            incoming: None,
            agreed: base,
            echo_us: 0,
            ack_due: false,
            quiet_until: Instant::ZERO,
            election_at: Instant::ZERO,
            next_call: Instant::ZERO,
            joiners: BTreeMap::new(),
            held: VecDeque::new(),
            out: Vec::new(),
        })
    }

    /// Handles one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.handle_all(now, [event], out);
    }

    /// Handles events that came together: their entries share one disk write and one message to
    /// each follower.
    pub fn handle_all(
        &mut self,
        now: Instant,
        events: impl IntoIterator<Item = Event>,
        out: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        self.start_once();
        for event in events {
            self.step(event);
        }
        self.flush();
        out.append(&mut self.out);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Received { from, message } => self.receive(from, message),
            Event::Propose { token, command } => self.propose(token, command),
            Event::ChangeMembers { token, change } => self.change_members(token, change),
            Event::Synced { up_to } => self.synced(up_to),
            Event::SnapshotTaken { index, data } => self.store_snapshot(index, data),
            Event::TransferLeadership { to } => self.start_hand_over(to),
            Event::ConfirmRead { token } => self.confirm_read(token),
        }
    }

    /// Begins as if a leader had just been heard: an earlier life of this process may have.
    fn start_once(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        self.founding.start(self.now, &self.config);
        self.hear_leader();
        self.next_call = self.now;
        if let Some(snapshot) = &self.snapshot {
            self.out.push(Action::Restore(snapshot.clone()));
        }
    }

    fn tick(&mut self) {
        match self.role {
            RoleState::Leader(_) => self.tick_leader(),
            _ => self.tick_follower(),
        }
    }

    fn receive(&mut self, from: KeeperId, message: Message) {
        if !matches!(message.body, Body::Join(_) | Body::JoinReply(_)) {
            self.note_cluster(from);
        }
        let for_me = message
            .to_incarnation
            .is_none_or(|meant| meant == self.config.incarnation);
        if !for_me || from == self.config.me {
            return;
        }
        let (term, sender) = (message.term, message.from_incarnation);
        match message.body {
            Body::VoteRequest(request) => self.on_vote_request(from, sender, term, request),
            Body::VoteReply(reply) => self.on_vote_reply(from, sender, term, reply),
            Body::Append(append) => self.on_append(from, sender, term, append),
            Body::AppendReply(reply) => self.on_append_reply(from, sender, term, reply),
            Body::SnapshotChunk(chunk) => self.on_chunk(from, sender, term, chunk),
            Body::SnapshotReply(reply) => self.on_snapshot_reply(from, sender, term, reply),
            Body::TimeoutNow => self.on_timeout_now(from, term),
            Body::Join(join) => self.on_join(from, sender, join),
            Body::JoinReply(reply) => self.on_join_reply(from, sender, reply),
        }
    }

    /// The core's state.
    pub fn status(&self) -> QuorumStatus {
        QuorumStatus {
            role: self.role.role(),
            term: self.hard.term,
            leader: self.leader,
            serving: self.is_serving(),
            commit: self.commit,
            last: self.log.last_index(),
            snapshot: self.snapshot_index(),
            members: self.log.members().clone(),
            lease_until: self.lease_until(),
            followers: self.follower_status(),
        }
    }

    fn follower_status(&self) -> Vec<FollowerStatus> {
        let RoleState::Leader(leading) = &self.role else {
            return Vec::new();
        };
        let status = |(id, follower): (&KeeperId, &follower::Follower)| FollowerStatus {
            id: *id,
            matched: follower.matched,
            heard: follower.heard,
            in_snapshot: follower.is_in_snapshot(),
        };
        leading.followers.iter().map(status).collect()
    }

    /// The leader, as far as this keeper knows.
    pub fn leader(&self) -> Option<KeeperId> {
        self.leader
    }

    /// What this keeper does in its term.
    pub fn role(&self) -> QuorumRole {
        self.role.role()
    }

    /// The term, as far as this keeper knows.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// How long this keeper has not heard a leader, as of the last event.
    pub fn leader_silence(&self) -> DurationMs {
        let heard_us = self.quiet_until.as_micros();
        let quiet_us = self.config.election_min_ms * 1_000;
        let heard = Instant::from_micros(heard_us.saturating_sub(quiet_us));
        self.now.since(heard)
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            RoleState::Leader(leading) => leading.next_heartbeat,
            _ => self.election_at.min(self.next_call),
        }
    }

    fn is_voter(&self) -> bool {
        self.log
            .members()
            .is_voter(self.config.me, self.config.incarnation)
    }

    fn heartbeat(&self) -> DurationMs {
        DurationMs::new(self.config.heartbeat_ms)
    }

    /// Notes that a leader is there, and puts off the next campaign.
    fn hear_leader(&mut self) {
        self.quiet_until = self.now + DurationMs::new(self.config.election_min_ms);
        self.put_off_election();
    }

    fn put_off_election(&mut self) {
        let range = self.config.election_min_ms..=self.config.election_max_ms;
        self.election_at = self.now + DurationMs::new(self.rng.random_range(range));
    }

    fn send(&mut self, to: KeeperId, to_incarnation: Option<Incarnation>, body: Body) {
        let message = self.message(self.hard.term, to_incarnation, body);
        self.out.push(Action::Send { to, message });
    }

    fn message(&self, term: Term, to_incarnation: Option<Incarnation>, body: Body) -> Message {
        Message {
            term,
            from_incarnation: self.config.incarnation,
            to_incarnation,
            body,
        }
    }

    fn change_hard_state(&mut self, hard: HardState) {
        assert!(hard.term >= self.hard.term, "terms never go back");
        assert!(
            hard.term > self.hard.term
                || self.hard.voted_for.is_none()
                || hard.voted_for == self.hard.voted_for,
            "a keeper votes once a term"
        );
        self.hard_changed |= hard != self.hard;
        self.hard = hard;
    }
}

fn check_incarnation(config: &QuorumConfig, recovered: &RecoveredState) -> Result<(), QuorumError> {
    let (disk, configured) = (recovered.incarnation, config.incarnation);
    match disk == configured {
        true => Ok(()),
        false => Err(QuorumError::ForeignIncarnation(disk, configured)),
    }
}

fn check_gaps(recovered: &RecoveredState) -> Result<(), QuorumError> {
    let base = recovered
        .snapshot
        .as_ref()
        .map_or(LogIndex::ZERO, |snapshot| snapshot.head.index);
    let mut expected = base.next();
    for entry in &recovered.entries {
        if entry.index != expected {
            return Err(QuorumError::Gap(expected, entry.index));
        }
        expected = expected.next();
    }
    Ok(())
}
