//! Compatibility with the version in production: golden samples of every peer frame and every
//! record as that version writes them.
//!
//! During an upgrade both versions serve side by side, each on the other's data. A frame that
//! differs closes the link, and a record that can't be read is ignored, so neither may change.

mod samples;

use crate::peers::encode_frame;
use samples::{messages, records};

/// One line a message: its name and the bytes of its frame in hexadecimal digits.
const FRAMES: &str = include_str!("golden/frames.txt");
/// One line a record: its name and its JSON.
const RECORDS: &str = include_str!("golden/records.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The samples as lines, as they stand in the golden files.
fn lines<T>(samples: Vec<(&str, T)>, encode: impl Fn(&T) -> String) -> String {
    let line = |(name, sample): &(&str, T)| format!("{name} {}\n", encode(sample));
    samples.iter().map(line).collect()
}

#[test]
fn frames_are_byte_for_byte_those_of_the_version_in_production() {
    let encoded = lines(messages(), |m| hex(&encode_frame(m).expect("frame")));
    assert_eq!(encoded, FRAMES);
}

#[test]
fn records_are_written_as_the_version_in_production_writes_them() {
    assert_eq!(lines(records(), ToString::to_string), RECORDS);
}
