//! Sends the decisions of a pass to the shard owners.

use super::{Effect, Scheduler};
use crate::ids::{Millis, MonotonicTime};
use crate::peers::Message;
use crate::placement::allotment_ledger::AllottedTask;
use crate::placement::pending_allotment::PendingAllotment;
use crate::placement::preemption::TaskStop;
use crate::store::watch_cache::WatchCache;

impl Scheduler {
    /// Sends the stops to the shard owners. Each carries the time that the task needs to save its
    /// checkpoint.
    pub(super) fn send_stops(
        &mut self,
        now: MonotonicTime,
        stops: Vec<TaskStop>,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        for TaskStop { machine, attempt } in stops {
            let shard = machine.shard(self.config.shard_count());
            let Some(record) = cache.shards.get(&shard) else {
                continue;
            };
            let job = cache.jobs.get(&attempt.task.job);
            let grace = job.map_or(Millis(0), |j| {
                Millis::from_secs(j.spec.checkpoint_duration_s)
            });
            self.preempted.insert(attempt.clone(), now);
            let message = Message::Stop {
                machine,
                attempt,
                grace,
            };
            let owner = record.value.owner.clone();
            out.push(Effect::ToShardOwner(owner, Box::new(message)));
        }
    }

    /// Sends the allotments to the shard owners and records them in the ledger.
    pub(super) fn send_allotments(
        &mut self,
        now: MonotonicTime,
        allotments: Vec<PendingAllotment>,
        out: &mut Vec<Effect>,
    ) {
        for pending_allotment in allotments {
            let allotment = pending_allotment.allotment;
            for attempt in &allotment.attempts {
                let task = AllottedTask {
                    shard: allotment.shard,
                    fence: allotment.fence,
                    machine: pending_allotment.machine.clone(),
                    team: pending_allotment.team.clone(),
                    need: pending_allotment.need,
                    allotted_at: now,
                };
                self.allotment_ledger.add(attempt.clone(), task);
            }
            let message = Box::new(Message::Allot(allotment));
            out.push(Effect::ToShardOwner(pending_allotment.owner, message));
        }
    }
}
