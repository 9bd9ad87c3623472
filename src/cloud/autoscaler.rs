//! Decisions about the fleet. No I/O: calls are returned as effects.

mod scale_in;
mod scale_out;
mod unresponsive;

use super::arrival_rate::ArrivalRate;
use super::demand::{self, Batch, Load};
use crate::config::Config;
use crate::ids::{MachineId, Millis, MonotonicTime, Resources, Revision, TypeName, UnixTime, Zone};
use crate::placement::{Scheduler, UnmetDemand, replicas, spare_replicas};
use crate::protocol::{
    Catalog, JobKind, JobSpec, ListedMachine, MachineState, MachineType, RentRequest,
};
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug)]
pub(crate) enum Effect {
    Rent(RentRequest),
    Delete(Vec<MachineId>),
    List,
    Catalog,
    /// The machine is proved gone: its record goes, with all placements on it.
    DropRecord(MachineId),
}

#[derive(Debug)]
pub(crate) enum RentOutcome {
    Rented(Vec<MachineId>),
    NoCapacity,
    /// Refused for now, or no answer: the same request may be repeated.
    Again,
    Malformed,
}

const LIST_INTERVAL: Millis = Millis(2500);
const CATALOG_INTERVAL: Millis = Millis(60_000);
const NO_CAPACITY_BACKOFF: Millis = Millis(15_000);
const CLOUD_RETRY_DELAY: Millis = Millis(1500);
const MAX_DELETIONS_PER_CALL: usize = 100;

#[derive(Clone, Debug)]
struct Boot {
    type_name: TypeName,
    zone: Zone,
    spot: bool,
    rented: MonotonicTime,
    seen: MonotonicTime,
}

#[derive(Debug)]
struct PendingRental {
    request: RentRequest,
    sent: bool,
    retry_at: MonotonicTime,
    since: MonotonicTime,
}

pub(crate) struct Autoscaler {
    config: Config,
    term: Revision,
    term_since: MonotonicTime,
    counter: u64,
    booting: BTreeMap<MachineId, Boot>,
    failed: BTreeSet<MachineId>,
    rentals: Vec<PendingRental>,
    no_capacity: BTreeMap<(TypeName, Zone, bool), MonotonicTime>,
    deleting: BTreeMap<MachineId, MonotonicTime>,
    /// Since when a machine gets nothing new.
    leaving_since: BTreeMap<MachineId, MonotonicTime>,
    /// Deleted lately: the list still shows them for a while.
    deleted: BTreeMap<MachineId, MonotonicTime>,
    /// The load of the last while, its latest, and what the usable machines hold.
    recent: VecDeque<(MonotonicTime, Load)>,
    load: Load,
    arrival_rate: ArrivalRate,
    batches: Vec<Batch>,
    capacity: u64,
    /// What ordinary machines hold of it, and what is kept for the next replicas.
    on_demand: u64,
    spare: u64,
    pub unix_time: UnixTime,
    /// How many changes the key-value store takes in a second from all controllers.
    pub change_rate: f64,
    next_list: MonotonicTime,
    listing: bool,
    next_catalog: MonotonicTime,
    next_scale_in: MonotonicTime,
    catalog: Option<Catalog>,
}

impl Autoscaler {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            config: config.clone(),
            term: Revision(0),
            term_since: MonotonicTime::default(),
            counter: 0,
            booting: BTreeMap::new(),
            failed: BTreeSet::new(),
            rentals: Vec::new(),
            no_capacity: BTreeMap::new(),
            deleting: BTreeMap::new(),
            leaving_since: BTreeMap::new(),
            deleted: BTreeMap::new(),
            recent: VecDeque::new(),
            load: Load::default(),
            arrival_rate: ArrivalRate::default(),
            batches: Vec::new(),
            capacity: 0,
            on_demand: 0,
            spare: 0,
            unix_time: UnixTime(0),
            change_rate: config.state.rates.changes,
            next_list: MonotonicTime::default(),
            listing: false,
            next_catalog: MonotonicTime::default(),
            next_scale_in: MonotonicTime::default(),
            catalog: None,
        }
    }

    pub(crate) fn on_catalog(&mut self, now: MonotonicTime, catalog: Option<Catalog>) {
        self.next_catalog = now
            + if catalog.is_some() {
                CATALOG_INTERVAL
            } else {
                Millis(1000)
            };
        if catalog.is_some() {
            self.catalog = catalog;
        }
    }

    /// The catalog to write, if the stored one is another; prices move all the time and are
    /// only stored along with a change of substance.
    pub(crate) fn catalog_to_store(&self, cache: &WatchCache) -> Option<&Catalog> {
        let new = self.catalog.as_ref()?;
        let plain = |c: &Catalog| -> Vec<MachineType> {
            let strip = |t: &MachineType| MachineType {
                price: 0.0,
                spot_price: 0.0,
                ..t.clone()
            };
            c.types.iter().map(strip).collect()
        };
        let same = cache
            .catalog
            .as_ref()
            .is_some_and(|old| plain(&old.value) == plain(new));
        (!same).then_some(new)
    }

    pub(crate) fn on_list(
        &mut self,
        now: MonotonicTime,
        machines: Option<Vec<ListedMachine>>,
        cache: &WatchCache,
    ) {
        self.listing = false;
        self.next_list = now + LIST_INTERVAL;
        let Some(machines) = machines else { return };
        for m in machines {
            if self.deleted.contains_key(&m.id) {
                continue;
            }
            if m.state == MachineState::Failed {
                self.failed.insert(m.id);
            } else if !cache.machines.contains_key(&m.id) {
                let boot = Boot {
                    type_name: m.type_name,
                    zone: m.zone,
                    spot: m.spot,
                    rented: now - Millis::from_secs(m.age_s),
                    seen: now,
                };
                self.booting
                    .entry(m.id)
                    .and_modify(|b| b.seen = now)
                    .or_insert(boot);
            }
        }
    }

    pub(crate) fn on_rent(
        &mut self,
        now: MonotonicTime,
        request: &RentRequest,
        outcome: RentOutcome,
    ) {
        let Some(at) = self
            .rentals
            .iter()
            .position(|r| r.request.request == request.request)
        else {
            return;
        };
        match outcome {
            RentOutcome::Rented(machines) => {
                let rental = self.rentals.remove(at);
                for id in machines {
                    let boot = Boot {
                        type_name: request.type_name.clone(),
                        zone: request.zone.clone(),
                        spot: request.spot,
                        rented: rental.since,
                        seen: now,
                    };
                    self.booting.entry(id).or_insert(boot);
                }
            }
            RentOutcome::NoCapacity => {
                self.rentals.remove(at);
                let kind = (
                    request.type_name.clone(),
                    request.zone.clone(),
                    request.spot,
                );
                self.no_capacity.insert(kind, now + NO_CAPACITY_BACKOFF);
            }
            RentOutcome::Malformed => {
                self.rentals.remove(at);
            }
            RentOutcome::Again => {
                let rental = &mut self.rentals[at];
                rental.sent = false;
                rental.retry_at = now + CLOUD_RETRY_DELAY;
                // Demand has changed since; the name is never used again, and what the request
                // may still rent is found in the list.
                if now.since(rental.since) > Millis(20_000) {
                    self.rentals.remove(at);
                }
            }
        }
    }

    pub(crate) fn on_deleted(
        &mut self,
        now: MonotonicTime,
        ids: &[MachineId],
        ok: bool,
        out: &mut Vec<Effect>,
    ) {
        for id in ids {
            if ok {
                self.deleting.remove(id);
                self.failed.remove(id);
                self.booting.remove(id);
                self.deleted.insert(id.clone(), now);
                out.push(Effect::DropRecord(id.clone()));
            } else {
                self.deleting.insert(id.clone(), now + CLOUD_RETRY_DELAY);
            }
        }
    }

    fn begin_term(&mut self, term: Revision, now: MonotonicTime) {
        if self.term != term {
            self.term = term;
            self.term_since = now;
            self.counter = 0;
            self.rentals.clear();
            self.deleting.clear();
            self.recent.clear();
            self.arrival_rate.clear();
            self.next_list = now;
        }
    }

    pub(crate) fn step(
        &mut self,
        now: MonotonicTime,
        term: Revision,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
        out: &mut Vec<Effect>,
    ) {
        self.begin_term(term, now);
        if !self.listing && now >= self.next_list {
            self.listing = true;
            out.push(Effect::List);
        }
        if now >= self.next_catalog {
            self.next_catalog = now + Millis(5000);
            out.push(Effect::Catalog);
        }
        self.booting
            .retain(|id, b| !cache.machines.contains_key(id) && now.since(b.seen) < Millis(30_000));
        self.deleted.retain(|_, at| now.since(*at) < Millis(60_000));
        self.no_capacity.retain(|_, until| now < *until);
        // A machine whose record can't be removed yet is gone all the same: once is enough.
        let silent = self.machines_to_decommission(now, cache, scheduler);
        self.decommission(now, silent);
        let needless = self.unused(now, cache, scheduler);
        self.decommission(now, needless);
        // A record that came back with a late heartbeat, or whose removal failed, goes as well.
        for id in self.deleted.keys() {
            if cache.machines.contains_key(id) {
                out.push(Effect::DropRecord(id.clone()));
            }
        }
        let due: Vec<MachineId> = self
            .deleting
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .take(MAX_DELETIONS_PER_CALL)
            .collect();
        if !due.is_empty() {
            for id in &due {
                self.deleting.insert(id.clone(), now + Millis(8000));
                scheduler.leaving.insert(id.clone());
            }
            out.push(Effect::Delete(due));
        }
        self.scale_out(now, cache, scheduler);
        for rental in &mut self.rentals {
            if !rental.sent && now >= rental.retry_at {
                rental.sent = true;
                out.push(Effect::Rent(rental.request.clone()));
            }
        }
    }

    fn boot_time(&self, type_name: &TypeName, cache: &WatchCache) -> f64 {
        cache.machine_type(type_name).map_or(60.0, |t| t.boot_s)
    }

    /// How long a machine may be silent before nothing is hoped for any more.
    pub(crate) fn patience(&self, cache: &WatchCache) -> Millis {
        Millis::from_secs(cache.settings().silent_s).max(
            self.config.heartbeat_interval + Millis(self.config.heartbeat_interval.0 / 4 + 2500),
        )
    }

    /// The cloud has answered its deletion.
    pub(crate) fn is_deleted(&self, id: &MachineId) -> bool {
        self.deleted.contains_key(id)
    }

    /// These machines are deleted, whatever else is thought of them.
    pub(crate) fn decommission(&mut self, now: MonotonicTime, machines: Vec<MachineId>) {
        for id in machines {
            if !self.deleted.contains_key(&id) {
                self.deleting.entry(id).or_insert(now);
            }
        }
    }

    pub(crate) fn booting(&self) -> usize {
        self.booting.len()
    }
}

#[cfg(test)]
use unresponsive::OwnerSilence;

#[cfg(test)]
mod tests;
