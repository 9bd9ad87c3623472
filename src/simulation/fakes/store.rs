//! A small consistent in-memory key-value store with leases, transactions and a log of changes.

use crate::config::Config;
use crate::ids::{LeaseId, MonotonicTime, Revision};
use crate::protocol::store::{Change, Event, KeyValue, Txn};
use crate::store::watch_cache::WatchCache;
use crate::store::{Refusal, TxnOutcome};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;

/// The value of a key.
struct StoredValue {
    value: Value,
    /// The revision of the change that wrote the value.
    revision: Revision,
    /// The lease whose end deletes the key.
    lease: Option<LeaseId>,
}

/// One change of a key.
struct LogEntry {
    revision: Revision,
    key: String,
    /// The new value; `None` if the key was deleted.
    value: Option<Value>,
}

/// The limits that the store enforces.
#[derive(Clone, Copy)]
pub(in crate::simulation) struct FakeStoreLimits {
    /// The maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// The maximum number of changes in a transaction.
    pub changes: usize,
}

/// The state of the key-value store.
#[derive(Default)]
pub(in crate::simulation) struct FakeStore {
    /// The revision of the last change.
    pub revision: Revision,
    keys: BTreeMap<String, StoredValue>,
    /// When each lease expires.
    pub leases: BTreeMap<LeaseId, MonotonicTime>,
    log: Vec<LogEntry>,
    /// Whether conditions on the fences of shards and machines are treated as met.
    pub ignore_fences: bool,
    /// The enforced limits; `None` until the simulation lowers them.
    pub limits: Option<FakeStoreLimits>,
    /// The number of transactions refused for their size.
    pub oversized_txns: u64,
}

fn read_by(value: Value, earlier_version: bool) -> Value {
    match earlier_version {
        true => as_earlier_version(value),
        false => value,
    }
}

/// Removes from a record the fields that the earlier version of the program does not know.
fn as_earlier_version(mut value: Value) -> Value {
    if let Some(record) = value.as_object_mut() {
        for field in ["released", "version"] {
            record.remove(field);
        }
        if let Some(spec) = record.get_mut("spec").and_then(Value::as_object_mut) {
            spec.remove("awaits");
        }
        for plan in record.values_mut().filter_map(Value::as_object_mut) {
            plan.remove("joins");
        }
    }
    value
}

impl FakeStore {
    /// Returns whether a key has a value.
    pub(in crate::simulation) fn contains(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// Returns the revision of the change that wrote a key's value.
    pub(in crate::simulation) fn revision_of(&self, key: &str) -> Option<Revision> {
        self.keys.get(key).map(|stored| stored.revision)
    }

    /// Returns the record stored under a key.
    pub(in crate::simulation) fn read<T: DeserializeOwned>(&self, key: &str) -> Option<T> {
        let stored = self.keys.get(key)?;
        Some(serde_json::from_value(stored.value.clone()).expect("stored value is a valid record"))
    }

    /// Returns whether the change at revision `at` recreated a key that had been deleted.
    pub(in crate::simulation) fn was_recreated_at(&self, key: &str, at: Revision) -> bool {
        let changes = self.log.iter().filter(|entry| entry.key == key);
        let before = changes.rev().nth(1);
        self.revision_of(key) == Some(at) && before.is_some_and(|entry| entry.value.is_none())
    }

    /// Creates a lease that expires at `until`.
    pub(in crate::simulation) fn create_lease(&mut self, until: MonotonicTime) -> LeaseId {
        self.revision.0 += 1;
        let lease = LeaseId(self.revision.0);
        self.leases.insert(lease, until);
        lease
    }

    /// Revokes a lease and deletes the keys attached to it.
    pub(in crate::simulation) fn revoke_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let owned_keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.lease == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !owned_keys.is_empty() {
            self.revision.0 += 1;
        }
        for key in owned_keys {
            self.keys.remove(&key);
            self.append_log(key, None);
        }
    }

    /// Revokes the leases that have expired.
    pub(in crate::simulation) fn expire(&mut self, now: MonotonicTime) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    /// Executes a transaction atomically.
    pub(in crate::simulation) fn txn(&mut self, txn: &Txn) -> TxnOutcome {
        let failed = self.failed_conditions(txn);
        if !failed.is_empty() {
            return TxnOutcome::Failed(failed, self.revision);
        }
        if self.is_too_large(txn) {
            self.oversized_txns += 1;
            return TxnOutcome::Invalid;
        }
        let lease_ended = |change: &Change| matches!(change, Change::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease));
        if txn.changes.iter().any(lease_ended) {
            return TxnOutcome::Refused(Refusal::StoreUnavailable);
        }
        if !txn.changes.is_empty() {
            self.revision.0 += 1;
        }
        for change in &txn.changes {
            self.apply(change);
        }
        TxnOutcome::Committed(self.revision)
    }

    /// Returns the keys whose revision differs from the one that the transaction requires.
    fn failed_conditions(&self, txn: &Txn) -> Vec<String> {
        let mut failed = Vec::new();
        for condition in &txn.conditions {
            let revision = self.revision_of(&condition.key).unwrap_or_default();
            let fence = condition.key.contains("/block/") || condition.key.contains("/machine/");
            if revision != condition.revision && !(self.ignore_fences && fence) {
                failed.push(condition.key.clone());
            }
        }
        failed
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put { key, value, lease } => {
                let stored = StoredValue {
                    value: value.clone(),
                    revision: self.revision,
                    lease: *lease,
                };
                self.keys.insert(key.clone(), stored);
                self.append_log(key.clone(), Some(value.clone()));
            }
            Change::Delete { key } => {
                if self.keys.remove(key).is_some() {
                    self.append_log(key.clone(), None);
                }
            }
        }
    }

    fn append_log(&mut self, key: String, value: Option<Value>) {
        let revision = self.revision;
        self.log.push(LogEntry {
            revision,
            key,
            value,
        });
    }

    fn is_too_large(&self, txn: &Txn) -> bool {
        let Some(limits) = self.limits else {
            return false;
        };
        let size = |change: &Change| match change {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        };
        let large = |change: &Change| size(change) > limits.value_bytes;
        txn.changes.len() > limits.changes
            || txn.conditions.len() > 4 * limits.changes
            || txn.changes.iter().any(large)
    }

    /// Returns the changes after a revision to keys that start with `live/`, which are the only keys
    /// that controllers watch.
    ///
    /// With `earlier_version`, records lack the fields that a controller of the earlier version
    /// does not know.
    pub(in crate::simulation) fn events(
        &self,
        after: Revision,
        earlier_version: bool,
    ) -> Vec<Event> {
        let from = self.log.partition_point(|entry| entry.revision <= after);
        let watched = self.log[from..]
            .iter()
            .filter(|entry| entry.key.starts_with("live/"));
        watched
            .map(|entry| Event {
                put: entry.value.is_some().then(|| entry.key.clone()),
                delete: entry.value.is_none().then(|| entry.key.clone()),
                value: read_by(entry.value.clone().unwrap_or_default(), earlier_version),
                revision: entry.revision,
            })
            .collect()
    }

    /// Returns a watch cache with all records, as a controller loads them when it starts.
    pub(in crate::simulation) fn snapshot(
        &self,
        config: &Config,
        earlier_version: bool,
    ) -> WatchCache {
        let mut cache = WatchCache::new(config);
        for (key, stored) in &self.keys {
            cache.load(KeyValue {
                key: key.clone(),
                value: read_by(stored.value.clone(), earlier_version),
                revision: stored.revision,
                lease: stored.lease,
            });
        }
        cache.revision = self.revision;
        cache
    }
}
