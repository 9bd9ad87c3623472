//! The messages between controllers. Frames encode them by position, so variants and fields must
//! keep their order; any change of either requires a new frame version.

use crate::ids::{
    AttemptNumber, CancellationRoundId, ForwardedRequestId, Incarnation, JobId, MachineId,
    MachineTypeName, MemberId, Millis, Pipeline, Revision, ShardFence, ShardId, TaskAttempt,
};
use crate::protocol::ExitReason;
use crate::store::records::MachineRecord;
use serde::{Deserialize, Serialize};

/// A message from one controller to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The first message on every link, which identifies the sender.
    Hello {
        /// The controller that has opened the link.
        member: MemberId,
        /// The run of that controller's process.
        incarnation: Incarnation,
    },
    /// Leader to shard owner: place these tasks of a job on machines of the shard.
    Allot(Allotment),
    /// Shard owner to leader: these attempts will not be placed. This is certain, not an estimate.
    Refused {
        /// The shard's fence under which the attempts were allotted.
        fence: Revision,
        /// The attempts.
        attempts: Vec<TaskAttempt>,
    },
    /// Shard owner to leader: a placement was removed from its machine's record on proof that the
    /// attempt does not run there.
    EndedAttempt(EndedAttempt),
    /// Shard owner to leader: these attempts are proved gone, although the machine records still
    /// show them. Their resources may be allotted again. The end is stored together with the
    /// placement that takes the resources.
    Freed(Vec<FreedAttempt>),
    /// Leader to shard owner: stop a task because of a preemption or to drain its machine.
    Stop {
        /// The machine that the task is placed on.
        machine: MachineId,
        /// The attempt to stop.
        attempt: TaskAttempt,
        /// Grace period in which the task can save its progress.
        grace: Millis,
    },
    /// Any controller to any other: this job was cancelled. The receiver may rely on it without
    /// reading the key-value store, because a cancellation is final.
    Cancelled {
        /// The sender's cancellation round, which the acknowledgement repeats.
        round: CancellationRoundId,
        /// The job.
        job: JobId,
        /// Revision of the transaction that cancelled the job.
        revision: Revision,
        /// Time since the job was cancelled.
        age: Millis,
    },
    /// Acknowledges that the sender knows of a cancellation.
    CancellationAcknowledged {
        /// The cancellation round of the controller that announced it.
        round: CancellationRoundId,
        /// The job.
        job: JobId,
        /// Shards of the sender in which all tasks of the job are proved gone.
        #[serde(rename = "settled")]
        cleared_shards: Vec<ShardFence>,
    },
    /// A user's request that the sender cannot decide because it does not reach the key-value
    /// store, or a heartbeat whose worker cannot reach the receiver.
    ForwardedRequest {
        /// Identifies the request among the requests that all processes of the sender have forwarded.
        id: ForwardedRequestId,
        /// Whether the method is POST; otherwise it is GET.
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
        id: ForwardedRequestId,
        /// HTTP status code.
        status: u16,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// The status that every controller sends to all others at short intervals.
    PeerStatus {
        /// Whether the sender reaches the key-value store.
        store_reachable: bool,
        /// The controllers from which the sender receives statuses directly.
        reachable_peers: Vec<MemberId>,
        /// Machines of the sender whose heartbeats do not reach it directly.
        #[serde(rename = "missing_machines")]
        machines_without_direct_heartbeats: Vec<MachineId>,
    },
    /// A message that the receiver forwards to a controller that the sender cannot reach directly.
    Relay {
        /// The controller that the message is for.
        to: MemberId,
        /// The controller that the message comes from.
        from: MemberId,
        /// The message.
        message: Box<Message>,
    },
    /// Any controller to the leader: machines that sent heartbeats to the sender and are owned by
    /// other controllers.
    MisdirectedHeartbeats(Vec<MachineId>),
    /// Shard owner to leader: the health of its machines.
    Health(Vec<MachineHealth>),
}

/// An attempt that is proved gone although its machine's record still shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct FreedAttempt {
    /// The machine that it was placed on.
    pub machine: MachineId,
    /// The attempt that is gone.
    pub attempt: TaskAttempt,
    /// Whether the task is done.
    pub done: bool,
}

/// Task attempts of one job that a shard owner should place on the machines of its shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Allotment {
    /// The shard.
    pub shard: ShardId,
    /// Revision of the shard's record at which the allotment is valid. At any other revision the
    /// shard owner refuses it, after waiting for its watch cache if that is behind.
    pub fence: Revision,
    /// Revision of the job's record at which the allotment is valid. At any other revision the
    /// shard owner refuses it, after waiting for its watch cache if that lacks the job.
    pub job_revision: Revision,
    /// The attempts to place, all of the same job.
    pub attempts: Vec<TaskAttempt>,
    /// The machines of the shard among which the owner may choose, best first.
    #[serde(rename = "preferred")]
    pub candidate_machines: Vec<MachineId>,
}

/// The outcome of a task attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AttemptOutcome {
    /// The task is done.
    Done,
    /// The attempt exited for another reason.
    Exited(ExitReason),
    /// The attempt never started on this machine, or was lost with the machine's epoch.
    Absent,
}

/// An attempt that has ended and was removed from its machine's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedAttempt {
    /// The attempt.
    pub attempt: TaskAttempt,
    /// The machine that it was placed on.
    pub machine: MachineId,
    /// Revision of the machine's record that no longer contains the attempt.
    pub revision: Revision,
    /// Type of the machine.
    pub type_name: MachineTypeName,
    /// Pipeline of the job; absent if the job is no longer live.
    pub pipeline: Option<Pipeline>,
    /// The outcome of the attempt.
    #[serde(rename = "end")]
    pub outcome: AttemptOutcome,
    /// The user's estimate of the task's duration, in seconds; 0 if the job is no longer live.
    pub estimate_s: f64,
    /// Time for which the attempt was seen running.
    #[serde(rename = "ran")]
    pub run_time: Option<Millis>,
}

/// The health of one machine as its shard owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineHealth {
    /// The machine.
    pub machine: MachineId,
    /// Revision of the shard's record under which it is owned.
    pub fence: Revision,
    /// Time for which nothing has shown that the machine is usable: no heartbeat and no answer to a
    /// probe arrived, or direct commands failed.
    #[serde(rename = "silent")]
    pub unresponsive_for: Millis,
    /// Time since the last heartbeat that came directly from the machine, not through another
    /// controller.
    pub since_direct_heartbeat: Millis,
    /// Whether the machine's latest heartbeat or command response carried the shard owner's current
    /// fencing token, and the owner knows of no higher token.
    #[serde(rename = "confirmed")]
    pub token_confirmed: bool,
    /// Time until the cloud interrupts the machine, if it has given notice.
    #[serde(rename = "notice")]
    pub until_interruption: Option<Millis>,
    /// Description of the machine, present while the key-value store has no record of it.
    #[serde(rename = "unrecorded")]
    pub unstored_record: Option<MachineRecord>,
    /// Gangs that have a task running on this machine, with the attempt number. A gang that has
    /// started does not get replacements for lost tasks.
    pub gangs: Vec<(JobId, AttemptNumber)>,
}
