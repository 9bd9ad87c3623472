//! The keys under which records stand. Everything under `live/` is cached by every controller.

use crate::ids::{JobId, MachineId, Member, Pipeline, ShardId};

pub(crate) const LIVE: &str = "live/";
pub(crate) const LEADER: &str = "live/cluster/leader";
pub(crate) const CATALOG: &str = "live/catalog";
pub(crate) const SETTINGS: &str = "live/settings";

const MEMBER: &str = "live/cluster/member/";
const SHARD: &str = "live/cluster/block/";
const JOB: &str = "live/job/";
const PLANS: &str = "live/plans/";
const MACHINE: &str = "live/machine/";
const HISTORY: &str = "live/history/";

pub(crate) fn member(member: &Member) -> String {
    format!("{MEMBER}{member}")
}
pub(crate) fn shard(shard: ShardId) -> String {
    format!("{SHARD}{shard}")
}
pub(crate) fn job(job: &JobId) -> String {
    format!("{JOB}{job}")
}
pub(crate) fn segment(job: &JobId, segment: u32) -> String {
    format!("{JOB}{job}/{segment}")
}
pub(crate) fn plans(batch: &str) -> String {
    format!("{PLANS}{batch}")
}
pub(crate) fn machine(machine: &MachineId) -> String {
    format!("{MACHINE}{machine}")
}
/// The machine whose record a key names.
pub(crate) fn machine_of(key: &str) -> Option<MachineId> {
    key.strip_prefix(MACHINE).map(MachineId::from)
}
pub(crate) fn history(pipeline: &Pipeline) -> String {
    format!("{HISTORY}{pipeline}")
}
/// Where a finished or cancelled job's final state is kept for good.
pub(crate) fn final_state(job: &JobId) -> String {
    format!("over/{job}")
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LiveKey {
    Leader,
    Member(Member),
    Shard(ShardId),
    Catalog,
    Settings,
    History(Pipeline),
    Job(JobId),
    Segment(JobId, u32),
    Plans(String),
    Machine(MachineId),
}

impl LiveKey {
    pub(crate) fn parse(key: &str) -> Option<Self> {
        match key {
            LEADER => return Some(Self::Leader),
            CATALOG => return Some(Self::Catalog),
            SETTINGS => return Some(Self::Settings),
            _ => {}
        }
        if let Some(rest) = key.strip_prefix(JOB) {
            return match rest.split_once('/') {
                None => Some(Self::Job(rest.into())),
                Some((job, segment)) => Some(Self::Segment(job.into(), segment.parse().ok()?)),
            };
        }
        let named = |prefix| key.strip_prefix(prefix);
        named(MACHINE)
            .map(|m| Self::Machine(m.into()))
            .or_else(|| named(PLANS).map(|b| Self::Plans(b.to_owned())))
            .or_else(|| named(HISTORY).map(|p| Self::History(p.into())))
            .or_else(|| named(MEMBER).map(|m| Self::Member(m.into())))
            .or_else(|| named(SHARD)?.parse().ok().map(|n| Self::Shard(ShardId(n))))
    }
}

#[cfg(test)]
mod tests;
