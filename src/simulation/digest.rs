//! A digest of everything that leaves the controllers on a simulated day, in its order: frames
//! to other controllers, transactions, commands and answers to workers, calls to the cloud.
//!
//! The bytes are hashed as they stand on the wire. A change of names, files or types in the
//! program leaves every digest as it is; one that changes what the program does shows here.

use super::world::{Breakage, FIVE, SMALL, Shape, Trouble, World};
use crate::controller::Effect;
use crate::peers::encode_frame;
use crate::protocol;
use crate::workers::HeartbeatAnswer;
use serde::Serialize;
use std::hash::{DefaultHasher, Hasher};

/// Hashes outputs of controllers one after the other.
#[derive(Default)]
pub struct Digest {
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
    pub fn add_effect(&mut self, node: usize, effect: &Effect) {
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
            Effect::Standing(job) => self.add_json(node, 7, job),
        }
    }

    /// The answer to a worker's report.
    pub fn add_answer(&mut self, node: usize, answer: &HeartbeatAnswer) {
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
    pub fn value(&self) -> u64 {
        self.hasher.finish()
    }
}

fn print(name: &str, seed: u64, world: &World) {
    let digest = &world.digest;
    let (value, outputs) = (digest.value(), digest.outputs);
    println!("digest {name} {seed}: {value:016x} of {outputs} outputs");
}

fn play(name: &str, shape: Shape, seed: u64, trouble: Trouble) {
    let mut world = super::play_at(shape, seed, trouble, Breakage::None);
    if trouble.pipelines {
        world.run(340_000);
    }
    print(name, seed, &world);
}

// Run by hand before and after a change that must not alter what the program does:
// `cargo test sim::digest -- --ignored --nocapture | grep '^digest' | sort`.

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_quiet_days_and_single_troubles() {
    for seed in 700..706 {
        play("quiet", SMALL, seed, Trouble::default());
    }
    for (seed, (name, add)) in (1000..).step_by(4).zip(super::SINGLE_TROUBLES) {
        let mut trouble = Trouble::default();
        add(&mut trouble);
        for seed in seed..seed + 4 {
            play(name, SMALL, seed, trouble);
        }
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_days_with_pipelines() {
    for (seed, (name, add)) in (1500..).zip(super::SINGLE_TROUBLES) {
        let mut trouble = Trouble {
            pipelines: true,
            ..Trouble::default()
        };
        add(&mut trouble);
        play(&format!("{name} with pipelines"), SMALL, seed, trouble);
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_pairs_of_troubles() {
    for (seed, (name, trouble)) in (2000..).zip(super::pairs()) {
        play(&name, SMALL, seed, trouble);
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_all_troubles_and_upgrades() {
    let parted = Trouble {
        partition: true,
        ..Trouble::ALL
    };
    let upgraded = Trouble {
        pipelines: true,
        upgrade: true,
        limits: true,
        ..Trouble::NONE
    };
    for seed in 720..726 {
        play("all", SMALL, seed, Trouble::ALL);
        play("all at five", FIVE, seed, parted);
        play("upgrade and limits", SMALL, seed, upgraded);
        play("upgrade at five", FIVE, seed, upgraded);
    }
}

#[test]
#[ignore = "prints digests to be compared between two versions, run by hand"]
fn digests_of_large_fleets() {
    for (seed, machines) in [(7, (300, 900)), (8, (120, 120)), (9, (1200, 1800))] {
        let mut world = World::grown(seed, machines, 50.0, 500);
        world.run(45_000);
        print("grown", seed, &world);
    }
}
