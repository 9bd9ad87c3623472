//! Where a message's body ends, for both sides.

use std::io;

/// A head larger than this is refused before it is parsed, in bytes.
pub(super) const HEAD_LIMIT: usize = 16 * 1024;
/// Most headers of one message.
pub(super) const MAX_HEADERS: usize = 64;

/// The error for a body over its bound, told from a broken one: the same call would end the same
/// way.
pub(super) fn too_large() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "body too large")
}

/// The error for a message that is not HTTP/1.1.
pub(super) fn invalid(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// What a head says of the body and the connection.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Framing {
    /// The body's length in bytes.
    pub(super) length: Option<usize>,
    /// Whether the connection ends after this message.
    pub(super) close: bool,
    /// Whether the body comes in chunks.
    pub(super) chunked: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

impl Framing {
    /// Reads the headers of a message.
    pub(super) fn read(headers: &[httparse::Header<'_>]) -> io::Result<Self> {
        let mut framing = Self::default();
        for header in headers {
            let text = || std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let length = text().parse().map_err(|_| invalid("bad content-length"))?;
                if framing.length.is_some_and(|old| old != length) {
                    return Err(invalid("conflicting content-length"));
                }
                framing.length = Some(length);
            } else if header.name.eq_ignore_ascii_case("connection") {
                framing.close |= text()
                    .split(',')
                    .any(|option| option.trim().eq_ignore_ascii_case("close"));
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.chunked = true;
            } else if header.name.eq_ignore_ascii_case("expect") {
                framing.expects_continue = text().eq_ignore_ascii_case("100-continue");
            }
        }
        Ok(framing)
    }
}

/// A body that arrived in full.
#[derive(Debug)]
pub(super) struct DecodedBody {
    /// The body without its framing.
    pub(super) bytes: Vec<u8>,
    /// How many bytes of the input it took up.
    pub(super) consumed: usize,
}

/// Decodes a chunked body of at most `limit` bytes at the front of `input`. `None`: more input is
/// needed.
pub(super) fn decode_chunks(input: &[u8], limit: usize) -> io::Result<Option<DecodedBody>> {
    let (mut bytes, mut consumed) = (Vec::new(), 0);
    loop {
        match httparse::parse_chunk_size(&input[consumed..]) {
            Ok(httparse::Status::Complete((head, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > limit.saturating_sub(bytes.len()) {
                    return Err(too_large());
                }
                let start = consumed + head;
                // Each chunk ends with CR LF.
                let Some(chunk) = input.get(start..start + size + 2) else {
                    return Ok(None);
                };
                bytes.extend_from_slice(&chunk[..size]);
                consumed = start + size + 2;
                if size == 0 {
                    return Ok(Some(DecodedBody { bytes, consumed }));
                }
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(invalid("bad chunk")),
        }
    }
}
