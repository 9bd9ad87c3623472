//! Frames on the links: a length, a version and one `bincode` message. A frame that is too
//! long, of another version or unreadable closes the link.

use super::Message;

/// Messages change with the program; controllers of other versions are not spoken to.
const VERSION: u8 = 4;
pub(super) const FRAME_LIMIT: usize = 1024 * 1024;
const HEAD: usize = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FrameError {
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    #[error("frame version {0} is not spoken here")]
    Version(u8),
    #[error("frame can't be decoded")]
    Unreadable,
}

/// The limit keeps lengths inside a frame from asking for more memory than a frame holds.
fn format() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<FRAME_LIMIT>()
}

pub(crate) fn encode(message: &Message) -> Result<Vec<u8>, FrameError> {
    let body =
        bincode::serde::encode_to_vec(message, format()).map_err(|_| FrameError::Unreadable)?;
    if body.len() > FRAME_LIMIT {
        return Err(FrameError::TooLong(body.len()));
    }
    let mut frame = Vec::with_capacity(HEAD + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.push(VERSION);
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// Takes one message off the front of the buffer, with the bytes it used.
pub(super) fn decode(buffer: &[u8]) -> Result<Option<(Message, usize)>, FrameError> {
    let Some((head, rest)) = buffer.split_at_checked(HEAD) else {
        return Ok(None);
    };
    let [a, b, c, d, version] = *head else {
        return Err(FrameError::Unreadable);
    };
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if version != VERSION {
        return Err(FrameError::Version(version));
    }
    if length > FRAME_LIMIT {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let (message, used) =
        bincode::serde::decode_from_slice(body, format()).map_err(|_| FrameError::Unreadable)?;
    if used != length {
        return Err(FrameError::Unreadable);
    }
    Ok(Some((message, HEAD + length)))
}

#[cfg(test)]
mod tests;
