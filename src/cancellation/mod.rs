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
//!
//! Nor may another controller answer afterwards that the job is live, because it has read so before. Each
//! revokes its read leases on the job when it learns of the cancellation (see `read_leases`). If one can't
//! be reached, the user is answered once its leases have expired.

mod acknowledgement;
mod deadlines;

pub(crate) use acknowledgement::{CacheView, CancellationRounds};
pub(crate) use deadlines::CancellationDeadlines;

#[cfg(test)]
mod tests;
