//! The users' side: submissions, polls, withdrawals. Any controller serves it.

pub mod dependencies;
mod final_state;
mod job_api;
mod revision_check;

pub use job_api::{Cancellation, JobApi};
