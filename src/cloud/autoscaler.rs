//! Decides which machines to rent and which to delete. It performs no I/O: cloud calls and store changes
//! are returned as effects.

mod boots;
mod cheapest_offer;
mod deletions;
mod incoming;
mod load_history;
mod machine_offer;
mod polls;
mod rentals;
mod scale_in;
mod scale_out;
mod unresponsive;

pub(crate) use rentals::RentOutcome;

use crate::config::Config;
use crate::ids::{MachineId, MonotonicTime, Revision, UnixTime};
use crate::placement::Scheduler;
use crate::protocol::{Catalog, ListedMachine, MachineState, RentRequest};
use crate::store::watch_cache::WatchCache;
use boots::Boots;
use deletions::Deletions;
use load_history::LoadHistory;
use polls::{CatalogPoll, MachineListPoll};
use rentals::Rentals;
use scale_in::FleetCapacity;
use std::collections::{BTreeMap, BTreeSet};

/// A call to the cloud, or a change of stored state, that the caller carries out for the autoscaler.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Rent machines. The response is passed to `Autoscaler::on_rent_outcome`.
    RentMachines(RentRequest),
    /// Delete these machines. The response is passed to `Autoscaler::on_delete_outcome`.
    DeleteMachines(Vec<MachineId>),
    /// Fetch the list of machines. The response is passed to `Autoscaler::on_machine_list`.
    ListMachines,
    /// Fetch the catalog. The response is passed to `Autoscaler::on_catalog`.
    FetchCatalog,
    /// Delete the record of a machine that the cloud has confirmed as deleted, with all placements on it.
    DeleteRecord(MachineId),
}

/// Rents machines for unmet demand, drains and returns idle machines, and deletes machines that failed,
/// never booted or became unresponsive. Only the leader runs it.
pub(crate) struct Autoscaler {
    config: Config,
    term: Revision,
    term_since: MonotonicTime,
    boots: Boots,
    /// Machines that the cloud lists as failed.
    failed_machines: BTreeSet<MachineId>,
    rentals: Rentals,
    deletions: Deletions,
    /// The time since which each draining machine has received no new tasks.
    draining_since: BTreeMap<MachineId, MonotonicTime>,
    load_history: LoadHistory,
    /// The total capacity of the machines that are up.
    capacity: FleetCapacity,
    /// The CPU capacity that is kept free for additional service replicas, in thousandths of a CPU.
    service_reserve: u64,
    next_scale_in: MonotonicTime,
    machine_list: MachineListPoll,
    catalog: CatalogPoll,
    /// The wall-clock time. The caller sets it before each step.
    pub(crate) unix_time: UnixTime,
    /// The write rate that the key-value store accepts from all controllers together, in changes per second.
    pub(crate) store_write_rate: f64,
}

impl Autoscaler {
    /// Returns an autoscaler that does not know any machine yet.
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            config: config.clone(),
            term: Revision(0),
            term_since: MonotonicTime::default(),
            boots: Boots::default(),
            failed_machines: BTreeSet::new(),
            rentals: Rentals::default(),
            deletions: Deletions::default(),
            draining_since: BTreeMap::new(),
            load_history: LoadHistory::default(),
            capacity: FleetCapacity::default(),
            service_reserve: 0,
            next_scale_in: MonotonicTime::default(),
            machine_list: MachineListPoll::default(),
            catalog: CatalogPoll::default(),
            unix_time: UnixTime(0),
            store_write_rate: config.store_limits.rates.writes,
        }
    }

    /// Handles the response to [`Effect::FetchCatalog`]. `None` means that the call failed.
    pub(crate) fn on_catalog(&mut self, now: MonotonicTime, catalog: Option<Catalog>) {
        self.catalog.finish(now, catalog);
    }

    /// Returns the catalog to store, if the stored one differs from it in more than prices.
    pub(crate) fn catalog_to_store(&self, cache: &WatchCache) -> Option<&Catalog> {
        self.catalog.to_store(cache)
    }

    /// Handles the response to [`Effect::ListMachines`]. `None` means that the call failed.
    pub(crate) fn on_machine_list(
        &mut self,
        now: MonotonicTime,
        machines: Option<Vec<ListedMachine>>,
        cache: &WatchCache,
    ) {
        self.machine_list.finish(now);
        for machine in machines.into_iter().flatten() {
            if self.deletions.is_confirmed(&machine.id) {
                continue;
            }
            if machine.state == MachineState::Failed {
                self.failed_machines.insert(machine.id);
            } else if !cache.machines.contains_key(&machine.id) {
                self.boots.on_listed(now, machine);
            }
        }
    }

    /// Handles the cloud's response to a rent request.
    pub(crate) fn on_rent_outcome(
        &mut self,
        now: MonotonicTime,
        request: &RentRequest,
        outcome: RentOutcome,
    ) {
        if let Some(rented) = self.rentals.on_outcome(now, &request.request, outcome) {
            self.boots
                .on_rented(now, rented.machines, &rented.offer, rented.decided_at);
        }
    }

    /// Handles the cloud's response to a deletion. `ok` means that the machines are deleted.
    pub(crate) fn on_delete_outcome(
        &mut self,
        now: MonotonicTime,
        ids: &[MachineId],
        ok: bool,
        out: &mut Vec<Effect>,
    ) {
        for id in ids {
            if ok {
                self.deletions.confirm(now, id);
                self.failed_machines.remove(id);
                self.boots.remove(id);
                out.push(Effect::DeleteRecord(id.clone()));
            } else {
                self.deletions.retry(now, id);
            }
        }
    }

    /// Evaluates the current state and appends the resulting effects to `out`. When `term`, the leader's
    /// term, changes, the pending operations of the earlier term are dropped.
    pub(crate) fn step(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
        out: &mut Vec<Effect>,
    ) {
        self.begin_term(term, now);
        self.poll_cloud(now, out);
        self.boots.prune(now, cache);
        self.deletions.expire_confirmed(now);
        self.rentals.expire_refusals(now);
        let unresponsive_machines = self.machines_to_decommission(now, cache, scheduler);
        self.decommission(now, unresponsive_machines);
        let drained = self.scale_in(now, cache, scheduler);
        self.decommission(now, drained);
        self.delete_machines(now, cache, scheduler, out);
        self.scale_out(now, cache, scheduler);
        out.extend(
            self.rentals
                .take_due(now)
                .into_iter()
                .map(Effect::RentMachines),
        );
    }

    fn begin_term(&mut self, term: Revision, now: MonotonicTime) {
        if self.term != term {
            self.term = term;
            self.term_since = now;
            self.rentals.begin_term(term);
            self.deletions.begin_term();
            self.load_history.begin_term();
            self.machine_list.begin_term(now);
        }
    }

    fn poll_cloud(&mut self, now: MonotonicTime, out: &mut Vec<Effect>) {
        if self.machine_list.start_if_due(now) {
            out.push(Effect::ListMachines);
        }
        if self.catalog.start_if_due(now) {
            out.push(Effect::FetchCatalog);
        }
    }

    /// Sends the deletions that are due, and deletes the records of machines that the cloud has deleted.
    fn delete_machines(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
        out: &mut Vec<Effect>,
    ) {
        // The record of a deleted machine can still exist, because a late heartbeat can recreate it and
        // because its deletion can fail. Each call therefore deletes the records that are still cached.
        for id in self.deletions.confirmed() {
            if cache.machines.contains_key(id) {
                out.push(Effect::DeleteRecord(id.clone()));
            }
        }
        let due = self.deletions.take_due(now);
        if !due.is_empty() {
            scheduler.draining.extend(due.iter().cloned());
            out.push(Effect::DeleteMachines(due));
        }
    }

    /// Returns whether the cloud has recently confirmed the machine's deletion.
    pub(crate) fn is_deleted(&self, id: &MachineId) -> bool {
        self.deletions.is_confirmed(id)
    }

    /// Requests the deletion of these machines, even if tasks are running on them.
    pub(crate) fn decommission(&mut self, now: MonotonicTime, machines: Vec<MachineId>) {
        for id in machines {
            self.deletions.request(now, id);
        }
    }

    /// Returns the number of machines that are booting.
    pub(crate) fn booting_count(&self) -> usize {
        self.boots.len()
    }
}

#[cfg(test)]
mod tests;
