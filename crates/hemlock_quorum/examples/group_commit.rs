//! Measures how many entries a second one disk makes durable, by the number that share a sync.
//!
//! `cargo run --release -p hemlock_quorum --example group_commit -- SYNC_DELAY_MS`

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::ids::Incarnation;

const COMMAND_BYTES: usize = 200;
const RUN: Duration = Duration::from_secs(2);
const SHARING: [u64; 5] = [1, 16, 64, 256, 1024];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let delay = std::env::args().nth(1);
    let sync_delay_ms = delay.map_or(Ok(0), |delay| delay.parse())?;
    for sharing in SHARING {
        let folder = tempfile::tempdir()?;
        let identity = DiskIdentity::new("measured", KeeperId(1), Incarnation(1));
        let mut storage = FileStorage::open(folder.path(), identity, sync_delay_ms)?;
        storage.recover()?;
        let (entries, syncs) = fill(&mut storage, sharing)?;
        let per_s = entries / RUN.as_secs();
        println!(
            "sync_delay_ms={sync_delay_ms} sharing={sharing} entries_per_s={per_s} syncs={syncs}"
        );
    }
    Ok(())
}

/// Writes for a while, and returns how many entries by how many syncs.
fn fill(storage: &mut FileStorage, sharing: u64) -> Result<(u64, u64), StorageError> {
    let before = storage.stats().syncs();
    let start = Instant::now();
    let mut next = 1;
    while start.elapsed() < RUN {
        let work = (next..next + sharing).map(|index| DiskWork::Append(one_entry(index)));
        perform(storage, work)?;
        next += sharing;
    }
    Ok((next - 1, storage.stats().syncs() - before))
}

fn one_entry(index: u64) -> PersistBatch {
    let command = Bytes::from(vec![0; COMMAND_BYTES]);
    let entry = Entry {
        term: Term(1),
        index: LogIndex(index),
        payload: Payload::Command(command),
    };
    PersistBatch {
        id: WorkId(index),
        entries: vec![entry],
        ..PersistBatch::default()
    }
}
