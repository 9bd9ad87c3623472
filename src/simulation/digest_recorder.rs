//! A digest of everything that leaves the controllers on a simulated day, in its order: frames
//! to other controllers, transactions, commands and answers to workers, calls to the cloud.
//!
//! The bytes are hashed as they stand on the wire. A change of names, files or types in the
//! program leaves every digest as it is; one that changes what the program does shows here.

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
            Effect::CallWorker(call) => {
                self.add_json(node, 1, &(&call.machine, &call.addr));
                let body = protocol::encode_commands(call.token, Some(call.epoch), &call.commands);
                self.add(node, 1, &body);
            }
            Effect::SendToPeer(to, message) => {
                self.add_json(node, 2, to);
                self.add(node, 2, &encode_frame(message).expect("frame"));
            }
            Effect::RentMachines(request) => self.add_json(node, 3, request),
            Effect::DeleteMachines(machines) => self.add_json(node, 4, machines),
            Effect::ListMachines => self.add(node, 5, b""),
            Effect::FetchCatalog => self.add(node, 6, b""),
            Effect::QueryJobOutcome(job) => self.add_json(node, 7, job),
        }
    }

    /// The answer to a worker's heartbeat.
    pub(super) fn add_answer(&mut self, node: usize, answer: &HeartbeatAnswer) {
        match answer {
            HeartbeatAnswer::Commands(token, commands) => {
                self.add(node, 8, &protocol::encode_commands(*token, None, commands));
            }
            HeartbeatAnswer::Redirect(owner) => {
                self.add(node, 9, &protocol::encode_redirect(owner.as_ref()));
            }
        }
    }

    /// How many outputs there were so far.
    pub(super) fn outputs(&self) -> u64 {
        self.outputs
    }

    /// The digest so far.
    pub(super) fn value(&self) -> u64 {
        self.hasher.finish()
    }
}
