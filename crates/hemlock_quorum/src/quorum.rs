//! The core of the replicated log.

mod bootstrap;
mod commit;
mod election;
mod flush;
mod following;
mod leadership;
mod members;
mod progress;
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
use crate::durability::DurabilityTracker;
use crate::error::QuorumError;
use crate::event::Event;
use crate::ids::{KeeperId, LogIndex, Term, WorkId};
use crate::log::Log;
use crate::message::{Body, Message};
use crate::snapshot::{Snapshot, SnapshotHeader};
use crate::status::{FollowerStatus, QuorumRole, QuorumStatus};
use bootstrap::Bootstrap;
use role_state::RoleState;
use snapshots::IncomingSnapshot;

/// Part of a lease by which the clocks of two keepers may drift apart during it, as a divisor.
const CLOCK_DRIFT_DIVISOR: u64 = 10;

/// The replicated log on one keeper.
///
/// It performs no I/O and reads no clock: the caller passes in [`Event`]s and performs the returned
/// [`Action`]s.
#[derive(Debug)]
pub struct Quorum {
    config: QuorumConfig,
    rng: Pcg32,
    now: Instant,
    started: bool,
    role: RoleState,
    leader: Option<KeeperId>,
    hard_state: HardState,
    hard_state_changed: bool,
    /// The disk work that makes the current term and vote durable.
    hard_state_work: WorkId,
    log: Log,
    durability: DurabilityTracker,
    commit: LogIndex,
    applied: LogIndex,
    applied_bytes: u64,
    snapshot: Option<Snapshot>,
    snapshot_requested: bool,
    snapshot_after_entries: u64,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Index up to which the log is known to match the leader's.
    matched_index: LogIndex,
    /// Latest `sent_us` received from the current leader.
    echo_us: u64,
    ack_due: bool,
    /// Vote requests are refused until then, except those of a leadership transfer, because a
    /// leader may hold a lease.
    refuse_votes_until: Instant,
    /// Whether this keeper has neither led nor been in contact with a leader since it started.
    is_restarted: bool,
    /// Until then, this keeper counts as just started.
    just_started_until: Instant,
    election_deadline: Instant,
    next_request_at: Instant,
    join_requests: BTreeMap<KeeperId, JoinRequest>,
    bootstrap: Bootstrap,
    awaiting_sync: VecDeque<(WorkId, KeeperId, Message)>,
    out: Vec<Action>,
}

/// A join request of a keeper that knows no leader.
#[derive(Clone, Copy, Debug)]
struct JoinRequest {
    incarnation: Incarnation,
    received_at: Instant,
}

impl Quorum {
    /// Creates a core with the state recovered from disk. `seed` determines the random election
    /// timeouts and snapshot delays.
    ///
    /// The first event restores the state machine from the recovered snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the settings are inconsistent or don't match the disk.
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
            .map_or_else(SnapshotHeader::default, |snapshot| snapshot.head.clone());
        let base = head.index;
        let log = Log::new(head, recovered.entries);
        let last = log.last_index();
        Ok(Self {
            bootstrap: Bootstrap::new(&config, empty),
            snapshot_after_entries: config.snapshot_after_entries,
            config,
            rng: Pcg32::seed_from_u64(seed),
            now: Instant::ZERO,
            started: false,
            role: RoleState::Follower,
            leader: None,
            hard_state: recovered.hard_state,
            hard_state_changed: false,
            hard_state_work: WorkId::default(),
            log,
            durability: DurabilityTracker::new(last),
            commit: base,
            applied: base,
            applied_bytes: 0,
            snapshot: recovered.snapshot,
            snapshot_requested: false,
            incoming_snapshot: None,
            matched_index: base,
            echo_us: 0,
            ack_due: false,
            refuse_votes_until: Instant::ZERO,
            is_restarted: true,
            just_started_until: Instant::ZERO,
            election_deadline: Instant::ZERO,
            next_request_at: Instant::ZERO,
            join_requests: BTreeMap::new(),
            awaiting_sync: VecDeque::new(),
            out: Vec::new(),
        })
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.handle_all(now, [event], out);
    }

    /// Handles several events together. Their entries share one disk write and one message to each
    /// follower.
    pub fn handle_all(
        &mut self,
        now: Instant,
        events: impl IntoIterator<Item = Event>,
        out: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        self.start_once();
        for event in events {
            self.handle_event(event);
        }
        self.flush();
        out.append(&mut self.out);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Received { from, message } => self.receive(from, message),
            Event::Propose { token, command } => self.propose(token, command),
            Event::ChangeMembers { token, change } => self.change_members(token, change),
            Event::Synced { up_to } => self.synced(up_to),
            Event::SnapshotTaken { index, data } => self.store_snapshot(index, data),
            Event::TransferLeadership { to } => self.start_leadership_transfer(to),
            Event::ConfirmRead { token } => self.confirm_read(token),
        }
    }

    /// Handles the first event after startup. Votes are refused for the duration of a lease, because
    /// this keeper may have acknowledged one just before the restart. Pre-votes are requested at
    /// once, because all keepers may have restarted.
    fn start_once(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        self.bootstrap.start(self.now, &self.config);
        let lease_ms = self.config.lease_ms;
        let wait_ms = lease_ms + lease_ms.div_ceil(CLOCK_DRIFT_DIVISOR);
        self.refuse_votes_until = self.now + DurationMs::new(wait_ms);
        self.election_deadline = self.now;
        self.just_started_until = self.now + DurationMs::new(self.config.election_max_ms);
        self.next_request_at = self.now;
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
            self.record_existing_cluster(from);
        }
        let for_me = message
            .to_incarnation
            .is_none_or(|meant| meant == self.config.incarnation);
        if !for_me || from == self.config.id {
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

    /// Returns the current state.
    pub fn status(&self) -> QuorumStatus {
        QuorumStatus {
            role: self.role.role(),
            term: self.hard_state.term,
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
        let RoleState::Leader(leader_state) = &self.role else {
            return Vec::new();
        };
        let status = |(id, follower): (&KeeperId, &progress::FollowerProgress)| FollowerStatus {
            id: *id,
            matched: follower.matched,
            last_contact: follower.last_contact,
            in_snapshot: follower.is_in_snapshot(),
        };
        leader_state.followers.iter().map(status).collect()
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<KeeperId> {
        self.leader
    }

    /// Role of this keeper in its term.
    pub fn role(&self) -> QuorumRole {
        self.role.role()
    }

    /// Latest term known to this keeper.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Time since the last contact with a leader, as of the last event.
    pub fn leader_silence(&self) -> DurationMs {
        let last_contact_us = self.refuse_votes_until.as_micros();
        let election_min_us = self.config.election_min_ms * 1_000;
        let last_contact = Instant::from_micros(last_contact_us.saturating_sub(election_min_us));
        self.now.since(last_contact)
    }

    /// Time at which the next [`Event::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        match &self.role {
            RoleState::Leader(leader_state) => leader_state.next_heartbeat,
            _ => self.election_deadline.min(self.next_request_at),
        }
    }

    fn is_voter(&self) -> bool {
        self.log
            .members()
            .is_voter(self.config.id, self.config.incarnation)
    }

    fn heartbeat(&self) -> DurationMs {
        DurationMs::new(self.config.heartbeat_ms)
    }

    /// Records contact with a leader and resets the election timer.
    fn record_leader_contact(&mut self) {
        self.refuse_votes_until = self.now + DurationMs::new(self.config.election_min_ms);
        self.reset_election_timer();
    }

    fn reset_election_timer(&mut self) {
        let range = self.config.election_min_ms..=self.config.election_max_ms;
        self.election_deadline = self.now + DurationMs::new(self.rng.random_range(range));
    }

    fn send(&mut self, to: KeeperId, to_incarnation: Option<Incarnation>, body: Body) {
        let message = self.message(self.hard_state.term, to_incarnation, body);
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

    fn change_hard_state(&mut self, hard_state: HardState) {
        assert!(
            hard_state.term >= self.hard_state.term,
            "terms never decrease"
        );
        assert!(
            hard_state.term > self.hard_state.term
                || self.hard_state.voted_for.is_none()
                || hard_state.voted_for == self.hard_state.voted_for,
            "a keeper votes at most once per term"
        );
        self.hard_state_changed |= hard_state != self.hard_state;
        self.hard_state = hard_state;
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
