//! The actions of the simulated cloud, workers and network.

mod cloud;
mod direct_calls;
mod gangs;
mod heartbeats;
mod network;
