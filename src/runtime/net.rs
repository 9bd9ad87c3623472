//! TCP sockets for routines: edge-triggered, tried first and awaited only when they would-shard.

use super::{Interest, with};
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};

/// A socket's place in the executor's table; freed when the socket is dropped.
struct Registration(usize);

impl Registration {
    fn new(source: &mut impl mio::event::Source) -> io::Result<Self> {
        with(|e| {
            let id = e.free_interests.pop().unwrap_or_else(|| {
                e.interests.push(None);
                e.interests.len() - 1
            });
            let both = mio::Interest::READABLE | mio::Interest::WRITABLE;
            match e.registry.register(source, mio::Token(id), both) {
                Ok(()) => {
                    e.interests[id] = Some(Interest::default());
                    Ok(Self(id))
                }
                Err(error) => {
                    e.free_interests.push(id);
                    Err(error)
                }
            }
        })
        .unwrap_or_else(|| Err(io::Error::other("no event loop on this thread")))
    }

    fn wait(&self, cx: &Context<'_>, write: bool) {
        with(|e| {
            if let Some(interest) = e.interests[self.0].as_mut() {
                let place = if write {
                    &mut interest.write
                } else {
                    &mut interest.read
                };
                *place = Some(cx.waker().clone());
            }
        });
    }

    /// Polls an operation: ready, or parked until the socket's next edge.
    fn attempt<T>(
        &self,
        cx: &Context<'_>,
        write: bool,
        mut operation: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            match operation() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.wait(cx, write);
                    return Poll::Pending;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        with(|e| {
            e.interests[self.0] = None;
            e.free_interests.push(self.0);
        });
    }
}

pub(crate) struct TcpStream {
    // Declared first: it is freed while the socket is still open.
    registration: Registration,
    socket: mio::net::TcpStream,
}

impl TcpStream {
    fn adopt(mut socket: mio::net::TcpStream) -> io::Result<Self> {
        // Messages are small and answered one by one: waiting to fill packets only delays them.
        socket.set_nodelay(true).ok();
        let registration = Registration::new(&mut socket)?;
        Ok(Self {
            registration,
            socket,
        })
    }

    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = Self::adopt(mio::net::TcpStream::connect(addr)?)?;
        poll_fn(|cx| {
            stream.registration.attempt(cx, true, || {
                if let Some(error) = stream.socket.take_error()? {
                    return Err(error);
                }
                match stream.socket.peer_addr() {
                    Ok(_) => Ok(()),
                    Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                        Err(io::ErrorKind::WouldBlock.into())
                    }
                    Err(e) => Err(e),
                }
            })
        })
        .await?;
        Ok(stream)
    }

    pub(crate) async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Self {
            registration,
            socket,
        } = self;
        poll_fn(|cx| registration.attempt(cx, false, || socket.read(buffer))).await
    }

    pub(crate) async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let Self {
            registration,
            socket,
        } = self;
        while !bytes.is_empty() {
            let n = poll_fn(|cx| registration.attempt(cx, true, || socket.write(bytes))).await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// Whether the other side has closed an idle connection, or sent what nobody asked for.
    pub(crate) fn is_stale(&mut self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.socket.peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

pub(crate) struct TcpListener {
    registration: Registration,
    socket: mio::net::TcpListener,
}

impl TcpListener {
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Self> {
        let mut socket = mio::net::TcpListener::bind(addr)?;
        let registration = Registration::new(&mut socket)?;
        Ok(Self {
            registration,
            socket,
        })
    }

    #[cfg(test)]
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    pub(crate) async fn accept(&self) -> io::Result<TcpStream> {
        let (socket, _) = poll_fn(|cx| {
            self.registration
                .attempt(cx, false, || self.socket.accept())
        })
        .await?;
        TcpStream::adopt(socket)
    }
}
