//! Names: texts that identify things, each kind with a type of its own.

use super::numbers::ShardId;
use serde::{Deserialize, Serialize, Serializer};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// A shared text whose first bytes are kept beside it, so that most comparisons need not follow the
/// pointer. Looking up ids in ordered maps is much of what a controller does, and comparing texts of
/// a dozen bytes was nearly all of its cost (a third of the processor time: Savannah fleet, calm).
#[derive(Clone, Deserialize)]
#[serde(from = "Rc<str>")]
struct Name {
    /// The first bytes as big-endian numbers; a shorter text is padded with zeros.
    head: [u64; 2],
    text: Rc<str>,
}

const HEAD_BYTES: usize = 16;

impl From<Rc<str>> for Name {
    fn from(text: Rc<str>) -> Self {
        let mut head = [0; HEAD_BYTES];
        let length = text.len().min(HEAD_BYTES);
        head[..length].copy_from_slice(&text.as_bytes()[..length]);
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
            let both_in_head = self.text.len() < HEAD_BYTES && other.text.len() < HEAD_BYTES;
            if both_in_head {
                // Equal but for zeros at the end.
                self.text.len().cmp(&other.text.len())
            } else {
                self.text.cmp(&other.text)
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
            /// The name as a text.
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
    /// A job, by the name that its owner gave it.
    JobId,
    /// A team, which shares quotas.
    TeamId,
    /// A class of jobs that repeats: its history predicts the next one.
    Pipeline,
    /// A machine, by the name that the cloud gave it.
    MachineId,
    /// A machine type of the cloud.
    MachineTypeName,
    /// A zone of the cloud: what may fail as one.
    Zone,
    /// A container image.
    Image,
    /// A controller.
    MemberId,
}

impl MachineId {
    /// The shard that the machine belongs to, out of so many. Machines never move between shards, so
    /// a fencing token rises only when the shard's owner changes. The cloud numbers machines
    /// consecutively: the remainder spreads them evenly.
    pub(crate) fn shard(&self, shards: u32) -> ShardId {
        let number = self.number().unwrap_or_else(|| self.text_hash());
        ShardId((number % u64::from(shards.max(1))) as u32)
    }

    /// All digits of the name as one number, modulo 2^64, if it has any.
    fn number(&self) -> Option<u64> {
        let digits = self.as_str().bytes().filter(u8::is_ascii_digit);
        let values = digits.map(|digit| u64::from(digit - b'0'));
        values.reduce(|number, value| number.wrapping_mul(10).wrapping_add(value))
    }

    /// The same on every controller and in every version, unlike the standard library's hashes.
    fn text_hash(&self) -> u64 {
        let bytes = self.as_str().bytes().map(u64::from);
        bytes.fold(0, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte))
    }
}
