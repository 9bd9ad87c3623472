//! HTTP/1.1 on `httparse`: a server for users, workers and operators, and a client for what is
//! called.
//!
//! Both keep connections open, honour `Connection: close`, and bound heads and bodies.

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
