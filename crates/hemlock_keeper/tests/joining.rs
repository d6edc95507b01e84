//! Guards against removing an entry whose first report still waits for a reply. That reply grants a
//! lease, so an entry that was removed before would use its configuration without being counted
//! when the leader decides whether a change is in force.

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

/// Core of the only keeper of a cluster, with an in-memory disk.
struct SingleKeeper {
    core: KeeperCore,
    disk: MemoryStorage,
    now: Instant,
    replies: BTreeMap<ReplyToken, KeeperReply>,
}

impl SingleKeeper {
    fn start() -> Self {
        let mut disk = MemoryStorage::new(Incarnation(1));
        let recovered = disk.recover().expect("memory is readable");
        let bootstrap_keepers = [KeeperId(1)].into_iter().collect();
        let config = QuorumConfig::new(KeeperId(1), recovered.incarnation, bootstrap_keepers);
        let limits = LedgerLimits::default();
        let core = KeeperCore::new(config, limits, 1, recovered, BTreeMap::new());
        let mut keeper = Self {
            core: core.expect("the disk matches the settings"),
            disk,
            now: Instant::from_ms(1),
            replies: BTreeMap::new(),
        };
        while !keeper.core.is_leading() {
            keeper.advance(5);
        }
        keeper
    }

    /// Advances the clock in one step and sends a single tick.
    fn advance(&mut self, ms: u64) {
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
fn entry_waiting_for_its_first_reply_counts_for_in_force() {
    let mut keeper = SingleKeeper::start();
    keeper.report(1, ConfigVersion(0));
    // Longer than the maintenance interval, so that maintenance runs while the entry has no lease.
    keeper.advance(30);
    keeper.advance(30);
    assert!(
        keeper.replies.contains_key(&ReplyToken(1)),
        "the reply grants a lease"
    );
    let call = OperatorCall {
        method: "PUT".to_owned(),
        path: "/v1/contracts/a?wait=in-force".to_owned(),
        body: Bytes::from_static(CONTRACT),
    };
    keeper.handle(KeeperEvent::Operator {
        token: ReplyToken(2),
        call,
    });
    keeper.advance(30);
    assert!(
        !keeper.replies.contains_key(&ReplyToken(2)),
        "the entry holds a lease but not the contract"
    );
    let version = keeper.core.state().config().version();
    keeper.report(3, version);
    keeper.advance(30);
    assert!(
        keeper.replies.contains_key(&ReplyToken(2)),
        "the entry has the contract"
    );
}
