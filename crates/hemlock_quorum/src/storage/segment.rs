//! Segments of the log on disk.

use std::fs::{File, OpenOptions};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::StorageError;
use super::clean_stop::CleanStop;
use super::disk_io::{self, DiskIo};
use super::frame::{self, corrupt};
use super::header::{FILE_HEADER_BYTES, FileKind};
use crate::disk_work::{HardState, PersistBatch, RecoveredState};
use crate::entry::Entry;
use crate::ids::LogIndex;

const ENDING: &str = "log";

/// The number of a new disk's only segment.
pub(super) const FIRST_SEGMENT: u64 = 1;

/// What one sync adds to a segment.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    hard_state: Option<HardState>,
    truncate_from: Option<LogIndex>,
    entries: Vec<Entry>,
}

/// The same, to be written without a copy.
#[derive(Debug, Serialize)]
struct RecordRef<'a> {
    hard_state: Option<HardState>,
    truncate_from: Option<LogIndex>,
    entries: &'a [Entry],
}

/// A file that holds a part of the log.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// The highest entry that was ever written to it.
    pub(super) highest: LogIndex,
    /// Its length in bytes, without what is not durable.
    pub(super) length_bytes: u64,
}

impl Segment {
    pub(super) fn path(io: &DiskIo, number: u64) -> PathBuf {
        io.folder().join(format!("{number:020}.{ENDING}"))
    }

    /// Makes a new segment that repeats the vote, so that earlier ones may be deleted.
    pub(super) fn create(
        io: &DiskIo,
        number: u64,
        hard_state: HardState,
    ) -> Result<Self, StorageError> {
        let bytes = first_bytes(hard_state)?;
        io.replace(&Self::path(io, number), &bytes)?;
        Ok(Self {
            number,
            highest: LogIndex::ZERO,
            length_bytes: bytes.len() as u64,
        })
    }

    /// Whether a segment is as the first one of a new disk is made.
    pub(super) fn is_unused(io: &DiskIo, number: u64) -> Result<bool, StorageError> {
        let bytes = disk_io::read(&Self::path(io, number))?;
        Ok(bytes == first_bytes(HardState::default())?)
    }

    /// Where the log ends, if this is its last segment.
    pub(super) fn end(&self) -> CleanStop {
        CleanStop {
            segment: self.number,
            length_bytes: self.length_bytes,
        }
    }

    pub(super) fn open(&self, io: &DiskIo) -> Result<File, StorageError> {
        let path = Self::path(io, self.number);
        let file = OpenOptions::new().append(true).open(&path);
        file.map_err(|error| disk_io::at(&path, error))
    }

    pub(super) fn append(
        &mut self,
        io: &DiskIo,
        file: &mut File,
        batch: &PersistBatch,
    ) -> Result<(), StorageError> {
        let record = RecordRef {
            hard_state: batch.hard_state,
            truncate_from: batch.truncate_from,
            entries: &batch.entries,
        };
        let bytes = frame::encode(&record)?;
        io.append(file, &Self::path(io, self.number), &bytes)?;
        self.note(&batch.entries);
        self.length_bytes += bytes.len() as u64;
        Ok(())
    }

    fn note(&mut self, entries: &[Entry]) {
        let last = entries.last().map(|entry| entry.index);
        self.highest = self.highest.max(last.unwrap_or_default());
    }

    /// Adds what a segment says to the recovered state. The last segment may end in an unfinished
    /// write, which is cut off.
    pub(super) fn replay(
        io: &DiskIo,
        number: u64,
        is_last: bool,
        state: &mut RecoveredState,
    ) -> Result<Self, StorageError> {
        let path = Self::path(io, number);
        let bytes = disk_io::read(&path)?;
        FileKind::Segment.check(&path, &bytes)?;
        let frames = frame::scan(&path, &bytes, FILE_HEADER_BYTES)?;
        let mut segment = Self {
            number,
            highest: LogIndex::ZERO,
            length_bytes: frames.end as u64,
        };
        for (offset, payload) in frames.payloads {
            let record: Record = frame::decode(&path, offset, payload)?;
            segment.note(&record.entries);
            let gapless = record.replay(state);
            if !gapless {
                return Err(corrupt(&path, offset, "entries are missing"));
            }
        }
        match frames.torn {
            true if !is_last => Err(corrupt(&path, frames.end, "unfinished, but not the last")),
            true => segment.cut(io, frames.end).map(|()| segment),
            false => Ok(segment),
        }
    }

    fn cut(&self, io: &DiskIo, end: usize) -> Result<(), StorageError> {
        let path = Self::path(io, self.number);
        tracing::warn!(file = %path.display(), end_bytes = end, "cut off an unfinished write");
        let file = self.open(io)?;
        file.set_len(end as u64)
            .map_err(|error| disk_io::at(&path, error))?;
        io.sync_file(&file, &path)
    }
}

impl Record {
    /// Does the write again in memory, and says whether it left no gap.
    fn replay(self, state: &mut RecoveredState) -> bool {
        let base = state
            .snapshot
            .as_ref()
            .map_or(LogIndex::ZERO, |snapshot| snapshot.head.index);
        state.hard_state = self.hard_state.unwrap_or(state.hard_state);
        if let Some(from) = self.truncate_from {
            state.entries.retain(|entry| entry.index < from);
        }
        for entry in self.entries.into_iter().filter(|entry| entry.index > base) {
            let last = state.entries.last().map_or(base, |entry| entry.index);
            if entry.index != last.next() {
                return false;
            }
            state.entries.push(entry);
        }
        true
    }
}

/// What a segment holds before anything is appended.
fn first_bytes(hard_state: HardState) -> Result<Vec<u8>, StorageError> {
    let record = RecordRef {
        hard_state: Some(hard_state),
        truncate_from: None,
        entries: &[],
    };
    let mut bytes = FileKind::Segment.header();
    bytes.extend(frame::encode(&record)?);
    Ok(bytes)
}

/// The number of a segment's file.
pub(super) fn number(name: &str) -> Option<u64> {
    let (number, ending) = name.split_once('.')?;
    (ending == ENDING).then(|| number.parse().ok()).flatten()
}
