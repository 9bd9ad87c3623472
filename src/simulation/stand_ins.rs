//! Stand-ins for what controllers deal with: the key-value store, the cloud, the workers and the
//! network between them.

mod cloud;
mod direct_calls;
mod gangs;
mod heartbeats;
mod network;
mod store;
mod worker;

pub(super) use store::{StoreLimits, StoreModel};
pub(super) use worker::{Worker, WorkerTask};
