//! The users' side: submissions, polls, withdrawals. Any controller serves it.

pub mod dependencies;
mod over;
mod service;
mod verify;

pub use service::{Cancellation, Intake};
