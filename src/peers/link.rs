//! Links between controllers: one to each other controller, dialled again whenever it breaks, and
//! the listener for theirs. Each link carries messages one way. What is queued for a peer that
//! can't be reached is dropped: senders repeat what matters, and stale messages fail at their
//! fences.

use super::Message;
use super::frame::{self, DecodedFrame, FrameError};
use crate::ids::{Incarnation, MemberId};
use crate::runtime::{self, Receiver, Sender, TcpListener, TcpStream, channel};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before a broken link is dialled again.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Messages that are queued at most for a peer that accepts nothing.
const MAX_QUEUED_MESSAGES: usize = 5000;
/// Peers are few: past this generous bound the oldest inbound link is a dead one.
const MAX_INBOUND_LINKS: usize = 32;
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Receives the messages of the peers, with their senders.
type MessageHandler = Rc<dyn Fn(MemberId, Message)>;

/// The outbound links to all peers.
pub(crate) struct Links {
    queues: BTreeMap<MemberId, Sender<Message>>,
}

impl Links {
    /// Starts a routine for each peer.
    pub(crate) fn start(
        me: &MemberId,
        incarnation: Incarnation,
        peers: &BTreeMap<MemberId, SocketAddr>,
        scope: &mut runtime::Scope,
    ) -> Self {
        let mut queues = BTreeMap::new();
        for (member, addr) in peers {
            let (tx, rx) = channel();
            queues.insert(member.clone(), tx);
            let hello = Message::Hello {
                member: me.clone(),
                incarnation,
            };
            scope.spawn(keep_connected(*addr, hello, rx));
        }
        Self { queues }
    }

    /// Queues a message for a peer. It is dropped if too many are queued already.
    pub(crate) fn send(&self, to: &MemberId, message: Message) {
        if let Some(queue) = self.queues.get(to)
            && queue.backlog() < MAX_QUEUED_MESSAGES
        {
            queue.send(message);
        }
    }
}

/// Connects to a peer and writes what is queued for it, again and again.
async fn keep_connected(addr: SocketAddr, hello: Message, mut queue: Receiver<Message>) {
    loop {
        let connected = runtime::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        if let Some(Ok(stream)) = connected {
            while queue.try_recv().is_some() {}
            write_messages(stream, hello.clone(), &mut queue).await;
        }
        runtime::sleep(RECONNECT_DELAY).await;
    }
}

/// Writes a hello and then what is queued, until the link breaks.
async fn write_messages(mut stream: TcpStream, hello: Message, queue: &mut Receiver<Message>) {
    let mut next = Some(hello);
    while let Some(message) = next {
        // A message that has no frame is dropped: the rest is still worth sending.
        let mut bytes = frame::encode(&message).unwrap_or_default();
        while let Some(more) = queue.try_recv() {
            bytes.extend(frame::encode(&more).unwrap_or_default());
        }
        let written = runtime::timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(written, Some(Ok(()))) {
            return;
        }
        next = queue.recv().await;
        // The other side never writes on this link: bytes or an end mean that it is gone.
        if stream.is_stale() {
            return;
        }
    }
}

/// Accepts the peers' links and passes their messages to the handler.
pub(crate) async fn listen(listener: TcpListener, handler: MessageHandler) {
    let mut open: Vec<runtime::Scope> = Vec::new();
    loop {
        match listener.accept().await {
            Ok(stream) => {
                if open.len() >= MAX_INBOUND_LINKS {
                    open.remove(0);
                }
                let mut scope = runtime::Scope::default();
                scope.spawn(read_messages(stream, handler.clone()));
                open.push(scope);
            }
            Err(error) => {
                tracing::debug!(%error, "peer accept failed");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads an inbound link until it ends or carries something unreadable.
async fn read_messages(mut stream: TcpStream, handler: MessageHandler) {
    let mut link = InboundLink {
        buffer: Vec::new(),
        sender: None,
        handler,
    };
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        match link.deliver() {
            Ok(()) => {}
            Err(InboundError::Frame(error)) => {
                tracing::error!(%error, "peer link closed");
                return;
            }
            Err(InboundError::MissingHello) => return,
        }
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => link.buffer.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

/// Why an inbound link is closed from this side.
#[derive(Debug, thiserror::Error)]
enum InboundError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("a message came before the sender's hello")]
    MissingHello,
}

/// A link that a peer has opened.
struct InboundLink {
    /// Bytes that are not decoded yet.
    buffer: Vec<u8>,
    /// Who has opened it, once its hello came.
    sender: Option<MemberId>,
    handler: MessageHandler,
}

impl InboundLink {
    /// Passes on the messages that are complete.
    fn deliver(&mut self) -> Result<(), InboundError> {
        while let Some(DecodedFrame { message, length }) = frame::decode(&self.buffer)? {
            self.buffer.drain(..length);
            match (message, &self.sender) {
                (Message::Hello { member, .. }, _) => self.sender = Some(member),
                (message, Some(sender)) => (self.handler)(sender.clone(), message),
                (_, None) => return Err(InboundError::MissingHello),
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
