//! Notes how long the log was at the last clean stop, so that a disk that lost what it had synced is
//! found out.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::StorageError;
use super::disk_io::{self, DiskIo};
use super::frame::{self, corrupt};
use super::header::{FILE_HEADER_BYTES, FileKind};

const FILE_NAME: &str = "clean-stop";

/// A place that the log had reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct CleanStop {
    /// The last segment.
    pub(super) segment: u64,
    /// Its length.
    pub(super) length_bytes: u64,
}

impl CleanStop {
    pub(super) fn write(&self, io: &DiskIo) -> Result<(), StorageError> {
        let mut bytes = FileKind::CleanStop.header();
        bytes.extend(frame::encode(self)?);
        io.replace(&path(io), &bytes)
    }

    /// Refuses a log that ends at `end`, before the place of the last clean stop. The note stays
    /// when the log goes on, since the log never gets shorter.
    pub(super) fn check(io: &DiskIo, names: &[String], end: Self) -> Result<(), StorageError> {
        if !names.iter().any(|name| name == FILE_NAME) {
            return Ok(());
        }
        let path = path(io);
        match load(&path)? {
            noted if noted <= end => Ok(()),
            noted => Err(corrupt(
                &path,
                usize::try_from(noted.length_bytes).unwrap_or(usize::MAX),
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
        _ => Err(corrupt(path, frames.end, "not one whole record")),
    }
}
