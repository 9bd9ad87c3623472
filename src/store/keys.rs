//! The keys of the stored records. Every controller caches all records under `live/`.

use crate::ids::{JobId, MachineId, MemberId, Pipeline, ShardId};

/// The prefix of the keys of all cached records.
pub(crate) const LIVE_PREFIX: &str = "live/";
/// The key of the leader's record.
pub(crate) const LEADER: &str = "live/cluster/leader";
/// The key of the cloud's machine types and zones.
pub(crate) const CATALOG: &str = "live/catalog";
/// The key of the administrators' settings.
pub(crate) const SETTINGS: &str = "live/settings";

/// The prefix of the keys of all final states.
pub(crate) const FINAL_STATE_PREFIX: &str = "over/";

/// The character that follows all digits in the sort order of keys.
const DIGIT_SUCCESSOR: char = ':';
const MEMBER_PREFIX: &str = "live/cluster/member/";
const SHARD_PREFIX: &str = "live/cluster/block/";
const JOB_PREFIX: &str = "live/job/";
const PLANS_PREFIX: &str = "live/plans/";
const MACHINE_PREFIX: &str = "live/machine/";
const HISTORY_PREFIX: &str = "live/history/";

/// Returns the key of a controller's record.
pub(crate) fn member(member: &MemberId) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// Returns the key of a shard's record.
pub(crate) fn shard(shard: ShardId) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// Returns the key of a job's record. It exists until the job ends.
pub(crate) fn job(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Returns the key of a segment of a job's completion counter.
pub(crate) fn segment(job: &JobId, segment: u32) -> String {
    format!("{JOB_PREFIX}{job}/{segment}")
}

/// Returns the key of a batch of plans.
pub(crate) fn plans(batch: &str) -> String {
    format!("{PLANS_PREFIX}{batch}")
}

/// Returns the key of a machine's record.
pub(crate) fn machine(machine: &MachineId) -> String {
    format!("{MACHINE_PREFIX}{machine}")
}

/// Returns the machine whose record has this key, or `None` for keys of other records.
pub(crate) fn machine_from_key(key: &str) -> Option<MachineId> {
    key.strip_prefix(MACHINE_PREFIX).map(MachineId::from)
}

/// Returns the key of a pipeline's run time history.
pub(crate) fn history(pipeline: &Pipeline) -> String {
    format!("{HISTORY_PREFIX}{pipeline}")
}

/// Returns the key of a job's final state, which is kept permanently.
pub(crate) fn final_state(job: &JobId) -> String {
    format!("{FINAL_STATE_PREFIX}{job}")
}

/// Returns the job whose final state has this key, or `None` for keys of other records.
pub(crate) fn job_from_final_state_key(key: &str) -> Option<JobId> {
    key.strip_prefix(FINAL_STATE_PREFIX).map(JobId::from)
}

/// Returns a text that sorts before the key of the job's final state, with no other final state's key
/// between them, so that a page that starts behind it begins with this job. Job ids end with a digit. In
/// the text, the character before this digit replaces it, and [`DIGIT_SUCCESSOR`] is appended.
pub(crate) fn final_state_predecessor(job: &JobId) -> String {
    let mut key = final_state(job);
    if let Some(last) = key.pop() {
        let previous = char::from_u32(u32::from(last).saturating_sub(1));
        key.extend(previous);
    }
    key.push(DIGIT_SUCCESSOR);
    key
}

/// Identifies one segment of a job's completion counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SegmentKey {
    /// The job that the counter belongs to.
    pub job: JobId,
    /// The segment's number, from 0.
    pub segment: u32,
}

/// The parsed key of a cached record.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum LiveKey {
    Leader,
    Member(MemberId),
    Shard(ShardId),
    Catalog,
    Settings,
    History(Pipeline),
    Job(JobId),
    /// A segment of a job's completion counter.
    Segment(SegmentKey),
    /// A batch of plans, by its name.
    Plans(String),
    Machine(MachineId),
}

impl LiveKey {
    /// Parses a key. Returns `None` if the record is not cached, or if the key has an unknown form, because
    /// another version of this program wrote it.
    pub(super) fn parse(key: &str) -> Option<Self> {
        match key {
            LEADER => return Some(Self::Leader),
            CATALOG => return Some(Self::Catalog),
            SETTINGS => return Some(Self::Settings),
            _ => {}
        }
        if let Some(rest) = key.strip_prefix(JOB_PREFIX) {
            return match rest.split_once('/') {
                None => Some(Self::Job(rest.into())),
                Some((job, segment)) => Some(Self::Segment(SegmentKey {
                    job: job.into(),
                    segment: segment.parse().ok()?,
                })),
            };
        }
        let strip = |prefix| key.strip_prefix(prefix);
        strip(MACHINE_PREFIX)
            .map(|m| Self::Machine(m.into()))
            .or_else(|| strip(PLANS_PREFIX).map(|b| Self::Plans(b.to_owned())))
            .or_else(|| strip(HISTORY_PREFIX).map(|p| Self::History(p.into())))
            .or_else(|| strip(MEMBER_PREFIX).map(|m| Self::Member(m.into())))
            .or_else(|| {
                strip(SHARD_PREFIX)?
                    .parse()
                    .ok()
                    .map(|n| Self::Shard(ShardId(n)))
            })
    }
}

#[cfg(test)]
mod tests;
