//! Header of every file: the kind of file and the format version.

use std::path::Path;

use super::StorageError;
use super::frame::corrupt;

/// Version of the file format.
pub const FORMAT_VERSION: u32 = 1;

/// Length of a file header, in bytes.
pub(super) const FILE_HEADER_BYTES: usize = 12;

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FileKind {
    Identity,
    Segment,
    Snapshot,
    CleanStop,
}

impl FileKind {
    fn magic(self) -> &'static [u8; 8] {
        match self {
            Self::Identity => b"HEMLK-ID",
            Self::Segment => b"HEMLKLOG",
            Self::Snapshot => b"HEMLKSNP",
            Self::CleanStop => b"HEMLKEND",
        }
    }

    /// Encodes the file header.
    pub(super) fn header(self) -> Vec<u8> {
        let mut bytes = self.magic().to_vec();
        bytes.extend(FORMAT_VERSION.to_le_bytes());
        bytes
    }

    /// Checks the file header.
    pub(super) fn check(self, path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
        let Some(header) = bytes.get(..FILE_HEADER_BYTES) else {
            return Err(corrupt(path, 0, "file header is too short"));
        };
        let (magic, version) = header.split_at(self.magic().len());
        if magic != self.magic() {
            return Err(corrupt(path, 0, "file header of another kind of file"));
        }
        let found = u32::from_le_bytes([version[0], version[1], version[2], version[3]]);
        match found {
            FORMAT_VERSION => Ok(()),
            _ => Err(StorageError::WrongVersion(
                path.to_owned(),
                found,
                FORMAT_VERSION,
            )),
        }
    }
}
