//! Evacuations in the job store, and the compatibility of stored data with earlier versions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hemlock_jobs::prelude::*;

/// A log entry with each command that existed before evacuations.
const EARLIER_ENTRY: &str = "\
    84070a000107010873656172636865730168032f702f086c697374696e6773dc0b3c0102000000000000f83f0108\
    6c697374696e6773027b7d0201087365617263686573086c697374696e6773020177010200000000000000000002\
    02087365617263686573086c697374696e6773020177010200000000000000000003020401000001010005040505\
    0605070403692d3111086c697374696e6773016180f4038008000102723100";

/// A snapshot after [`EARLIER_ENTRY`], in the layout without evacuations.
const EARLIER_SNAPSHOT: &str = "\
    8407010107010873656172636865730168032f702f086c697374696e6773dc0b3c0102000000000000f83f01086c\
    697374696e6773027b7d020108736561726368657300086c697374696e6773020177010200000000000000000001\
    02000000010000840702087365617263686573010201840702010403010403692d3111086c697374696e67730161\
    80f4038008000102723100";

/// The layout of a snapshot without evacuations.
type EarlierLayout = (
    u64,
    u64,
    Option<Configuration>,
    Vec<(JobId, JobRecord)>,
    VecDeque<(u64, JobId)>,
    BTreeSet<AgentId>,
    u64,
    BTreeMap<AgentId, InstanceReport>,
);

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(text, 16).expect("a byte")
    };
    digits.chunks(2).map(byte).collect()
}

fn evacuate(domain: &str) -> Command {
    Command::Evacuate(domain.to_owned())
}

fn end(domain: &str) -> Command {
    Command::EndEvacuation(domain.to_owned())
}

fn apply(store: &mut JobStore, commands: Vec<Command>) -> Vec<ApplyOutcome> {
    store.apply(&Batch::new(store.now_ms(), commands))
}

fn domains(store: &JobStore) -> Vec<&str> {
    let evacuations = store.evacuations();
    evacuations.domains().iter().map(String::as_str).collect()
}

#[test]
fn each_change_increases_the_version_by_one() {
    let mut store = JobStore::new(1_000);
    assert_eq!(store.evacuations().version(), 0);
    apply(&mut store, vec![evacuate("a"), evacuate("b")]);
    assert_eq!(
        (store.evacuations().version(), domains(&store)),
        (2, vec!["a", "b"])
    );
    apply(&mut store, vec![end("a")]);
    assert_eq!(
        (store.evacuations().version(), domains(&store)),
        (3, vec!["b"])
    );
}

#[test]
fn a_repeated_request_is_done_and_changes_nothing() {
    let mut store = JobStore::new(1_000);
    let done = vec![ApplyOutcome::Done; 3];
    assert_eq!(apply(&mut store, vec![evacuate("a"); 3]), done);
    assert_eq!(
        (store.evacuations().version(), domains(&store)),
        (1, vec!["a"])
    );
    assert_eq!(apply(&mut store, vec![end("a"); 3]), done);
    assert_eq!(
        (store.evacuations().version(), domains(&store)),
        (2, vec![])
    );
    assert_eq!(apply(&mut store, vec![end("b")]), [ApplyOutcome::Done]);
    assert_eq!(store.evacuations().version(), 2);
}

#[test]
fn a_received_set_replaces_only_an_earlier_one() {
    let mut held = Evacuations::default();
    held.begin("a");
    let begun = held.clone();
    held.end("a");
    assert!(
        !held.update(&begun),
        "an ended evacuation must not come back"
    );
    assert!(held.domains().is_empty());
    assert!(!held.clone().update(&held));
    let mut fresh = Evacuations::default();
    assert!(fresh.update(&held));
    assert_eq!(fresh, held);
}

#[test]
fn a_snapshot_restores_evacuations() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, vec![evacuate("a"), evacuate("b"), end("a")]);
    let mut restored = JobStore::new(1_000);
    restored
        .restore(&store.snapshot().expect("it encodes"))
        .expect("it is valid");
    assert_eq!(restored.evacuations(), store.evacuations());
    assert_eq!(domains(&restored), vec!["b"]);
    apply(&mut restored, vec![end("b")]);
    assert_eq!(restored.evacuations().version(), 4);
}

#[test]
fn a_snapshot_of_an_earlier_version_loads_without_evacuations() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, vec![evacuate("a")]);
    store
        .restore(&bytes(EARLIER_SNAPSHOT))
        .expect("the earlier layout is valid");
    assert_eq!(store.evacuations(), &Evacuations::default());
    assert_eq!(store.configuration().map(|held| held.version), Some(7));
    assert!(store.job(JobId(1)).is_some_and(JobRecord::is_open));
    assert_eq!(store.agents(), &BTreeSet::from([AgentId(4)]));
    let instance = store.instance(AgentId(4)).expect("it is recorded");
    assert_eq!(instance.failure_domain, "a");
    apply(&mut store, vec![evacuate("a")]);
    assert_eq!(domains(&store), vec!["a"]);
}

#[test]
fn an_earlier_version_reads_a_snapshot_with_evacuations() {
    let mut store = JobStore::new(1_000);
    store
        .restore(&bytes(EARLIER_SNAPSHOT))
        .expect("it is valid");
    apply(&mut store, vec![evacuate("a")]);
    let snapshot = store.snapshot().expect("it encodes");
    let earlier: EarlierLayout = postcard::from_bytes(&snapshot).expect("it reads its part");
    assert_eq!(postcard::to_stdvec(&earlier), Ok(bytes(EARLIER_SNAPSHOT)));
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let mut store = JobStore::new(1_000);
    apply(&mut store, vec![evacuate("a"), evacuate("b")]);
    let snapshot = store.snapshot().expect("it encodes");
    let before = store.clone();
    // Cut within the evacuations, whose first byte is the version.
    for cut in 1..5 {
        let result = store.restore(&snapshot[..snapshot.len() - cut]);
        assert!(result.is_err(), "{cut} bytes are missing");
    }
    assert_eq!(store.evacuations(), before.evacuations());
}

#[test]
fn log_entries_of_an_earlier_version_are_applied() {
    let batch: Batch = postcard::from_bytes(&bytes(EARLIER_ENTRY)).expect("it is readable");
    assert_eq!(batch.commands.len(), 10);
    let mut store = JobStore::new(1_000);
    store.apply(&batch);
    let snapshot = store.snapshot().expect("it encodes");
    assert!(snapshot.starts_with(&bytes(EARLIER_SNAPSHOT)));
}
