//! The HTTP server. It runs one routine for each connection, and limits the number of connections,
//! the size of request bodies and the waiting times.

use super::framing::{DecodedBody, Framing, MAX_HEAD_BYTES, MAX_HEADERS, decode_chunks};
use super::message::{Method, Request, Response};
use crate::runtime::{self, TcpListener, TcpStream};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
const READ_CHUNK_BYTES: usize = 4096;
/// Maximum time that a connection may stay open without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum time that a client may take to send the next part of a request or to accept a response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// If fewer than one in this many of the allowed connections are free, each connection is closed
/// after its next response. Clients then take turns, as a cluster may have more machines than a
/// controller has sockets.
const KEEP_ALIVE_MIN_FREE_DIVISOR: usize = 4;

/// Accepts connections until it is cancelled, at most `max_connections` at a time, and responds to
/// each request with the result of `handler`.
pub(crate) async fn serve<F, A>(listener: TcpListener, max_connections: usize, handler: F)
where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response> + 'static,
{
    let open_count = Rc::new(Cell::new(0usize));
    loop {
        match listener.accept().await {
            // Above the limit a connection is closed at once, so that the client tries another
            // controller.
            Ok(stream) if open_count.get() >= max_connections => drop(stream),
            Ok(stream) => {
                let slot = ConnectionSlot::take(&open_count);
                let handler = handler.clone();
                runtime::spawn(async move {
                    let is_near_limit = || {
                        slot.open_connections() + max_connections / KEEP_ALIVE_MIN_FREE_DIVISOR
                            > max_connections
                    };
                    serve_connection(stream, handler, is_near_limit).await;
                    drop(slot);
                });
            }
            Err(error) => {
                tracing::debug!(%error, "cannot accept a connection; retrying after a delay");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts one open connection until it is dropped.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn take(open_count: &Rc<Cell<usize>>) -> Self {
        open_count.set(open_count.get() + 1);
        Self(open_count.clone())
    }

    fn open_connections(&self) -> usize {
        self.0.get()
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The result of parsing the bytes received so far as a request.
#[derive(Debug)]
pub(super) enum RequestProgress {
    /// The request is incomplete.
    Incomplete {
        /// Whether the client waits for `100 Continue`.
        expects_continue: bool,
    },
    /// The request is complete.
    Complete {
        /// The parsed request.
        request: Request,
        /// The number of bytes that the request took up.
        consumed: usize,
        /// Whether the connection is closed after the response, because the client asks for it or
        /// uses HTTP/1.0.
        close: bool,
    },
    /// The bytes are not a valid request, or exceed a size limit. The response is sent and the
    /// connection closed.
    Rejected(Response),
}

impl RequestProgress {
    fn rejected(status: u16, message: &str) -> Self {
        Self::Rejected(Response::error(status, message))
    }
}

/// Parses the first request in the bytes received so far.
pub(super) fn parse(buffer: &[u8]) -> RequestProgress {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_length = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return RequestProgress::rejected(431, "request head too large");
        }
        Ok(httparse::Status::Partial) => {
            return RequestProgress::Incomplete {
                expects_continue: false,
            };
        }
        Err(_) => return RequestProgress::rejected(400, "not HTTP/1.1"),
    };
    let Ok(framing) = Framing::read(head.headers) else {
        return RequestProgress::rejected(400, "bad request head");
    };
    let body = match read_body(&buffer[head_length..], &framing, buffer.len()) {
        Ok(Some(body)) => body,
        Ok(None) => {
            return RequestProgress::Incomplete {
                expects_continue: framing.expects_continue,
            };
        }
        Err(message) => return RequestProgress::rejected(400, message),
    };
    RequestProgress::Complete {
        request: Request {
            method: Method::parse(head.method.unwrap_or("")),
            target: head.path.unwrap_or("/").to_owned(),
            body: body.bytes,
        },
        consumed: head_length + body.consumed,
        close: framing.close || head.version == Some(0),
    }
}

/// Parses a request body from `input`, the bytes after the head. Returns `None` if more bytes are
/// needed, or an error text if the body is rejected. `received`, the size of the head and `input`
/// together in bytes, limits the total size of a chunked body.
fn read_body(
    input: &[u8],
    framing: &Framing,
    received: usize,
) -> Result<Option<DecodedBody>, &'static str> {
    if framing.chunked {
        return match decode_chunks(input, MAX_BODY_BYTES) {
            // Chunk headers take up bytes too: this check stops an endless sequence of tiny chunks.
            Ok(None) if received > 2 * MAX_BODY_BYTES + MAX_HEAD_BYTES => Err("body too large"),
            Ok(body) => Ok(body),
            Err(_) => Err("bad or oversized body"),
        };
    }
    let length = framing.length.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Err("body over 64 KiB");
    }
    Ok(input.get(..length).map(|body| DecodedBody {
        bytes: body.to_vec(),
        consumed: length,
    }))
}

/// Serves one connection until either side closes it. `is_near_limit` returns whether the
/// connection has to be closed after its next response because few are left for other clients.
async fn serve_connection<F, A>(mut stream: TcpStream, handler: F, is_near_limit: impl Fn() -> bool)
where
    F: Fn(Request) -> A,
    A: Future<Output = Response>,
{
    let mut buffer = Vec::new();
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    let mut continue_sent = false;
    loop {
        match parse(&buffer) {
            RequestProgress::Complete {
                request,
                consumed,
                close,
            } => {
                buffer.drain(..consumed);
                continue_sent = false;
                let response = handler(request).await;
                let close = close || is_near_limit();
                if !write(&mut stream, &encode(&response, close)).await || close {
                    return;
                }
            }
            RequestProgress::Rejected(response) => {
                write(&mut stream, &encode(&response, true)).await;
                return;
            }
            RequestProgress::Incomplete { expects_continue } => {
                if expects_continue && !continue_sent {
                    continue_sent = true;
                    if !write(&mut stream, CONTINUE).await {
                        return;
                    }
                }
                let read_timeout = if buffer.is_empty() {
                    IDLE_TIMEOUT
                } else {
                    TRANSFER_TIMEOUT
                };
                match runtime::timeout(read_timeout, stream.read(&mut chunk)).await {
                    Some(Ok(n)) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            }
        }
    }
}

/// Writes the bytes and returns whether this succeeded within `TRANSFER_TIMEOUT`.
async fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    let written = runtime::timeout(TRANSFER_TIMEOUT, stream.write_all(bytes)).await;
    matches!(written, Some(Ok(())))
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Encodes a response. `close` adds a `Connection: close` header.
pub(super) fn encode(response: &Response, close: bool) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.body.len()
    );
    if let Some(seconds) = response.retry_after {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if let Some(allow) = response.allow {
        head.push_str(&format!("Allow: {allow}\r\n"));
    }
    if close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}
