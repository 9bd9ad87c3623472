//! Cancellations: when a request to cancel a job may be answered.
//!
//! That the cancellation is committed is not enough. A shard owner that can't reach the key-value
//! store, or whose watch cache is behind, goes on answering its workers, and would keep tasks alive
//! that it doesn't know to be cancelled, for longer than the users allow. That all controllers know
//! is not enough either: they may all end while a machine hangs. So after the commit every controller
//! is informed, and the user is answered once all of the job's tasks are proved gone: shard owners
//! acknowledge it to the asking controller at once, and the watch cache shows it a little later even
//! if no acknowledgement arrives.

mod acknowledgement;
mod deadlines;

pub(crate) use acknowledgement::{CacheView, CancellationRounds};
pub(crate) use deadlines::CancellationDeadlines;

#[cfg(test)]
mod tests;
