//! A link to each other controller, dialled again whenever it breaks, and the listener for
//! theirs. What is queued for a peer that can't be reached is dropped: senders repeat what
//! matters, and stale messages fail at their fences.

use super::Message;
use super::frame;
use crate::ids::{Incarnation, Member};
use crate::runtime::{self, Receiver, Sender, TcpListener, TcpStream, channel};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const CONNECT: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(3);
const REDIAL: Duration = Duration::from_millis(300);
/// A peer that takes nothing has this many messages queued at most.
const BACKLOG: usize = 5000;

pub(crate) struct Links {
    queues: BTreeMap<Member, Sender<Message>>,
}

impl Links {
    /// Starts a routine for each peer.
    pub(crate) fn start(
        me: &Member,
        incarnation: Incarnation,
        peers: &BTreeMap<Member, SocketAddr>,
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
            scope.spawn(dial(*addr, hello, rx));
        }
        Self { queues }
    }

    pub(crate) fn send(&self, to: &Member, message: Message) {
        if let Some(queue) = self.queues.get(to)
            && queue.backlog() < BACKLOG
        {
            queue.send(message);
        }
    }
}

async fn dial(addr: SocketAddr, hello: Message, mut queue: Receiver<Message>) {
    loop {
        if let Some(Ok(mut stream)) = runtime::timeout(CONNECT, TcpStream::connect(addr)).await {
            while queue.try_recv().is_some() {}
            let mut next = Some(hello.clone());
            while let Some(message) = next {
                let mut bytes = frame::encode(&message).unwrap_or_default();
                while let Some(more) = queue.try_recv() {
                    bytes.extend(frame::encode(&more).unwrap_or_default());
                }
                let written = runtime::timeout(WRITE, stream.write_all(&bytes)).await;
                if !matches!(written, Some(Ok(()))) {
                    break;
                }
                next = queue.recv().await;
                // The other side never writes on this link: bytes or an end mean that it is gone.
                if stream.is_stale() {
                    break;
                }
            }
        }
        runtime::sleep(REDIAL).await;
    }
}

/// Accepts the peers' links and hands on what they say.
pub(crate) async fn listen(listener: TcpListener, handler: Rc<dyn Fn(Member, Message)>) {
    let mut open: Vec<runtime::Scope> = Vec::new();
    loop {
        match listener.accept().await {
            Ok(stream) => {
                // Peers are few: past a generous bound the oldest link is a dead one.
                if open.len() >= 32 {
                    open.remove(0);
                }
                let mut scope = runtime::Scope::default();
                scope.spawn(read(stream, handler.clone()));
                open.push(scope);
            }
            Err(error) => {
                tracing::debug!(%error, "peer accept failed");
                runtime::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn read(mut stream: TcpStream, handler: Rc<dyn Fn(Member, Message)>) {
    let mut buffer = Vec::new();
    let mut chunk = vec![0; 16 * 1024];
    let mut from = None;
    loop {
        loop {
            match frame::decode(&buffer) {
                Ok(Some((message, used))) => {
                    buffer.drain(..used);
                    match (message, &from) {
                        (Message::Hello { member, .. }, _) => from = Some(member),
                        (message, Some(member)) => handler(member.clone(), message),
                        (_, None) => return,
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    tracing::error!(%error, "peer link closed");
                    return;
                }
            }
        }
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
}

#[cfg(test)]
mod tests;
