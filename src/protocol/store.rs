//! Messages of the key-value store's API.

use crate::ids::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a transaction: a key's revision is compared with an expected one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Condition {
    /// The key to compare.
    pub key: String,
    /// The revision that the key must have; 0 if the key must not exist.
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
        /// The new value of the key.
        #[serde(rename = "data")]
        value: Value,
        /// The lease to which the key is attached, if any. The key is deleted when the lease
        /// expires.
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

/// A compare-and-swap transaction: either all conditions hold and all changes are made, or none is
/// made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Txn {
    /// The conditions. Several on one key require different revisions of it, so that one of them fails.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The changes that are made if all conditions hold.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Txn {
    /// Ratio of the maximum number of conditions in a transaction to the maximum number of changes.
    pub(crate) const CONDITIONS_PER_CHANGE: usize = 4;

    /// Adds a condition on a key's revision, unless the transaction already has the same condition. A
    /// condition on the same key with another revision is kept as well: the transaction then fails
    /// instead of being committed on the ground of only one of them.
    pub(crate) fn require(&mut self, key: impl Into<String>, revision: Revision) {
        let condition = Condition {
            key: key.into(),
            revision,
        };
        if !self.conditions.contains(&condition) {
            self.conditions.push(condition);
        }
    }

    /// Adds a write of a key, attached to a lease if one is given.
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

    /// Adds the deletion of a key.
    pub(crate) fn delete(&mut self, key: impl Into<String>) {
        self.changes.push(Change::Delete { key: key.into() });
    }
}

/// The store's response to a transaction.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct TxnResponseBody {
    /// The keys whose conditions did not hold.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The store's revision after the transaction. If the transaction was committed, its changes
    /// have this revision.
    #[serde(rename = "edition", default)]
    pub revision: Revision,
}

/// A key and its value.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    /// The key.
    pub key: String,
    /// The key's value.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of the key's last change.
    #[serde(rename = "amendment")]
    pub revision: Revision,
    /// The lease to which the key is attached, if any.
    #[serde(rename = "permit", default)]
    pub lease: Option<LeaseId>,
}

/// A page of the keys under a prefix, with their values.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    /// The keys and values of this page, ordered by key.
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    pub has_next: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "edition")]
    pub revision: Revision,
}

/// A change that a watch reports: either a write or a deletion of a key.
#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    /// The written key; `None` for a deletion.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// The deleted key; `None` for a write.
    #[serde(rename = "delete", default)]
    pub delete: Option<String>,
    /// The written value; null for a deletion.
    #[serde(rename = "data", default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "amendment")]
    pub revision: Revision,
}

/// The response to a watch request.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchResponseBody {
    /// The revision up to which the response contains all changes.
    #[serde(rename = "edition")]
    pub revision: Revision,
    /// The changes, ordered by revision.
    pub events: Vec<Event>,
}

/// The response to a request for a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseResponseBody {
    /// The id of the new lease.
    #[serde(rename = "permit")]
    pub id: LeaseId,
}

/// Returns the body of a request for a lease that expires after `ttl_ms` milliseconds unless it is
/// renewed.
pub(crate) fn lease_request(ttl_ms: u64) -> Vec<u8> {
    serde_json::json!({ "life_ms": ttl_ms })
        .to_string()
        .into_bytes()
}

/// Returns the path of a lease.
pub(crate) fn lease_path(lease: LeaseId) -> String {
    format!("{}/{lease}", super::path::LEASES)
}

/// Returns the path of requests that renew a lease.
pub(crate) fn renewal_path(lease: LeaseId) -> String {
    format!("{}/{lease}/extend", super::path::LEASES)
}

/// Returns the path of a key.
pub(crate) fn key_path(key: &str) -> String {
    format!("{}/{key}", super::path::KV)
}

/// Maximum number of items that the store puts on one page.
pub(crate) const MAX_PAGE_ITEMS: usize = 1000;

/// Returns the path of a page of at most `max_items` keys under a prefix. The page starts after the
/// key `after`, or at the first key if `after` is `None`.
pub(crate) fn page_path(prefix: &str, after: Option<&str>, max_items: usize) -> String {
    let tail = after.map_or_else(String::new, |a| format!("&after={a}"));
    format!("{}?prefix={prefix}{tail}&most={max_items}", super::path::KV)
}

/// Returns the path of a watch for changes under a prefix that are later than the revision `after`.
/// If there are none, the store waits up to `wait_ms` milliseconds for one.
pub(crate) fn watch_path(prefix: &str, after: Revision, wait_ms: u64) -> String {
    format!(
        "{}?prefix={prefix}&after={after}&block_ms={wait_ms}",
        super::path::WATCH
    )
}
