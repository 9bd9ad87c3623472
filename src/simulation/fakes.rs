//! In-memory fakes of the key-value store and of workers.

mod store;
mod worker;

pub(super) use store::{FakeStore, FakeStoreLimits};
pub(super) use worker::{AwaitedResponse, Worker, WorkerTask};
