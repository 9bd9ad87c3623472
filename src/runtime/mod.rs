//! The project's own event loop: a single-threaded executor for Rust futures on `mio`.
//!
//! Every connection and every long-lived duty is a routine of its own. Routines are
//! spawned with [`spawn`] and cancelled in order by dropping the [`Scope`] that owns
//! them: the future is dropped at its next turn, and with it all it holds.

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
