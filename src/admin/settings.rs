//! Settings that operators change while the controllers run: they are kept in the key-value store,
//! changed through the admin API only, and applied by every controller as its watch cache shows
//! them.

use crate::ids::Millis;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::ops::RangeInclusive;
use thiserror::Error;

/// The settings; those that are not stored have their defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Settings {
    /// Which of a pipeline's samples predicts its next run, from 0 to 1: 0.5 is the median.
    pub percentile: f64,
    /// The most jobs of one pipeline in a new placement group.
    pub group_cap: u32,
    /// Samples of a machine type that a prediction or a step-down needs.
    pub sample_count: u32,
    /// Seconds until a controller's lease expires, and so those of its shards.
    pub lease_s: f64,
    /// Seconds for which a machine may be silent, answering no probe either, before it is given up.
    pub silent_s: f64,
    /// Seconds for which an unused machine is kept.
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

/// A setting's field, and the values that it may have.
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

const RANGES: [SettingRange; 8] = [
    SettingRange::new("percentile", 0.0, 1.0),
    SettingRange::new("group_cap", 1.0, 1000.0),
    SettingRange::new("sample_count", 1.0, 1000.0),
    SettingRange::new("lease_s", 2.0, 300.0),
    SettingRange::new("silent_s", 1.0, 600.0),
    SettingRange::new("idle_s", 1.0, 86_400.0),
    SettingRange::new("array_spare", 0.0, 10.0),
    SettingRange::new("service_spare", 0.0, 10.0),
];

/// Why a change of settings is refused. The texts are shown to operators.
#[derive(Debug, Error)]
pub(crate) enum InvalidChange {
    /// The change is no object.
    #[error("the body must be a JSON object of settings")]
    NotAnObject,
    /// The settings as they are can't be written as JSON.
    #[error("settings can't be read")]
    Unreadable,
    /// There is no such setting.
    #[error("field `{0}` is not a setting")]
    UnknownField(String),
    /// The value is no number.
    #[error("field `{0}` must be a number")]
    NotANumber(String),
    /// The value has a fraction, and the setting is a count.
    #[error("field `{0}` must be a whole number")]
    NotWhole(String),
    /// The value is too small or too large.
    #[error("field `{field}` must be from {least} to {most}")]
    OutOfRange {
        /// The setting's field.
        field: String,
        /// The least value that it may have.
        least: f64,
        /// The largest value that it may have.
        most: f64,
    },
    /// The changed settings can't be read back.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl Settings {
    /// These settings with a change applied. The error of a bad change names its field.
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

    /// Checks one field of a change against its range and its old value.
    fn check(all: &Map<String, Value>, field: &str, value: &Value) -> Result<(), InvalidChange> {
        let range = RANGES.iter().find(|range| range.field == field);
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

    /// The time until a controller's lease expires.
    pub(crate) fn lease_duration(&self) -> Millis {
        Millis::from_secs(self.lease_s)
    }
}

#[cfg(test)]
mod tests;
