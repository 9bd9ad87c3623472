//! What controllers say to one another.

use crate::cancellation::RoundId;
use crate::ids::{
    AttemptNumber, Incarnation, JobId, MachineId, Member, Millis, Pipeline, Revision, ShardId,
    TaskAttempt, TypeName,
};
use crate::protocol::ExitReason;
use crate::store::records::MachineRecord;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// First on every link.
    Hello {
        member: Member,
        incarnation: Incarnation,
    },
    /// Leader to shard owner: place these tasks of a job inside the shard.
    Allot(Allotment),
    /// Shard owner to leader: these will not be placed; certain, not a guess.
    Refused {
        fence: Revision,
        attempts: Vec<TaskAttempt>,
    },
    /// Shard owner to leader: a placement was dropped, on proof.
    EndedAttempt(EndedAttempt),
    /// Shard owner to leader: these placements are proved gone, though their records still stand, and
    /// whether their tasks are done. The room may be given out again; the end is written along
    /// with what takes it.
    Freed(Vec<FreedAttempt>),
    /// Leader to shard owner: stop a task, for a preemption or to drain its machine.
    Stop {
        machine: MachineId,
        attempt: TaskAttempt,
        grace: Millis,
    },
    /// Any controller to any: this job was cancelled by that change, so long ago. It may be
    /// believed without asking the key-value store, since it is final.
    Cancelled {
        round: RoundId,
        job: JobId,
        revision: Revision,
        age: Millis,
    },
    /// The sender knows of a cancellation. In these shards that it holds all of the job's tasks are
    /// proved gone.
    CancellationAcknowledged {
        round: RoundId,
        job: JobId,
        settled: Vec<ShardFence>,
    },
    /// A user's request that the sender can't decide: the key-value store does not serve it.
    ForwardedRequest {
        id: u64,
        post: bool,
        path: String,
        body: Vec<u8>,
    },
    ForwardedResponse {
        id: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// What every controller tells all others all the time: whether the key-value store serves it,
    /// whom it hears, and which machines that it holds don't reach it.
    PeerStatus {
        store_reachable: bool,
        reachable_peers: Vec<Member>,
        missing_machines: Vec<MachineId>,
    },
    /// To be passed on to a controller that the sender can't reach itself.
    Relay {
        to: Member,
        from: Member,
        message: Box<Message>,
    },
    /// Any controller to the leader: machines that reported to it and that others hold.
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

/// A shard under one record of its ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ShardFence {
    /// The shard.
    pub shard: ShardId,
    /// The revision of the shard's record.
    pub fence: Revision,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Allotment {
    pub shard: ShardId,
    pub fence: Revision,
    pub job_revision: Revision,
    pub attempts: Vec<TaskAttempt>,
    /// Best first; the shard owner takes another of its machines when none of these fits.
    pub preferred: Vec<MachineId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AttemptOutcome {
    Done,
    Exited(ExitReason),
    /// Never started here, or lost with its machine's epoch.
    Absent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedAttempt {
    pub attempt: TaskAttempt,
    pub machine: MachineId,
    /// Of the machine's record, without it.
    pub revision: Revision,
    pub type_name: TypeName,
    pub pipeline: Option<Pipeline>,
    pub end: AttemptOutcome,
    pub estimate_s: f64,
    /// How long it was seen running.
    pub ran: Option<Millis>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineHealth {
    pub machine: MachineId,
    pub fence: Revision,
    /// Time without a word, heartbeats and answered probes alike.
    pub silent: Millis,
    /// Time without a heartbeat that came straight from it, and not through another controller.
    pub since_direct_heartbeat: Millis,
    /// It has said so under the shard owner's own token.
    pub confirmed: bool,
    pub notice: Option<Millis>,
    /// Its description, while no record of it stands in the key-value store.
    pub unrecorded: Option<MachineRecord>,
    /// Gangs of which a task runs here, so that a member that is lost is no longer replaced.
    pub gangs: Vec<(JobId, AttemptNumber)>,
}

/// Attempts are never used twice: a term's number leads them.
pub(crate) fn attempt_number(term: Revision, counter: u64) -> AttemptNumber {
    AttemptNumber((term.0 << 20) + counter)
}
