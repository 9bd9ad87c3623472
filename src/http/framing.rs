//! Message framing: finds the end of a message's body, for the client and the server.

use std::io;

/// Maximum size of an incomplete message head, in bytes. A head that the latest read completed may
/// exceed it by up to the size of that read.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of headers in one message.
pub(super) const MAX_HEADERS: usize = 64;

/// Returns the error for a body that exceeds its size limit. The client recognizes the error by its
/// kind and returns `CallError::TooLarge`, since a retry would fail in the same way.
pub(super) fn body_too_large() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "body too large")
}

/// Returns the error for a message that is not valid HTTP/1.1.
pub(super) fn invalid_message(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// The body framing and connection options that a message head specifies.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Framing {
    /// The `Content-Length` of the body in bytes, if there is one.
    pub(super) length: Option<usize>,
    /// Whether a `Connection` header contains `close`: the connection is closed after this exchange.
    pub(super) close: bool,
    /// Whether there is a `Transfer-Encoding` header. The body is then decoded as chunked, the only
    /// supported coding.
    pub(super) chunked: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

impl Framing {
    /// Parses the headers of a message.
    pub(super) fn read(headers: &[httparse::Header<'_>]) -> io::Result<Self> {
        let mut framing = Self::default();
        for header in headers {
            let text = || std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                let length = text()
                    .parse()
                    .map_err(|_| invalid_message("bad content-length"))?;
                if framing.length.is_some_and(|old| old != length) {
                    return Err(invalid_message("conflicting content-length"));
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

/// A completely received body.
#[derive(Debug)]
pub(super) struct DecodedBody {
    /// The body without chunk framing.
    pub(super) bytes: Vec<u8>,
    /// The number of input bytes that the body took up, with its framing.
    pub(super) consumed: usize,
}

/// Decodes a chunked body of at most `max_bytes` at the start of `input`. Returns `None` if more
/// input is needed.
pub(super) fn decode_chunks(input: &[u8], max_bytes: usize) -> io::Result<Option<DecodedBody>> {
    let (mut bytes, mut consumed) = (Vec::new(), 0);
    loop {
        match httparse::parse_chunk_size(&input[consumed..]) {
            Ok(httparse::Status::Complete((head, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > max_bytes.saturating_sub(bytes.len()) {
                    return Err(body_too_large());
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
            Err(_) => return Err(invalid_message("bad chunk")),
        }
    }
}
