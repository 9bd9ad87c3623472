//! The key-value store's messages.

use crate::ids::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A comparison on which a transaction depends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Condition {
    /// The key to compare.
    pub key: String,
    /// The revision that the key must have; 0: there must be no such key.
    #[serde(rename = "amendment")]
    pub revision: Revision,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum Change {
    /// Writes a value.
    Put {
        /// The key to write.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Value,
        /// The lease with which the key expires, if any.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key to delete.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A compare-and-swap transaction: all changes are made if all conditions hold, else none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Txn {
    /// What has to hold, at most once for each key.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// What is changed.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Conditions that a transaction may have for each change that one may have.
    pub(crate) const CONDITIONS_PER_CHANGE: usize = 4;

    /// Adds a condition, unless the key has one already.
    pub(crate) fn require(&mut self, key: impl Into<String>, revision: Revision) {
        let key = key.into();
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, revision });
        }
    }

    /// Adds a write, under a lease if one is given.
    pub(crate) fn put(
        &mut self,
        key: impl Into<String>,
        value: &impl Serialize,
        lease: Option<LeaseId>,
    ) {
        self.changes.push(Change::Put {
            key: key.into(),
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease,
        });
    }

    /// Adds a deletion.
    pub(crate) fn delete(&mut self, key: impl Into<String>) {
        self.changes.push(Change::Delete { key: key.into() });
    }
}

/// The store's answer to a transaction.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct TxnResponseBody {
    /// The keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The store's revision then: that of the transaction's changes, if it was committed.
    #[serde(rename = "edition", default)]
    pub revision: Revision,
}

/// A key and its value.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    /// The key.
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "amendment")]
    pub revision: Revision,
    /// The lease with which it expires, if any.
    #[serde(rename = "permit", default)]
    pub lease: Option<LeaseId>,
}

/// A page of the keys under a prefix.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    /// The items of this page, by key.
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    pub has_next: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "edition")]
    pub revision: Revision,
}

/// A change that a watch reports: of a key that was put or of one that was deleted.
#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    /// The key that was written, if one was.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// The key that was deleted, if one was.
    #[serde(rename = "delete", default)]
    pub delete: Option<String>,
    /// The value that was written; null for a deletion.
    #[serde(rename = "data", default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "amendment")]
    pub revision: Revision,
}

/// A watch's answer.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchResponseBody {
    /// The revision up to which these are all changes.
    #[serde(rename = "edition")]
    pub revision: Revision,
    /// The changes in the order of their revisions.
    pub events: Vec<Event>,
}

/// The answer to a new lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseResponseBody {
    /// Its id.
    #[serde(rename = "permit")]
    pub id: LeaseId,
}

/// The body of a request for a lease of so many milliseconds.
pub(crate) fn lease_request(life_ms: u64) -> Vec<u8> {
    serde_json::json!({ "life_ms": life_ms })
        .to_string()
        .into_bytes()
}

/// The path of a lease.
pub(crate) fn lease_path(lease: LeaseId) -> String {
    format!("{}/{lease}", super::path::LEASES)
}

/// The path that renews a lease.
pub(crate) fn renewal_path(lease: LeaseId) -> String {
    format!("{}/{lease}/extend", super::path::LEASES)
}

/// The path of a key.
pub(crate) fn key_path(key: &str) -> String {
    format!("{}/{key}", super::path::KV)
}

/// The most items that the store puts on a page.
pub(crate) const MAX_PAGE_ITEMS: usize = 1000;

/// The path of the page of so many keys under a prefix that follows a key; `None`: the first page.
pub(crate) fn page_path(prefix: &str, after: Option<&str>, max_items: usize) -> String {
    let tail = after.map_or_else(String::new, |a| format!("&after={a}"));
    format!("{}?prefix={prefix}{tail}&most={max_items}", super::path::KV)
}

/// The path of a watch of the changes under a prefix after a revision. The store waits up to
/// `wait_ms` milliseconds for one.
pub(crate) fn watch_path(prefix: &str, after: Revision, wait_ms: u64) -> String {
    format!(
        "{}?prefix={prefix}&after={after}&block_ms={wait_ms}",
        super::path::WATCH
    )
}
