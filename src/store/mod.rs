//! The key-value store: its client, the client's rate limiter, the stored records, and the watch
//! cache of the records under `live/`.

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
