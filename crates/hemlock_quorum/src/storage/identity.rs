//! Identity of a keeper's data folder.

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

/// Identity of a keeper's data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Id of the keeper.
    pub keeper: KeeperId,
    /// Incarnation of the disk, chosen at random when the folder is first used.
    pub incarnation: Incarnation,
    /// Version of the file format.
    pub format_version: u32,
}

impl DiskIdentity {
    /// Creates the identity for a keeper's empty folder.
    pub fn new(cluster: impl Into<String>, keeper: KeeperId, incarnation: Incarnation) -> Self {
        Self {
            cluster: cluster.into(),
            keeper,
            incarnation,
            format_version: FORMAT_VERSION,
        }
    }
}

/// Reads the identity of the folder, or writes the expected one if the folder is empty.
pub(super) fn load_or_create(
    io: &DiskIo,
    expected: DiskIdentity,
) -> Result<DiskIdentity, StorageError> {
    let path = io.folder().join(FILE_NAME);
    let names = io.file_names()?;
    if names.iter().any(|name| name == FILE_NAME) {
        let found = load(&path)?;
        check(&path, &found, &expected)?;
        return Ok(found);
    }
    if holds_log(io, &names)? {
        return Err(corrupt(
            &path,
            0,
            "the identity file is missing, but there is a log",
        ));
    }
    Segment::create(io, FIRST_SEGMENT, HardState::default())?;
    let mut bytes = FileKind::Identity.header();
    bytes.extend(frame::encode(&expected)?);
    io.replace(&path, &bytes)?;
    Ok(expected)
}

/// Whether the folder holds more than an unused first segment, which is created before the identity
/// file.
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
        _ => Err(corrupt(
            path,
            frames.end,
            "does not contain exactly one complete record",
        )),
    }
}

/// Rejects a disk of another cluster, keeper or format version. A different incarnation is
/// accepted, because the one on disk is used.
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
