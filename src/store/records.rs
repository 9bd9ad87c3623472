//! The records' contents.

pub(crate) use super::machine_record::{DoneTasks, MachineRecord, PlacedJob};

use crate::ids::{Incarnation, JobId, LeaseId, MachineId, Member, Revision, TypeName, UnixTime};
use crate::protocol::{JobSpec, JobState};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderRecord {
    pub member: Member,
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberRecord {
    pub incarnation: Incarnation,
    #[serde(rename = "grant")]
    pub lease: LeaseId,
    /// What the controller's program understands; 0 where it does not say so.
    #[serde(default)]
    pub version: ProgramVersion,
}

impl MemberRecord {
    /// The record of a controller that runs this program.
    pub(crate) fn new(incarnation: Incarnation, lease: LeaseId) -> Self {
        Self {
            incarnation,
            lease,
            version: ProgramVersion::CURRENT,
        }
    }
}

/// What a controller's program understands of records and requests. Bound to its incarnation: a
/// controller that restarts as an earlier program writes its record without it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ProgramVersion(pub u32);

impl ProgramVersion {
    /// The first that knows dependent jobs.
    pub(crate) const DEPENDENCIES: Self = Self(1);
    /// This program's.
    pub(crate) const CURRENT: Self = Self::DEPENDENCIES;
}

/// A lease of a shard; attached to its shard owner's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ShardRecord {
    #[serde(rename = "holder")]
    pub owner: Member,
    pub incarnation: Incarnation,
    /// The leader's term that it was leased in.
    pub term: Revision,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    pub spec: JobSpec,
    pub accepted: UnixTime,
    /// When the last job that this one depends on was done. `None` while it waits, and for jobs
    /// that depend on nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released: Option<UnixTime>,
}

impl JobRecord {
    /// A job as it is accepted.
    pub(crate) fn new(spec: JobSpec, accepted: UnixTime) -> Self {
        Self {
            spec,
            accepted,
            released: None,
        }
    }

    /// Whether jobs that it depends on may not be done yet: none of its tasks may start.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.spec.dependencies.is_empty() && self.released.is_none()
    }
}

/// How a job ended; written once and never changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FinalRecord {
    pub state: JobState,
    pub tasks: u32,
}

/// Plans that were made at about the same time: one change for all of them.
pub(crate) type PlanBatch = BTreeMap<JobId, PlanRecord>;

/// A job's plan, written once at acceptance. Its machines are preferred, not binding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    pub type_name: Option<TypeName>,
    pub machines: Vec<MachineId>,
    pub predicted_s: f64,
    /// The job whose placement group this one shares, among those that it needs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub joins: Option<JobId>,
}

impl PlanRecord {
    /// Machines named in a plan; more would only make its record larger.
    pub(crate) const MACHINES: usize = 12;
}

/// Run times of a pipeline's tasks as parts of the estimates, by machine type, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct HistoryRecord {
    pub types: BTreeMap<TypeName, Vec<f32>>,
}

/// A part of a completion counter: which tasks are done. A task that reports twice counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    pub(crate) fn set(&mut self, bit: u32) {
        let word = (bit / 64) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (bit % 64);
    }

    pub(crate) fn get(&self, bit: u32) -> bool {
        self.words
            .get((bit / 64) as usize)
            .is_some_and(|w| w & (1 << (bit % 64)) != 0)
    }

    pub(crate) fn count(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }

    /// As it is stored in a value of so many bytes: in hexadecimal digits, as all versions read it,
    /// or where these don't fit in base64. `None`: neither fits.
    pub(crate) fn stored(&self, value_bytes: usize) -> Option<Value> {
        let fits = |text: &String| text.len() + QUOTES <= value_bytes;
        let text = Some(self.digits()).filter(fits);
        let text = text.or_else(|| Some(self.base64()).filter(fits));
        text.map(Value::String)
    }

    fn digits(&self) -> String {
        self.words.iter().map(|w| format!("{w:016x}")).collect()
    }

    fn base64(&self) -> String {
        let bytes: Vec<u8> = self.words.iter().flat_map(|w| w.to_be_bytes()).collect();
        format!("{BASE64_MARK}{}", STANDARD_NO_PAD.encode(bytes))
    }

    fn from_digits(text: &str) -> Option<Vec<u64>> {
        let chunks = text.as_bytes().chunks(16);
        let word = |chunk| u64::from_str_radix(std::str::from_utf8(chunk).ok()?, 16).ok();
        chunks.map(word).collect()
    }

    fn from_base64(text: &str) -> Option<Vec<u64>> {
        let bytes = STANDARD_NO_PAD.decode(text).ok()?;
        let (words, rest) = bytes.as_chunks::<8>();
        let words = words.iter().map(|word| u64::from_be_bytes(*word));
        rest.is_empty().then(|| words.collect())
    }
}

/// Stands before a bitmap in base64; no hexadecimal digit.
const BASE64_MARK: &str = "=";
/// Around a stored text.
const QUOTES: usize = 2;

impl Serialize for Bitmap {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.digits())
    }
}

impl<'de> Deserialize<'de> for Bitmap {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let words = match text.strip_prefix(BASE64_MARK) {
            Some(rest) => Self::from_base64(rest),
            None => Self::from_digits(&text),
        };
        let words = words.ok_or_else(|| serde::de::Error::custom("not a bitmap"))?;
        Ok(Self { words })
    }
}

#[cfg(test)]
mod tests;
