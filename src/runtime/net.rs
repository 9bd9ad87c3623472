//! TCP sockets for routines: edge-triggered, so each operation is tried first and awaited only when
//! it would block.

use super::executor::{Readiness, with};
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::task::{Context, Poll};

/// A socket's registration with the executor; it ends when the socket is dropped.
struct Registration(usize);

impl Registration {
    fn new(source: &mut impl mio::event::Source) -> io::Result<Self> {
        with(|executor| executor.register(source).map(Self))
            .unwrap_or_else(|| Err(io::Error::other("no event loop on this thread")))
    }

    /// Polls an operation: complete, or pending until the socket is ready for it again.
    fn attempt<T>(
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
    // Declared first: it ends while the socket is still open.
    registration: Registration,
    socket: mio::net::TcpStream,
}

impl TcpStream {
    fn register(mut socket: mio::net::TcpStream) -> io::Result<Self> {
        // Messages are small and answered one by one: waiting to fill packets only delays them.
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
            stream.registration.attempt(cx, Readiness::Writable, || {
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

    /// Reads some bytes into `buffer` and returns how many. 0: the other side has closed.
    pub(crate) async fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Self {
            registration,
            socket,
        } = self;
        poll_fn(|cx| registration.attempt(cx, Readiness::Readable, || socket.read(buffer))).await
    }

    /// Writes all bytes.
    pub(crate) async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let Self {
            registration,
            socket,
        } = self;
        while !bytes.is_empty() {
            let n =
                poll_fn(|cx| registration.attempt(cx, Readiness::Writable, || socket.write(bytes)))
                    .await?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// Whether the other side has closed an idle connection, or sent bytes unasked.
    pub(crate) fn is_stale(&mut self) -> bool {
        let mut byte = [0; 1];
        !matches!(self.socket.peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

/// A TCP socket that accepts connections.
pub(crate) struct TcpListener {
    registration: Registration,
    socket: mio::net::TcpListener,
}

impl TcpListener {
    /// Listens on an address.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Self> {
        let mut socket = mio::net::TcpListener::bind(addr)?;
        let registration = Registration::new(&mut socket)?;
        Ok(Self {
            registration,
            socket,
        })
    }

    /// The address with the port that was chosen.
    #[cfg(test)]
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for the next connection.
    pub(crate) async fn accept(&self) -> io::Result<TcpStream> {
        let (socket, _) = poll_fn(|cx| {
            self.registration
                .attempt(cx, Readiness::Readable, || self.socket.accept())
        })
        .await?;
        TcpStream::register(socket)
    }
}
