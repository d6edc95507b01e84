//! Elections: pre-votes, votes and role changes.

use std::collections::BTreeSet;

use hemlock_types::ids::Incarnation;
use hemlock_types::time::DurationMs;

use super::Quorum;
use super::role_state::{LeaderState, PendingProposal, RoleState, VoteTally};
use crate::action::Action;
use crate::disk_work::HardState;
use crate::entry::Payload;
use crate::error::ProposeError;
use crate::ids::{KeeperId, LogIndex, Term};
use crate::message::{Body, RestartedVoter, VoteReply, VoteRequest};

/// Number of requests in a heartbeat interval from a keeper that has just started. Without a leader,
/// no caller is served.
const RESTARTED_REQUESTS: u64 = 5;

impl Quorum {
    pub(super) fn tick_follower(&mut self) {
        if self.now >= self.election_deadline {
            self.leader = None;
            self.reset_election_timer();
            self.start_pre_vote();
        }
        if self.now >= self.next_request_at {
            self.next_request_at = self.now + self.request_interval();
            self.request_votes();
            self.send_join_requests();
        }
        self.bootstrap_if_ready();
    }

    fn start_pre_vote(&mut self) {
        self.role = RoleState::Follower;
        if !self.may_campaign() {
            return;
        }
        let mut tally = VoteTally::default();
        tally.granted.insert(self.config.id);
        self.role = RoleState::PreCandidate(tally);
        self.next_request_at = self.now;
        self.count_votes();
    }

    /// Whether this keeper is a voter, or was one before a member change that is not known to be
    /// committed. In the second case its log may be the only one that can win the election,
    /// although its own vote does not count.
    fn may_campaign(&self) -> bool {
        let (own_id, incarnation) = (self.config.id, self.config.incarnation);
        let uncommitted = self.log.members_index() > self.commit;
        let previous = self.log.previous_members().filter(|_| uncommitted);
        self.is_voter() || previous.is_some_and(|members| members.is_voter(own_id, incarnation))
    }

    /// Time between two vote or join requests to the same keeper.
    fn request_interval(&self) -> DurationMs {
        match self.has_just_started() {
            true => DurationMs::new((self.config.heartbeat_ms / RESTARTED_REQUESTS).max(1)),
            false => self.heartbeat(),
        }
    }

    fn start_campaign(&mut self, transfer: bool, leader_restarted: bool) {
        assert!(self.may_campaign(), "only voters campaign");
        self.change_hard_state(HardState {
            term: self.hard_state.term.next(),
            voted_for: Some(self.config.id),
        });
        self.start_term();
        self.role = RoleState::Candidate(VoteTally {
            transfer,
            leader_restarted,
            ..VoteTally::default()
        });
        self.reset_election_timer();
        self.next_request_at = self.now + self.heartbeat();
        self.request_votes();
    }

    /// Sends vote requests to the voters that have not granted their vote.
    fn request_votes(&mut self) {
        let (tally, pre_vote) = match &self.role {
            RoleState::PreCandidate(tally) => (tally, true),
            RoleState::Candidate(tally) => (tally, false),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        let term = match pre_vote {
            true => self.hard_state.term.next(),
            false => self.hard_state.term,
        };
        let body = Body::VoteRequest(VoteRequest {
            pre_vote,
            transfer: tally.transfer,
            leader_restarted: tally.leader_restarted,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        });
        let recipients: Vec<_> = self
            .log
            .members()
            .voters()
            .filter(|(id, _)| *id != self.config.id && !tally.granted.contains(id))
            .collect();
        for (to, member) in recipients {
            let message = self.message(term, Some(member.incarnation), body.clone());
            self.out.push(Action::Send { to, message });
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        request: VoteRequest,
    ) {
        let is_lease_excluded = request.transfer || request.leader_restarted && self.is_restarted;
        let leader_may_hold_lease = !is_lease_excluded && self.may_leader_hold_lease();
        let log_is_current = self
            .log
            .is_candidate_up_to_date(request.last_term, request.last_index);
        let is_welcome = log_is_current
            && term > self.hard_state.term
            && !self.is_better_candidate(from, term, request);
        let granted = match request.pre_vote {
            true => !leader_may_hold_lease && is_welcome,
            false => !leader_may_hold_lease && self.grant_vote(from, term, log_is_current),
        };
        let restarted = (request.pre_vote && is_welcome && self.is_restarted)
            .then(|| self.restarted_voter(term));
        let reply = Body::VoteReply(VoteReply {
            pre_vote: request.pre_vote,
            asked: term,
            granted,
            restarted,
        });
        match granted && !request.pre_vote {
            true => self.send_when_vote_durable(from, sender, reply),
            false => self.send(from, Some(sender), reply),
        }
    }

    /// Whether a leader may hold a lease, which relies on this keeper not to vote for another
    /// candidate.
    fn may_leader_hold_lease(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => self.now < self.refuse_votes_until,
        }
    }

    /// Whether this keeper should be elected rather than a candidate whose log is up to date too: of
    /// keepers that have just started with equal logs, the one with the lowest id campaigns, so that
    /// their votes aren't split. Others get their chance if it can't reach a quorum in time.
    fn is_better_candidate(&self, candidate: KeeperId, term: Term, request: VoteRequest) -> bool {
        let has_equal_log = request.last_term == self.log.last_term()
            && request.last_index == self.log.last_index();
        let is_same_term = term == self.hard_state.term.next();
        let campaigns = matches!(self.role, RoleState::PreCandidate(_));
        let is_rival = self.has_just_started() && campaigns && self.config.id < candidate;
        is_rival && has_equal_log && is_same_term
    }

    /// Whether this keeper has started within the longest election timeout, and has had no contact
    /// with a leader since.
    fn has_just_started(&self) -> bool {
        self.is_restarted && self.now < self.just_started_until
    }

    /// What this keeper tells a candidate for `term`, if it has just started.
    fn restarted_voter(&self, term: Term) -> RestartedVoter {
        let is_same_term = term == self.hard_state.term.next();
        let voted_for = self.hard_state.voted_for.filter(|_| is_same_term);
        RestartedVoter { voted_for }
    }

    /// Whether the latest leader is among a quorum of keepers that have restarted since, so that no
    /// lease is held and the wait after a start is needless.
    ///
    /// An entry of the current term shows that a leader was elected in it, after the leases of all
    /// earlier terms had expired. A quorum voted for that leader, so one of the restarted voters
    /// did. A leader of a later term would be known to one of them.
    fn has_leader_restarted(&self, tally: &VoteTally) -> bool {
        let members = self.log.members();
        let had_leader = self.log.last_term() == self.hard_state.term;
        if !self.is_restarted || !had_leader || !self.is_voter() {
            return false;
        }
        let mut voters: BTreeSet<KeeperId> = tally.restarted.keys().copied().collect();
        voters.insert(self.config.id);
        let other_votes = tally.restarted.values().map(|voter| voter.voted_for);
        let mut votes = other_votes.chain([self.hard_state.voted_for]).flatten();
        voters.len() >= members.quorum() && votes.all(|leader| voters.contains(&leader))
    }

    fn grant_vote(&mut self, candidate: KeeperId, term: Term, log_is_current: bool) -> bool {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let vote_is_available = self
            .hard_state
            .voted_for
            .is_none_or(|voted| voted == candidate);
        if term < self.hard_state.term || !vote_is_available || !log_is_current {
            return false;
        }
        self.change_hard_state(HardState {
            term,
            voted_for: Some(candidate),
        });
        self.reset_election_timer();
        true
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: KeeperId,
        sender: Incarnation,
        term: Term,
        reply: VoteReply,
    ) {
        if !self.log.members().is_voter(from, sender) {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let current = self.hard_state.term;
        let tally = match &mut self.role {
            RoleState::PreCandidate(tally) if reply.pre_vote && reply.asked == current.next() => {
                tally
            }
            RoleState::Candidate(tally) if !reply.pre_vote && reply.asked == current => tally,
            _ => return,
        };
        match reply.granted {
            true => tally.granted.insert(from),
            false => tally.refused.insert(from),
        };
        match reply.restarted {
            Some(voter) => tally.restarted.insert(from, voter),
            None => tally.restarted.remove(&from),
        };
        self.count_votes();
    }

    /// Counts this candidate's own vote once it is durable.
    pub(super) fn count_own_vote(&mut self) {
        let durable = !self.hard_state_changed && self.durability.is_synced(self.hard_state_work);
        let own_id = self.config.id;
        if let RoleState::Candidate(tally) = &mut self.role
            && durable
            && tally.granted.insert(own_id)
        {
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let members = self.log.members();
        let has_quorum = |tally: &VoteTally| {
            let granted = members
                .voters()
                .filter(|(id, _)| tally.granted.contains(id))
                .count();
            granted >= members.quorum()
        };
        match &self.role {
            // This keeper's own vote is subject to the same wait as those of others.
            RoleState::PreCandidate(tally)
                if has_quorum(tally) && !self.may_leader_hold_lease() =>
            {
                self.start_campaign(false, false);
            }
            RoleState::PreCandidate(tally) if self.has_leader_restarted(tally) => {
                self.start_campaign(false, true);
            }
            RoleState::Candidate(tally) if has_quorum(tally) => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        assert!(self.leader.is_none(), "a term has at most one leader");
        let first_index = self.log.last_index().next();
        self.is_restarted = false;
        self.leader = Some(self.config.id);
        self.role = RoleState::Leader(LeaderState::new(self.now, first_index));
        self.refresh_followers();
        self.append_as_leader(Payload::Noop);
    }

    /// Becomes a follower of `leader` in `term`, or a follower without a known leader.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<KeeperId>) {
        if term > self.hard_state.term {
            self.change_hard_state(HardState {
                term,
                voted_for: None,
            });
            self.start_term();
        }
        let previous = std::mem::replace(&mut self.role, RoleState::Follower);
        self.leader = leader;
        if let RoleState::Leader(leader_state) = previous {
            self.reset_election_timer();
            self.end_leadership(leader_state);
        }
    }

    /// Resets the state that was learned from the leader of an earlier term.
    fn start_term(&mut self) {
        self.leader = None;
        self.matched_index = self.commit;
        self.echo_us = 0;
        self.ack_due = false;
        self.incoming_snapshot = None;
    }

    fn end_leadership(&mut self, leader_state: LeaderState) {
        let leader = self.leader;
        for PendingProposal { token, .. } in leader_state.pending_proposals {
            let result = Err(ProposeError::Undecided(leader));
            self.out.push(Action::ProposalDone { token, result });
        }
        for read in leader_state.reads {
            self.out.push(Action::ReadDone {
                token: read.token,
                result: Err(ProposeError::NotLeader(leader)),
            });
        }
        if leader_state.serving {
            let term = self.leadership_term(leader_state.first_index);
            self.out.push(Action::LostLeadership { term });
        }
    }

    fn leadership_term(&self, first_index: LogIndex) -> Term {
        self.log
            .term_at(first_index)
            .unwrap_or(self.hard_state.term)
    }

    /// Starts an election at once, because the leader transfers the leadership to this keeper.
    pub(super) fn on_timeout_now(&mut self, from: KeeperId, term: Term) {
        let due = term == self.hard_state.term && self.leader == Some(from) && self.is_voter();
        if due && matches!(self.role, RoleState::Follower) {
            self.start_campaign(true, false);
        }
    }
}
