//! The contents of the stored records, serialized as JSON.

pub(crate) use super::bitmap::Bitmap;
pub(crate) use super::machine_record::{DoneTasks, MachineRecord, PlacedJob};

use crate::ids::{
    Incarnation, JobId, LeaseId, MachineId, MachineTypeName, MemberId, Revision, UnixTime,
};
use crate::protocol::{JobSpec, JobState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The current leader. The record is attached to the leader's lease, and its revision is the leader's
/// term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderRecord {
    /// The controller that leads.
    pub member: MemberId,
    /// The incarnation of its process. A restarted controller does not keep the leadership.
    pub incarnation: Incarnation,
}

/// A controller whose lease has not expired. The record is attached to that lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MemberRecord {
    /// The incarnation of the controller's process.
    pub incarnation: Incarnation,
    /// The controller's lease. Leaders attach the shards that they assign to the controller to it.
    #[serde(rename = "grant")]
    pub lease: LeaseId,
    /// The version of the controller's program. It is 0 if the record has none.
    #[serde(default)]
    pub version: ProgramVersion,
}

impl MemberRecord {
    /// Creates the record of a controller that runs this program.
    pub(crate) fn new(incarnation: Incarnation, lease: LeaseId) -> Self {
        Self {
            incarnation,
            lease,
            version: ProgramVersion::CURRENT,
        }
    }
}

/// A version of the controller's program. It tells which records and requests the program supports. It
/// belongs to an incarnation: a controller that is restarted with an earlier program writes its record
/// without a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct ProgramVersion(pub u32);

impl ProgramVersion {
    /// The first version that supports job dependencies.
    pub(crate) const DEPENDENCIES: Self = Self(1);
    /// The version of this program.
    pub(crate) const CURRENT: Self = Self::DEPENDENCIES;
}

/// The owner of a shard. The record is attached to the owner's lease, and its revision is the shard's
/// fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ShardRecord {
    #[serde(rename = "holder")]
    /// The controller that owns the shard.
    pub owner: MemberId,
    /// The incarnation of the owner's process. A restarted controller has to be assigned the shard
    /// again.
    pub incarnation: Incarnation,
    /// The leader's term in which the shard was assigned.
    pub term: Revision,
}

/// An accepted job that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The job's specification, as its owner submitted it.
    pub spec: JobSpec,
    /// The time when the job was accepted.
    #[serde(rename = "accepted")]
    pub accepted_at: UnixTime,
    /// The time when the job was released because all its dependencies were done. It is `None` while the
    /// job is blocked, and for jobs without dependencies.
    #[serde(rename = "released", default, skip_serializing_if = "Option::is_none")]
    pub released_at: Option<UnixTime>,
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    pub(crate) fn new(spec: JobSpec, accepted_at: UnixTime) -> Self {
        Self {
            spec,
            accepted_at,
            released_at: None,
        }
    }

    /// Returns whether the job's tasks may not start because it has unfinished dependencies.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.spec.dependencies.is_empty() && self.released_at.is_none()
    }
}

/// The final state of a job. The record is written once and never changes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FinalRecord {
    /// Whether the job was done or cancelled.
    pub state: JobState,
    /// The number of tasks that the job had.
    pub tasks: u32,
}

/// Plans made at about the same time, which are written in a single change.
pub(crate) type PlanBatch = BTreeMap<JobId, PlanRecord>;

/// A job's plan, written once at acceptance. Its machines are preferences, not assignments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    /// The preferred machine type.
    pub type_name: Option<MachineTypeName>,
    /// The preferred machines, at most [`Self::MAX_MACHINES`].
    pub machines: Vec<MachineId>,
    /// The predicted run time of each task, in seconds.
    pub predicted_s: f64,
    /// The dependency whose placement group this job shares.
    #[serde(rename = "joins", default, skip_serializing_if = "Option::is_none")]
    pub placement_group_job: Option<JobId>,
}

impl PlanRecord {
    /// The maximum number of machines in a plan. It limits the size of the record.
    pub(crate) const MAX_MACHINES: usize = 12;
}

/// The run times of tasks of a pipeline's earlier jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct HistoryRecord {
    /// The run times on each machine type, as fractions of the estimates, oldest first.
    #[serde(rename = "types")]
    pub run_time_ratios: BTreeMap<MachineTypeName, Vec<f32>>,
}
