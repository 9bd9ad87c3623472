//! The operators' own settings: kept in the key-value store, changed through the API only, and
//! taken up by every controller as the watch cache brings them.

use crate::ids::Millis;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Settings {
    /// Which of a pipeline's samples predicts its next run: 0.5 is the median.
    pub percentile: f64,
    /// Most jobs of one pipeline in a new placement group.
    pub group_cap: u32,
    /// Samples of a machine type that a prediction or a step-down needs.
    pub sample_count: u32,
    /// Life of a controller's lease, and so of its shards' leases.
    pub lease_s: f64,
    /// How long a machine may be silent, answering no probe either, before it is given up.
    pub silent_s: f64,
    /// How long an unused machine is kept.
    pub idle_s: f64,
    /// CPUs, as a part of what arrays need, kept for the next ones.
    pub array_spare: f64,
    /// CPUs, as a part of what services use, kept free for their next starts.
    pub service_spare: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            percentile: 0.5,
            group_cap: 4,
            sample_count: 3,
            lease_s: 3.0,
            silent_s: 6.0,
            idle_s: 25.0,
            array_spare: 0.15,
            service_spare: 0.15,
        }
    }
}

const RANGES: [(&str, f64, f64); 8] = [
    ("percentile", 0.0, 1.0),
    ("group_cap", 1.0, 1000.0),
    ("sample_count", 1.0, 1000.0),
    ("lease_s", 2.0, 300.0),
    ("silent_s", 1.0, 600.0),
    ("idle_s", 1.0, 86_400.0),
    ("array_spare", 0.0, 10.0),
    ("service_spare", 0.0, 10.0),
];

impl Settings {
    /// Applies a change. A bad one names its field and changes nothing.
    pub(crate) fn change(&self, change: &Value) -> Result<Self, String> {
        let Value::Object(change) = change else {
            return Err("the body must be a JSON object of settings".into());
        };
        let Ok(Value::Object(mut all)) = serde_json::to_value(self) else {
            return Err("settings can't be read".into());
        };
        for (field, value) in change {
            Self::check(&all, field, value)?;
            all.insert(field.clone(), value.clone());
        }
        serde_json::from_value(Value::Object(all)).map_err(|e| e.to_string())
    }

    fn check(all: &Map<String, Value>, field: &str, value: &Value) -> Result<(), String> {
        let range = RANGES.iter().find(|(name, _, _)| *name == field);
        let (Some((_, least, most)), Some(old)) = (range, all.get(field)) else {
            return Err(format!("field `{field}` is not a setting"));
        };
        let Some(number) = value.as_f64() else {
            return Err(format!("field `{field}` must be a number"));
        };
        if old.is_u64() && !value.is_u64() {
            return Err(format!("field `{field}` must be a whole number"));
        }
        if !(*least..=*most).contains(&number) {
            return Err(format!("field `{field}` must be from {least} to {most}"));
        }
        Ok(())
    }

    pub(crate) fn lease(&self) -> Millis {
        Millis::from_secs(self.lease_s)
    }
}

#[cfg(test)]
mod tests;
