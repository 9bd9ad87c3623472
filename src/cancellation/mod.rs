//! Cancellations: when a user may be told that a job is cancelled.
//!
//! The record alone is not enough. A holder that the state service refuses, or that an outage of it
//! finds behind, goes on answering its workers, and would keep alive what it doesn't know to be
//! cancelled, for longer than the users allow (gap day: `ran_cancelled` on every seed). So after the
//! record is written every controller is told, and the user hears of it only once whoever could
//! still keep or start one of the job's tasks knows.

mod rounds;

pub use rounds::{RoundId, Rounds, View};

#[cfg(test)]
mod tests;
