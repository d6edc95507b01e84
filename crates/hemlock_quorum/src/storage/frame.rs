//! Frames: pieces of a file with length and checksum, each written by one sync.
//!
//! A frame is `magic, length, checksum of the payload, checksum of the three`, each four bytes in
//! little-endian order, and the payload. The next frame is written only after the sync of the one
//! before it. So a frame that is not all there can only be the last one, and was never durable;
//! whatever else is wrong with a frame is damage.

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::StorageError;

const MAGIC: u32 = 0x4648_4c51;
const HEADER_BYTES: usize = 16;

/// Largest payload of a frame, in bytes.
const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// The intact frames of a file.
#[derive(Debug)]
pub(super) struct Frames<'a> {
    /// Each with the place where it starts.
    pub(super) payloads: Vec<(usize, &'a [u8])>,
    /// Where the last intact frame ends.
    pub(super) end: usize,
    /// Whether an unfinished frame follows.
    pub(super) torn: bool,
}

/// What stands at a place of a file.
enum Piece<'a> {
    Whole(&'a [u8]),
    Torn,
    Damaged(&'static str),
}

/// Encodes a value as one frame.
pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    let framed = postcard::to_extend(value, vec![0; HEADER_BYTES]);
    let mut bytes = framed.map_err(|_| StorageError::TooLarge(MAX_PAYLOAD_BYTES))?;
    let length = bytes.len() - HEADER_BYTES;
    let short = u32::try_from(length).ok();
    let Some(short) = short.filter(|_| length <= MAX_PAYLOAD_BYTES) else {
        return Err(StorageError::TooLarge(length));
    };
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[..4].copy_from_slice(&MAGIC.to_le_bytes());
    bytes[4..8].copy_from_slice(&short.to_le_bytes());
    bytes[8..12].copy_from_slice(&checksum.to_le_bytes());
    let header = crc32fast::hash(&bytes[..12]);
    bytes[12..16].copy_from_slice(&header.to_le_bytes());
    Ok(bytes)
}

/// Decodes the payload of an intact frame.
pub(super) fn decode<T: DeserializeOwned>(
    path: &Path,
    offset: usize,
    payload: &[u8],
) -> Result<T, StorageError> {
    postcard::from_bytes(payload).map_err(|_| corrupt(path, offset, "unknown record"))
}

/// Finds the frames from `start` on.
pub(super) fn scan<'a>(
    path: &Path,
    bytes: &'a [u8],
    start: usize,
) -> Result<Frames<'a>, StorageError> {
    let mut frames = Frames {
        payloads: Vec::new(),
        end: start,
        torn: false,
    };
    while frames.end < bytes.len() {
        match look(&bytes[frames.end..]) {
            Piece::Whole(payload) => {
                frames.payloads.push((frames.end, payload));
                frames.end += HEADER_BYTES + payload.len();
            }
            Piece::Torn => {
                frames.torn = true;
                break;
            }
            Piece::Damaged(what) => return Err(corrupt(path, frames.end, what)),
        }
    }
    Ok(frames)
}

fn look(rest: &[u8]) -> Piece<'_> {
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return Piece::Torn;
    };
    let word = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let intact = word(0) == MAGIC && word(12) == crc32fast::hash(&header[..12]);
    let unwritten = rest.iter().all(|byte| *byte == 0);
    match usize::try_from(word(4)) {
        _ if unwritten => Piece::Torn,
        _ if !intact => Piece::Damaged("broken frame header"),
        Ok(length) if length > body.len() => Piece::Torn,
        Ok(length) if crc32fast::hash(&body[..length]) == word(8) => Piece::Whole(&body[..length]),
        _ => Piece::Damaged("wrong checksum"),
    }
}

pub(super) fn corrupt(path: &Path, offset: usize, what: &'static str) -> StorageError {
    StorageError::Corrupt(path.to_owned(), offset as u64, what)
}
