//! Messages as bytes.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::FrameError;

/// Encodes a message.
///
/// # Errors
///
/// [`FrameError::Encoding`] when the message holds something the encoding can't express.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, FrameError> {
    Ok(Bytes::from(postcard::to_stdvec(message)?))
}

/// Decodes a message, which must fill the whole frame.
///
/// # Errors
///
/// [`FrameError::Encoding`] when the bytes are no such message, [`FrameError::TrailingBytes`]
/// when more follows.
pub fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    let (message, rest) = postcard::take_from_bytes(frame)?;
    match rest.len() {
        0 => Ok(message),
        count => Err(FrameError::TrailingBytes(count)),
    }
}

/// Checksum that travels beside a frame.
pub(crate) fn checksum(frame: &[u8]) -> u32 {
    crc32fast::hash(frame)
}

/// Copies a received frame after verifying its checksum.
pub(crate) fn verify(frame: &[u8], expected: u32) -> Result<Bytes, FrameError> {
    match checksum(frame) == expected {
        true => Ok(Bytes::copy_from_slice(frame)),
        false => Err(FrameError::Checksum),
    }
}
