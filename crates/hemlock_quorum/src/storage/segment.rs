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

const EXTENSION: &str = "log";

/// Number of the first segment of a new disk.
pub(super) const FIRST_SEGMENT: u64 = 1;

/// Content of a frame: the changes made by one sync.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    hard_state: Option<HardState>,
    truncate_from: Option<LogIndex>,
    entries: Vec<Entry>,
}

/// Borrowed form of [`Record`], written without copying the entries.
#[derive(Debug, Serialize)]
struct RecordRef<'a> {
    hard_state: Option<HardState>,
    truncate_from: Option<LogIndex>,
    entries: &'a [Entry],
}

/// A file with a part of the log.
#[derive(Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// Highest index ever written to this segment.
    pub(super) highest: LogIndex,
    /// Length of the durable part, in bytes.
    pub(super) length_bytes: u64,
}

impl Segment {
    pub(super) fn path(io: &DiskIo, number: u64) -> PathBuf {
        io.folder().join(format!("{number:020}.{EXTENSION}"))
    }

    /// Creates a segment that starts with the current term and vote, so that earlier segments can
    /// be deleted.
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

    /// Whether the segment is unchanged since the folder was created.
    pub(super) fn is_unused(io: &DiskIo, number: u64) -> Result<bool, StorageError> {
        let bytes = disk_io::read(&Self::path(io, number))?;
        Ok(bytes == first_bytes(HardState::default())?)
    }

    /// End of the log, if this is its last segment.
    pub(super) fn end(&self) -> CleanStop {
        CleanStop {
            segment: self.number,
            length_bytes: self.length_bytes,
        }
    }

    pub(super) fn open(&self, io: &DiskIo) -> Result<File, StorageError> {
        let path = Self::path(io, self.number);
        let file = OpenOptions::new().append(true).open(&path);
        file.map_err(|error| disk_io::storage_error(&path, error))
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
        self.update_highest(&batch.entries);
        self.length_bytes += bytes.len() as u64;
        Ok(())
    }

    fn update_highest(&mut self, entries: &[Entry]) {
        let last = entries.last().map(|entry| entry.index);
        self.highest = self.highest.max(last.unwrap_or_default());
    }

    /// Applies the records of a segment to the recovered state. An incomplete write at the end of
    /// the last segment is truncated.
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
            segment.update_highest(&record.entries);
            let gapless = record.replay(state);
            if !gapless {
                return Err(corrupt(&path, offset, "log entries are missing"));
            }
        }
        match frames.torn {
            true if !is_last => Err(corrupt(
                &path,
                frames.end,
                "incomplete write, but not in the last segment",
            )),
            true => segment
                .truncate_torn_write(io, frames.end)
                .map(|()| segment),
            false => Ok(segment),
        }
    }

    fn truncate_torn_write(&self, io: &DiskIo, end: usize) -> Result<(), StorageError> {
        let path = Self::path(io, self.number);
        tracing::warn!(
            file = %path.display(),
            end_bytes = end,
            "truncated an incomplete write at the end of the log"
        );
        let file = self.open(io)?;
        file.set_len(end as u64)
            .map_err(|error| disk_io::storage_error(&path, error))?;
        io.sync_file(&file, &path)
    }
}

impl Record {
    /// Applies the recorded changes. Returns whether the log has no gap.
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

/// Content of a new segment.
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

/// Segment number from a file name.
pub(super) fn number(name: &str) -> Option<u64> {
    let (number, extension) = name.split_once('.')?;
    (extension == EXTENSION)
        .then(|| number.parse().ok())
        .flatten()
}
