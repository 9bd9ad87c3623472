//! Parsing of a submitted job's dependencies: the jobs that must be done before its tasks start.

use super::is_valid_job_id;
use crate::ids::JobId;
use serde::{Deserialize, Deserializer, de::Error};
use serde_json::Value;
use std::collections::BTreeSet;

/// The protocol's name for the field `JobSpec::dependencies`, for error texts.
pub(super) const FIELD: &str = "awaits";

/// Deserializes the list of job ids. Duplicates are removed, and null is the same as an empty list.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<JobId>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    parse_ids(&value)
        .ok_or_else(|| D::Error::custom(format!("field `{FIELD}` must be a list of job ids")))
}

fn parse_ids(value: &Value) -> Option<Vec<JobId>> {
    if value.is_null() {
        return Some(Vec::new());
    }
    let mut seen = BTreeSet::new();
    let mut ids = Vec::new();
    for entry in value.as_array()? {
        let text = entry.as_str().filter(|text| is_valid_job_id(text))?;
        let id = JobId::from(text);
        if seen.insert(id.clone()) {
            ids.push(id);
        }
    }
    Some(ids)
}
