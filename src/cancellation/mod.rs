//! Cancellations: when a user may be told that a job is cancelled.
//!
//! The record alone is not enough. A shard owner that the key-value store refuses, or that an outage of it
//! finds behind, goes on answering its workers, and would keep alive what it doesn't know to be
//! cancelled, for longer than the users allow (gap day: `ran_cancelled` on every seed). That all
//! controllers know is not enough either: they may all end, and a machine hang for that long
//! (simulated, crashes and gap, seed 10220). So after the record is written every controller is told,
//! and the user hears of it once all of the job's tasks are proved gone: owners say so over the
//! links, at once, and the watch cache shows it a little later, whatever becomes of the links.

mod acknowledgement;
mod deadlines;

pub(crate) use acknowledgement::{CacheView, CancellationRounds, RoundId};
pub(crate) use deadlines::CancellationDeadlines;

#[cfg(test)]
mod tests;
