//! Allotments of the leader: which of the machines here takes what.

use super::*;

impl Holder {
    pub fn on_allot(
        &mut self,
        now: Time,
        allotment: Allotment,
        replica: &Replica,
        out: &mut Vec<Effect>,
    ) {
        self.waiting.push((now, allotment));
        self.place_waiting(now, replica, out);
        self.flush(now, replica, out);
    }

    pub(super) fn place_waiting(&mut self, now: Time, replica: &Replica, out: &mut Vec<Effect>) {
        for (since, mut allotment) in std::mem::take(&mut self.waiting) {
            let fence = self.fence(replica, allotment.block);
            let job = allotment.runs.first().map(|r| r.task.job.clone());
            let live = job.as_ref().and_then(|j| replica.jobs.get(j));
            let behind = fence.is_none_or(|f| f < allotment.fence)
                || (live.is_none() && replica.revision < allotment.job_revision);
            if behind && now.since(since) < ALLOT_PATIENCE {
                self.waiting.push((since, allotment));
                continue;
            }
            let fits = fence == Some(allotment.fence)
                && live.is_some_and(|j| j.revision == allotment.job_revision);
            let runs = std::mem::take(&mut allotment.runs);
            let mut refused = Vec::new();
            let mut touched = BTreeSet::new();
            for run in runs {
                let place = live.filter(|_| fits).and_then(|job| {
                    let id = self.choose(job, &run, &allotment, replica)?;
                    Some((job, id))
                });
                match place {
                    Some((job, id)) => {
                        if let Some(desk) = self.desks.get_mut(&id) {
                            desk.incoming.push_back(Incoming {
                                since: now,
                                run,
                                spec: job.spec.clone(),
                                job_revision: job.revision,
                            });
                            touched.insert(id);
                        }
                    }
                    None => refused.push(run),
                }
            }
            if !refused.is_empty() {
                out.push(Effect::ToLeader(Message::Refused {
                    fence: allotment.fence,
                    runs: refused,
                }));
            }
            for id in touched {
                self.drive(now, &id, replica, out);
            }
        }
    }

    /// The first of the leader's choices inside the block that fits as the block stands now. The
    /// leader lists every machine of the block that it would accept.
    pub(super) fn choose(
        &self,
        job: &LiveJob,
        run: &Run,
        allotment: &Allotment,
        replica: &Replica,
    ) -> Option<MachineId> {
        let need = job.spec.need();
        let fits = |id: &&MachineId| -> Option<bool> {
            let desk = self.desks.get(*id)?;
            let record = &replica.machines.get(*id)?.record;
            let usable = desk.confirmed && !desk.superseded && desk.notice.is_none();
            let allowed = job
                .spec
                .allows(&record.type_name, &record.zone, record.spot);
            let room = replica.machine_type(&record.type_name)?.room();
            let freed = desk.ripe.as_ref().map_or(Amounts::default(), |r| r.freed);
            let free = room + freed - record.used() - self.promised(desk);
            let in_block = id.block(self.blocks) == allotment.block;
            let stored = self.stored_size(desk, record, run, &job.spec) <= self.value_bytes;
            Some(in_block && usable && allowed && need.fits(free) && stored)
        };
        allotment
            .preferred
            .iter()
            .find(|id| fits(id).unwrap_or(false))
            .cloned()
    }

    /// The size of a machine's record with all that is allotted there and one placement more. What
    /// has ended is not taken off: its end needs room too.
    fn stored_size(&self, desk: &Desk, record: &MachineRecord, run: &Run, spec: &JobSpec) -> usize {
        let ends = self.value_bytes - MachineRecord::room_for_placements(self.value_bytes);
        let mut jobs = BTreeSet::new();
        let incoming = desk.incoming.iter().map(|i| (&i.run, &*i.spec));
        let added = incoming.chain([(run, spec)]).map(|(run, spec)| {
            let task = size::task(run.task.index, run.attempt);
            match jobs.insert(&run.task.job) {
                true => record.size_of_adding(run, spec),
                false => task,
            }
        });
        let added: usize = added.sum();
        let done = record.done_size();
        record.size() - done + done.max(ends) + added
    }

    /// What a desk has taken on that its record does not show yet.
    pub(super) fn promised(&self, desk: &Desk) -> Amounts {
        desk.incoming
            .iter()
            .fold(Amounts::default(), |sum, i| sum + i.spec.need())
    }
}
