//! Ids, versions, amounts and times: small types of their own, so that none is taken for another.

use serde::{Deserialize, Serialize, Serializer};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::{Add, Sub};
use std::rc::Rc;
use std::time::Duration;

/// A text that is shared and compared without looking at it: its first bytes stand beside it.
/// Finding ids in ordered maps took a third of a controller's processor time, nearly all of it
/// comparing texts of a dozen bytes (Savannah fleet, calm).
#[derive(Clone, Deserialize)]
#[serde(from = "Rc<str>")]
struct Name {
    /// The first bytes in their order, as numbers; a shorter text is filled up with zeros.
    head: [u64; 2],
    text: Rc<str>,
}

const HEAD_BYTES: usize = 16;

impl From<Rc<str>> for Name {
    fn from(text: Rc<str>) -> Self {
        let mut head = [0; HEAD_BYTES];
        let most = text.len().min(HEAD_BYTES);
        head[..most].copy_from_slice(&text.as_bytes()[..most]);
        let head = u128::from_be_bytes(head);
        Self {
            head: [(head >> 64) as u64, head as u64],
            text,
        }
    }
}

impl Ord for Name {
    fn cmp(&self, other: &Self) -> Ordering {
        self.head.cmp(&other.head).then_with(|| {
            let whole = self.text.len() < HEAD_BYTES && other.text.len() < HEAD_BYTES;
            match whole {
                // Equal but for zeros at the end.
                true => self.text.len().cmp(&other.text.len()),
                false => self.text.cmp(&other.text),
            }
        })
    }
}
impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Name {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Name {}
impl Hash for Name {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}
impl Serialize for Name {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub(crate) struct $name(Name);

        #[allow(dead_code, reason = "not every kind of name is taken apart")]
        impl $name {
            pub(crate) fn as_str(&self) -> &str {
                &self.0.text
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Name::from(Rc::from(text)))
            }
        }
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    )*};
}

name_type! {
    JobId,
    TeamId,
    /// A class of jobs that repeats: its history predicts the next one.
    Pipeline,
    MachineId,
    TypeName,
    Zone,
    Image,
    /// A controller.
    Member,
}

macro_rules! number_type {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub(crate) struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

number_type! {
    /// A revision of the key-value store, or of a key's last change there; 0: there is no such key.
    Revision,
    /// Who may command a machine: the revision of its shard's record, and how often that
    /// revision's shard owner has raised it for this machine alone.
    FencingToken,
    /// Tells one start of a task from another. Never used twice.
    AttemptNumber,
    /// A worker's life between two expiries of its lease.
    WorkerEpoch,
    /// Orders the messages of one epoch.
    HeartbeatSequence,
    LeaseId,
    /// A process's life; a restarted controller has another.
    Incarnation,
}

/// Bits of a token that count a shard owner's own rises; the shard's revision stands above them.
const RAISE_BITS: u32 = 20;

impl FencingToken {
    /// The token of a machine under a shard's record. Any later record of the shard outranks all
    /// rises under an earlier one, so they need no record of their own.
    pub(crate) fn of(fence: Revision, raise: u32) -> Self {
        Self((fence.0 << RAISE_BITS) | u64::from(raise))
    }

    pub(crate) fn fence(self) -> Revision {
        Revision(self.0 >> RAISE_BITS)
    }

    /// One more rise under the same record, while it has room for one.
    pub(crate) fn next_raise(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next.fence() == self.fence()).then_some(next)
    }
}

/// A shard of machines that is leased as one. A machine's shard follows from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl MachineId {
    /// Machines never move between shards, so a shard's token rises only when its shard owner
    /// changes. The cloud numbers machines in their order: the remainder deals them out evenly.
    pub(crate) fn shard(&self, shards: u32) -> ShardId {
        let numbered = self.as_str().bytes().any(|b| b.is_ascii_digit());
        let (base, digits) = if numbered { (10, true) } else { (31, false) };
        let bytes = self
            .as_str()
            .bytes()
            .filter(|b| !digits || b.is_ascii_digit());
        let number = bytes.fold(0u64, |n, b| {
            let value = if digits { b - b'0' } else { b };
            n.wrapping_mul(base).wrapping_add(value.into())
        });
        ShardId((number % u64::from(shards.max(1))) as u32)
    }
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.rsplit_once('/')?;
        Some(Self {
            job: job.into(),
            index: index.parse().ok()?,
        })
    }
}

/// One start of one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct TaskAttempt {
    pub task: TaskId,
    pub number: AttemptNumber,
}

impl fmt::Display for TaskAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}

/// A moment of this process's steady clock, in milliseconds since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MonotonicTime(pub u64);

/// A length of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Millis(pub u64);

impl Millis {
    pub(crate) fn from_secs(seconds: f64) -> Self {
        Self((seconds.max(0.0) * 1000.0) as u64)
    }
    pub(crate) fn secs(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    pub(crate) fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl MonotonicTime {
    /// The time since an earlier moment; none if that is later.
    pub(crate) fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Add<Millis> for MonotonicTime {
    type Output = Self;
    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Millis> for MonotonicTime {
    type Output = Self;
    fn sub(self, span: Millis) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

/// The time of day in milliseconds; only as good as the settings' bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct UnixTime(pub u64);

impl UnixTime {
    pub(crate) fn now() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self(since.map_or(0, |d| d.as_millis() as u64))
    }
}

/// What a task takes and a machine has, in thousandths: sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Resources {
    pub cpus: u64,
    pub gpus: u64,
    pub memory: u64,
}

impl Resources {
    /// Needs are rounded up, so that a sum never understates them.
    pub(crate) fn need(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let up = |v: f64| (v.max(0.0) * 1000.0 - 1e-6).ceil().max(0.0) as u64;
        Self {
            cpus: up(cpus),
            gpus: up(gpus),
            memory: up(memory_gb),
        }
    }

    /// Room is rounded down.
    pub(crate) fn room(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let down = |v: f64| (v.max(0.0) * 1000.0 + 1e-6).floor() as u64;
        Self {
            cpus: down(cpus),
            gpus: down(gpus),
            memory: down(memory_gb),
        }
    }

    pub(crate) fn fits(self, room: Self) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    pub(crate) fn times(self, n: u64) -> Self {
        Self {
            cpus: self.cpus.saturating_mul(n),
            gpus: self.gpus.saturating_mul(n),
            memory: self.memory.saturating_mul(n),
        }
    }

    /// How many of these fit into a room.
    pub(crate) fn count_in(self, room: Self) -> u64 {
        let each = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
        each(self.cpus, room.cpus)
            .min(each(self.gpus, room.gpus))
            .min(each(self.memory, room.memory))
    }
}

impl Add for Resources {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self {
            cpus: self.cpus.saturating_add(other.cpus),
            gpus: self.gpus.saturating_add(other.gpus),
            memory: self.memory.saturating_add(other.memory),
        }
    }
}

impl Sub for Resources {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self {
            cpus: self.cpus.saturating_sub(other.cpus),
            gpus: self.gpus.saturating_sub(other.gpus),
            memory: self.memory.saturating_sub(other.memory),
        }
    }
}

#[cfg(test)]
mod tests;
