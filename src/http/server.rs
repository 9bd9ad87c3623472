//! The server: one routine for each connection, bounded in number, size and patience.

use super::{Framing, HEAD_LIMIT, MAX_HEADERS, Method, Request, Response, decode_chunks};
use crate::runtime::{self, TcpListener, TcpStream};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

const BODY_LIMIT: usize = 64 * 1024;
const IDLE: Duration = Duration::from_secs(120);
const SLOW: Duration = Duration::from_secs(10);

/// One in so many of the connections are closed after each answer, so that many more callers than
/// there are connections take turns: a fleet may have more machines than a controller has sockets.
const SHARED_PART: usize = 4;

/// Accepts connections for ever and answers each request with `handler`.
pub(crate) async fn serve<F, A>(listener: TcpListener, limit: usize, handler: F)
where
    F: Fn(Request) -> A + Clone + 'static,
    A: Future<Output = Response> + 'static,
{
    let open = Rc::new(Cell::new(0usize));
    loop {
        match listener.accept().await {
            // Over the limit the connection is closed at once: the caller tries another node.
            Ok(stream) if open.get() >= limit => drop(stream),
            Ok(stream) => {
                let held = Held::new(&open);
                let handler = handler.clone();
                runtime::spawn(async move {
                    let shared = || held.0.get() + limit / SHARED_PART > limit;
                    connection(stream, handler, shared).await;
                    drop(held);
                });
            }
            Err(error) => {
                tracing::debug!(%error, "accept failed");
                runtime::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

struct Held(Rc<Cell<usize>>);

impl Held {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How far the bytes so far go towards a request.
#[derive(Debug)]
pub(super) enum Progress {
    More {
        expects_continue: bool,
    },
    Ready {
        request: Request,
        used: usize,
        close: bool,
    },
    Refused(Response),
}

pub(super) fn parse(buffer: &[u8]) -> Progress {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(buffer) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buffer.len() > HEAD_LIMIT => {
            return Progress::Refused(Response::error(431, "request head too large"));
        }
        Ok(httparse::Status::Partial) => {
            return Progress::More {
                expects_continue: false,
            };
        }
        Err(_) => return Progress::Refused(Response::error(400, "not HTTP/1.1")),
    };
    let Ok(framing) = Framing::read(head.headers) else {
        return Progress::Refused(Response::error(400, "bad request head"));
    };
    let close = framing.close || head.version == Some(0);
    let more = Progress::More {
        expects_continue: framing.expects_continue,
    };
    let (body, used) = if framing.chunked {
        match decode_chunks(&buffer[used..], BODY_LIMIT) {
            Ok(Some((body, n))) => (body, used + n),
            // Chunk heads cost bytes too: an endless run of tiny chunks is cut off here.
            Ok(None) if buffer.len() > 2 * BODY_LIMIT + HEAD_LIMIT => {
                return Progress::Refused(Response::error(400, "body too large"));
            }
            Ok(None) => return more,
            Err(_) => return Progress::Refused(Response::error(400, "bad or oversized body")),
        }
    } else {
        let length = framing.length.unwrap_or(0);
        if length > BODY_LIMIT {
            return Progress::Refused(Response::error(400, "body over 64 KiB"));
        }
        match buffer.get(used..used + length) {
            Some(body) => (body.to_vec(), used + length),
            None => return more,
        }
    };
    Progress::Ready {
        request: Request {
            method: Method::parse(head.method.unwrap_or("")),
            path: head.path.unwrap_or("/").to_owned(),
            body,
        },
        used,
        close,
    }
}

/// `shared`: whether others wait for connections.
async fn connection<F, A>(mut stream: TcpStream, handler: F, shared: impl Fn() -> bool)
where
    F: Fn(Request) -> A,
    A: Future<Output = Response>,
{
    let mut buffer = Vec::new();
    let mut chunk = vec![0; 4096];
    let mut continued = false;
    loop {
        match parse(&buffer) {
            Progress::Ready {
                request,
                used,
                close,
            } => {
                buffer.drain(..used);
                continued = false;
                let response = handler(request).await;
                let close = close || shared();
                let bytes = encode(&response, close);
                let written = runtime::timeout(SLOW, stream.write_all(&bytes)).await;
                if close || !matches!(written, Some(Ok(()))) {
                    return;
                }
            }
            Progress::Refused(response) => {
                runtime::timeout(SLOW, stream.write_all(&encode(&response, true))).await;
                return;
            }
            Progress::More { expects_continue } => {
                if expects_continue && !continued {
                    continued = true;
                    let go = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                    if !matches!(runtime::timeout(SLOW, go).await, Some(Ok(()))) {
                        return;
                    }
                }
                let patience = if buffer.is_empty() { IDLE } else { SLOW };
                match runtime::timeout(patience, stream.read(&mut chunk)).await {
                    Some(Ok(n)) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            }
        }
    }
}

fn reason(status: u16) -> &'static str {
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

pub(super) fn encode(response: &Response, close: bool) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
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
