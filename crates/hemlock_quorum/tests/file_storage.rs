//! Tests of the file storage: recovery after crashes, and rejection of corrupt or foreign files.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::ids::Incarnation;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tempfile::TempDir;

const DISK: Incarnation = Incarnation(9);

/// Largest size of a generated sequence of steps.
const MAX_STEPS: usize = 30;

fn identity() -> DiskIdentity {
    DiskIdentity::new("tallinn", KeeperId(1), DISK)
}

fn open(folder: &Path) -> Result<FileStorage, StorageError> {
    FileStorage::open(folder, identity(), 0)
}

fn recover(folder: &Path) -> Result<RecoveredState, StorageError> {
    open(folder)?.recover()
}

fn entry(index: u64, term: u64) -> Entry {
    let command = Bytes::from(format!("command {index} of term {term}"));
    Entry {
        term: Term(term),
        index: LogIndex(index),
        payload: Payload::Command(command),
    }
}

fn batch(from: u64, to: u64) -> PersistBatch {
    PersistBatch {
        id: WorkId(to),
        hard_state: Some(HardState {
            term: Term(1),
            voted_for: Some(KeeperId(to)),
        }),
        truncate_from: None,
        entries: (from..=to).map(|index| entry(index, 1)).collect(),
    }
}

fn snapshot(index: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    snapshot.head.index = LogIndex(index);
    snapshot.head.term = Term(1);
    snapshot.data = Bytes::from(vec![5; 300]);
    snapshot
}

/// A folder with three batches, and the path of its only segment.
fn folder_with_batches() -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = open(folder.path()).unwrap();
    storage.recover().unwrap();
    for (from, to) in [(1, 3), (4, 5), (6, 9)] {
        storage.persist(&batch(from, to)).unwrap();
    }
    let segment = folder.path().join("00000000000000000001.log");
    (folder, segment)
}

fn last_index(state: &RecoveredState) -> u64 {
    state.entries.last().map_or(0, |entry| entry.index.0)
}

#[test]
fn a_torn_write_is_truncated_at_every_length() {
    let (folder, segment) = folder_with_batches();
    let whole = fs::read(&segment).unwrap();
    let second_batch_end = whole.len() - frame_bytes(&batch(6, 9));
    for length in second_batch_end..whole.len() {
        fs::write(&segment, &whole[..length]).unwrap();
        let mut storage = open(folder.path()).unwrap();
        let state = storage.recover().unwrap();
        assert_eq!(last_index(&state), 5, "truncated to {length} bytes");
        assert_eq!(state.hard_state.voted_for, Some(KeeperId(5)));
        storage.persist(&batch(6, 7)).unwrap();
        drop(storage);
        assert_eq!(last_index(&recover(folder.path()).unwrap()), 7);
    }
}

/// Length of the frame that holds a batch.
fn frame_bytes(batch: &PersistBatch) -> usize {
    let record = (&batch.hard_state, &batch.truncate_from, &batch.entries);
    postcard::to_stdvec(&record).unwrap().len() + 16
}

#[test]
fn a_log_shorter_than_at_a_clean_stop_is_refused() {
    let (folder, segment) = folder_with_batches();
    let mut storage = open(folder.path()).unwrap();
    storage.recover().unwrap();
    storage.close().unwrap();
    drop(storage);
    let whole = fs::read(&segment).unwrap();
    for length in whole.len() - frame_bytes(&batch(6, 9))..whole.len() {
        fs::write(&segment, &whole[..length]).unwrap();
        let refused = recover(folder.path());
        assert!(
            matches!(refused, Err(StorageError::Corrupt(..))),
            "{length} bytes"
        );
    }
    let torn = [whole.as_slice(), &[9; 7]].concat();
    fs::write(&segment, torn).unwrap();
    let mut storage = open(folder.path()).unwrap();
    assert_eq!(last_index(&storage.recover().unwrap()), 9);
    storage.compact(&snapshot(8)).unwrap();
    drop(storage);
    assert_eq!(last_index(&recover(folder.path()).unwrap()), 9);
}

#[test]
fn trailing_zeros_are_truncated() {
    let (folder, segment) = folder_with_batches();
    let mut bytes = fs::read(&segment).unwrap();
    bytes.resize(bytes.len() + 4_096, 0);
    fs::write(&segment, &bytes).unwrap();
    assert_eq!(last_index(&recover(folder.path()).unwrap()), 9);
}

#[test]
fn every_damaged_byte_is_detected() {
    let (folder, segment) = folder_with_batches();
    let whole = fs::read(&segment).unwrap();
    for position in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[position] ^= 0x40;
        fs::write(&segment, &damaged).unwrap();
        match recover(folder.path()) {
            Err(StorageError::Corrupt(..) | StorageError::WrongVersion(..)) => {}
            other => panic!("byte {position}: {other:?}"),
        }
    }
    fs::write(&segment, &whole).unwrap();
    assert_eq!(last_index(&recover(folder.path()).unwrap()), 9);
}

#[test]
fn a_damaged_snapshot_or_identity_is_refused() {
    let (folder, _) = folder_with_batches();
    let mut storage = open(folder.path()).unwrap();
    storage.recover().unwrap();
    storage.compact(&snapshot(4)).unwrap();
    drop(storage);
    for name in ["identity", "00000000000000000004.snapshot"] {
        let path = folder.path().join(name);
        let whole = fs::read(&path).unwrap();
        for position in 0..whole.len() {
            let mut damaged = whole.clone();
            damaged[position] ^= 1;
            fs::write(&path, &damaged).unwrap();
            let result = recover(folder.path());
            assert!(result.is_err(), "{name}, byte {position}");
        }
        fs::write(&path, &whole).unwrap();
    }
    assert_eq!(last_index(&recover(folder.path()).unwrap()), 9);
}

#[test]
fn missing_files_are_refused() {
    for name in ["identity", "00000000000000000001.log"] {
        let (folder, _) = folder_with_batches();
        fs::remove_file(folder.path().join(name)).unwrap();
        let result = recover(folder.path());
        assert!(matches!(result, Err(StorageError::Corrupt(..))), "{name}");
    }
}

#[test]
fn another_version_cluster_or_keeper_is_refused() {
    let (folder, segment) = folder_with_batches();
    let other = DiskIdentity::new("tartu", KeeperId(1), DISK);
    let refused = FileStorage::open(folder.path(), other, 0);
    assert!(matches!(
        refused,
        Err(StorageError::ForeignDisk(_, "cluster", ..))
    ));
    let other = DiskIdentity::new("tallinn", KeeperId(2), DISK);
    let refused = FileStorage::open(folder.path(), other, 0);
    assert!(matches!(
        refused,
        Err(StorageError::ForeignDisk(_, "keeper", ..))
    ));

    let mut bytes = fs::read(&segment).unwrap();
    bytes[8] = 2;
    fs::write(&segment, &bytes).unwrap();
    let refused = recover(folder.path());
    assert!(matches!(refused, Err(StorageError::WrongVersion(_, 2, 1))));
}

#[test]
fn a_restart_keeps_the_disks_own_incarnation() {
    let (folder, _) = folder_with_batches();
    let later = DiskIdentity::new("tallinn", KeeperId(1), Incarnation(77));
    let mut storage = FileStorage::open(folder.path(), later, 0).unwrap();
    assert_eq!(storage.identity().incarnation, DISK);
    assert_eq!(storage.recover().unwrap().incarnation, DISK);
}

#[test]
fn an_unusable_folder_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    fs::write(&file, "").unwrap();
    for path in [file.clone(), file.join("below")] {
        assert!(matches!(open(&path), Err(StorageError::Folder(..))));
    }
    let occupied = folder.path().join("used");
    let first = open(&occupied).unwrap();
    assert!(matches!(open(&occupied), Err(StorageError::InUse(_))));
    drop(first);
    assert!(open(&occupied).is_ok());
}

#[cfg(target_os = "linux")]
#[test]
fn a_full_disk_stops_the_storage_and_loses_nothing() {
    let (folder, _) = folder_with_batches();
    let mut storage = open(folder.path()).unwrap();
    storage.recover().unwrap();
    let partial = folder.path().join("00000000000000000002.tmp");
    std::os::unix::fs::symlink("/dev/full", partial).unwrap();
    let full = storage.compact(&snapshot(4));
    assert!(matches!(full, Err(StorageError::Full(_))), "{full:?}");
    let stopped = storage.persist(&batch(10, 10));
    assert!(matches!(stopped, Err(StorageError::Stopped(_))));
    drop(storage);
    assert_eq!(last_index(&recover(folder.path()).unwrap()), 9);
}

#[test]
fn pending_batches_share_one_sync() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = open(folder.path()).unwrap();
    storage.recover().unwrap();
    let before = storage.stats().syncs();
    let work = (1..=100).map(|index| DiskWork::Append(batch(index, index)));
    let done = perform(&mut storage, work).unwrap();
    assert_eq!(done, Some(WorkId(100)));
    assert_eq!(storage.stats().syncs() - before, 1);
    drop(storage);
    assert_eq!(last_index(&recover(folder.path()).unwrap()), 100);
}

#[test]
fn compaction_limits_the_number_of_files() {
    let folder = tempfile::tempdir().unwrap();
    let mut storage = open(folder.path()).unwrap();
    storage.recover().unwrap();
    for round in 0..50 {
        let first = round * 20 + 1;
        storage.persist(&batch(first, first + 19)).unwrap();
        storage.compact(&snapshot(first + 10)).unwrap();
    }
    let files = fs::read_dir(folder.path()).unwrap().count();
    assert!(files <= 5, "{files} files");
    drop(storage);
    assert_eq!(last_index(&recover(folder.path()).unwrap()), 1_000);
}

/// A write or a restart.
#[derive(Clone, Debug)]
enum Step {
    Append { back: u64, count: u64 },
    Vote(u64),
    Compact { back: u64 },
    Install { ahead: u64 },
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen| u64::arbitrary(g) % 6;
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Append {
                back: small(g) * small(g) / 4,
                count: small(g),
            },
            3 => Self::Vote(small(g)),
            4 | 5 => Self::Compact { back: small(g) },
            6 => Self::Install { ahead: small(g) },
            _ => Self::Restart,
        }
    }
}

/// Whether file storage and in-memory storage have the same content after any sequence of writes
/// and restarts.
fn matches_memory_storage(steps: Vec<Step>) -> bool {
    let folder = tempfile::tempdir().unwrap();
    let mut files = open(folder.path()).unwrap();
    let mut memory = MemoryStorage::new(DISK);
    files.recover().unwrap();
    for (term, step) in steps.into_iter().enumerate() {
        let state = memory.recover().unwrap();
        let base = state.snapshot.map_or(0, |snapshot| snapshot.head.index.0);
        let last = state.entries.last().map_or(base, |entry| entry.index.0);
        match step {
            Step::Restart => {
                drop(files);
                files = open(folder.path()).unwrap();
                assert_eq!(files.recover().unwrap(), memory.recover().unwrap());
            }
            step => write(&mut files, &mut memory, &step, (base, last, term as u64)),
        }
    }
    drop(files);
    recover(folder.path()).unwrap() == memory.recover().unwrap()
}

fn write(
    files: &mut FileStorage,
    memory: &mut MemoryStorage,
    step: &Step,
    (base, last, term): (u64, u64, u64),
) {
    let storages: [&mut dyn Storage; 2] = [files, memory];
    for storage in storages {
        match *step {
            Step::Append { back, count } => {
                let from = last.saturating_sub(back).max(base) + 1;
                let batch = PersistBatch {
                    truncate_from: (from <= last).then_some(LogIndex(from)),
                    entries: (from..from + count)
                        .map(|index| entry(index, term))
                        .collect(),
                    ..PersistBatch::default()
                };
                storage.persist(&batch).unwrap();
            }
            Step::Vote(id) => {
                let hard_state = Some(HardState {
                    term: Term(term),
                    voted_for: Some(KeeperId(id)),
                });
                let batch = PersistBatch {
                    hard_state,
                    ..PersistBatch::default()
                };
                storage.persist(&batch).unwrap();
            }
            Step::Compact { back } if last.saturating_sub(back) > base => {
                storage.compact(&snapshot(last - back)).unwrap();
            }
            Step::Install { ahead } if last > 0 => {
                storage.install_snapshot(&snapshot(last + ahead)).unwrap();
            }
            _ => {}
        }
    }
}

#[test]
fn file_storage_matches_memory_storage() {
    let generator = Gen::new(MAX_STEPS);
    QuickCheck::new()
        .rng(generator)
        .quickcheck(matches_memory_storage as fn(Vec<Step>) -> bool);
}
