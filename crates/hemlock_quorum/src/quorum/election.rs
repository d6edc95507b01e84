//! Elections: pre-votes, votes and the change of roles.

use hemlock_types::ids::Incarnation;

use super::Quorum;
use super::role_state::{Ballot, Leading, RoleState, Waiting};
use crate::action::Action;
use crate::disk_work::HardState;
use crate::entry::Payload;
use crate::error::ProposeError;
use crate::ids::{KeeperId, LogIndex, Term};
use crate::message::{Body, VoteReply, VoteRequest};

impl Quorum {
    pub(super) fn tick_follower(&mut self) {
        if self.now >= self.election_at {
            self.leader = None;
            self.put_off_election();
            self.start_pre_vote();
        }
        if self.now >= self.next_call {
            self.next_call = self.now + self.heartbeat();
            self.request_votes();
            self.call_for_leader();
        }
        self.found_if_ready();
    }

    fn start_pre_vote(&mut self) {
        self.role = RoleState::Follower;
        if !self.may_campaign() {
            return;
        }
        let mut ballot = Ballot::default();
        ballot.granted.insert(self.config.me);
        self.role = RoleState::PreCandidate(ballot);
        self.next_call = self.now;
        self.count_votes();
    }

    /// Whether this keeper votes, or did before a change that is not known to be committed. In the
    /// latter case its log may be the only one that can win, though its own vote doesn't count.
    fn may_campaign(&self) -> bool {
        let (me, disk) = (self.config.me, self.config.incarnation);
        let uncommitted = self.log.members_index() > self.commit;
        let earlier = self.log.earlier_members().filter(|_| uncommitted);
        self.is_voter() || earlier.is_some_and(|members| members.is_voter(me, disk))
    }

    fn start_campaign(&mut self, transfer: bool) {
        assert!(self.may_campaign(), "only voters campaign");
        self.change_hard_state(HardState {
            term: self.hard.term.next(),
            voted_for: Some(self.config.me),
        });
        self.start_term();
        self.role = RoleState::Candidate(Ballot {
            transfer,
            ..Ballot::default()
        });
        self.put_off_election();
        self.next_call = self.now + self.heartbeat();
        self.request_votes();
    }

    /// Asks the voters that have not answered yet.
    fn request_votes(&mut self) {
        let (ballot, pre_vote) = match &self.role {
            RoleState::PreCandidate(ballot) => (ballot, true),
            RoleState::Candidate(ballot) => (ballot, false),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        let term = match pre_vote {
            true => self.hard.term.next(),
            false => self.hard.term,
        };
        let body = Body::VoteRequest(VoteRequest {
            pre_vote,
            transfer: ballot.transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        });
        let asked: Vec<_> = self
            .log
            .members()
            .voters()
            .filter(|(id, _)| *id != self.config.me && !ballot.granted.contains(id))
            .collect();
        for (to, member) in asked {
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
        let quiet = !request.transfer && self.relies_on_leader();
        let covers = self
            .log
            .is_covered_by(request.last_term, request.last_index);
        let granted = match request.pre_vote {
            true => !quiet && covers && term > self.hard.term,
            false => !quiet && self.vote(from, term, covers),
        };
        let reply = Body::VoteReply(VoteReply {
            pre_vote: request.pre_vote,
            asked: term,
            granted,
        });
        match granted && !request.pre_vote {
            true => self.send_when_vote_durable(from, sender, reply),
            false => self.send(from, Some(sender), reply),
        }
    }

    /// Whether a leader may still count on this keeper not to vote for another.
    fn relies_on_leader(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => self.now < self.quiet_until,
        }
    }

    fn vote(&mut self, candidate: KeeperId, term: Term, covers: bool) -> bool {
        if term > self.hard.term {
            self.become_follower(term, None);
        }
        let free = self.hard.voted_for.is_none_or(|voted| voted == candidate);
        if term < self.hard.term || !free || !covers {
            return false;
        }
        self.change_hard_state(HardState {
            term,
            voted_for: Some(candidate),
        });
        self.put_off_election();
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
        if term > self.hard.term {
            self.become_follower(term, None);
            return;
        }
        let current = self.hard.term;
        let ballot = match &mut self.role {
            RoleState::PreCandidate(ballot) if reply.pre_vote && reply.asked == current.next() => {
                ballot
            }
            RoleState::Candidate(ballot) if !reply.pre_vote && reply.asked == current => ballot,
            _ => return,
        };
        match reply.granted {
            true => ballot.granted.insert(from),
            false => ballot.refused.insert(from),
        };
        self.count_votes();
    }

    /// Counts this candidate's own vote once it is durable.
    pub(super) fn count_own_vote(&mut self) {
        let durable = !self.hard_changed && self.durable.is_synced(self.hard_work);
        let me = self.config.me;
        if let RoleState::Candidate(ballot) = &mut self.role
            && durable
            && ballot.granted.insert(me)
        {
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let members = self.log.members();
        let enough = |ballot: &Ballot| {
            let granted = members
                .voters()
                .filter(|(id, _)| ballot.granted.contains(id))
                .count();
            granted >= members.quorum()
        };
        match &self.role {
            RoleState::PreCandidate(ballot) if enough(ballot) => self.start_campaign(false),
            RoleState::Candidate(ballot) if enough(ballot) => self.become_leader(),
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        assert!(self.leader.is_none(), "a term has one leader");
        let first_index = self.log.last_index().next();
        self.leader = Some(self.config.me);
        self.role = RoleState::Leader(Leading::new(self.now, first_index));
        self.refresh_followers();
        self.append_own(Payload::Noop);
    }

    /// Follows the leader of `term`, or waits for one.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<KeeperId>) {
        if term > self.hard.term {
            self.change_hard_state(HardState {
                term,
                voted_for: None,
            });
            self.start_term();
        }
        let earlier = std::mem::replace(&mut self.role, RoleState::Follower);
        self.leader = leader;
        if let RoleState::Leader(leading) = earlier {
            self.put_off_election();
            self.give_up_leading(leading);
        }
    }

    /// Forgets what was learned from an earlier term's leader.
    fn start_term(&mut self) {
        self.leader = None;
        self.agreed = self.commit;
        self.echo_us = 0;
        self.ack_due = false;
        self.incoming = None;
    }

    fn give_up_leading(&mut self, leading: Leading) {
        let leader = self.leader;
        for Waiting { token, .. } in leading.waiting {
            let result = Err(ProposeError::Undecided(leader));
            self.out.push(Action::ProposalDone { token, result });
        }
        for read in leading.reads {
            self.out.push(Action::ReadDone {
                token: read.token,
                result: Err(ProposeError::NotLeader(leader)),
            });
        }
        if leading.serving {
            let term = self.led_term(leading.first_index);
            self.out.push(Action::LostLeadership { term });
        }
    }

    fn led_term(&self, first_index: LogIndex) -> Term {
        self.log.term_at(first_index).unwrap_or(self.hard.term)
    }

    /// Campaigns at once, because the leader hands over.
    pub(super) fn on_timeout_now(&mut self, from: KeeperId, term: Term) {
        let due = term == self.hard.term && self.leader == Some(from) && self.is_voter();
        if due && matches!(self.role, RoleState::Follower) {
            self.start_campaign(true);
        }
    }
}
