//! The key-value store's messages.

use crate::ids::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Condition {
    pub key: String,
    #[serde(rename = "amendment")]
    pub revision: Revision,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum Change {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Txn {
    pub(crate) fn require(&mut self, key: impl Into<String>, revision: Revision) {
        let key = key.into();
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, revision });
        }
    }
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
    pub(crate) fn delete(&mut self, key: impl Into<String>) {
        self.changes.push(Change::Delete { key: key.into() });
    }
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct TxnAnswer {
    #[serde(default)]
    pub failed: Vec<String>,
    #[serde(rename = "edition", default)]
    pub revision: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Item {
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "amendment")]
    pub revision: Revision,
    #[serde(rename = "permit", default)]
    pub lease: Option<LeaseId>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    pub items: Vec<Item>,
    #[serde(rename = "has_next")]
    pub more: bool,
    #[serde(rename = "edition")]
    pub revision: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    #[serde(rename = "delete", default)]
    pub delete: Option<String>,
    #[serde(rename = "data", default)]
    pub value: Value,
    #[serde(rename = "amendment")]
    pub revision: Revision,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Events {
    #[serde(rename = "edition")]
    pub revision: Revision,
    pub events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Lease {
    #[serde(rename = "permit")]
    pub id: LeaseId,
}

pub(crate) fn lease_request(life_ms: u64) -> Vec<u8> {
    serde_json::json!({ "life_ms": life_ms })
        .to_string()
        .into_bytes()
}
pub(crate) fn lease_path(lease: LeaseId) -> String {
    format!("{}/{lease}", super::path::LEASES)
}
pub(crate) fn renewal_path(lease: LeaseId) -> String {
    format!("{}/{lease}/extend", super::path::LEASES)
}
pub(crate) fn key_path(key: &str) -> String {
    format!("{}/{key}", super::path::KV)
}
pub(crate) fn page_path(prefix: &str, after: Option<&str>) -> String {
    let tail = after.map_or_else(String::new, |a| format!("&after={a}"));
    format!("{}?prefix={prefix}{tail}&most=1000", super::path::KV)
}
pub(crate) fn watch_path(prefix: &str, after: Revision, wait_ms: u64) -> String {
    format!(
        "{}?prefix={prefix}&after={after}&block_ms={wait_ms}",
        super::path::WATCH
    )
}
