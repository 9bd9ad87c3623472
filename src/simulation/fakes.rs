//! The state of the key-value store and of the workers that stand in for the real ones.

mod store;
mod worker;

pub(super) use store::{FakeStore, FakeStoreLimits};
pub(super) use worker::{AwaitedResponse, Worker, WorkerTask};
