//! Tests of a single core with handwritten messages: nothing is confirmed before it is durable.

use bytes::Bytes;
use hemlock_quorum::message::{Append, AppendReply, Body, RestartedVoter, VoteReply, VoteRequest};
use hemlock_quorum::prelude::*;
use hemlock_types::ids::Incarnation;
use hemlock_types::time::{DurationMs, Instant};

const ME: KeeperId = KeeperId(1);
const OTHER: KeeperId = KeeperId(2);
const THIRD: KeeperId = KeeperId(3);

/// A follower in a cluster of three. Its log ends with entry 3 of term 1.
struct Core {
    quorum: Quorum,
    now: Instant,
    out: Vec<Action>,
}

fn incarnation_of(id: KeeperId) -> Incarnation {
    Incarnation(100 + id.0)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        term: Term(term),
        index: LogIndex(index),
        payload: Payload::Command(Bytes::from(vec![term as u8])),
    }
}

fn recovered() -> RecoveredState {
    let members = [ME, OTHER, THIRD].map(|id| (id, Member::voter(incarnation_of(id))));
    let mut state = RecoveredState::empty(incarnation_of(ME));
    state.hard_state.term = Term(1);
    state.entries = vec![entry(1, 1), entry(2, 1), entry(3, 1)];
    state.entries[0].payload = Payload::Members(MemberSet::new(members));
    state
}

impl Core {
    fn start() -> Self {
        let config = QuorumConfig::new(ME, incarnation_of(ME), vec![ME, OTHER, THIRD]);
        let mut core = Self {
            quorum: Quorum::new(config, 1, recovered()).expect("valid settings"),
            now: Instant::from_ms(10_000),
            out: Vec::new(),
        };
        core.feed(Event::Tick);
        core
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        self.out.clear();
        self.quorum.handle(self.now, event, &mut self.out);
        self.out.clone()
    }

    fn receive(&mut self, from: KeeperId, term: u64, body: Body) -> Vec<Action> {
        let message = Message {
            term: Term(term),
            from_incarnation: incarnation_of(from),
            to_incarnation: Some(incarnation_of(ME)),
            body,
        };
        self.feed(Event::Received { from, message })
    }

    fn wait_ms(&mut self, ms: u64) {
        self.now += DurationMs::new(ms);
    }

    /// Reports all disk work in `actions` as durable.
    fn sync(&mut self, actions: &[Action]) -> Vec<Action> {
        let ids = actions.iter().filter_map(|action| match action {
            Action::Persist(work) => Some(work.id()),
            _ => None,
        });
        let up_to = ids.max().expect("there is disk work");
        self.feed(Event::Synced { up_to })
    }
}

fn vote_request(last_index: u64, transfer: bool) -> Body {
    Body::VoteRequest(VoteRequest {
        pre_vote: false,
        transfer,
        leader_restarted: false,
        last_index: LogIndex(last_index),
        last_term: Term(1),
    })
}

fn append(prev: (u64, u64), entries: Vec<Entry>) -> Body {
    Body::Append(Append {
        prev_index: LogIndex(prev.0),
        prev_term: Term(prev.1),
        entries,
        commit: LogIndex(1),
        sent_us: 5,
    })
}

fn votes(actions: &[Action]) -> Vec<bool> {
    let vote = |action: &Action| match action {
        Action::Send { message, .. } => match message.body {
            Body::VoteReply(reply) => Some(reply.granted),
            _ => None,
        },
        _ => None,
    };
    actions.iter().filter_map(vote).collect()
}

fn acks(actions: &[Action]) -> Vec<LogIndex> {
    let ack = |action: &Action| match action {
        Action::Send { message, .. } => match message.body {
            Body::AppendReply(reply) => Some(reply.matched),
            _ => None,
        },
        _ => None,
    };
    actions.iter().filter_map(ack).collect()
}

#[test]
fn a_vote_is_sent_only_once_it_is_durable() {
    let mut core = Core::start();
    core.wait_ms(400);
    let asked = core.receive(OTHER, 2, vote_request(3, false));
    assert_eq!(votes(&asked), []);
    let synced = core.sync(&asked);
    assert_eq!(votes(&synced), [true]);
    let other = core.receive(THIRD, 2, vote_request(9, false));
    assert_eq!(votes(&other), [false], "one vote per term");
}

#[test]
fn no_vote_is_granted_while_a_leader_may_hold_a_lease() {
    let mut core = Core::start();
    let early = core.receive(OTHER, 2, vote_request(3, false));
    assert_eq!(
        votes(&early),
        [false],
        "a leader may have been in contact before the restart"
    );
    core.wait_ms(2_000);
    core.receive(OTHER, 2, append((3, 1), Vec::new()));
    core.wait_ms(399);
    let refused = core.receive(THIRD, 3, vote_request(3, false));
    assert_eq!(votes(&refused), [false]);
    assert_eq!(core.quorum.status().term, Term(2));
    let transfer = core.receive(THIRD, 3, vote_request(3, true));
    assert_eq!(votes(&core.sync(&transfer)), [true]);
}

#[test]
fn a_candidate_with_a_shorter_log_gets_no_vote() {
    let mut core = Core::start();
    let refused = core.receive(OTHER, 2, vote_request(2, true));
    assert_eq!(votes(&refused), [false]);
}

#[test]
fn a_vote_request_for_another_incarnation_is_ignored() {
    let mut core = Core::start();
    core.wait_ms(1_000);
    let message = Message {
        term: Term(2),
        from_incarnation: incarnation_of(OTHER),
        to_incarnation: Some(Incarnation(1)),
        body: vote_request(9, true),
    };
    let ignored = core.feed(Event::Received {
        from: OTHER,
        message,
    });
    assert_eq!(votes(&ignored), []);
}

#[test]
fn replaced_entries_are_acknowledged_only_once_durable() {
    let mut core = Core::start();
    let entries = vec![entry(3, 2), entry(4, 2)];
    let taken = core.receive(OTHER, 2, append((2, 1), entries));
    assert_eq!(acks(&taken), []);
    let heartbeat = core.receive(OTHER, 2, append((4, 2), Vec::new()));
    assert_eq!(acks(&heartbeat), [LogIndex(2)]);
    assert_eq!(acks(&core.sync(&taken)), [LogIndex(4)]);
}

/// Makes the core the leader of term 2. The first entry of its term has index 4.
fn become_leader(core: &mut Core) -> Vec<Action> {
    core.wait_ms(1_000);
    core.feed(Event::Tick);
    for pre_vote in [true, false] {
        let reply = VoteReply {
            pre_vote,
            asked: Term(2),
            granted: true,
            restarted: None,
        };
        let campaign = core.receive(OTHER, 1 + u64::from(!pre_vote), Body::VoteReply(reply));
        if !pre_vote {
            continue;
        }
        core.sync(&campaign);
    }
    core.out.clone()
}

#[test]
fn a_leader_commits_only_through_an_entry_of_its_own_term() {
    let mut core = Core::start();
    let led = become_leader(&mut core);
    assert_eq!(core.quorum.status().role, QuorumRole::Leader);
    let reply = |matched| {
        Body::AppendReply(AppendReply {
            matched: LogIndex(matched),
            rejected: None,
            echo_us: 5,
        })
    };
    for follower in [OTHER, THIRD] {
        core.receive(follower, 2, reply(3));
    }
    assert_eq!(core.quorum.status().commit, LogIndex::ZERO);
    core.receive(OTHER, 2, reply(4));
    assert_eq!(
        core.quorum.status().commit,
        LogIndex::ZERO,
        "the leader's own entry is not durable"
    );
    core.sync(&led);
    assert_eq!(core.quorum.status().commit, LogIndex(4));
    assert!(core.quorum.is_serving());
}

fn pre_vote_request(term: u64) -> (u64, Body) {
    let request = VoteRequest {
        pre_vote: true,
        transfer: false,
        leader_restarted: false,
        last_index: LogIndex(3),
        last_term: Term(1),
    };
    (term, Body::VoteRequest(request))
}

fn pre_vote_reply(restarted: Option<RestartedVoter>) -> Body {
    Body::VoteReply(VoteReply {
        pre_vote: true,
        asked: Term(2),
        granted: false,
        restarted,
    })
}

/// Guards against skipping the wait after a start although a leader may hold a lease.
#[test]
fn the_wait_after_a_start_is_skipped_only_if_the_leader_has_restarted() {
    let cases = [
        (None, false),
        (Some(RestartedVoter { voted_for: None }), true),
        (
            Some(RestartedVoter {
                voted_for: Some(OTHER),
            }),
            true,
        ),
        // The third keeper may have led and may still lead.
        (
            Some(RestartedVoter {
                voted_for: Some(THIRD),
            }),
            false,
        ),
    ];
    for (restarted, campaigns) in cases {
        let mut core = Core::start();
        core.receive(OTHER, 1, pre_vote_reply(restarted));
        let is_candidate = core.quorum.role() == QuorumRole::Candidate;
        assert_eq!(is_candidate, campaigns, "{restarted:?}");
    }
}

/// Guards against a vote that breaks a lease which this keeper has acknowledged since its start.
#[test]
fn a_restarted_leader_is_no_proof_for_a_keeper_that_has_heard_from_another() {
    for heard in [false, true] {
        let mut core = Core::start();
        if heard {
            core.receive(THIRD, 1, append((3, 1), vec![]));
        }
        let request = VoteRequest {
            pre_vote: false,
            transfer: false,
            leader_restarted: true,
            last_index: LogIndex(3),
            last_term: Term(1),
        };
        let asked = core.receive(OTHER, 2, Body::VoteRequest(request));
        let is_vote = asked
            .iter()
            .any(|action| matches!(action, Action::Persist(_)));
        assert_eq!(is_vote, !heard);
        let (term, body) = pre_vote_request(3);
        let replies = core.receive(OTHER, term, body);
        let tells_restart = replies.iter().any(|action| match action {
            Action::Send { message, .. } => {
                matches!(message.body, Body::VoteReply(reply) if reply.restarted.is_some())
            }
            _ => false,
        });
        assert_eq!(tells_restart, !heard);
    }
}
