//! The keys of the records. Everything under `live/` is cached by every controller.

use crate::ids::{JobId, MachineId, MemberId, Pipeline, ShardId};

/// The prefix of all records that are cached.
pub(crate) const LIVE_PREFIX: &str = "live/";
/// The leader's record.
pub(crate) const LEADER: &str = "live/cluster/leader";
/// The cloud's machine types and zones.
pub(crate) const CATALOG: &str = "live/catalog";
/// The administrators' settings.
pub(crate) const SETTINGS: &str = "live/settings";

/// The prefix of all final states.
pub(crate) const FINAL_STATE_PREFIX: &str = "over/";

/// A mark that follows all digits in the order of keys.
const DIGIT_SUCCESSOR: char = ':';
const MEMBER_PREFIX: &str = "live/cluster/member/";
const SHARD_PREFIX: &str = "live/cluster/block/";
const JOB_PREFIX: &str = "live/job/";
const PLANS_PREFIX: &str = "live/plans/";
const MACHINE_PREFIX: &str = "live/machine/";
const HISTORY_PREFIX: &str = "live/history/";

/// A controller's record.
pub(crate) fn member(member: &MemberId) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// A shard's record.
pub(crate) fn shard(shard: ShardId) -> String {
    format!("{SHARD_PREFIX}{shard}")
}

/// A live job's record.
pub(crate) fn job(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// A segment of a job's completion counter.
pub(crate) fn segment(job: &JobId, segment: u32) -> String {
    format!("{JOB_PREFIX}{job}/{segment}")
}

/// A batch of plans.
pub(crate) fn plans(batch: &str) -> String {
    format!("{PLANS_PREFIX}{batch}")
}

/// A machine's record.
pub(crate) fn machine(machine: &MachineId) -> String {
    format!("{MACHINE_PREFIX}{machine}")
}

/// The machine whose record a key names.
pub(crate) fn machine_from_key(key: &str) -> Option<MachineId> {
    key.strip_prefix(MACHINE_PREFIX).map(MachineId::from)
}

/// The run times of a pipeline.
pub(crate) fn history(pipeline: &Pipeline) -> String {
    format!("{HISTORY_PREFIX}{pipeline}")
}

/// Where a finished or cancelled job's final state is kept for good.
pub(crate) fn final_state(job: &JobId) -> String {
    format!("{FINAL_STATE_PREFIX}{job}")
}

/// The job whose final state a key names.
pub(crate) fn job_from_final_state_key(key: &str) -> Option<JobId> {
    key.strip_prefix(FINAL_STATE_PREFIX).map(JobId::from)
}

/// A text after which no key of a final state comes before that of the job: ids end with a digit, and
/// the mark follows all digits.
pub(crate) fn final_state_predecessor(job: &JobId) -> String {
    let mut key = final_state(job);
    if let Some(last) = key.pop() {
        let previous = char::from_u32(u32::from(last).saturating_sub(1));
        key.extend(previous);
    }
    key.push(DIGIT_SUCCESSOR);
    key
}

/// Names one segment of a job's completion counter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SegmentKey {
    /// The job.
    pub job: JobId,
    /// The segment's number, from 0.
    pub segment: u32,
}

/// A key of a cached record, taken apart.
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
    /// Takes a key apart; none for one that is not cached, or that another version wrote.
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
        let named = |prefix| key.strip_prefix(prefix);
        named(MACHINE_PREFIX)
            .map(|m| Self::Machine(m.into()))
            .or_else(|| named(PLANS_PREFIX).map(|b| Self::Plans(b.to_owned())))
            .or_else(|| named(HISTORY_PREFIX).map(|p| Self::History(p.into())))
            .or_else(|| named(MEMBER_PREFIX).map(|m| Self::Member(m.into())))
            .or_else(|| {
                named(SHARD_PREFIX)?
                    .parse()
                    .ok()
                    .map(|n| Self::Shard(ShardId(n)))
            })
    }
}

#[cfg(test)]
mod tests;
