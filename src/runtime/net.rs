//! TCP sockets for routines. Readiness events are edge-triggered, so each operation is attempted
//! first and waits for an event only if it would block.

use super::executor::{Readiness, with};
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};

/// The registration of a socket with the executor, by its token. Dropping it frees the token.
struct Registration(usize);

impl Registration {
    fn new(source: &mut impl mio::event::Source) -> io::Result<Self> {
        with(|executor| executor.register(source).map(Self))
            .unwrap_or_else(|| Err(io::Error::other("no event loop on this thread")))
    }

    /// Attempts an operation. If it would block, the routine is woken once the socket is ready, and
    /// `Pending` is returned.
    fn poll_operation<T>(
        &self,
        cx: &Context<'_>,
        readiness: Readiness,
        mut operation: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            match operation() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let waker = cx.waker().clone();
                    with(|executor| executor.wait_for_socket(self.0, readiness, waker));
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
        with(|executor| executor.deregister(self.0));
    }
}

/// A TCP connection.
pub(crate) struct TcpStream {
    // Declared first, so that its token is freed before the socket is closed. Closing the socket also
    // removes it from the poll.
    registration: Registration,
    socket: mio::net::TcpStream,
}

impl TcpStream {
    fn register(mut socket: mio::net::TcpStream) -> io::Result<Self> {
        // Messages are small and answered one by one, so Nagle's algorithm would only delay them.
        socket.set_nodelay(true).ok();
        let registration = Registration::new(&mut socket)?;
        Ok(Self {
            registration,
            socket,
        })
    }

    /// Opens a connection.
    pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = Self::register(mio::net::TcpStream::connect(addr)?)?;
        poll_fn(|cx| {
            stream
                .registration
                .poll_operation(cx, Readiness::Writable, || {
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

    /// Reads bytes into `buffer` and returns their number; 0 if the peer has closed the connection.
    pub(crate) async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Self {
            registration,
            socket,
        } = self;
        poll_fn(|cx| registration.poll_operation(cx, Readiness::Readable, || socket.read(buffer)))
            .await
    }

    /// Writes all bytes.
    pub(crate) async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let Self {
            registration,
            socket,
        } = self;
        while !bytes.is_empty() {
            let n = poll_fn(|cx| {
                registration.poll_operation(cx, Readiness::Writable, || socket.write(bytes))
            })
            .await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// Returns whether an idle connection can't be reused because the peer has closed it or has
    /// sent unexpected bytes.
    pub(crate) fn is_stale(&mut self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.socket.peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A listening TCP socket.
pub(crate) struct TcpListener {
    registration: Registration,
    socket: mio::net::TcpListener,
}

impl TcpListener {
    /// Binds a socket to an address and starts listening.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Self> {
        let mut socket = mio::net::TcpListener::bind(addr)?;
        let registration = Registration::new(&mut socket)?;
        Ok(Self {
            registration,
            socket,
        })
    }

    /// Returns the local address, with the port that the system chose.
    #[cfg(test)]
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for the next connection and accepts it.
    pub(crate) async fn accept(&self) -> io::Result<TcpStream> {
        let (socket, _) = poll_fn(|cx| {
            self.registration
                .poll_operation(cx, Readiness::Readable, || self.socket.accept())
        })
        .await?;
        TcpStream::register(socket)
    }
}
