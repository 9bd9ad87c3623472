//! Frames on the links: a length, a version and one `bincode` message. A frame that is too
//! long, of another version or unreadable closes the link.

use super::Message;

/// Version of the messages' encoding. They change with the program, and a link to a controller
/// with another version is closed.
const VERSION: u8 = 4;
/// Largest encoded message, in bytes.
const FRAME_LIMIT: usize = 1024 * 1024;
/// Bytes before the message: its length as a big-endian `u32`, and the version.
const HEADER_BYTES: usize = 5;

/// Why a frame can't be sent or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FrameError {
    /// The message has more bytes than a frame may hold.
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    /// The frame was written by another version of the program.
    #[error("frame version {0} is not supported")]
    Version(u8),
    /// The message can't be encoded.
    #[error("message can't be encoded")]
    Unencodable,
    /// The bytes are not a message.
    #[error("frame can't be decoded")]
    Unreadable,
}

/// A message from the front of a buffer.
#[derive(Debug, PartialEq)]
pub(super) struct DecodedFrame {
    /// The message.
    pub(super) message: Message,
    /// The bytes of the whole frame, to be taken off the buffer.
    pub(super) length: usize,
}

/// The limit keeps lengths inside a frame from asking for more memory than a frame holds.
fn format() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<FRAME_LIMIT>()
}

/// The frame of a message.
pub(crate) fn encode(message: &Message) -> Result<Vec<u8>, FrameError> {
    let body =
        bincode::serde::encode_to_vec(message, format()).map_err(|_| FrameError::Unencodable)?;
    if body.len() > FRAME_LIMIT {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.push(VERSION);
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Reads the first frame of a buffer. `None`: it is not complete yet.
pub(super) fn decode(buffer: &[u8]) -> Result<Option<DecodedFrame>, FrameError> {
    let Some((header, rest)) = buffer.split_at_checked(HEADER_BYTES) else {
        return Ok(None);
    };
    let [a, b, c, d, version] = *header else {
        return Err(FrameError::Unreadable);
    };
    let body_bytes = u32::from_be_bytes([a, b, c, d]) as usize;
    if version != VERSION {
        return Err(FrameError::Version(version));
    }
    if body_bytes > FRAME_LIMIT {
        return Err(FrameError::TooLong(body_bytes));
    }
    let Some(body) = rest.get(..body_bytes) else {
        return Ok(None);
    };
    let (message, used) =
        bincode::serde::decode_from_slice(body, format()).map_err(|_| FrameError::Unreadable)?;
    if used != body_bytes {
        return Err(FrameError::Unreadable);
    }
    Ok(Some(DecodedFrame {
        message,
        length: HEADER_BYTES + body_bytes,
    }))
}

#[cfg(test)]
mod tests;
