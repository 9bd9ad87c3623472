//! The contents of the records, stored as JSON.

pub(crate) use super::bitmap::Bitmap;
pub(crate) use super::machine_record::{DoneTasks, MachineRecord, PlacedJob};

use crate::ids::{
    Incarnation, JobId, LeaseId, MachineId, MachineTypeName, MemberId, Revision, UnixTime,
};
use crate::protocol::{JobSpec, JobState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who leads; attached to the leader's lease. The record's revision is the leader's term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderRecord {
    /// The controller.
    pub member: MemberId,
    /// Its process: the leadership is not that of a restarted one.
    pub incarnation: Incarnation,
}

/// A controller whose lease holds; attached to that lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberRecord {
    /// The controller's process.
    pub incarnation: Incarnation,
    /// The lease, to which leaders attach the shards that they assign to the controller.
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

/// Who owns a shard; attached to the owner's lease. The record's revision is the shard's fence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ShardRecord {
    #[serde(rename = "holder")]
    /// The controller that owns it.
    pub owner: MemberId,
    /// The owner's process: a restarted one has to be assigned the shard anew.
    pub incarnation: Incarnation,
    /// The leader's term in which it was assigned.
    pub term: Revision,
}

/// An accepted job, until it ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// What the job's owner asked for.
    pub spec: JobSpec,
    /// When it was accepted.
    #[serde(rename = "accepted")]
    pub accepted_at: UnixTime,
    /// When the last job that this one depends on was done. `None` while it is blocked, and
    /// for jobs that depend on nothing.
    #[serde(rename = "released", default, skip_serializing_if = "Option::is_none")]
    pub released_at: Option<UnixTime>,
}

impl JobRecord {
    /// A job as it is accepted.
    pub(crate) fn new(spec: JobSpec, accepted: UnixTime) -> Self {
        Self {
            spec,
            accepted_at: accepted,
            released_at: None,
        }
    }

    /// Whether jobs that it depends on may not be done yet: none of its tasks may start.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.spec.dependencies.is_empty() && self.released_at.is_none()
    }
}

/// How a job ended; written once and never changed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FinalRecord {
    /// Done or cancelled.
    pub state: JobState,
    /// How many tasks the job had.
    pub tasks: u32,
}

/// Plans that were made at about the same time: one change for all of them.
pub(crate) type PlanBatch = BTreeMap<JobId, PlanRecord>;

/// A job's plan, written once at acceptance. Its machines are preferred, not binding.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    /// The preferred machine type.
    pub type_name: Option<MachineTypeName>,
    /// The preferred machines; at most [`Self::MAX_MACHINES`].
    pub machines: Vec<MachineId>,
    /// How long each of its tasks is predicted to run, in seconds.
    pub predicted_s: f64,
    /// The job whose placement group this one shares, among those that it needs.
    #[serde(rename = "joins", default, skip_serializing_if = "Option::is_none")]
    pub placement_group_job: Option<JobId>,
}

impl PlanRecord {
    /// Machines named in a plan; more would only make its record larger.
    pub(crate) const MAX_MACHINES: usize = 12;
}

/// How long tasks of a pipeline's earlier jobs ran.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct HistoryRecord {
    /// The run times on each machine type, as fractions of the estimates, oldest first.
    #[serde(rename = "types")]
    pub run_time_ratios: BTreeMap<MachineTypeName, Vec<f32>>,
}
