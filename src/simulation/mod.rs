//! Runs the real controllers in simulated time against fakes of the key-value store, the cloud, the
//! workers and the network.
//!
//! Crashes, network cuts, lost responses and delayed duplicates are injected, and invariants are
//! checked against the tasks that actually run. Seeds are fixed, so every run of a scenario gives
//! the same result.

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
