//! One-way links between controllers. Each controller opens an outbound link to each peer,
//! reconnects it when it breaks, and listens for the inbound links of its peers. Messages that are
//! queued for an unreachable peer are dropped: senders repeat important messages, and receivers
//! reject stale ones by their fence.

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
/// Delay before a broken link is reconnected.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest number of messages that are queued for a peer. Further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 5000;
/// Largest number of inbound links that are kept, including links that have ended. Clusters have
/// far fewer peers, so beyond this limit the link that was accepted first is assumed dead and is
/// closed.
const MAX_INBOUND_LINKS: usize = 32;
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Callback that receives each message from a peer together with its sender.
type MessageHandler = Rc<dyn Fn(MemberId, Message)>;

/// The outbound links to all peers.
pub(crate) struct Links {
    queues: BTreeMap<MemberId, Sender<Message>>,
}

impl Links {
    /// Starts a routine in `scope` that maintains the link to each peer.
    pub(crate) fn start(
        local_member: &MemberId,
        incarnation: Incarnation,
        peers: &BTreeMap<MemberId, SocketAddr>,
        scope: &mut runtime::Scope,
    ) -> Self {
        let mut queues = BTreeMap::new();
        for (member, addr) in peers {
            let (tx, rx) = channel();
            queues.insert(member.clone(), tx);
            let hello = Message::Hello {
                member: local_member.clone(),
                incarnation,
            };
            scope.spawn(keep_connected(*addr, hello, rx));
        }
        Self { queues }
    }

    /// Queues a message for a peer. The message is dropped if `MAX_QUEUED_MESSAGES` messages are
    /// queued already.
    pub(crate) fn send(&self, to: &MemberId, message: Message) {
        if let Some(queue) = self.queues.get(to)
            && queue.backlog() < MAX_QUEUED_MESSAGES
        {
            queue.send(message);
        }
    }
}

/// Connects to a peer and writes its queued messages, and reconnects whenever the link breaks.
/// Messages that were queued before a connection is established are discarded.
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

/// Writes the hello message and then the queued messages, until the link breaks.
async fn write_messages(mut stream: TcpStream, hello: Message, queue: &mut Receiver<Message>) {
    let mut next = Some(hello);
    while let Some(message) = next {
        // A message that cannot be encoded is dropped; the other messages are still sent.
        let mut bytes = frame::encode(&message).unwrap_or_default();
        while let Some(more) = queue.try_recv() {
            bytes.extend(frame::encode(&more).unwrap_or_default());
        }
        let written = runtime::timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(written, Some(Ok(()))) {
            return;
        }
        next = queue.recv().await;
        // The peer never writes on this link, so incoming bytes or an end of stream mean that the
        // link is unusable.
        if stream.is_stale() {
            return;
        }
    }
}

/// Accepts inbound links from peers and passes their messages to the handler.
pub(crate) async fn listen(listener: TcpListener, handler: MessageHandler) {
    let mut open_links: Vec<runtime::Scope> = Vec::new();
    loop {
        match listener.accept().await {
            Ok(stream) => {
                if open_links.len() >= MAX_INBOUND_LINKS {
                    open_links.remove(0);
                }
                let mut scope = runtime::Scope::default();
                scope.spawn(read_messages(stream, handler.clone()));
                open_links.push(scope);
            }
            Err(error) => {
                tracing::debug!(%error, "cannot accept a peer's connection; retrying");
                runtime::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads an inbound link until it ends, carries an invalid frame, or carries a message before the
/// hello.
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
                tracing::error!(%error, "peer link closed: received an invalid frame");
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

/// The reason why this controller closes an inbound link.
#[derive(Debug, thiserror::Error)]
enum InboundError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("message received before the sender's hello")]
    MissingHello,
}

/// A link that a peer has opened to this controller.
struct InboundLink {
    /// Received bytes that have not been decoded yet.
    buffer: Vec<u8>,
    /// The peer that has opened the link; absent until its hello message arrives.
    sender: Option<MemberId>,
    handler: MessageHandler,
}

impl InboundLink {
    /// Decodes all complete frames in the buffer and passes their messages to the handler.
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
