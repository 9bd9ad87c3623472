//! Allotments of the leader: which of the machines here takes what.

use super::*;

impl ShardOwner {
    pub(crate) fn on_allot(
        &mut self,
        now: MonotonicTime,
        allotment: Allotment,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.waiting.push((now, allotment));
        self.place_waiting(now, cache, out);
        self.flush(now, cache, out);
    }

    pub(super) fn place_waiting(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        for (since, mut allotment) in std::mem::take(&mut self.waiting) {
            let fence = self.fence(cache, allotment.shard);
            let job = allotment.attempts.first().map(|r| r.task.job.clone());
            let live = job.as_ref().and_then(|j| cache.jobs.get(j));
            let behind = fence.is_none_or(|f| f < allotment.fence)
                || (live.is_none() && cache.revision < allotment.job_revision);
            if behind && now.since(since) < ALLOTMENT_WAIT_LIMIT {
                self.waiting.push((since, allotment));
                continue;
            }
            let fits = fence == Some(allotment.fence)
                && live.is_some_and(|j| j.revision == allotment.job_revision);
            let attempts = std::mem::take(&mut allotment.attempts);
            let mut refused = Vec::new();
            let mut touched = BTreeSet::new();
            for attempt in attempts {
                let place = live.filter(|_| fits).and_then(|job| {
                    let id = self.choose(job, &attempt, &allotment, cache)?;
                    Some((job, id))
                });
                match place {
                    Some((job, id)) => {
                        if let Some(tracker) = self.trackers.get_mut(&id) {
                            tracker.incoming.push_back(Incoming {
                                since: now,
                                attempt,
                                spec: job.spec.clone(),
                                job_revision: job.revision,
                            });
                            touched.insert(id);
                        }
                    }
                    None => refused.push(attempt),
                }
            }
            if !refused.is_empty() {
                out.push(Effect::ToLeader(Message::Refused {
                    fence: allotment.fence,
                    attempts: refused,
                }));
            }
            for id in touched {
                self.step(now, &id, cache, out);
            }
        }
    }

    /// The first of the leader's choices inside the shard that fits as the shard stands now. The
    /// leader lists every machine of the shard that it would accept.
    pub(super) fn choose(
        &self,
        job: &LiveJob,
        attempt: &TaskAttempt,
        allotment: &Allotment,
        cache: &WatchCache,
    ) -> Option<MachineId> {
        let need = job.spec.need();
        let fits = |id: &&MachineId| -> Option<bool> {
            let tracker = self.trackers.get(*id)?;
            let record = &cache.machines.get(*id)?.record;
            let usable = tracker.confirmed && !tracker.superseded && tracker.notice.is_none();
            let allowed = job
                .spec
                .allows(&record.type_name, &record.zone, record.spot);
            let room = cache.machine_type(&record.type_name)?.room();
            let freed = tracker
                .unwritten
                .as_ref()
                .map_or(Resources::default(), |r| r.freed);
            let free = room + freed - record.used() - self.promised(tracker);
            let in_shard = id.shard(self.shards) == allotment.shard;
            let stored = self.stored_size(tracker, record, attempt, &job.spec) <= self.value_bytes;
            Some(in_shard && usable && allowed && need.fits(free) && stored)
        };
        allotment
            .preferred
            .iter()
            .find(|id| fits(id).unwrap_or(false))
            .cloned()
    }

    /// The size of a machine's record with all that is allotted there and one placement more. What
    /// has ended is not taken off: its end needs room too.
    fn stored_size(
        &self,
        tracker: &MachineTracker,
        record: &MachineRecord,
        attempt: &TaskAttempt,
        spec: &JobSpec,
    ) -> usize {
        let ends = self.value_bytes - MachineRecord::placement_capacity(self.value_bytes);
        let mut jobs = BTreeSet::new();
        let incoming = tracker.incoming.iter().map(|i| (&i.attempt, &*i.spec));
        let added = incoming.chain([(attempt, spec)]).map(|(attempt, spec)| {
            let task = size::task(attempt.task.index, attempt.number);
            match jobs.insert(&attempt.task.job) {
                true => record.size_of_adding(attempt, spec),
                false => task,
            }
        });
        let added: usize = added.sum();
        let done = record.done_size();
        record.size() - done + done.max(ends) + added
    }

    /// What a tracker has taken on that its record does not show yet.
    pub(super) fn promised(&self, tracker: &MachineTracker) -> Resources {
        tracker
            .incoming
            .iter()
            .fold(Resources::default(), |sum, i| sum + i.spec.need())
    }
}
