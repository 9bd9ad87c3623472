//! The client: a small pool of kept connections for each address, and a timeout on every call.

use super::{
    Framing, HEAD_LIMIT, MAX_HEADERS, Method, Response, decode_chunks, invalid, too_large,
};
use crate::runtime::{self, TcpStream};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Idle connections kept for one address.
const IDLE_LIMIT: usize = 8;

/// Why a call has no answer. The difference decides what may be concluded from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Failure {
    #[error("not sent")]
    NotSent,
    #[error("sent, outcome unknown")]
    Unknown,
    /// Carried out, and answered with more than is read here.
    #[error("the answer is too large")]
    TooLarge,
}

#[derive(Clone)]
pub(crate) struct Client {
    idle: Rc<RefCell<BTreeMap<SocketAddr, Vec<TcpStream>>>>,
    /// Addresses with kept connections: fewer than there are to call would be churn.
    most_idle: usize,
    body_limit: usize,
}

impl Client {
    pub(crate) fn new(body_limit: usize, most_idle: usize) -> Self {
        Self {
            idle: Rc::default(),
            most_idle,
            body_limit,
        }
    }

    pub(crate) async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Result<Response, Failure> {
        let mut sent = Failure::NotSent;
        let exchange = async {
            let mut stream = match self.take_idle(addr) {
                Some(stream) => stream,
                None => TcpStream::connect(addr).await?,
            };
            sent = Failure::Unknown;
            let request = format!(
                "{} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                method.as_str(),
                body.len()
            );
            let mut bytes = request.into_bytes();
            bytes.extend_from_slice(body);
            stream.write_all(&bytes).await?;
            let (response, keep) = self.read(&mut stream).await?;
            if keep {
                self.keep(addr, stream);
            }
            Ok::<_, io::Error>(response)
        };
        let outcome = runtime::timeout(limit, exchange).await;
        match outcome {
            Some(Ok(response)) => Ok(response),
            Some(Err(error)) => {
                tracing::debug!(%addr, path, %error, "call failed");
                match error.kind() {
                    io::ErrorKind::FileTooLarge => Err(Failure::TooLarge),
                    _ => Err(sent),
                }
            }
            None => Err(sent),
        }
    }

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

    #[cfg(test)]
    pub(crate) fn idle_count(&self, addr: SocketAddr) -> usize {
        self.idle.borrow().get(&addr).map_or(0, Vec::len)
    }

    fn keep(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.most_idle && !idle.contains_key(&addr) {
            idle.pop_first();
        }
        let streams = idle.entry(addr).or_default();
        if streams.len() < IDLE_LIMIT {
            streams.push(stream);
        }
    }

    async fn read(&self, stream: &mut TcpStream) -> io::Result<(Response, bool)> {
        let mut buffer = Vec::new();
        let mut chunk = vec![0; 8192];
        loop {
            let n = stream.read(&mut chunk).await?;
            buffer.extend_from_slice(&chunk[..n]);
            if let Some(answer) = parse(&buffer, self.body_limit, n == 0)? {
                return Ok(answer);
            }
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Reads a response from the bytes so far; `true` with it if the connection may be used again.
pub(super) fn parse(
    buffer: &[u8],
    limit: usize,
    at_end: bool,
) -> io::Result<Option<(Response, bool)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(buffer) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buffer.len() > HEAD_LIMIT => {
            return Err(invalid("response head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid("not an HTTP response")),
    };
    let framing = Framing::read(head.headers)?;
    let rest = &buffer[used..];
    let status = head.code.unwrap_or(0);
    let (body, keep) = if framing.chunked {
        match decode_chunks(rest, limit)? {
            Some((body, _)) => (body, !framing.close),
            None if buffer.len() > 2 * limit + HEAD_LIMIT => {
                return Err(too_large());
            }
            None => return Ok(None),
        }
    } else if let Some(length) = framing.length {
        if length > limit {
            return Err(too_large());
        }
        match rest.get(..length) {
            Some(body) => (body.to_vec(), !framing.close && rest.len() == length),
            None => return Ok(None),
        }
    } else if status == 204 || status == 304 {
        (Vec::new(), !framing.close)
    } else if rest.len() > limit {
        return Err(too_large());
    } else if at_end {
        (rest.to_vec(), false)
    } else {
        return Ok(None);
    };
    Ok(Some((Response::new(status, body), keep)))
}
