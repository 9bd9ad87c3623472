//! A single-threaded event loop and executor for Rust futures, built on `mio`.
//!
//! A routine is an asynchronous task of the executor; the word "task" is reserved for the tasks of
//! jobs. Each connection and each long-running activity has its own routine. Routines are started
//! with [`spawn`] or [`Scope::spawn`]. Dropping a [`Scope`] cancels its routines: the executor
//! drops each one's future, with the values it owns, when the routine's turn comes next.

mod channel;
mod clock;
mod executor;
mod net;
mod timer;

pub(crate) use channel::{Oneshot, Receiver, Sender, channel, oneshot};
pub(crate) use clock::now;
#[cfg(test)]
pub(crate) use clock::virtual_time::run_in_virtual_time;
pub(crate) use executor::{Scope, run, spawn};
pub(crate) use net::{TcpListener, TcpStream};
pub(crate) use timer::{sleep, timeout};

#[cfg(test)]
mod tests;
