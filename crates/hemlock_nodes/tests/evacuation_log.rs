//! Evacuations in the replicated log of five simulated keepers, without a network: lost leaders,
//! lost answers, snapshots, and the loss of power and disks.

use std::collections::{BTreeMap, BTreeSet};

use hemlock_jobs::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::prelude::{decode, encode};

const KEEPERS: u64 = 5;
/// Longest time for any expected event, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

/// One simulated keeper with its disk and its replica of the job store.
struct Keeper {
    id: KeeperId,
    incarnation: Incarnation,
    /// `None` while the keeper is down.
    quorum: Option<Quorum>,
    disk: MemoryStorage,
    unsynced: Vec<DiskWork>,
    store: JobStore,
    leads: bool,
}

/// Keepers whose messages take a millisecond and whose syncs take as long.
struct Cluster {
    now_ms: u64,
    keepers: BTreeMap<KeeperId, Keeper>,
    in_flight: Vec<(KeeperId, KeeperId, Message)>,
    /// Connections, from sender to receiver, that drop all messages.
    blocked: BTreeSet<(KeeperId, KeeperId)>,
    answers: BTreeMap<ProposalToken, Result<(), ProposeError>>,
    next_token: u64,
}

impl Cluster {
    fn start() -> Self {
        let mut cluster = Self {
            now_ms: 1_000,
            keepers: BTreeMap::new(),
            in_flight: Vec::new(),
            blocked: BTreeSet::new(),
            answers: BTreeMap::new(),
            next_token: 0,
        };
        for id in (1..=KEEPERS).map(KeeperId) {
            let incarnation = Incarnation(id.0);
            let keeper = Keeper {
                id,
                incarnation,
                quorum: None,
                disk: MemoryStorage::new(incarnation),
                unsynced: Vec::new(),
                store: JobStore::new(1_000),
                leads: false,
            };
            cluster.keepers.insert(id, keeper);
            cluster.restart(id);
        }
        cluster.await_leader();
        cluster
    }

    fn keeper(&mut self, id: KeeperId) -> &mut Keeper {
        self.keepers.get_mut(&id).expect("a known keeper")
    }

    /// Starts a keeper on what is left on its disk.
    fn restart(&mut self, id: KeeperId) {
        let keeper = self.keeper(id);
        let members = (1..=KEEPERS).map(KeeperId).collect();
        let config = QuorumConfig::new(id, keeper.incarnation, members)
            .with_fast_elections()
            .with_snapshots(20, 5);
        let recovered = keeper.disk.recover().expect("memory is readable");
        keeper.quorum = Some(Quorum::new(config, id.0, recovered).expect("valid settings"));
        keeper.store = JobStore::new(1_000);
        self.feed(id, Event::Tick);
    }

    /// Stops a keeper. What it has not synced is lost.
    fn crash(&mut self, id: KeeperId) {
        let keeper = self.keeper(id);
        keeper.quorum = None;
        keeper.leads = false;
        keeper.unsynced.clear();
        self.in_flight
            .retain(|(from, to, _)| *from != id && *to != id);
    }

    fn feed(&mut self, id: KeeperId, event: Event) {
        let now = Instant::from_ms(self.now_ms);
        let keeper = self.keepers.get_mut(&id).expect("a known keeper");
        let Some(quorum) = keeper.quorum.as_mut() else {
            return;
        };
        let mut actions = Vec::new();
        quorum.handle(now, event, &mut actions);
        for action in actions {
            self.perform(id, action);
        }
    }

    fn perform(&mut self, id: KeeperId, action: Action) {
        let keeper = self.keepers.get_mut(&id).expect("a known keeper");
        match action {
            Action::Send { to, message } => self.in_flight.push((id, to, message)),
            Action::Persist(work) => keeper.unsynced.push(work),
            Action::Restore(snapshot) => {
                let restored = keeper.store.restore(&snapshot.data);
                restored.expect("a valid snapshot");
            }
            Action::Apply(entry) => {
                if let Some(command) = entry.command() {
                    keeper
                        .store
                        .apply(&decode::<Batch>(command).expect("a batch"));
                }
            }
            Action::TakeSnapshot { index } => {
                let data = keeper.store.snapshot().expect("it encodes");
                self.feed(id, Event::SnapshotTaken { index, data });
            }
            Action::ProposalDone { token, result } => {
                self.answers.insert(token, result.map(|_| ()));
            }
            Action::ReadDone { .. } => {}
            Action::BecameLeader { .. } => keeper.leads = true,
            Action::LostLeadership { .. } => keeper.leads = false,
        }
    }

    /// Advances the time by a millisecond.
    fn step(&mut self) {
        self.now_ms += 1;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            if !self.blocked.contains(&(from, to)) {
                self.feed(to, Event::Received { from, message });
            }
        }
        let ids: Vec<KeeperId> = self.keepers.keys().copied().collect();
        for id in ids {
            let keeper = self.keeper(id);
            let work = std::mem::take(&mut keeper.unsynced);
            if !work.is_empty() {
                let up_to = perform(&mut keeper.disk, work).expect("memory is writable");
                if let Some(up_to) = up_to {
                    self.feed(id, Event::Synced { up_to });
                }
            }
            let now = Instant::from_ms(self.now_ms);
            let quorum = self.keeper(id).quorum.as_ref();
            if quorum.is_some_and(|quorum| quorum.next_deadline() <= now) {
                self.feed(id, Event::Tick);
            }
        }
    }

    fn run_until(&mut self, event: &str, done: impl Fn(&Self) -> bool) {
        let end_ms = self.now_ms + TIMEOUT_MS;
        while !done(self) {
            assert!(self.now_ms < end_ms, "timed out waiting until {event}");
            self.step();
        }
    }

    fn leader(&self) -> Option<KeeperId> {
        let leading = self.keepers.values().filter(|keeper| keeper.leads);
        let term = |keeper: &&Keeper| keeper.quorum.as_ref().map(|quorum| quorum.term());
        leading.max_by_key(term).map(|keeper| keeper.id)
    }

    fn await_leader(&mut self) -> KeeperId {
        self.run_until("a keeper leads", |cluster| cluster.leader().is_some());
        self.leader().expect("one leads")
    }

    /// Proposes a command without waiting for the answer.
    fn propose(&mut self, id: KeeperId, command: Command) -> ProposalToken {
        self.next_token += 1;
        let token = ProposalToken(self.next_token);
        let batch = encode(&Batch::new(self.now_ms, vec![command])).expect("it encodes");
        let event = Event::Propose {
            token,
            command: batch,
        };
        self.feed(id, event);
        token
    }

    /// Sends an operator's request to the leader until it is acknowledged.
    fn acknowledge(&mut self, command: Command) {
        let leader = self.await_leader();
        let token = self.propose(leader, command);
        self.run_until("the request is answered", |cluster| {
            cluster.answers.contains_key(&token)
        });
        assert_eq!(self.answers[&token], Ok(()));
    }

    /// Cuts a keeper off from the others, in the given directions.
    fn isolate(&mut self, id: KeeperId, inwards: bool, outwards: bool) {
        for other in (1..=KEEPERS).map(KeeperId).filter(|other| *other != id) {
            if inwards {
                self.blocked.insert((other, id));
            }
            if outwards {
                self.blocked.insert((id, other));
            }
        }
    }

    fn evacuations(&self, id: KeeperId) -> &Evacuations {
        self.keepers[&id].store.evacuations()
    }

    fn evacuated(&self, id: KeeperId) -> Vec<&str> {
        let domains = self.evacuations(id).domains();
        domains.iter().map(String::as_str).collect()
    }

    fn await_applied_everywhere(&mut self) {
        let leader = self.await_leader();
        self.run_until("all replicas agree", |cluster| {
            let expected = cluster.evacuations(leader);
            let mut up = cluster.keepers.values().filter(|k| k.quorum.is_some());
            up.all(|keeper| keeper.store.evacuations() == expected)
        });
    }
}

fn evacuate(domain: &str) -> Command {
    Command::Evacuate(domain.to_owned())
}

fn end(domain: &str) -> Command {
    Command::EndEvacuation(domain.to_owned())
}

#[test]
fn a_request_is_in_force_under_the_next_leader_if_its_leader_is_lost_before_the_answer() {
    let mut cluster = Cluster::start();
    let first = cluster.await_leader();
    // The followers write the command to their disks, but their acknowledgements are lost.
    cluster.isolate(first, true, false);
    let token = cluster.propose(first, evacuate("a"));
    for _ in 0..5 {
        cluster.step();
    }
    assert!(!cluster.answers.contains_key(&token));
    cluster.crash(first);
    cluster.blocked.clear();
    let second = cluster.await_leader();
    assert_ne!(first, second);
    assert_eq!(cluster.evacuated(second), vec!["a"]);
    // The operator has no answer and sends the request again.
    cluster.acknowledge(evacuate("a"));
    assert_eq!(cluster.evacuations(second).version(), 1);
    cluster.restart(first);
    cluster.await_applied_everywhere();
    assert_eq!(cluster.evacuated(first), vec!["a"]);
}

#[test]
fn a_request_without_a_majority_is_not_acknowledged_and_disappears() {
    let mut cluster = Cluster::start();
    let first = cluster.await_leader();
    cluster.isolate(first, true, true);
    let late = cluster.propose(first, evacuate("a"));
    cluster.run_until("another keeper leads", |cluster| {
        cluster.leader().is_some_and(|leader| leader != first)
    });
    // The operator has given the evacuation up meanwhile.
    cluster.acknowledge(end("a"));
    cluster.blocked.clear();
    cluster.run_until("the earlier leader answers", |cluster| {
        cluster.answers.contains_key(&late)
    });
    assert!(cluster.answers[&late].is_err());
    cluster.await_applied_everywhere();
    for id in (1..=KEEPERS).map(KeeperId) {
        assert_eq!(cluster.evacuated(id), Vec::<&str>::new());
    }
}

#[test]
fn a_request_repeated_after_a_lost_answer_changes_nothing() {
    let mut cluster = Cluster::start();
    for _ in 0..4 {
        cluster.acknowledge(evacuate("a"));
    }
    let leader = cluster.await_leader();
    assert_eq!(cluster.evacuations(leader).version(), 1);
    for _ in 0..3 {
        cluster.acknowledge(end("a"));
    }
    assert_eq!(cluster.evacuations(leader).version(), 2);
}

#[test]
fn evacuations_survive_the_loss_of_all_power_and_of_two_disks() {
    for lost in [[1, 2], [2, 4], [3, 5], [1, 5]] {
        let mut cluster = Cluster::start();
        cluster.acknowledge(evacuate("a"));
        cluster.acknowledge(evacuate("b"));
        cluster.acknowledge(end("a"));
        // The power fails right after the last acknowledgement.
        for id in (1..=KEEPERS).map(KeeperId) {
            cluster.crash(id);
        }
        for id in lost.map(KeeperId) {
            let keeper = cluster.keeper(id);
            keeper.incarnation = Incarnation(100 + id.0);
            keeper.disk = MemoryStorage::new(keeper.incarnation);
        }
        for id in (1..=KEEPERS).map(KeeperId) {
            cluster.restart(id);
        }
        let leader = cluster.await_leader();
        assert_eq!(cluster.evacuated(leader), vec!["b"], "{lost:?}");
        assert_eq!(cluster.evacuations(leader).version(), 3);
    }
}

#[test]
fn evacuations_are_restored_from_snapshots() {
    let mut cluster = Cluster::start();
    let behind = (1..=KEEPERS)
        .map(KeeperId)
        .find(|id| Some(*id) != cluster.leader())
        .expect("a follower");
    cluster.crash(behind);
    cluster.acknowledge(evacuate("a"));
    // The log is replaced by snapshots several times.
    for agent in 0..100 {
        cluster.acknowledge(Command::Enlist(AgentId(agent)));
    }
    for id in (1..=KEEPERS).map(KeeperId) {
        cluster.crash(id);
    }
    for id in (1..=KEEPERS).map(KeeperId) {
        cluster.restart(id);
    }
    cluster.await_applied_everywhere();
    let quorum = cluster.keeper(behind).quorum.as_ref();
    let snapshot = quorum.map(|quorum| quorum.status().snapshot);
    assert!(snapshot.is_some_and(|index| index.0 > 50), "{snapshot:?}");
    for id in (1..=KEEPERS).map(KeeperId) {
        assert_eq!(cluster.evacuated(id), vec!["a"], "{id}");
    }
    cluster.acknowledge(end("a"));
    let leader = cluster.await_leader();
    assert_eq!(cluster.evacuations(leader).version(), 2);
}
