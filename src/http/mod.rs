//! HTTP/1.1 on top of `httparse`: a server for users, workers and operators, and a client for the
//! key-value store, the cloud and the workers.
//!
//! Both use persistent connections, honour `Connection: close`, and limit the sizes of message
//! heads and bodies.

mod client;
mod framing;
mod message;
mod server;

#[cfg(test)]
pub(crate) use client::FakeTransport;
pub(crate) use client::{CallError, Client};
pub(crate) use message::{Method, Request, Response};
pub(crate) use server::serve;

#[cfg(test)]
mod tests;
