//! Records the length of the log at a clean stop, so that the next start detects a disk that has
//! lost synced data.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::StorageError;
use super::disk_io::{self, DiskIo};
use super::frame::{self, corrupt};
use super::header::{FILE_HEADER_BYTES, FileKind};

const FILE_NAME: &str = "clean-stop";

/// End of the log at a clean stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct CleanStop {
    /// Number of the last segment.
    pub(super) segment: u64,
    /// Length of that segment.
    pub(super) length_bytes: u64,
}

impl CleanStop {
    pub(super) fn write(&self, io: &DiskIo) -> Result<(), StorageError> {
        let mut bytes = FileKind::CleanStop.header();
        bytes.extend(frame::encode(self)?);
        io.replace(&path(io), &bytes)
    }

    /// Fails if the log ends at `end`, before its recorded end. The record stays valid while the
    /// log grows, because the log never becomes shorter.
    pub(super) fn check(io: &DiskIo, names: &[String], end: Self) -> Result<(), StorageError> {
        if !names.iter().any(|name| name == FILE_NAME) {
            return Ok(());
        }
        let path = path(io);
        match load(&path)? {
            recorded if recorded <= end => Ok(()),
            recorded => Err(corrupt(
                &path,
                usize::try_from(recorded.length_bytes).unwrap_or(usize::MAX),
                "the log is shorter than at the last clean stop",
            )),
        }
    }
}

fn path(io: &DiskIo) -> PathBuf {
    io.folder().join(FILE_NAME)
}

fn load(path: &Path) -> Result<CleanStop, StorageError> {
    let bytes = disk_io::read(path)?;
    FileKind::CleanStop.check(path, &bytes)?;
    let frames = frame::scan(path, &bytes, FILE_HEADER_BYTES)?;
    match frames.payloads.as_slice() {
        [(offset, payload)] if !frames.torn => frame::decode(path, *offset, payload),
        _ => Err(corrupt(
            path,
            frames.end,
            "does not contain exactly one complete record",
        )),
    }
}
