//! Snapshots on disk.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::StorageError;
use super::disk_io::{self, DiskIo};
use super::frame::{self, corrupt};
use super::header::{FILE_HEADER_BYTES, FileKind};
use crate::ids::LogIndex;
use crate::snapshot::Snapshot;

const EXTENSION: &str = "snapshot";

/// A snapshot with its position among the segments.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    pub(super) snapshot: Snapshot,
    /// Segments with lower numbers are obsolete.
    pub(super) first_segment: u64,
}

impl StoredSnapshot {
    pub(super) fn path(io: &DiskIo, index: LogIndex) -> PathBuf {
        io.folder().join(format!("{:020}.{EXTENSION}", index.0))
    }

    pub(super) fn write(&self, io: &DiskIo) -> Result<(), StorageError> {
        let mut bytes = FileKind::Snapshot.header();
        bytes.extend(frame::encode(self)?);
        io.replace(&Self::path(io, self.snapshot.head.index), &bytes)
    }

    pub(super) fn load(io: &DiskIo, index: LogIndex) -> Result<Self, StorageError> {
        let path = Self::path(io, index);
        let bytes = disk_io::read(&path)?;
        FileKind::Snapshot.check(&path, &bytes)?;
        let frames = frame::scan(&path, &bytes, FILE_HEADER_BYTES)?;
        match frames.payloads.as_slice() {
            [(offset, payload)] if !frames.torn => frame::decode(&path, *offset, payload),
            _ => Err(corrupt(
                &path,
                frames.end,
                "does not contain exactly one complete record",
            )),
        }
    }
}

/// Snapshot index from a file name.
pub(super) fn index(name: &str) -> Option<LogIndex> {
    let (index, extension) = name.split_once('.')?;
    let index = (extension == EXTENSION)
        .then(|| index.parse().ok())
        .flatten();
    index.map(LogIndex)
}

pub(super) fn is_snapshot(name: &str) -> bool {
    index(name).is_some()
}
