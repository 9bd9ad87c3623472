//! The user-facing API: submissions, polls and cancellations. Every controller serves it. The
//! key-value store decides every answer that has to be consistent between controllers.
//!
//! Terms of this module:
//!
//! - A comparison is a transaction without changes whose conditions tell whether jobs still have the
//!   revisions that the watch cache shows, and which records exist of jobs that it does not show.
//! - A blocked job has dependencies that are not done yet. Its tasks may not start before the leader
//!   has released it, by writing the time into its record, once all its dependencies are done.
//! - A cancellation is confirmed once no task of the job can be running on any machine.
//! - A read lease is the time for which an answer may rest on a read (see `read_leases`).
//! - A job that has ended is settled once its user may be told: a cancelled job when its cancellation is
//!   confirmed and all its dependents are cancelled, a job that is done at once.

mod cancel;
pub(crate) mod dependencies;
mod feasibility;
mod final_state;
mod final_state_reader;
mod job_api;
mod job_lookup;
mod leased_answers;
mod query;
mod read_queue;
mod responses;
mod retries;
mod retry_reason;
mod revision_check;
mod submit;
#[cfg(test)]
mod tests;
mod unanswered;

pub(crate) use cancel::{ControllerDriver, confirm_cancellations};
pub(crate) use final_state_reader::FinalStateReadCounters;
pub(crate) use job_api::{Cancellation, JobApi};
pub(crate) use unanswered::UnansweredReport;
