//! Segments of completion counters, represented as bitmaps.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The prefix of a bitmap in base64. It is not a hexadecimal digit, so the two formats are distinct.
const BASE64_PREFIX: &str = "=";
/// The size of the quotes around a JSON string.
const QUOTES_BYTES: usize = 2;

/// A segment of a completion counter, with one bit for each of its tasks that is done. A task that is
/// reported twice counts once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    /// Marks a task of this segment as done.
    pub(crate) fn set(&mut self, bit: u32) {
        let word = (bit / 64) as usize;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (bit % 64);
    }

    /// Returns whether a task of this segment is done.
    pub(crate) fn get(&self, bit: u32) -> bool {
        self.words
            .get((bit / 64) as usize)
            .is_some_and(|w| w & (1 << (bit % 64)) != 0)
    }

    /// Returns the number of done tasks.
    pub(crate) fn count(&self) -> u32 {
        self.words.iter().map(|w| w.count_ones()).sum()
    }

    /// Returns the stored form for a value of at most `value_bytes` bytes: hexadecimal digits, which all
    /// versions can read, or base64 if these do not fit. Returns `None` if neither fits.
    pub(crate) fn encode(&self, value_bytes: usize) -> Option<Value> {
        let fits = |text: &String| text.len() + QUOTES_BYTES <= value_bytes;
        let text = Some(self.to_hex()).filter(fits);
        let text = text.or_else(|| Some(self.to_base64()).filter(fits));
        text.map(Value::String)
    }

    fn to_hex(&self) -> String {
        self.words.iter().map(|w| format!("{w:016x}")).collect()
    }

    fn to_base64(&self) -> String {
        let bytes: Vec<u8> = self.words.iter().flat_map(|w| w.to_be_bytes()).collect();
        format!("{BASE64_PREFIX}{}", STANDARD_NO_PAD.encode(bytes))
    }

    fn from_hex(text: &str) -> Option<Vec<u64>> {
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

impl Serialize for Bitmap {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.to_hex())
    }
}

impl<'de> Deserialize<'de> for Bitmap {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let words = match text.strip_prefix(BASE64_PREFIX) {
            Some(rest) => Self::from_base64(rest),
            None => Self::from_hex(&text),
        };
        let words = words.ok_or_else(|| {
            serde::de::Error::custom("bitmap is neither hexadecimal nor valid base64")
        })?;
        Ok(Self { words })
    }
}

#[cfg(test)]
mod tests;
