//! Encoding of messages into frames, and their checksums.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::FrameError;

/// Encodes a message.
///
/// # Errors
///
/// Returns [`FrameError::Encoding`] if the encoding can't represent the message.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes, FrameError> {
    Ok(Bytes::from(postcard::to_stdvec(message)?))
}

/// Decodes a message, which must fill the frame completely.
///
/// # Errors
///
/// Returns [`FrameError::Encoding`] if the frame doesn't start with a message of type `M`, and
/// [`FrameError::TrailingBytes`] if it is longer than the message.
pub fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    let (message, rest) = postcard::take_from_bytes(frame)?;
    match rest.len() {
        0 => Ok(message),
        count => Err(FrameError::TrailingBytes(count)),
    }
}

/// Computes the checksum that is sent with a frame.
pub(crate) fn checksum(frame: &[u8]) -> u32 {
    crc32fast::hash(frame)
}

/// Verifies the checksum of a received frame and copies the frame.
pub(crate) fn verify(frame: &[u8], expected: u32) -> Result<Bytes, FrameError> {
    match checksum(frame) == expected {
        true => Ok(Bytes::copy_from_slice(frame)),
        false => Err(FrameError::Checksum),
    }
}
