//! A keeper never gives up an entry that it is about to lease: "in force" counts that entry.

use std::collections::BTreeMap;

use bytes::Bytes;
use hemlock_keeper::prelude::*;
use hemlock_ledger::prelude::*;
use hemlock_quorum::prelude::*;
use hemlock_types::prelude::*;
use hemlock_wire::message::keeper::{EntrySync, KeeperReply, KeeperRequest};

const ENTRY: Incarnation = Incarnation(77);
const CONTRACT: &[u8] = br#"{"customer": "a", "revision": 1, "services": ["s"],
    "key_sha256": ["0000000000000000000000000000000000000000000000000000000000000000"],
    "max_running": 1, "max_queued": 1}"#;

/// The only keeper of a cluster, on a disk in memory.
struct Lone {
    core: KeeperCore,
    disk: MemoryStorage,
    now: Instant,
    replies: BTreeMap<ReplyToken, KeeperReply>,
}

impl Lone {
    fn start() -> Self {
        let mut disk = MemoryStorage::new(Incarnation(1));
        let recovered = disk.recover().expect("memory is readable");
        let founders = [KeeperId(1)].into_iter().collect();
        let config = QuorumConfig::new(KeeperId(1), recovered.incarnation, founders);
        let limits = LedgerLimits::default();
        let core = KeeperCore::new(config, limits, 1, recovered, BTreeMap::new());
        let mut lone = Self {
            core: core.expect("the disk fits"),
            disk,
            now: Instant::from_ms(1),
            replies: BTreeMap::new(),
        };
        while !lone.core.is_leading() {
            lone.pass(5);
        }
        lone
    }

    /// Lets time pass without looking in between.
    fn pass(&mut self, ms: u64) {
        self.now += DurationMs::new(ms);
        self.handle(KeeperEvent::Tick);
    }

    fn handle(&mut self, event: KeeperEvent) {
        let mut events = vec![event];
        while !events.is_empty() {
            let mut actions = Vec::new();
            self.core
                .handle_all(self.now, events.drain(..), &mut actions);
            let mut work = Vec::new();
            for action in actions {
                match action {
                    KeeperAction::Persist(item) => work.push(item),
                    KeeperAction::Reply { token, reply } => {
                        self.replies.insert(token, reply);
                    }
                    _ => {}
                }
            }
            if !work.is_empty() {
                let done = perform(&mut self.disk, work).expect("memory is writable");
                events.extend(done.map(|up_to| KeeperEvent::Synced { up_to }));
            }
        }
    }

    fn report(&mut self, token: u64, config: ConfigVersion) {
        let report = EntrySync {
            entry: ENTRY,
            domain: "harju-1".into(),
            config,
            directory: (0, 0),
            demand: Vec::new(),
            shares_seen: 0,
            wait_ms: 1_000,
            leaving: false,
        };
        self.handle(KeeperEvent::Request {
            token: ReplyToken(token),
            request: KeeperRequest::EntrySync(report),
        });
    }
}

#[test]
fn an_entry_that_waits_for_its_first_answer_is_counted() {
    let mut lone = Lone::start();
    lone.report(1, ConfigVersion(0));
    // Longer than the keeper looks at its records: the new entry has no lease yet.
    lone.pass(30);
    lone.pass(30);
    assert!(lone.replies.contains_key(&ReplyToken(1)), "it got a lease");
    let call = OperatorCall {
        method: "PUT".to_owned(),
        path: "/v1/contracts/a?wait=in-force".to_owned(),
        body: Bytes::from_static(CONTRACT),
    };
    lone.handle(KeeperEvent::Operator {
        token: ReplyToken(2),
        call,
    });
    lone.pass(30);
    assert!(
        !lone.replies.contains_key(&ReplyToken(2)),
        "the entry with a lease has not got the contract"
    );
    let version = lone.core.state().config().version();
    lone.report(3, version);
    lone.pass(30);
    assert!(
        lone.replies.contains_key(&ReplyToken(2)),
        "the entry has the contract"
    );
}
