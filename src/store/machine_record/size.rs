//! The sizes, in bytes of JSON, of the parts of a machine's stored record.
//!
//! Each part includes a trailing comma, so a sum may be a few bytes too large.

use super::{DoneTasks, MachineRecord, PlacedJob};
use crate::ids::{AttemptNumber, Resources};
use crate::protocol::JobSpec;

/// The size of the keys and punctuation of a record, without its texts, jobs and done tasks.
const RECORD_BASE_BYTES: usize =
    r#"{"addr":,"type_name":,"zone":,"spot":false,"jobs":[],"done":[]}"#.len();
const JOB_BASE_BYTES: usize = r#"{"job":,"team":,"need":,"image":,"tasks":[]},"#.len();
const RESOURCES_BASE_BYTES: usize = r#"{"cpus":,"gpus":,"memory":}"#.len();
const PAIR_BASE_BYTES: usize = "[,],".len();
const DONE_BASE_BYTES: usize = r#"{"job":,"ranges":[]},"#.len();
const QUOTES_BYTES: usize = 2;

/// The maximum size of a placed task whose attempt number has up to sixteen digits. Attempt numbers
/// begin with a revision of the key-value store, so they become longer only after billions of changes.
/// Shard owners use the exact size.
pub(crate) const MAX_TASK_BYTES: usize = PAIR_BASE_BYTES + "99999".len() + "9999999999999999".len();

fn number_size(value: u64) -> usize {
    value.checked_ilog10().unwrap_or(0) as usize + 1
}

fn text_size(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    };
    QUOTES_BYTES + text.bytes().map(escaped).sum::<usize>()
}

fn resources_size(need: Resources) -> usize {
    RESOURCES_BASE_BYTES
        + number_size(need.milli_cpus)
        + number_size(need.milli_gpus)
        + number_size(need.memory_mb)
}

/// Returns the size of a record without placed jobs and done tasks.
pub(crate) fn record_base(record: &MachineRecord) -> usize {
    let texts = [
        record.addr.as_str(),
        record.type_name.as_str(),
        record.zone.as_str(),
    ];
    RECORD_BASE_BYTES + texts.into_iter().map(text_size).sum::<usize>()
}

/// Returns the size of a placed job without its tasks.
pub(crate) fn job(spec: &JobSpec) -> usize {
    let texts = [spec.id.as_str(), spec.team.as_str(), spec.image.as_str()];
    JOB_BASE_BYTES + resources_size(spec.need()) + texts.into_iter().map(text_size).sum::<usize>()
}

/// Returns the size of a placed task.
pub(crate) fn task(index: u32, attempt_number: AttemptNumber) -> usize {
    PAIR_BASE_BYTES + number_size(index.into()) + number_size(attempt_number.0)
}

/// Returns the size of a placed job with its tasks.
pub(crate) fn placed_job(placed: &PlacedJob) -> usize {
    let names = [
        placed.job.as_str(),
        placed.team.as_str(),
        placed.image.as_str(),
    ];
    let names: usize = names.into_iter().map(text_size).sum();
    let tasks = placed.tasks.iter();
    let tasks: usize = tasks
        .map(|(index, attempt_number)| task(*index, *attempt_number))
        .sum();
    JOB_BASE_BYTES + resources_size(placed.need) + names + tasks
}

/// Returns the size of a job's done tasks.
pub(crate) fn done_tasks(done: &DoneTasks) -> usize {
    let range = |(first, last): &(u32, u32)| {
        PAIR_BASE_BYTES + number_size((*first).into()) + number_size((*last).into())
    };
    let ranges: usize = done.ranges.iter().map(range).sum();
    DONE_BASE_BYTES + text_size(done.job.as_str()) + ranges
}
