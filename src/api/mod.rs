//! The users' side: submissions, polls, cancellations. Any controller serves it.

pub(crate) mod dependencies;
mod final_state;
mod job_api;
mod revision_check;

pub(crate) use job_api::{Cancellation, JobApi};
