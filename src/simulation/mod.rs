//! Controllers in simulated time against stand-ins for the key-value store, the cloud, the workers
//! and the network.
//!
//! Their decisions run under crashes, cuts, lost responses and late copies, while invariants are
//! checked against what really runs. Seeds are fixed, so every run of a day is the same.

mod active_faults;
mod cancellations;
mod clock;
mod cluster;
mod controller_processes;
mod dependencies;
mod digest_recorder;
mod effects;
mod events;
mod fake_services;
mod fakes;
mod fault_injection;
mod faults;
mod guards;
mod invariants;
mod large_fleet;
mod large_fleet_state;
mod node;
mod observations;
mod tests;
mod timing;
mod topology;
mod upgrades;
mod violations;
mod workload;
