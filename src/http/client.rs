//! The HTTP client. It keeps a small pool of idle connections for each address, and every call has
//! a timeout.

use super::framing::{
    Framing, MAX_HEAD_BYTES, MAX_HEADERS, body_too_large, decode_chunks, invalid_message,
};
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

/// Maximum number of idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
const READ_CHUNK_BYTES: usize = 8192;

/// The reason why a call has no response. The variants differ in what the caller may conclude about
/// the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CallError {
    /// No part of the request was sent.
    #[error("request not sent")]
    NotSent,
    /// The request may have reached the server, but no valid response was received, so it is unknown
    /// whether the server has processed it.
    #[error("no response received; the request may have been processed")]
    Unknown,
    /// The server responded, but the response body exceeds the client's limit.
    #[error("response body too large")]
    TooLarge,
}

/// A function that responds to requests in place of the network.
#[cfg(test)]
pub(crate) type FakeTransport = Rc<dyn Fn(Request) -> Pin<Box<dyn Future<Output = Response>>>>;

/// An HTTP client. Its clones share one connection pool.
#[derive(Clone)]
pub(crate) struct Client {
    /// Idle connections, by server address.
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<TcpStream>>>>,
    /// Maximum number of addresses with idle connections. If more servers are in use, idle
    /// connections are closed to make room and have to be reopened for later calls.
    max_idle_addresses: usize,
    /// Maximum size of a response body, in bytes.
    max_body_bytes: usize,
    /// If set, responds to all calls in place of the network.
    #[cfg(test)]
    fake_transport: Option<FakeTransport>,
}

impl Client {
    /// Creates a client that accepts response bodies of at most `max_body_bytes` and keeps idle
    /// connections for at most `max_idle_addresses` addresses.
    pub(crate) fn new(max_body_bytes: usize, max_idle_addresses: usize) -> Self {
        Self {
            idle: Rc::default(),
            max_idle_addresses,
            max_body_bytes,
            #[cfg(test)]
            fake_transport: None,
        }
    }

    /// Creates a client whose calls are served by a function, without sockets.
    #[cfg(test)]
    pub(crate) fn with_fake_transport(fake_transport: FakeTransport) -> Self {
        Self {
            fake_transport: Some(fake_transport),
            ..Self::new(0, 0)
        }
    }

    /// Sends a request and waits at most `timeout` for the response. Responses of every status
    /// are returned as `Ok`.
    pub(crate) async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Response, CallError> {
        #[cfg(test)]
        if let Some(fake_transport) = &self.fake_transport {
            let response = fake_transport(Request {
                method,
                target: path.to_owned(),
                body: body.to_vec(),
            });
            let response = runtime::timeout(timeout, response).await;
            return response.ok_or(CallError::Unknown);
        }
        // The error to return if the exchange fails or times out now. It changes before the first
        // bytes are sent.
        let mut failure = CallError::NotSent;
        let exchange = async {
            let mut stream = match self.take_idle(addr) {
                Some(stream) => stream,
                None => TcpStream::connect(addr).await?,
            };
            failure = CallError::Unknown;
            stream.write_all(&encode(addr, method, path, body)).await?;
            let received = self.read_response(&mut stream).await?;
            if received.reusable {
                self.put_idle(addr, stream);
            }
            Ok::<_, io::Error>(received.response)
        };
        match runtime::timeout(timeout, exchange).await {
            Some(Ok(response)) => Ok(response),
            Some(Err(error)) => {
                tracing::debug!(%addr, path, %error, "HTTP request failed");
                match error.kind() {
                    io::ErrorKind::FileTooLarge => Err(CallError::TooLarge),
                    _ => Err(failure),
                }
            }
            None => Err(failure),
        }
    }

    /// Takes an idle connection that the server has not closed, if there is one.
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

    /// Returns the number of idle connections that are kept for an address.
    #[cfg(test)]
    pub(crate) fn idle_count(&self, addr: SocketAddr) -> usize {
        self.idle.borrow().get(&addr).map_or(0, Vec::len)
    }

    /// Returns a connection to the pool for later calls. The connection is closed if the address
    /// already has `MAX_IDLE_PER_ADDRESS`. If the pool has no room for another address, the idle
    /// connections of the lowest address are closed.
    fn put_idle(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.max_idle_addresses && !idle.contains_key(&addr) {
            idle.pop_first();
        }
        let streams = idle.entry(addr).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS {
            streams.push(stream);
        }
    }

    async fn read_response(&self, stream: &mut TcpStream) -> io::Result<ReceivedResponse> {
        let mut buffer = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            let n = stream.read(&mut chunk).await?;
            buffer.extend_from_slice(&chunk[..n]);
            if let Some(received) = parse(&buffer, self.max_body_bytes, n == 0)? {
                return Ok(received);
            }
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Encodes a request.
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

/// A completely received response.
#[derive(Debug)]
pub(super) struct ReceivedResponse {
    response: Response,
    /// Whether the connection may be used for another call.
    reusable: bool,
}

/// Parses a response, with a body of at most `max_body_bytes`, from the bytes received so far.
/// Returns `None` if more bytes are needed. `is_eof`: the server has closed the connection, so no
/// more bytes will arrive.
pub(super) fn parse(
    buffer: &[u8],
    max_body_bytes: usize,
    is_eof: bool,
) -> io::Result<Option<ReceivedResponse>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_length = match head.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD_BYTES => {
            return Err(invalid_message("response head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid_message("not an HTTP response")),
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
        return match decode_chunks(rest, max_body_bytes)? {
            Some(body) => Ok(Some(received(body.bytes, keep_alive))),
            None if buffer.len() > 2 * max_body_bytes + MAX_HEAD_BYTES => Err(body_too_large()),
            None => Ok(None),
        };
    }
    match framing.length {
        Some(length) if length > max_body_bytes => Err(body_too_large()),
        Some(length) => Ok(rest
            .get(..length)
            .map(|body| received(body.to_vec(), keep_alive && rest.len() == length))),
        None if status == 204 || status == 304 => Ok(Some(received(Vec::new(), keep_alive))),
        None if rest.len() > max_body_bytes => Err(body_too_large()),
        // A body without a length ends when the server closes the connection.
        None => Ok(is_eof.then(|| received(rest.to_vec(), false))),
    }
}
