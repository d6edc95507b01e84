//! Frames: records in a file, with length and checksum, each written with one sync.
//!
//! A frame consists of a magic number, the length of the payload, the checksum of the payload and
//! the checksum of these three fields (four bytes each, little-endian), followed by the payload. A
//! frame is written only after the sync of the previous one. Therefore only the last frame can be
//! incomplete, and an incomplete frame was never durable. Any other invalid frame is corruption.

use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::StorageError;

const MAGIC: u32 = 0x4648_4c51;
const HEADER_BYTES: usize = 16;

/// Largest payload of a frame, in bytes.
const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// The valid frames of a file.
#[derive(Debug)]
pub(super) struct Frames<'a> {
    /// Payloads with the offset of their frame.
    pub(super) payloads: Vec<(usize, &'a [u8])>,
    /// Offset of the end of the last valid frame.
    pub(super) end: usize,
    /// Whether an incomplete frame follows.
    pub(super) torn: bool,
}

/// Result of reading a frame at an offset.
enum ScannedFrame<'a> {
    Complete(&'a [u8]),
    Torn,
    Damaged(&'static str),
}

/// Encodes a value as a frame.
pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    let framed = postcard::to_extend(value, vec![0; HEADER_BYTES]);
    let mut bytes = framed.map_err(|_| StorageError::TooLarge(MAX_PAYLOAD_BYTES))?;
    let length = bytes.len() - HEADER_BYTES;
    let payload_bytes = u32::try_from(length).ok();
    let Some(payload_bytes) = payload_bytes.filter(|_| length <= MAX_PAYLOAD_BYTES) else {
        return Err(StorageError::TooLarge(length));
    };
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[..4].copy_from_slice(&MAGIC.to_le_bytes());
    bytes[4..8].copy_from_slice(&payload_bytes.to_le_bytes());
    bytes[8..12].copy_from_slice(&checksum.to_le_bytes());
    let header = crc32fast::hash(&bytes[..12]);
    bytes[12..16].copy_from_slice(&header.to_le_bytes());
    Ok(bytes)
}

/// Decodes the payload of a valid frame.
pub(super) fn decode<T: DeserializeOwned>(
    path: &Path,
    offset: usize,
    payload: &[u8],
) -> Result<T, StorageError> {
    postcard::from_bytes(payload).map_err(|_| corrupt(path, offset, "record can't be decoded"))
}

/// Reads the frames from offset `start` on.
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
        match read_frame(&bytes[frames.end..]) {
            ScannedFrame::Complete(payload) => {
                frames.payloads.push((frames.end, payload));
                frames.end += HEADER_BYTES + payload.len();
            }
            ScannedFrame::Torn => {
                frames.torn = true;
                break;
            }
            ScannedFrame::Damaged(reason) => return Err(corrupt(path, frames.end, reason)),
        }
    }
    Ok(frames)
}

fn read_frame(rest: &[u8]) -> ScannedFrame<'_> {
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return ScannedFrame::Torn;
    };
    let word = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let intact = word(0) == MAGIC && word(12) == crc32fast::hash(&header[..12]);
    let unwritten = rest.iter().all(|byte| *byte == 0);
    match usize::try_from(word(4)) {
        _ if unwritten => ScannedFrame::Torn,
        _ if !intact => ScannedFrame::Damaged("invalid frame header"),
        Ok(length) if length > body.len() => ScannedFrame::Torn,
        Ok(length) if crc32fast::hash(&body[..length]) == word(8) => {
            ScannedFrame::Complete(&body[..length])
        }
        _ => ScannedFrame::Damaged("wrong payload checksum"),
    }
}

pub(super) fn corrupt(path: &Path, offset: usize, reason: &'static str) -> StorageError {
    StorageError::Corrupt(path.to_owned(), offset as u64, reason)
}
