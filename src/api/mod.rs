//! The user-facing API: submissions, polls and cancellations. Every controller serves it. The
//! key-value store decides every answer that has to be consistent between controllers.

mod cancel;
pub(crate) mod dependencies;
mod feasibility;
mod final_state;
mod final_state_reader;
mod job_api;
mod job_lookup;
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

pub(crate) use final_state_reader::FinalStateReadCounters;
pub(crate) use job_api::{Cancellation, JobApi};
pub(crate) use unanswered::UnansweredReport;
