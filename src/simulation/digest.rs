//! A digest of everything that leaves the controllers on a simulated day, in its order: frames
//! to other controllers, transactions, commands and answers to workers, calls to the cloud.
//!
//! The bytes are hashed as they stand on the wire. A change of names, files or types in the
//! program leaves every digest as it is; one that changes what the program does shows here.

use super::cluster::{
    DisabledGuard, FIVE_CONTROLLERS, Faults, Shape, SimulatedCluster, THREE_CONTROLLERS,
};
use crate::controller::Effect;
use crate::peers::encode_frame;
use crate::protocol;
use crate::worker_control::HeartbeatAnswer;
use serde::Serialize;
use std::hash::{DefaultHasher, Hasher};

/// Hashes outputs of controllers one after the other.
#[derive(Default)]
pub(super) struct Digest {
    hasher: DefaultHasher,
    outputs: u64,
}

impl Digest {
    fn add(&mut self, node: usize, kind: u8, bytes: &[u8]) {
        self.outputs += 1;
        self.hasher.write_usize(node);
        self.hasher.write_u8(kind);
        self.hasher.write_usize(bytes.len());
        self.hasher.write(bytes);
    }

    fn add_json(&mut self, node: usize, kind: u8, value: &impl Serialize) {
        let bytes = serde_json::to_vec(value).expect("json");
        self.add(node, kind, &bytes);
    }

    /// One output of a controller's decisions.
    pub(super) fn add_effect(&mut self, node: usize, effect: &Effect) {
        match effect {
            Effect::Txn { txn, .. } => self.add_json(node, 0, txn),
            Effect::Call {
                machine,
                addr,
                token,
                epoch,
                commands,
            } => {
                self.add_json(node, 1, &(machine, addr));
                self.add(node, 1, &protocol::commands(*token, Some(*epoch), commands));
            }
            Effect::Peer(to, message) => {
                self.add_json(node, 2, to);
                self.add(node, 2, &encode_frame(message).expect("frame"));
            }
            Effect::Rent(request) => self.add_json(node, 3, request),
            Effect::Delete(machines) => self.add_json(node, 4, machines),
            Effect::List => self.add(node, 5, b""),
            Effect::Catalog => self.add(node, 6, b""),
            Effect::QueryOutcome(job) => self.add_json(node, 7, job),
        }
    }

    /// The answer to a worker's heartbeat.
    pub(super) fn add_answer(&mut self, node: usize, answer: &HeartbeatAnswer) {
        match answer {
            HeartbeatAnswer::Commands(token, commands) => {
                self.add(node, 8, &protocol::commands(*token, None, commands));
            }
            HeartbeatAnswer::Redirect(owner) => {
                self.add(node, 9, &protocol::redirect(owner.as_ref()));
            }
        }
    }

    /// The digest so far.
    pub(super) fn value(&self) -> u64 {
        self.hasher.finish()
    }
}

fn print(name: &str, seed: u64, cluster: &SimulatedCluster) {
    let digest = &cluster.digest;
    let (value, outputs) = (digest.value(), digest.outputs);
    println!("digest {name} {seed}: {value:016x} of {outputs} outputs");
}

fn play(name: &str, shape: Shape, seed: u64, faults: Faults) {
    let mut cluster = super::play_at(shape, seed, faults, DisabledGuard::None);
    if faults.dependent_jobs {
        cluster.run(340_000);
    }
    print(name, seed, &cluster);
}

// Run by hand before and after a change that must not alter what the program does:
// `cargo test simulation::digest -- --ignored --nocapture | grep '^digest' | sort`.

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_quiet_days_and_single_troubles() {
    for seed in 700..706 {
        play("quiet", THREE_CONTROLLERS, seed, Faults::default());
    }
    for (seed, (name, add)) in (1000..).step_by(4).zip(super::SINGLE_FAULTS) {
        let mut faults = Faults::default();
        add(&mut faults);
        for seed in seed..seed + 4 {
            play(name, THREE_CONTROLLERS, seed, faults);
        }
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_days_with_pipelines() {
    for (seed, (name, add)) in (1500..).zip(super::SINGLE_FAULTS) {
        let mut faults = Faults {
            dependent_jobs: true,
            ..Faults::default()
        };
        add(&mut faults);
        play(
            &format!("{name} with pipelines"),
            THREE_CONTROLLERS,
            seed,
            faults,
        );
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_pairs_of_troubles() {
    for (seed, (name, faults)) in (2000..).zip(super::pairs()) {
        play(&name, THREE_CONTROLLERS, seed, faults);
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_all_troubles_and_upgrades() {
    let parted = Faults {
        zone_partition: true,
        ..Faults::ALL
    };
    let upgraded = Faults {
        dependent_jobs: true,
        rolling_upgrade: true,
        lowered_store_limits: true,
        ..Faults::NONE
    };
    for seed in 720..726 {
        play("all", THREE_CONTROLLERS, seed, Faults::ALL);
        play("all at five", FIVE_CONTROLLERS, seed, parted);
        play("upgrade and limits", THREE_CONTROLLERS, seed, upgraded);
        play("upgrade at five", FIVE_CONTROLLERS, seed, upgraded);
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_large_fleets() {
    for (seed, machines) in [(7, (300, 900)), (8, (120, 120)), (9, (1200, 1800))] {
        let mut cluster = SimulatedCluster::grown(seed, machines, 50.0, 500);
        cluster.run(45_000);
        print("grown", seed, &cluster);
    }
}
