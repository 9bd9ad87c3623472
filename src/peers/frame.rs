//! The frame format of links: a length, a version and one message in `bincode` encoding. A frame
//! that is too long, has another version or cannot be decoded closes the link.

use super::Message;

/// Version of the message encoding. Messages can change with each release, so links between
/// controllers with different frame versions are closed.
const FRAME_VERSION: u8 = 4;
/// Largest encoded message, in bytes. A larger message is not sent, and a longer frame closes the
/// link on which it arrives.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Size of the header in bytes: the message length as a big-endian `u32`, then the version.
const HEADER_BYTES: usize = 5;

/// The reason why a frame cannot be sent or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FrameError {
    /// The message is larger than `MAX_MESSAGE_BYTES`.
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    /// The frame was written by another version of the program.
    #[error("frame version {0} is not supported")]
    UnsupportedVersion(u8),
    /// The message cannot be encoded.
    #[error("message can't be encoded")]
    Unencodable,
    /// The bytes are not a valid message.
    #[error("frame can't be decoded")]
    Undecodable,
}

/// A message that was decoded from the start of a buffer.
#[derive(Debug, PartialEq)]
pub(super) struct DecodedFrame {
    /// The message.
    pub(super) message: Message,
    /// Size of the whole frame in bytes, which the caller removes from the buffer.
    pub(super) length: usize,
}

/// Returns the `bincode` configuration. The limit prevents a length field inside a message from
/// causing an allocation larger than a frame.
fn encoding_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message as a frame.
pub(crate) fn encode(message: &Message) -> Result<Vec<u8>, FrameError> {
    let body = bincode::serde::encode_to_vec(message, encoding_config())
        .map_err(|_| FrameError::Unencodable)?;
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.push(FRAME_VERSION);
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Decodes the first frame of a buffer. Returns `None` if the frame is not complete yet.
pub(super) fn decode(buffer: &[u8]) -> Result<Option<DecodedFrame>, FrameError> {
    let Some((header, rest)) = buffer.split_at_checked(HEADER_BYTES) else {
        return Ok(None);
    };
    let [a, b, c, d, version] = *header else {
        return Err(FrameError::Undecodable);
    };
    let body_bytes = u32::from_be_bytes([a, b, c, d]) as usize;
    if version != FRAME_VERSION {
        return Err(FrameError::UnsupportedVersion(version));
    }
    if body_bytes > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong(body_bytes));
    }
    let Some(body) = rest.get(..body_bytes) else {
        return Ok(None);
    };
    let (message, consumed_bytes) = bincode::serde::decode_from_slice(body, encoding_config())
        .map_err(|_| FrameError::Undecodable)?;
    if consumed_bytes != body_bytes {
        return Err(FrameError::Undecodable);
    }
    Ok(Some(DecodedFrame {
        message,
        length: HEADER_BYTES + body_bytes,
    }))
}

#[cfg(test)]
mod tests;
