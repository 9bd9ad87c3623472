//! A digest of all outputs of the controllers in a simulation run, in order: frames to other
//! controllers, transactions, commands and answers to workers, and calls to the cloud.
//!
//! The digest hashes the bytes that are sent on the wire. It stays the same when names, files or
//! types of the program change, and differs when the outputs of the controllers change.

use crate::controller::Effect;
use crate::peers::encode_frame;
use crate::protocol;
use crate::worker_control::HeartbeatAnswer;
use serde::Serialize;
use std::hash::{DefaultHasher, Hasher};

/// Hashes the outputs of controllers in the order in which they are added.
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
        let bytes = serde_json::to_vec(value).expect("outputs serialize to JSON");
        self.add(node, kind, &bytes);
    }

    /// Adds an effect of a controller.
    pub(super) fn add_effect(&mut self, node: usize, effect: &Effect) {
        match effect {
            Effect::Txn { txn, .. } => self.add_json(node, 0, txn),
            Effect::CallWorker(call) => {
                self.add_json(node, 1, &(&call.sent.machine, &call.addr));
                let body =
                    protocol::encode_commands(call.sent.token, Some(call.epoch), &call.commands);
                self.add(node, 1, &body);
            }
            Effect::SendToPeer(to, message) => {
                self.add_json(node, 2, to);
                self.add(
                    node,
                    2,
                    &encode_frame(message).expect("peer messages can be encoded"),
                );
            }
            Effect::RentMachines(request) => self.add_json(node, 3, request),
            Effect::DeleteMachines(machines) => self.add_json(node, 4, machines),
            Effect::ListMachines => self.add(node, 5, b""),
            Effect::FetchCatalog => self.add(node, 6, b""),
            Effect::QueryJobOutcome(job) => self.add_json(node, 7, job),
        }
    }

    /// Adds the answer to a worker's heartbeat.
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

    /// Returns the number of outputs so far.
    pub(super) fn outputs(&self) -> u64 {
        self.outputs
    }

    /// Returns the digest of all outputs so far.
    pub(super) fn value(&self) -> u64 {
        self.hasher.finish()
    }
}
