//! The leader's turn: plans, ends, the cloud, and what is to be cleaned up.

use super::*;
use crate::planning::counter::Layout;

impl Controller {
    pub(super) fn step_leader(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        effects: &mut Vec<Effect>,
    ) {
        self.step_dependents(now, effects);
        let due = (self.needs_scheduling && now >= self.next_schedule)
            || now.since(self.last_schedule) >= MAX_SCHEDULE_INTERVAL;
        if due {
            self.needs_scheduling = false;
            self.last_schedule = now;
            let pause = Millis((self.cache.machines.len() / MACHINES_PER_SCHEDULE_MS) as u64);
            self.next_schedule = now + MIN_SCHEDULE_INTERVAL + pause;
            self.plan(now);
            self.release(now, effects);
            let mut out = Vec::new();
            self.scheduler.step(now, term, &self.cache, &mut out);
            for effect in out {
                match effect {
                    placement::Effect::ToShardOwner(member, message) => {
                        if member == self.config.member {
                            self.dispatch(now, *message, effects);
                        } else {
                            effects.push(Effect::Peer(member, *message));
                        }
                    }
                    placement::Effect::RenewShard(shard) => self.renew(shard, effects),
                }
            }
        }
        self.write_plans(now, term, effects);
        if now >= self.next_autoscaler_step {
            self.next_autoscaler_step = now + AUTOSCALER_INTERVAL;
            let mut out = Vec::new();
            self.autoscaler
                .step(now, term, &self.cache, &mut self.scheduler, &mut out);
            effects.extend(self.cloud_effects(now, out));
            self.store_catalog(now, effects);
        }
        if now >= self.next_history {
            self.next_history = now + HISTORY_WRITE_INTERVAL;
            if let Some((pipeline, record)) = self
                .history
                .next(&self.cache, self.config.state.value_bytes)
            {
                let mut txn = Txn::default();
                txn.require(keys::LEADER, term);
                txn.put(keys::history(&pipeline), &record, None);
                effects.push(Effect::Txn {
                    requester: TxnRequester::Nobody,
                    class: RequestClass::Record,
                    txn,
                });
            }
        }
        if now >= self.next_clean {
            self.next_clean = now + CLEANUP_INTERVAL;
            self.forget_lost(now);
            self.fold(effects);
            let mut txn = Txn::default();
            for key in self.cache.orphaned_keys(self.config.state.txn_ops) {
                txn.delete(key);
            }
            if !txn.changes.is_empty() {
                effects.push(Effect::Txn {
                    requester: TxnRequester::Nobody,
                    class: RequestClass::Record,
                    txn,
                });
            }
        }
    }

    /// Plans what was accepted. The plan serves at once; its record follows.
    pub(super) fn plan(&mut self, now: MonotonicTime) {
        let jobs = self.cache.jobs.iter();
        let unplanned = jobs.filter(|(_, job)| job.plan.is_none());
        let unplanned = unplanned.map(|(id, _)| id);
        let unplanned = unplanned.chain(self.cache.dependency_graph.unplanned());
        let new: Vec<JobId> = unplanned.cloned().collect();
        for id in new {
            for (planned, plan) in plan_job(&id, &self.cache) {
                self.cache.set_plan(&planned, plan.clone());
                if self.plans.is_empty() {
                    self.plans_since = now;
                }
                self.plans.insert(planned, plan);
            }
        }
    }

    /// Writes plans in batches: one change for many. The batch goes once all its jobs are over.
    pub(super) fn write_plans(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        effects: &mut Vec<Effect>,
    ) {
        let room = self.config.state.value_bytes / 2;
        let full = 600 * self.plans.len() > room;
        let due = full || now.since(self.plans_since) >= PLAN_BATCH_DELAY;
        let waits = self.plans_in_flight || now < self.plans_retry_at;
        if self.plans.is_empty() || waits || !due {
            return;
        }
        let mut batch = PlanBatch::new();
        let mut size = 0;
        while size < room
            && let Some((id, plan)) = self.plans.pop_first()
        {
            if self.cache.job_revision(&id).is_some() {
                let machines = plan.machines.iter().map(|m| 4 + m.as_str().len());
                let joins = plan.joins.as_ref().map_or(0, |j| 12 + j.as_str().len());
                size += 80 + id.as_str().len() + machines.sum::<usize>() + joins;
                batch.insert(id, plan);
            }
        }
        self.plans_since = now;
        if batch.is_empty() {
            return;
        }
        self.plan_batch += 1;
        let name = format!("{term}-{}", self.plan_batch);
        let mut txn = Txn::default();
        txn.require(keys::LEADER, term);
        txn.require(keys::plans(&name), Revision(0));
        txn.put(keys::plans(&name), &batch, None);
        self.plans_in_flight = true;
        effects.push(Effect::Txn {
            requester: TxnRequester::Plans(batch.into_keys().collect()),
            class: RequestClass::Record,
            txn,
        });
    }

    /// Ends jobs all of whose tasks are counted as done.
    pub(super) fn release(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        self.completing.retain(|id, at| {
            self.cache.jobs.contains_key(id) && now.since(*at) < COMPLETION_RETRY_INTERVAL
        });
        for (id, job) in &self.cache.jobs {
            if !self.completing.contains_key(id)
                && let Some(txn) = counter::release(id, job, &Layout::new(&self.config))
            {
                self.completing.insert(id.clone(), now);
                effects.push(Effect::Txn {
                    requester: TxnRequester::Release(id.clone()),
                    class: RequestClass::Accept,
                    txn,
                });
            }
        }
    }

    /// Forgets machines without a record of which no shard owner has spoken for a while: what is there
    /// will be found again. Not at once: a shard owner speaks of a new one only after a moment, and
    /// forgotten before that it was never used (simulated seed 557 of the crowded days).
    pub(super) fn forget_lost(&mut self, now: MonotonicTime) {
        let unrecorded = self.cache.machines.iter();
        let unreported_since: Vec<MachineId> = unrecorded
            .filter(|(id, m)| {
                m.revision == Revision(0) && !self.scheduler.has_recent_health(now, id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        self.unreported_since
            .retain(|id, _| unreported_since.contains(id));
        for id in unreported_since {
            let since = *self.unreported_since.entry(id.clone()).or_insert(now);
            if now.since(since) >= UNREPORTED_MACHINE_TIMEOUT {
                self.cache.forget(&id);
            }
        }
    }

    /// Moves what machines' records count into the jobs' own counters where a record grows long.
    pub(super) fn fold(&mut self, effects: &mut Vec<Effect>) {
        let most = self.config.state.value_bytes;
        let records = self.cache.machines.values().map(|m| &m.record);
        // Where there is room beside them they cost nothing, and go when their jobs end.
        let full = records.filter(|r| r.done_size() > most / 4 && r.size() > most / 2);
        let jobs: BTreeSet<&JobId> = full.flat_map(|r| r.done.iter().map(|d| &d.job)).collect();
        for id in jobs.into_iter().take(MAX_COUNTERS_FOLDED) {
            let mut txn = Txn::default();
            if let Some(job) = self.cache.jobs.get(id) {
                let room = self.config.state.txn_ops;
                counter::fold(&mut txn, id, job, &Layout::new(&self.config), room);
            }
            if !txn.changes.is_empty() {
                effects.push(Effect::Txn {
                    requester: TxnRequester::Nobody,
                    class: RequestClass::Place,
                    txn,
                });
            }
        }
    }

    pub(super) fn store_catalog(&mut self, now: MonotonicTime, effects: &mut Vec<Effect>) {
        if self.catalog_in_flight || now < self.catalog_retry_at {
            return;
        }
        if let Some(catalog) = self.autoscaler.catalog_to_store(&self.cache) {
            self.catalog_in_flight = true;
            let mut txn = Txn::default();
            txn.put(keys::CATALOG, catalog, None);
            effects.push(Effect::Txn {
                requester: TxnRequester::Catalog,
                class: RequestClass::Place,
                txn,
            });
        }
    }

    pub(super) fn cloud_effects(
        &mut self,
        now: MonotonicTime,
        out: Vec<cloud::Effect>,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for effect in out {
            match effect {
                cloud::Effect::Rent(request) => effects.push(Effect::Rent(request)),
                cloud::Effect::Delete(ids) => effects.push(Effect::Delete(ids)),
                cloud::Effect::List => effects.push(Effect::List),
                cloud::Effect::Catalog => effects.push(Effect::Catalog),
                cloud::Effect::DropRecord(id) => self.drop_record(now, &id, &mut effects),
            }
        }
        effects
    }

    /// Removes the record of a machine that is gone.
    fn drop_record(&mut self, now: MonotonicTime, id: &MachineId, effects: &mut Vec<Effect>) {
        self.dropping
            .retain(|_, at| now.since(*at) < RECORD_DELETION_RETRY_INTERVAL);
        if self.dropping.contains_key(id) || self.waits_for_counted(now, id) {
            return;
        }
        let Some(machine) = self.cache.machines.get(id) else {
            return;
        };
        // The shard owner may have placed something meanwhile: then this fails, and is built anew on
        // what stands.
        if machine.revision == Revision(0) {
            self.cache.forget(id);
            return;
        }
        self.dropping.insert(id.clone(), now);
        let mut txn = Txn::default();
        txn.require(keys::machine(id), machine.revision);
        // What was counted there goes into the jobs' own counters first: a leader that reads
        // everything anew would run it again.
        let layout = Layout::new(&self.config);
        let mut all = true;
        for done in &machine.record.done {
            let room = layout.txn_ops - 1 - txn.changes.len();
            if let Some(job) = self.cache.jobs.get(&done.job) {
                all &= counter::fold(&mut txn, &done.job, job, &layout, room);
            }
        }
        if all {
            txn.delete(keys::machine(id));
        }
        effects.push(Effect::Txn {
            requester: TxnRequester::Nobody,
            class: RequestClass::Place,
            txn,
        });
    }

    /// Whether the record of a machine that is gone waits for the jobs that it still counts tasks
    /// of: once they are over it goes with a single change, and those are scarce.
    fn waits_for_counted(&mut self, now: MonotonicTime, id: &MachineId) -> bool {
        let machines = &self.cache.machines;
        self.gone_since.retain(|id, _| machines.contains_key(id));
        let since = *self.gone_since.entry(id.clone()).or_insert(now);
        let Some(record) = machines.get(id).map(|m| &m.record) else {
            return false;
        };
        let mut counted = record.done.iter();
        let counts = counted.any(|done| self.cache.jobs.contains_key(&done.job));
        counts
            && record.jobs.is_empty()
            && now.since(since) < MAX_COUNTED_WAIT
            && self.scheduler.changes_are_scarce(now)
    }
}
