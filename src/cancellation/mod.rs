//! Decides when a request to cancel a job may be answered.
//!
//! It is not enough that the cancellation is committed. A shard owner that can't reach the key-value store,
//! or whose watch cache lags, does not know of the cancellation and continues to answer its workers. Their
//! tasks would run for longer than the cancellation timeout allows. Nor is it enough that all controllers
//! know of the cancellation: all of them may terminate while a machine hangs.
//!
//! So every controller is informed after the commit, and the user's request is answered once all of the
//! job's tasks are proved to be gone. Shard owners acknowledge this at once to the controller that handles
//! the request. If no acknowledgement arrives, the watch cache shows it a little later.

mod acknowledgement;
mod deadlines;

pub(crate) use acknowledgement::{CacheView, CancellationRounds};
pub(crate) use deadlines::CancellationDeadlines;

#[cfg(test)]
mod tests;
