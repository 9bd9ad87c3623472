//! HTTP/1.1 on `httparse`: a server for the public side and a client for what is called.
//!
//! Both keep connections open, honour `Connection: close`, and bound heads and bodies.

mod client;
mod server;

pub(crate) use client::{Client, Failure};
pub(crate) use server::serve;

use std::io;

/// A head larger than this is refused before it is parsed.
const HEAD_LIMIT: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    Get,
    Post,
    Put,
    Delete,
    Other,
}

impl Method {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
            Self::Other => "OTHER",
        }
    }
    fn parse(text: &str) -> Self {
        match text {
            "GET" => Self::Get,
            "POST" => Self::Post,
            "PUT" => Self::Put,
            "DELETE" => Self::Delete,
            _ => Self::Other,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Request {
    pub method: Method,
    pub path: String,
    pub body: Vec<u8>,
}

impl Request {
    /// The path up to its query.
    pub(crate) fn path_without_query(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    /// Seconds for `Retry-After`.
    pub retry_after: Option<u32>,
    pub allow: Option<&'static str>,
}

impl Response {
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            body,
            retry_after: None,
            allow: None,
        }
    }

    pub(crate) fn json(status: u16, value: &impl serde::Serialize) -> Self {
        serde_json::to_vec(value).map_or_else(
            |e| Self::error(500, &e.to_string()),
            |body| Self::new(status, body),
        )
    }

    pub(crate) fn error(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": message }))
    }

    /// The answer to what can't be taken now: at once, and saying when to come back.
    pub(crate) fn retry_later(message: &str, seconds: u32) -> Self {
        Self {
            retry_after: Some(seconds),
            ..Self::error(503, message)
        }
    }

    pub(crate) fn wrong_method(allow: &'static str) -> Self {
        Self {
            allow: Some(allow),
            ..Self::error(405, "method not allowed")
        }
    }
}

/// A body over its bound, told from a broken one: the same call would end the same way.
fn too_large() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "body too large")
}

fn invalid(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// What a head says of the body and the connection.
#[derive(Debug, Default, PartialEq, Eq)]
struct Framing {
    length: Option<usize>,
    close: bool,
    chunked: bool,
    expects_continue: bool,
}

impl Framing {
    fn read(headers: &[httparse::Header<'_>]) -> io::Result<Self> {
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
                    .any(|p| p.trim().eq_ignore_ascii_case("close"));
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                framing.chunked = true;
            } else if header.name.eq_ignore_ascii_case("expect") {
                framing.expects_continue = text().eq_ignore_ascii_case("100-continue");
            }
        }
        Ok(framing)
    }
}

/// Takes complete chunks off the front of a chunked body. `None`: more bytes are needed.
fn decode_chunks(buffer: &[u8], limit: usize) -> io::Result<Option<(Vec<u8>, usize)>> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        match httparse::parse_chunk_size(&buffer[at..]) {
            Ok(httparse::Status::Complete((head, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > limit.saturating_sub(body.len()) {
                    return Err(too_large());
                }
                let start = at + head;
                let Some(chunk) = buffer.get(start..start + size + 2) else {
                    return Ok(None);
                };
                body.extend_from_slice(&chunk[..size]);
                at = start + size + 2;
                if size == 0 {
                    return Ok(Some((body, at)));
                }
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(invalid("bad chunk")),
        }
    }
}

#[cfg(test)]
mod tests;
