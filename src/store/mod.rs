//! The key-value store: its client, the rate limits that the client keeps to, the records kept
//! there, and the watch cache of the live ones.

mod admission;
mod bitmap;
mod client;
mod counters;
pub(crate) mod dependency_graph;
pub(crate) mod keys;
mod live_job;
pub(crate) mod machine_record;
mod outcomes;
pub(crate) mod rate_limiter;
mod rate_selector;
pub(crate) mod records;
mod refusals;
pub(crate) mod urgency;
mod versioned;
pub(crate) mod watch_cache;

pub(crate) use client::{ReadPermit, StoreClient};
pub(crate) use counters::ClassCounters;
pub(crate) use outcomes::{Refusal, StoreError, TxnOutcome};
