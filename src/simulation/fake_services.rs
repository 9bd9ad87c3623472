//! How the cloud, the workers and the network between them act on a simulated cluster.

mod cloud;
mod direct_calls;
mod gangs;
mod heartbeats;
mod network;
