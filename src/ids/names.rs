//! Textual ids, with a separate type for each kind of object.

use super::numbers::ShardId;
use serde::{Deserialize, Serialize, Serializer};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

/// A reference-counted text with a copy of its first bytes next to the pointer, so that most
/// comparisons need not follow the pointer. Lookups of ids in ordered maps take much of a
/// controller's processor time, and comparing short texts through the pointer was nearly all of
/// their cost.
#[derive(Clone, Deserialize)]
#[serde(from = "Rc<str>")]
struct Name {
    /// The first 16 bytes as two big-endian numbers. A shorter text is padded with zeros.
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
                // The texts can differ only in the number of trailing zero bytes.
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

        #[allow(dead_code, reason = "not every kind of id uses this method")]
        impl $name {
            /// Returns the id as a text.
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
    /// The id of a job, chosen by its user.
    JobId,
    /// The name of a team, whose jobs share quotas.
    TeamId,
    /// The name of a class of recurring jobs. The history of the class is used to predict its next
    /// jobs.
    Pipeline,
    /// The id of a machine, chosen by the cloud.
    MachineId,
    /// The name of a machine type of the cloud.
    MachineTypeName,
    /// The name of a zone of the cloud. A zone is a failure domain: its machines may fail together.
    Zone,
    /// The name of a container image.
    Image,
    /// The id of a controller.
    MemberId,
}

impl MachineId {
    /// Returns the shard that the machine belongs to, out of `shard_count` shards. Machines never
    /// move between shards, so the revision in a machine's fencing token rises only with the record
    /// of this shard. The cloud numbers machines consecutively, so the remainder spreads them
    /// evenly.
    pub(crate) fn shard(&self, shard_count: u32) -> ShardId {
        let number = self.number().unwrap_or_else(|| self.text_hash());
        ShardId((number % u64::from(shard_count.max(1))) as u32)
    }

    /// Returns all digits of the id as one number, modulo 2^64, or `None` if it has no digits.
    fn number(&self) -> Option<u64> {
        let digits = self.as_str().bytes().filter(u8::is_ascii_digit);
        let values = digits.map(|digit| u64::from(digit - b'0'));
        values.reduce(|number, value| number.wrapping_mul(10).wrapping_add(value))
    }

    /// Returns a hash of the id that is the same on every controller and in every version, unlike
    /// the standard library's hashes.
    fn text_hash(&self) -> u64 {
        let bytes = self.as_str().bytes().map(u64::from);
        bytes.fold(0, |hash, byte| hash.wrapping_mul(31).wrapping_add(byte))
    }
}
