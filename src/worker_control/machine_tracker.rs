//! What is known of one machine under one token, and what may be concluded from it.

use crate::ids::{
    FencingToken, HeartbeatSequence, Millis, MonotonicTime, Resources, Revision, TaskAttempt,
    WorkerEpoch,
};
use crate::peers::AttemptOutcome;
use crate::protocol::{Command, ExitReason, Heartbeat, JobSpec, TaskState};
use crate::store::records::MachineRecord;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// How a start was sent by direct command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DirectLaunch {
    No,
    Pending,
    /// Answered: it was carried out then. A repeat has no effect while the worker lists the task.
    Answered,
    /// No answer: it may be carried out minutes late, even after the task was forgotten.
    Unknown,
}

/// A start that was sent under the tracker's own token.
#[derive(Clone, Copy, Debug)]
pub(super) struct LaunchRecord {
    pub epoch: WorkerEpoch,
    pub direct: DirectLaunch,
    /// The heartbeat in whose response it was sent last. Workers drop late responses, and send
    /// their next heartbeat only after that, so a later heartbeat tells what became of it.
    pub in_response: Option<HeartbeatSequence>,
}

/// What the latest heartbeat says of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskPresence {
    /// Nothing certain.
    Unclear,
    /// Not there, and nothing that was sent can still start it.
    Absent,
    /// Not there, but a start without an answer may still be on its way.
    MayAppear,
    Alive(TaskState),
    Exited(ExitReason),
}

#[derive(Debug)]
pub(super) struct Incoming {
    pub since: MonotonicTime,
    pub attempt: TaskAttempt,
    pub spec: Rc<JobSpec>,
    pub job_revision: Revision,
}

/// What a machine's record lacks.
#[derive(Debug)]
pub(super) struct UnwrittenChanges {
    pub since: MonotonicTime,
    pub incoming: usize,
    /// Placements that are proved gone, whether they are done, and the room they leave.
    pub ended: Vec<(TaskAttempt, bool)>,
    pub freed: Resources,
    /// Nothing is left on the machine: only with an empty record can it be returned.
    pub idle: bool,
    /// Somebody waits for it: a service, a gang, or another try.
    pub urgent: bool,
}

impl UnwrittenChanges {
    /// Grows with what one change would write, and with age, so that nothing waits for ever.
    /// Ends alone are worth nothing at first: the leader has been told of them, and a placement
    /// may follow that takes them along.
    pub(super) fn write_priority(&self, now: MonotonicTime) -> u64 {
        let age = now.since(self.since).0;
        let ended = 300 * self.ended.len() as u64;
        if self.incoming > 0 {
            return 1000 * self.incoming as u64 + ended + age;
        }
        let due =
            age >= ENDS_ONLY_WRITE_DELAY_MS || (self.idle && age >= IDLE_MACHINE_WRITE_DELAY_MS);
        if due { ended + age } else { 0 }
    }
}

/// How long ends wait for a placement on their machine while changes are scarce, and the last
/// ones of a machine.
const ENDS_ONLY_WRITE_DELAY_MS: u64 = 10_000; //x
const IDLE_MACHINE_WRITE_DELAY_MS: u64 = 700;

/// A machine's token is not raised again within this time, but when nothing else helps.
const TOKEN_RAISE_INTERVAL: Millis = Millis(4000);

/// A transaction on its way.
#[derive(Debug)]
pub(super) struct PendingTxn {
    pub record: MachineRecord,
    pub ended: Vec<(TaskAttempt, AttemptOutcome)>,
    pub fence: Revision,
}

#[derive(Debug)]
pub(super) struct MachineTracker {
    /// The shard's revision.
    pub fence: Revision,
    /// The machine's token under it.
    token: FencingToken,
    token_raised_at: MonotonicTime,
    pub opened: MonotonicTime,
    pub addr: String,
    pub epoch: WorkerEpoch,
    pub sequence: HeartbeatSequence,
    pub heartbeat_sequence: HeartbeatSequence,
    /// The highest that the worker had seen by its latest heartbeat.
    seen_token: FencingToken,
    /// The latest heartbeat carried our token.
    pub confirmed: bool,
    /// A higher token exists: nothing more is sent until the watch cache brings it.
    pub superseded: bool,
    pub last_heartbeat: MonotonicTime,
    /// When it was last certain that something of ours arrives there.
    pub last_reached: MonotonicTime,
    /// Direct commands in a row that had no answer.
    pub failed_calls: u32,
    pub notice: Option<MonotonicTime>,
    pub listed: BTreeMap<TaskAttempt, (TaskState, Option<ExitReason>)>,
    pub launches: BTreeMap<TaskAttempt, LaunchRecord>,
    pub stops: BTreeMap<TaskAttempt, (Millis, Option<MonotonicTime>)>,
    pub running_since: BTreeMap<TaskAttempt, MonotonicTime>,
    pub incoming: VecDeque<Incoming>,
    pub unwritten: Option<UnwrittenChanges>,
    /// Committed here and not seen on the machine yet. Only these are ever started: whatever else
    /// is absent may have ended before, its room given out again, and only its end not written.
    /// Started once more it broke a team's limit (hunt 82e7ad15, simulated seed 173).
    pub launchable: BTreeSet<TaskAttempt>,
    /// Proved gone, and told to the leader before it was written.
    pub reported: BTreeSet<TaskAttempt>,
    /// To be refused once nothing that was sent can still place them.
    pub rejected: Vec<TaskAttempt>,
    pub txn: Option<PendingTxn>,
    pub retry_at: MonotonicTime,
    /// The key-value store refused the record for its size: nothing that large is written again.
    pub too_large: bool,
    /// A condition failed at this revision: the watch cache must get there first.
    pub retry_revision: Revision,
    /// When a heartbeat last came straight from the machine.
    direct_heartbeat_timeout: MonotonicTime,
    /// Since when its heartbeats come through other controllers.
    relayed: Option<MonotonicTime>,
    /// A transaction under this revision of the record has no known outcome.
    pub uncertain: Option<Revision>,
    pub call: Option<Vec<Command>>,
    pub next_call: MonotonicTime,
}

impl MachineTracker {
    pub(super) fn new(fence: Revision, addr: &str, now: MonotonicTime) -> Self {
        Self {
            fence,
            token: FencingToken::of(fence, 0),
            token_raised_at: now,
            opened: now,
            addr: addr.to_owned(),
            epoch: WorkerEpoch(1),
            sequence: HeartbeatSequence(0),
            heartbeat_sequence: HeartbeatSequence(0),
            seen_token: FencingToken(0),
            confirmed: false,
            superseded: false,
            last_heartbeat: now,
            last_reached: now,
            failed_calls: 0,
            notice: None,
            listed: BTreeMap::new(),
            launches: BTreeMap::new(),
            stops: BTreeMap::new(),
            running_since: BTreeMap::new(),
            incoming: VecDeque::new(),
            unwritten: None,
            launchable: BTreeSet::new(),
            reported: BTreeSet::new(),
            rejected: Vec::new(),
            txn: None,
            retry_at: now,
            too_large: false,
            retry_revision: Revision(0),
            direct_heartbeat_timeout: now,
            relayed: None,
            uncertain: None,
            call: None,
            next_call: now,
        }
    }

    /// The shard was rewritten: what was sent under the old token proves nothing any more, and
    /// transactions under the old fence can't be applied.
    pub(super) fn reset(&mut self, fence: Revision, now: MonotonicTime) {
        self.fence = fence;
        self.token = FencingToken::of(fence, 0);
        self.opened = now;
        self.superseded = false;
        self.void_launches();
        self.incoming.clear();
        self.unwritten = None;
        self.reported.clear();
        self.rejected.clear();
        self.uncertain = None;
        self.next_call = now;
        self.last_heartbeat = now;
        self.direct_heartbeat_timeout = now;
        self.relayed = None;
        self.mark_reached(now);
    }

    /// How long no heartbeat has come straight from the machine.
    pub(super) fn since_direct_heartbeat(&self, now: MonotonicTime) -> Millis {
        now.since(self.direct_heartbeat_timeout)
    }

    pub(super) fn is_missing(&self, now: MonotonicTime, direct_heartbeat_timeout: Millis) -> bool {
        self.since_direct_heartbeat(now) > direct_heartbeat_timeout
    }

    pub(super) fn is_relayed(&self) -> bool {
        self.relayed.is_some()
    }

    /// A heartbeat came straight from the machine.
    pub(super) fn on_direct_heartbeat(&mut self, now: MonotonicTime) {
        self.direct_heartbeat_timeout = now;
        self.relayed = None;
    }

    /// Whether a heartbeat that comes through another controller is taken. After half a lease the
    /// machine is sent to try the straight way once: it is well within its lease then.
    ///
    /// Nothing else shows that answers arrive there: direct commands don't. So the token rises,
    /// and comes back with the next heartbeat.
    pub(super) fn accepts_relayed(
        &mut self,
        now: MonotonicTime,
        direct_heartbeat_timeout: Millis,
        worker_lease: Millis,
    ) -> bool {
        if !self.is_missing(now, direct_heartbeat_timeout) {
            return false;
        }
        if self.relayed.is_none() {
            // What failed before was tried on the straight way.
            self.mark_reached(now);
        }
        let since = *self.relayed.get_or_insert(now);
        if now.since(since) >= Millis(worker_lease.0 / 2) {
            self.relayed = None;
            return false;
        }
        if now.since(self.last_reached) > direct_heartbeat_timeout
            && !self.token_raised_recently(now)
        {
            // The one before has not come back: as if a command had no answer.
            self.failed_calls += u32::from(!self.confirmed);
            self.raise_token(now);
        }
        true
    }

    /// Once a heartbeat carries a higher token, no start that was sent under a lower one can take
    /// effect any more, however often it is repeated.
    fn void_launches(&mut self) {
        self.confirmed = false;
        self.launches.clear();
    }

    /// Raises this machine's token alone, where a direct start stands in the way: one without an
    /// answer, or so many carried out that keeping them at the worker has become a burden. The
    /// shard's record, and all that is under way in the shard, stay as they are. `false`: there
    /// is no higher token under this record.
    pub(super) fn raise_token(&mut self, now: MonotonicTime) -> bool {
        self.token_raised_at = now;
        let Some(next) = self.token.next_raise() else {
            return false;
        };
        self.token = next;
        self.next_call = now;
        self.void_launches();
        true
    }

    /// Whether its token was raised a moment ago: once more would only cost calls.
    pub(super) fn token_raised_recently(&self, now: MonotonicTime) -> bool {
        now.since(self.token_raised_at) < TOKEN_RAISE_INTERVAL
    }

    /// Exited tasks that only a higher token lets the worker forget.
    pub(super) fn unforgettable_count(&self) -> usize {
        let held = |attempt: &&TaskAttempt| !self.may_forget(attempt);
        let exited = self
            .listed
            .iter()
            .filter(|(_, (state, _))| *state == TaskState::Exited);
        exited.map(|(attempt, _)| attempt).filter(held).count()
    }

    /// Something of ours has arrived at the worker.
    pub(super) fn mark_reached(&mut self, now: MonotonicTime) {
        self.last_reached = now;
        self.failed_calls = 0;
    }

    /// How long nothing shows that the machine can be used: nothing came from it, or nothing of
    /// ours gets there, though its heartbeats still come.
    pub(super) fn silent(&self, now: MonotonicTime) -> Millis {
        let unheard = now.since(self.last_heartbeat);
        if self.failed_calls >= 2 {
            unheard.max(now.since(self.last_reached))
        } else {
            unheard
        }
    }

    pub(super) fn token(&self) -> FencingToken {
        self.token
    }

    /// Takes a heartbeat if it is the newest. Late ones, and those that a higher token already
    /// governs, say nothing.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        by_heartbeat: bool,
        now: MonotonicTime,
    ) {
        // A copy that comes late is no sign of life either.
        if (heartbeat.epoch, heartbeat.sequence) <= (self.epoch, self.sequence)
            && self.sequence != HeartbeatSequence(0)
        {
            return;
        }
        self.last_heartbeat = self.last_heartbeat.max(now);
        if heartbeat.token == self.token && self.seen_token < heartbeat.token {
            self.mark_reached(now);
        }
        if heartbeat.epoch > self.epoch {
            // The worker's lease ran out: it forgot all its tasks, and starts that were sent to
            // its earlier epoch are void.
            self.heartbeat_sequence = HeartbeatSequence(0);
            self.running_since.clear();
        }
        self.epoch = heartbeat.epoch;
        self.sequence = heartbeat.sequence;
        self.seen_token = heartbeat.token;
        if by_heartbeat {
            self.heartbeat_sequence = heartbeat.sequence;
        }
        self.addr.clone_from(&heartbeat.addr);
        if heartbeat.token.fence() == self.fence && heartbeat.token > self.token {
            // An earlier tracker of ours raised it, and what that one sent is not known here.
            self.token = heartbeat.token.next_raise().unwrap_or(heartbeat.token);
            self.void_launches();
        }
        self.superseded = heartbeat.token > self.token;
        self.confirmed = heartbeat.token == self.token;
        self.notice = heartbeat.notice_s.map(|s| now + Millis::from_secs(s));
        self.listed = heartbeat
            .tasks
            .iter()
            .filter_map(|t| {
                let task = crate::ids::TaskId::parse(&t.task)?;
                let attempt = TaskAttempt {
                    task,
                    number: t.attempt_number,
                };
                Some((attempt, (t.state, t.exit_reason)))
            })
            .collect();
        // A start that was carried out has arrived.
        let started = |attempt: &TaskAttempt| {
            self.launches.contains_key(attempt) && !self.running_since.contains_key(attempt)
        };
        if self.confirmed && self.listed.keys().any(started) {
            self.last_reached = now;
            self.failed_calls = 0;
        }
        for (attempt, (state, _)) in &self.listed {
            if *state == TaskState::Running && !self.running_since.contains_key(attempt) {
                self.running_since.insert(attempt.clone(), now);
            }
        }
        let listed = &self.listed;
        self.launchable
            .retain(|attempt| !listed.contains_key(attempt));
        self.running_since
            .retain(|attempt, _| listed.contains_key(attempt));
        let epoch = self.epoch;
        self.launches.retain(|_, s| s.epoch >= epoch);
        self.stops.retain(|attempt, _| {
            listed.contains_key(attempt) || self.launches.contains_key(attempt)
        });
    }

    /// What is certain about a placement. Only a heartbeat under our own token counts: no launch
    /// of an earlier shard owner can take effect after it.
    pub(super) fn presence(&self, attempt: &TaskAttempt) -> TaskPresence {
        if !self.confirmed {
            return TaskPresence::Unclear;
        }
        match self.listed.get(attempt) {
            Some((TaskState::Exited, exit_reason)) => {
                TaskPresence::Exited(exit_reason.unwrap_or(ExitReason::Error))
            }
            Some((state, _)) => TaskPresence::Alive(*state),
            None => match self.launches.get(attempt) {
                None => TaskPresence::Absent,
                Some(launch) => match launch.direct {
                    DirectLaunch::Pending | DirectLaunch::Unknown => TaskPresence::MayAppear,
                    DirectLaunch::No | DirectLaunch::Answered => {
                        if launch
                            .in_response
                            .is_none_or(|sequence| self.heartbeat_sequence > sequence)
                        {
                            TaskPresence::Absent
                        } else {
                            TaskPresence::Unclear
                        }
                    }
                },
            },
        }
    }

    /// A direct start could start the task once more after it was forgotten: one without an
    /// answer comes late, one that was carried out may be repeated. Starts in responses can't:
    /// workers drop late ones.
    pub(super) fn may_forget(&self, attempt: &TaskAttempt) -> bool {
        self.confirmed
            && self
                .launches
                .get(attempt)
                .is_none_or(|s| s.direct == DirectLaunch::No)
    }

    /// Whether a placement is proved gone, and nothing that was sent can start it.
    pub(super) fn is_gone(&self, attempt: &TaskAttempt) -> bool {
        let presence = self.presence(attempt);
        matches!(presence, TaskPresence::Absent | TaskPresence::Exited(_))
    }

    /// Notes the outcome of direct starts. Another fence has forgotten them already.
    pub(super) fn record_launch_outcomes(&mut self, commands: &[Command], direct: DirectLaunch) {
        for command in commands {
            if let Command::Launch(attempt) = command
                && let Some(launch) = self.launches.get_mut(attempt)
                && launch.direct == DirectLaunch::Pending
            {
                launch.direct = direct;
                if direct == DirectLaunch::No && launch.in_response.is_none() {
                    self.launches.remove(attempt);
                }
            }
        }
    }

    pub(super) fn record_launch(&mut self, attempt: &TaskAttempt, direct: bool) {
        let epoch = self.epoch;
        let launch = self
            .launches
            .entry(attempt.clone())
            .or_insert(LaunchRecord {
                epoch,
                direct: DirectLaunch::No,
                in_response: None,
            });
        launch.epoch = epoch;
        if !direct {
            launch.in_response = Some(self.heartbeat_sequence);
        } else if launch.direct != DirectLaunch::Unknown {
            // An earlier one without an answer stays unanswered, whatever becomes of this one.
            launch.direct = DirectLaunch::Pending;
        }
    }
}

#[cfg(test)]
mod tests;
