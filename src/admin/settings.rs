//! Settings that operators can change while the controllers run. They are stored in the key-value store and
//! changed only through the admin API. Each controller applies them when its watch cache receives them.

use crate::ids::Millis;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::ops::RangeInclusive;
use thiserror::Error;

/// The settings. A field that is missing in the stored settings has its default value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Settings {
    /// The percentile of a pipeline's run-time samples that predicts its next run, from 0 to 1. 0.5 is the
    /// median.
    pub percentile: f64,
    /// The largest number of jobs of one pipeline in a new placement group.
    pub group_cap: u32,
    /// The number of run-time samples that a prediction requires. A placement group is moved to a weaker
    /// machine type only if there are this many samples of that type.
    pub sample_count: u32,
    /// The time in seconds after which a controller's lease, and with it the ownership of its shards,
    /// expires.
    pub lease_s: f64,
    /// The time in seconds without a heartbeat or a response to a probe after which a machine is
    /// decommissioned.
    pub silent_s: f64,
    /// The time in seconds for which an unused machine is kept.
    pub idle_s: f64,
    /// The spare CPU capacity for new arrays, as a fraction of the capacity that arrays need.
    pub array_spare: f64,
    /// The spare CPU capacity for new service replicas, as a fraction of the capacity that services need.
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

/// The range of values that a setting may have.
struct SettingRange {
    field: &'static str,
    least: f64,
    most: f64,
}

impl SettingRange {
    const fn new(field: &'static str, least: f64, most: f64) -> Self {
        Self { field, least, most }
    }

    fn values(&self) -> RangeInclusive<f64> {
        self.least..=self.most
    }
}

const SETTING_RANGES: [SettingRange; 8] = [
    SettingRange::new("percentile", 0.0, 1.0),
    SettingRange::new("group_cap", 1.0, 1000.0),
    SettingRange::new("sample_count", 1.0, 1000.0),
    SettingRange::new("lease_s", 2.0, 300.0),
    SettingRange::new("silent_s", 1.0, 600.0),
    SettingRange::new("idle_s", 1.0, 86_400.0),
    SettingRange::new("array_spare", 0.0, 10.0),
    SettingRange::new("service_spare", 0.0, 10.0),
];

/// The reason why a change of settings is refused. Its text is shown to operators.
#[derive(Debug, Error)]
pub(crate) enum InvalidChange {
    /// The change is not a JSON object.
    #[error("the body must be a JSON object of settings")]
    NotAnObject,
    /// The current settings cannot be serialized as a JSON object.
    #[error("settings can't be read")]
    Unreadable,
    /// No setting has this name.
    #[error("field `{0}` is not a setting")]
    UnknownField(String),
    /// The value is not a number.
    #[error("field `{0}` must be a number")]
    NotANumber(String),
    /// The value is not a non-negative integer, but the setting is a count.
    #[error("field `{0}` must be a whole number")]
    NotWhole(String),
    /// The value is too small or too large.
    #[error("field `{field}` must be from {least} to {most}")]
    OutOfRange {
        /// The name of the setting.
        field: String,
        /// The smallest valid value.
        least: f64,
        /// The largest valid value.
        most: f64,
    },
    /// The changed settings cannot be deserialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Settings {
    /// Returns these settings with a change applied. The error for an invalid value names its field.
    pub(crate) fn with_changes(&self, change: &Value) -> Result<Self, InvalidChange> {
        let Value::Object(change) = change else {
            return Err(InvalidChange::NotAnObject);
        };
        let Ok(Value::Object(mut all)) = serde_json::to_value(self) else {
            return Err(InvalidChange::Unreadable);
        };
        for (field, value) in change {
            Self::check(&all, field, value)?;
            all.insert(field.clone(), value.clone());
        }
        Ok(serde_json::from_value(Value::Object(all))?)
    }

    /// Checks one field of a change against its range and against the number type of its old value.
    fn check(all: &Map<String, Value>, field: &str, value: &Value) -> Result<(), InvalidChange> {
        let range = SETTING_RANGES.iter().find(|range| range.field == field);
        let (Some(range), Some(old)) = (range, all.get(field)) else {
            return Err(InvalidChange::UnknownField(field.to_owned()));
        };
        let Some(number) = value.as_f64() else {
            return Err(InvalidChange::NotANumber(field.to_owned()));
        };
        if old.is_u64() && !value.is_u64() {
            return Err(InvalidChange::NotWhole(field.to_owned()));
        }
        if !range.values().contains(&number) {
            return Err(InvalidChange::OutOfRange {
                field: field.to_owned(),
                least: range.least,
                most: range.most,
            });
        }
        Ok(())
    }

    /// Returns the duration of a controller's lease.
    pub(crate) fn lease_duration(&self) -> Millis {
        Millis::from_secs(self.lease_s)
    }
}

#[cfg(test)]
mod tests;
