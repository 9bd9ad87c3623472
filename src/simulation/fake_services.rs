//! The actions of the simulated cloud, workers and network.

mod cloud;
mod direct_calls;
mod forwarded_heartbeats;
mod gangs;
mod heartbeats;
mod network;

pub(super) use forwarded_heartbeats::{
    ForwardTimeout, ForwardedAnswer, ForwardedHeartbeat, WaitingWorker,
};
