//! Placement of the leader's allotments on the machines of owned shards.

use super::{Effect, ShardOwner};
use crate::ids::{MachineId, Millis, MonotonicTime, TaskAttempt};
use crate::peers::{Allotment, Message};
use crate::protocol::JobSpec;
use crate::store::machine_record::{MachineRecord, size};
use crate::store::watch_cache::{LiveJob, WatchCache};
use crate::worker_control::machine_tracker::{MachineTracker, PendingPlacement};
use std::collections::BTreeSet;

/// How long an allotment waits for the watch cache to deliver its job and the shard's record.
const ALLOTMENT_WAIT_LIMIT: Millis = Millis(1500);

/// An allotment that arrived before the records that it refers to are in the watch cache.
#[derive(Debug)]
pub(super) struct WaitingAllotment {
    /// When the allotment arrived.
    received_at: MonotonicTime,
    allotment: Allotment,
}

impl ShardOwner {
    /// Handles an allotment from the leader.
    pub(crate) fn on_allot(
        &mut self,
        now: MonotonicTime,
        allotment: Allotment,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.waiting_allotments.push(WaitingAllotment {
            received_at: now,
            allotment,
        });
        self.place_waiting(now, cache, out);
        self.flush(now, cache, out);
    }

    /// Places the waiting allotments whose records are in the watch cache, or whose wait limit has
    /// passed.
    pub(super) fn place_waiting(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        for waiting in std::mem::take(&mut self.waiting_allotments) {
            let behind = self.is_cache_behind(&waiting.allotment, cache);
            if behind && now.since(waiting.received_at) < ALLOTMENT_WAIT_LIMIT {
                self.waiting_allotments.push(waiting);
            } else {
                self.place(now, waiting.allotment, cache, out);
            }
        }
    }

    /// Returns whether the watch cache still lacks the shard's record or the job that an allotment
    /// refers to.
    fn is_cache_behind(&self, allotment: &Allotment, cache: &WatchCache) -> bool {
        let fence = self.fence(cache, allotment.shard);
        let job = allotted_job(allotment, cache);
        fence.is_none_or(|fence| fence < allotment.fence)
            || (job.is_none() && cache.revision < allotment.job_revision)
    }

    /// Assigns the attempts of an allotment to machines. Attempts that fit on no machine are
    /// refused. All are refused if the allotment does not match the current records of the shard and
    /// the job.
    fn place(
        &mut self,
        now: MonotonicTime,
        mut allotment: Allotment,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        let valid = self.fence(cache, allotment.shard) == Some(allotment.fence);
        let job = allotted_job(&allotment, cache)
            .filter(|job| valid && job.revision == allotment.job_revision);
        let mut refused = Vec::new();
        let mut changed = BTreeSet::new();
        for attempt in std::mem::take(&mut allotment.attempts) {
            let choice = job.and_then(|job| {
                let id = self.choose_machine(job, &attempt, &allotment, cache)?;
                Some((job, id))
            });
            let Some((job, id)) = choice else {
                refused.push(attempt);
                continue;
            };
            if let Some(tracker) = self.trackers.get_mut(&id) {
                tracker.placements_mut().push(PendingPlacement {
                    assigned_at: now,
                    attempt,
                    spec: job.spec.clone(),
                    job_revision: job.revision,
                });
                changed.insert(id);
            }
        }
        if !refused.is_empty() {
            out.push(Effect::ToLeader(Message::Refused {
                fence: allotment.fence,
                attempts: refused,
            }));
        }
        for id in changed {
            self.process_machine(now, &id, cache, out);
        }
    }

    /// Returns the first of the leader's candidate machines in the shard on which the attempt can
    /// be placed now. Machines that the leader does not list are never chosen.
    fn choose_machine(
        &self,
        job: &LiveJob,
        attempt: &TaskAttempt,
        allotment: &Allotment,
        cache: &WatchCache,
    ) -> Option<MachineId> {
        let fits = |id: &&MachineId| {
            let in_shard = id.shard(self.shards) == allotment.shard;
            in_shard && self.fits(id, job, attempt, cache).unwrap_or(false)
        };
        allotment.candidate_machines.iter().find(fits).cloned()
    }

    /// Returns whether the attempt can be placed on the machine: the machine obeys the current
    /// token and has no interruption notice, the job allows it, and the attempt fits into its free
    /// resources and its record. Returns `None` if the machine or its type is unknown.
    fn fits(
        &self,
        id: &MachineId,
        job: &LiveJob,
        attempt: &TaskAttempt,
        cache: &WatchCache,
    ) -> Option<bool> {
        let tracker = self.trackers.get(id)?;
        let record = &cache.machines.get(id)?.record;
        let usable = tracker.is_token_current() && tracker.interruption_at().is_none();
        let allowed = job
            .spec
            .allows(&record.type_name, &record.zone, record.spot);
        let capacity = cache.machine_type(&record.type_name)?.capacity();
        let pending = tracker.placements().pending_need();
        let free = capacity + tracker.writes().freed() - record.used() - pending;
        let stored = self.stored_size(tracker, record, attempt, &job.spec);
        let storable = stored <= self.limits.value_bytes;
        Some(usable && allowed && job.spec.need().fits(free) && storable)
    }

    /// Returns the size in bytes that the machine's record would have with all pending placements
    /// and this attempt, including the space reserved for completions. Ended placements are not
    /// subtracted, because their completion entries need space too.
    fn stored_size(
        &self,
        tracker: &MachineTracker,
        record: &MachineRecord,
        attempt: &TaskAttempt,
        spec: &JobSpec,
    ) -> usize {
        let value_bytes = self.limits.value_bytes;
        let reserved_done_bytes = value_bytes - MachineRecord::max_placement_bytes(value_bytes);
        let mut jobs = BTreeSet::new();
        let pending = tracker
            .placements()
            .pending()
            .map(|p| (&p.attempt, &*p.spec));
        let added = pending.chain([(attempt, spec)]).map(|(attempt, spec)| {
            if jobs.insert(&attempt.task.job) {
                record.added_size(attempt, spec)
            } else {
                size::task(attempt.task.index, attempt.number)
            }
        });
        let added: usize = added.sum();
        let done = record.done_size();
        record.size() - done + done.max(reserved_done_bytes) + added
    }
}

/// Returns the job of the allotment if the watch cache has it.
fn allotted_job<'a>(allotment: &Allotment, cache: &'a WatchCache) -> Option<&'a LiveJob> {
    let first = allotment.attempts.first()?;
    cache.jobs.get(&first.task.job)
}
