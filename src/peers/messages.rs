//! The messages between controllers. Frames encode them by position: variants and fields keep
//! their order, and a change of either needs another frame version.

use crate::ids::{
    AttemptNumber, CancellationRoundId, Incarnation, JobId, MachineId, MachineTypeName, MemberId,
    Millis, Pipeline, Revision, ShardFence, ShardId, TaskAttempt,
};
use crate::protocol::ExitReason;
use crate::store::records::MachineRecord;
use serde::{Deserialize, Serialize};

/// A message from one controller to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// First on every link.
    Hello {
        /// The controller that has opened the link.
        member: MemberId,
        /// Its process.
        incarnation: Incarnation,
    },
    /// Leader to shard owner: place these tasks of a job inside the shard.
    Allot(Allotment),
    /// Shard owner to leader: these will not be placed; certain, not a guess.
    Refused {
        /// The shard's fence under which they were allotted.
        fence: Revision,
        /// The attempts.
        attempts: Vec<TaskAttempt>,
    },
    /// Shard owner to leader: a placement was dropped from its machine's record, on proof.
    EndedAttempt(EndedAttempt),
    /// Shard owner to leader: these placements are proved gone, though their records still show
    /// them. The room may be given out again; the end is written along with what takes it.
    Freed(Vec<FreedAttempt>),
    /// Leader to shard owner: stop a task, for a preemption or to drain its machine.
    Stop {
        /// The machine that the task is placed on.
        machine: MachineId,
        /// The attempt to stop.
        attempt: TaskAttempt,
        /// The time that the task has to save its progress.
        grace: Millis,
    },
    /// Any controller to any: this job was cancelled. It may be believed without asking the
    /// key-value store, since it is final.
    Cancelled {
        /// The sender's acknowledgement round, which the answer names.
        round: CancellationRoundId,
        /// The job.
        job: JobId,
        /// Revision of the change that cancelled it.
        revision: Revision,
        /// How long ago that was.
        age: Millis,
    },
    /// The sender knows of a cancellation.
    CancellationAcknowledged {
        /// The round of the controller that asked.
        round: CancellationRoundId,
        /// The job.
        job: JobId,
        /// Shards that the sender owns and in which all of the job's tasks are proved gone.
        #[serde(rename = "settled")]
        cleared_shards: Vec<ShardFence>,
    },
    /// A user's request that the sender can't decide because the key-value store does not serve
    /// it, or a heartbeat that its worker could not bring to the receiver.
    ForwardedRequest {
        /// Names the request among those of the sender.
        id: u64,
        /// Whether its method is POST; GET otherwise.
        #[serde(rename = "post")]
        is_post: bool,
        /// Path of the request.
        path: String,
        /// Body of the request.
        body: Vec<u8>,
    },
    /// The response to a forwarded request.
    ForwardedResponse {
        /// The id of the request.
        id: u64,
        /// HTTP status code.
        status: u16,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// The status that every controller sends to all others at short intervals.
    PeerStatus {
        /// Whether the key-value store serves the sender.
        store_reachable: bool,
        /// The controllers that the sender hears itself.
        reachable_peers: Vec<MemberId>,
        /// Machines that the sender owns and whose heartbeats don't come to it directly.
        #[serde(rename = "missing_machines")]
        machines_without_direct_heartbeats: Vec<MachineId>,
    },
    /// To be passed on to a controller that the sender can't reach itself.
    Relay {
        /// The receiver.
        to: MemberId,
        /// The controller that the message comes from.
        from: MemberId,
        /// The message.
        message: Box<Message>,
    },
    /// Any controller to the leader: machines that sent heartbeats to it and that others own.
    MisdirectedHeartbeats(Vec<MachineId>),
    /// Shard owner to leader: what it knows of its machines.
    Health(Vec<MachineHealth>),
}

/// A placement that is proved gone while its machine's record still shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FreedAttempt {
    /// The machine that it was placed on.
    pub machine: MachineId,
    /// The attempt that is gone.
    pub attempt: TaskAttempt,
    /// Whether its task is done.
    pub done: bool,
}

/// Tasks of one job that are to be placed inside one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Allotment {
    /// The shard.
    pub shard: ShardId,
    /// Revision of the shard's record: the allotment is void under another one.
    pub fence: Revision,
    /// Revision of the job's record: the allotment is void under another one.
    pub job_revision: Revision,
    /// The attempts to be placed, all of the same job.
    pub attempts: Vec<TaskAttempt>,
    /// The machines of the shard that the leader accepts, best first.
    #[serde(rename = "preferred")]
    pub candidate_machines: Vec<MachineId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AttemptOutcome {
    /// Its task is done.
    Done,
    /// It exited for another reason.
    Exited(ExitReason),
    /// Never started here, or lost with its machine's epoch.
    Absent,
}

/// A placement that was dropped from its machine's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedAttempt {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// The machine that it was placed on.
    pub machine: MachineId,
    /// Revision of the machine's record without it.
    pub revision: Revision,
    /// Type of the machine.
    pub type_name: MachineTypeName,
    /// Pipeline of the job; none if the job is not live any more.
    pub pipeline: Option<Pipeline>,
    /// How it ended.
    #[serde(rename = "end")]
    pub outcome: AttemptOutcome,
    /// The user's estimate of the task's duration, in seconds; 0 if the job is not live any more.
    pub estimate_s: f64,
    /// How long it was seen running.
    #[serde(rename = "ran")]
    pub run_time: Option<Millis>,
}

/// What a shard owner knows of one of its machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineHealth {
    /// The machine.
    pub machine: MachineId,
    /// Revision of the shard's record under which it is owned.
    pub fence: Revision,
    /// How long nothing has shown that the machine can be used: no heartbeat and no answered
    /// probe came, or direct commands fail.
    #[serde(rename = "silent")]
    pub unresponsive_for: Millis,
    /// Time without a heartbeat that came directly from it, and not through another controller.
    pub since_direct_heartbeat: Millis,
    /// It obeys the shard owner's own token, as its latest heartbeat shows.
    #[serde(rename = "confirmed")]
    pub token_confirmed: bool,
    /// Time until the machine is interrupted, if its cloud has given notice.
    #[serde(rename = "notice")]
    pub until_interruption: Option<Millis>,
    /// Its description, while the key-value store has no record of it.
    #[serde(rename = "unrecorded")]
    pub unstored_record: Option<MachineRecord>,
    /// Gangs of which a task runs here, so that a member that is lost is no longer replaced.
    pub gangs: Vec<(JobId, AttemptNumber)>,
}
