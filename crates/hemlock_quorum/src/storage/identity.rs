//! Whose disk a folder is.

use std::path::Path;

use hemlock_types::ids::Incarnation;
use serde::{Deserialize, Serialize};

use super::disk_io::{self, DiskIo};
use super::frame::{self, corrupt};
use super::header::{FILE_HEADER_BYTES, FORMAT_VERSION, FileKind};
use super::segment::{self, FIRST_SEGMENT, Segment};
use super::{StorageError, snapshot_file};
use crate::disk_work::HardState;
use crate::ids::KeeperId;

const FILE_NAME: &str = "identity";

/// Whose disk a folder is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// The cluster's name.
    pub cluster: String,
    /// The keeper.
    pub keeper: KeeperId,
    /// The life of the disk, drawn at random when the folder is first used.
    pub incarnation: Incarnation,
    /// Version of the files' format.
    pub format_version: u32,
}

impl DiskIdentity {
    /// The identity that a keeper's folder gets when it is empty.
    pub fn new(cluster: impl Into<String>, keeper: KeeperId, incarnation: Incarnation) -> Self {
        Self {
            cluster: cluster.into(),
            keeper,
            incarnation,
            format_version: FORMAT_VERSION,
        }
    }
}

/// Reads the folder's identity, or gives an empty folder the one that is expected.
pub(super) fn claim(io: &DiskIo, expected: DiskIdentity) -> Result<DiskIdentity, StorageError> {
    let path = io.folder().join(FILE_NAME);
    let names = io.file_names()?;
    if names.iter().any(|name| name == FILE_NAME) {
        let found = load(&path)?;
        check(&path, &found, &expected)?;
        return Ok(found);
    }
    if holds_log(io, &names)? {
        return Err(corrupt(&path, 0, "the file is missing beside a log"));
    }
    Segment::create(io, FIRST_SEGMENT, HardState::default())?;
    let mut bytes = FileKind::Identity.header();
    bytes.extend(frame::encode(&expected)?);
    io.replace(&path, &bytes)?;
    Ok(expected)
}

/// Whether there is more than the first segment, which is made before the identity.
fn holds_log(io: &DiskIo, names: &[String]) -> Result<bool, StorageError> {
    let holds_snapshot = names.iter().any(|name| snapshot_file::is_snapshot(name));
    let segments: Vec<_> = names
        .iter()
        .filter_map(|name| segment::number(name))
        .collect();
    match segments.as_slice() {
        _ if holds_snapshot => Ok(true),
        [] => Ok(false),
        [FIRST_SEGMENT] => Ok(!Segment::is_unused(io, FIRST_SEGMENT)?),
        _ => Ok(true),
    }
}

fn load(path: &Path) -> Result<DiskIdentity, StorageError> {
    let bytes = disk_io::read(path)?;
    FileKind::Identity.check(path, &bytes)?;
    let frames = frame::scan(path, &bytes, FILE_HEADER_BYTES)?;
    match frames.payloads.as_slice() {
        [(offset, payload)] if !frames.torn => frame::decode(path, *offset, payload),
        _ => Err(corrupt(path, frames.end, "not one whole record")),
    }
}

/// A disk of another cluster or keeper is refused; another life of the same keeper's is its own.
fn check(path: &Path, found: &DiskIdentity, expected: &DiskIdentity) -> Result<(), StorageError> {
    let foreign = |field, found: String, expected: String| {
        Err(StorageError::ForeignDisk(
            path.to_owned(),
            field,
            found,
            expected,
        ))
    };
    match found {
        _ if found.format_version != expected.format_version => Err(StorageError::WrongVersion(
            path.to_owned(),
            found.format_version,
            expected.format_version,
        )),
        _ if found.cluster != expected.cluster => {
            foreign("cluster", found.cluster.clone(), expected.cluster.clone())
        }
        _ if found.keeper != expected.keeper => foreign(
            "keeper",
            found.keeper.to_string(),
            expected.keeper.to_string(),
        ),
        _ => Ok(()),
    }
}
