//! Measures how many entries per second a disk makes durable, for several numbers of entries per
//! sync.
//!
//! `cargo run --release -p hemlock_quorum --example group_commit -- SYNC_DELAY_MS`

use std::time::{Duration, Instant};

use bytes::Bytes;
use hemlock_quorum::prelude::*;
use hemlock_types::ids::Incarnation;

const COMMAND_BYTES: usize = 200;
const MEASURE_TIME: Duration = Duration::from_secs(2);
const BATCH_SIZES: [u64; 5] = [1, 16, 64, 256, 1024];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let delay = std::env::args().nth(1);
    let sync_delay_ms = delay.map_or(Ok(0), |delay| delay.parse())?;
    for batch_size in BATCH_SIZES {
        let folder = tempfile::tempdir()?;
        let identity = DiskIdentity::new("measured", KeeperId(1), Incarnation(1));
        let mut storage = FileStorage::open(folder.path(), identity, sync_delay_ms)?;
        storage.recover()?;
        let (entries, syncs) = write_entries(&mut storage, batch_size)?;
        let per_s = entries / MEASURE_TIME.as_secs();
        println!(
            "sync_delay_ms={sync_delay_ms} batch_size={batch_size} entries_per_s={per_s} syncs={syncs}"
        );
    }
    Ok(())
}

/// Writes entries for [`MEASURE_TIME`] and returns the number of entries and of syncs.
fn write_entries(storage: &mut FileStorage, batch_size: u64) -> Result<(u64, u64), StorageError> {
    let before = storage.stats().syncs();
    let start = Instant::now();
    let mut next = 1;
    while start.elapsed() < MEASURE_TIME {
        let work =
            (next..next + batch_size).map(|index| DiskWork::Append(single_entry_batch(index)));
        perform(storage, work)?;
        next += batch_size;
    }
    Ok((next - 1, storage.stats().syncs() - before))
}

fn single_entry_batch(index: u64) -> PersistBatch {
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
