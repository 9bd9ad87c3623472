//! The client: a small pool of idle connections for each address, and a timeout on every call.

use super::framing::{Framing, HEAD_LIMIT, MAX_HEADERS, decode_chunks, invalid, too_large};
#[cfg(test)]
use super::message::Request;
use super::message::{Method, Response};
use crate::runtime::{self, TcpStream};
use std::cell::RefCell;
use std::collections::BTreeMap;
#[cfg(test)]
use std::future::Future;
use std::io;
use std::net::SocketAddr;
#[cfg(test)]
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
const READ_CHUNK_BYTES: usize = 8192;

/// Why a call has no response. The difference decides what may be concluded from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// The other side has seen nothing of the request.
    #[error("not sent")]
    NotSent,
    /// The request may have been carried out or not.
    #[error("sent, outcome unknown")]
    Unknown,
    /// Carried out, and answered with more than the client reads.
    #[error("the answer is too large")]
    TooLarge,
}

/// Answers a request in place of the network.
#[cfg(test)]
pub(crate) type FakeTransport = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response>>>>;

/// A client whose clones share their connections.
#[derive(Clone)]
pub(crate) struct Client {
    /// Idle connections, by the address of the other side.
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<TcpStream>>>>,
    /// Most addresses with idle connections: with fewer than there are to call, connections would
    /// be opened anew all the time.
    max_idle_addresses: usize,
    /// Largest body of a response, in bytes.
    body_limit: usize,
    /// Answers all calls in place of the network.
    #[cfg(test)]
    stand_in: Option<FakeTransport>,
}

impl Client {
    /// A client that reads bodies of at most `body_limit` bytes and keeps idle connections for at
    /// most `max_idle_addresses` addresses.
    pub(crate) fn new(body_limit: usize, max_idle_addresses: usize) -> Self {
        Self {
            idle: Rc::default(),
            max_idle_addresses,
            body_limit,
            #[cfg(test)]
            stand_in: None,
        }
    }

    /// A client whose calls a function answers, without sockets.
    #[cfg(test)]
    pub(crate) fn with_fake_transport(stand_in: FakeTransport) -> Self {
        Self {
            stand_in: Some(stand_in),
            ..Self::new(0, 0)
        }
    }

    /// Sends a request and waits at most `limit` for its response, of any status.
    pub(crate) async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Response, CallError> {
        #[cfg(test)]
        if let Some(stand_in) = &self.stand_in {
            let answer = stand_in(Request {
                method,
                target: path.to_owned(),
                body: body.to_vec(),
            });
            let answer = runtime::timeout(limit, answer).await;
            return answer.ok_or(CallError::Unknown);
        }
        // What an error or the end of the time means at the point that the exchange has reached.
        let mut failure = CallError::NotSent;
        let exchange = async {
            let mut stream = match self.take_idle(addr) {
                Some(stream) => stream,
                None => TcpStream::connect(addr).await?,
            };
            failure = CallError::Unknown;
            stream.write_all(&encode(addr, method, path, body)).await?;
            let received = self.read(&mut stream).await?;
            if received.reusable {
                self.keep(addr, stream);
            }
            Ok::<_, io::Error>(received.response)
        };
        match runtime::timeout(limit, exchange).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(error)) => {
                tracing::debug!(%addr, path, %error, "call failed");
                match error.kind() {
                    io::ErrorKind::FileTooLarge => Err(CallError::TooLarge),
                    _ => Err(failure),
                }
            }
            None => Err(failure),
        }
    }

    /// An idle connection that the other side has not closed.
    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&addr)?;
        while let Some(mut stream) = streams.pop() {
            if !stream.is_stale() {
                return Some(stream);
            }
        }
        idle.remove(&addr);
        None
    }

    /// How many idle connections to an address are kept.
    #[cfg(test)]
    pub(crate) fn idle_count(&self, addr: SocketAddr) -> usize {
        self.idle.borrow().get(&addr).map_or(0, Vec::len)
    }

    /// Keeps a connection for later calls, unless there are enough.
    fn keep(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.max_idle_addresses && !idle.contains_key(&addr) {
            idle.pop_first();
        }
        let streams = idle.entry(addr).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS {
            streams.push(stream);
        }
    }

    async fn read(&self, stream: &mut TcpStream) -> io::Result<ReceivedResponse> {
        let mut buffer = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            let n = stream.read(&mut chunk).await?;
            buffer.extend_from_slice(&chunk[..n]);
            if let Some(received) = parse(&buffer, self.body_limit, n == 0)? {
                return Ok(received);
            }
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// A request as it is sent.
fn encode(addr: SocketAddr, method: Method, path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        method.as_str(),
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A response that arrived in full.
#[derive(Debug)]
pub(super) struct ReceivedResponse {
    response: Response,
    /// Whether the connection may be used again.
    reusable: bool,
}

/// Reads a response from the bytes so far, with a body of at most `limit` bytes. `None`: more bytes
/// are needed. `at_end`: no more will come.
pub(super) fn parse(
    buffer: &[u8],
    limit: usize,
    at_end: bool,
) -> io::Result<Option<ReceivedResponse>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_length = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > HEAD_LIMIT => {
            return Err(invalid("response head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid("not an HTTP response")),
    };
    let framing = Framing::read(head.headers)?;
    let status = head.code.unwrap_or(0);
    let rest = &buffer[head_length..];
    let received = |body: Vec<u8>, reusable: bool| ReceivedResponse {
        response: Response::new(status, body),
        reusable,
    };
    let keep_alive = !framing.close;
    if framing.chunked {
        return match decode_chunks(rest, limit)? {
            Some(body) => Ok(Some(received(body.bytes, keep_alive))),
            None if buffer.len() > 2 * limit + HEAD_LIMIT => Err(too_large()),
            None => Ok(None),
        };
    }
    match framing.length {
        Some(length) if length > limit => Err(too_large()),
        Some(length) => Ok(rest
            .get(..length)
            .map(|body| received(body.to_vec(), keep_alive && rest.len() == length))),
        None if status == 204 || status == 304 => Ok(Some(received(Vec::new(), keep_alive))),
        None if rest.len() > limit => Err(too_large()),
        // Without a length the body lasts as long as the connection.
        None => Ok(at_end.then(|| received(rest.to_vec(), false))),
    }
}
