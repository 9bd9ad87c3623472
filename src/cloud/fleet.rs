//! Decisions about the fleet. No I/O: calls are returned as effects.

use super::demand::{self, Batch, Load};
use super::flow::Flow;
use crate::config::Config;
use crate::ids::{Amounts, MachineId, Revision, Span, Time, TypeName, Wall, Zone};
use crate::placement::{Scheduler, Shortage, replicas, spare_replicas};
use crate::store::replica::Replica;
use crate::wire::{Catalog, ListedMachine, MachineState, MachineType, RentRequest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug)]
pub enum Effect {
    Rent(RentRequest),
    Delete(Vec<MachineId>),
    List,
    Catalog,
    /// The machine is proved gone: its record goes, with all placements on it.
    DropRecord(MachineId),
}

#[derive(Debug)]
pub enum RentOutcome {
    Rented(Vec<MachineId>),
    NoCapacity,
    /// Refused for now, or no answer: the same request may be repeated.
    Again,
    Malformed,
}

const LIST: Span = Span(2500);
const CATALOG: Span = Span(60_000);
const NO_CAPACITY: Span = Span(15_000);
const RETRY: Span = Span(1500);
/// At most one in so many machines is emptied at a time.
const RETURN_PART: usize = 50;
const MOST_RENTED: u32 = 50;
const MOST_DELETED: usize = 100;
/// Past this many boot times a machine will not come up any more.
const BOOT_GIVEN_UP: f64 = 4.0;
/// Past this many it is not counted on.
const BOOT_LATE: f64 = 2.0;

#[derive(Clone, Debug)]
struct Boot {
    type_name: TypeName,
    zone: Zone,
    spot: bool,
    rented: Time,
    seen: Time,
}

#[derive(Debug)]
struct Rental {
    request: RentRequest,
    sent: bool,
    retry_at: Time,
    since: Time,
}

pub struct Fleet {
    config: Config,
    term: Revision,
    term_since: Time,
    counter: u64,
    booting: BTreeMap<MachineId, Boot>,
    failed: BTreeSet<MachineId>,
    rentals: Vec<Rental>,
    no_capacity: BTreeMap<(TypeName, Zone, bool), Time>,
    deleting: BTreeMap<MachineId, Time>,
    /// Since when a machine gets nothing new.
    left: BTreeMap<MachineId, Time>,
    /// Deleted lately: the list still shows them for a while.
    deleted: BTreeMap<MachineId, Time>,
    /// The load of the last while, its latest, and what the usable machines hold.
    recent: VecDeque<(Time, Load)>,
    load: Load,
    flow: Flow,
    batches: Vec<Batch>,
    capacity: u64,
    /// What ordinary machines hold of it, and what is kept for the next replicas.
    steady: u64,
    spare: u64,
    pub wall: Wall,
    next_list: Time,
    listing: bool,
    next_catalog: Time,
    next_return: Time,
    catalog: Option<Catalog>,
}

impl Fleet {
    pub fn new(config: &Config) -> Self {
        Self {
            config: config.clone(),
            term: Revision(0),
            term_since: Time::default(),
            counter: 0,
            booting: BTreeMap::new(),
            failed: BTreeSet::new(),
            rentals: Vec::new(),
            no_capacity: BTreeMap::new(),
            deleting: BTreeMap::new(),
            left: BTreeMap::new(),
            deleted: BTreeMap::new(),
            recent: VecDeque::new(),
            load: Load::default(),
            flow: Flow::default(),
            batches: Vec::new(),
            capacity: 0,
            steady: 0,
            spare: 0,
            wall: Wall(0),
            next_list: Time::default(),
            listing: false,
            next_catalog: Time::default(),
            next_return: Time::default(),
            catalog: None,
        }
    }

    pub fn on_catalog(&mut self, now: Time, catalog: Option<Catalog>) {
        self.next_catalog = now
            + if catalog.is_some() {
                CATALOG
            } else {
                Span(1000)
            };
        if catalog.is_some() {
            self.catalog = catalog;
        }
    }

    /// The catalog to write, if the stored one is another; prices move all the time and are
    /// only stored along with a change of substance.
    pub fn catalog_to_store(&self, replica: &Replica) -> Option<&Catalog> {
        let new = self.catalog.as_ref()?;
        let plain = |c: &Catalog| -> Vec<MachineType> {
            let strip = |t: &MachineType| MachineType {
                price: 0.0,
                spot_price: 0.0,
                ..t.clone()
            };
            c.types.iter().map(strip).collect()
        };
        let same = replica
            .catalog
            .as_ref()
            .is_some_and(|old| plain(&old.value) == plain(new));
        (!same).then_some(new)
    }

    pub fn on_list(&mut self, now: Time, machines: Option<Vec<ListedMachine>>, replica: &Replica) {
        self.listing = false;
        self.next_list = now + LIST;
        let Some(machines) = machines else { return };
        for m in machines {
            if self.deleted.contains_key(&m.id) {
                continue;
            }
            if m.state == MachineState::Failed {
                self.failed.insert(m.id);
            } else if !replica.machines.contains_key(&m.id) {
                let boot = Boot {
                    type_name: m.type_name,
                    zone: m.zone,
                    spot: m.spot,
                    rented: now - Span::from_secs(m.age_s),
                    seen: now,
                };
                self.booting
                    .entry(m.id)
                    .and_modify(|b| b.seen = now)
                    .or_insert(boot);
            }
        }
    }

    pub fn on_rent(&mut self, now: Time, request: &RentRequest, outcome: RentOutcome) {
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
                self.no_capacity.insert(kind, now + NO_CAPACITY);
            }
            RentOutcome::Malformed => {
                self.rentals.remove(at);
            }
            RentOutcome::Again => {
                let rental = &mut self.rentals[at];
                rental.sent = false;
                rental.retry_at = now + RETRY;
                // Demand has changed since; the name is never used again, and what the request
                // may still rent is found in the list.
                if now.since(rental.since) > Span(20_000) {
                    self.rentals.remove(at);
                }
            }
        }
    }

    pub fn on_deleted(&mut self, now: Time, ids: &[MachineId], ok: bool, out: &mut Vec<Effect>) {
        for id in ids {
            if ok {
                self.deleting.remove(id);
                self.failed.remove(id);
                self.booting.remove(id);
                self.deleted.insert(id.clone(), now);
                out.push(Effect::DropRecord(id.clone()));
            } else {
                self.deleting.insert(id.clone(), now + RETRY);
            }
        }
    }

    fn enter(&mut self, term: Revision, now: Time) {
        if self.term != term {
            self.term = term;
            self.term_since = now;
            self.counter = 0;
            self.rentals.clear();
            self.deleting.clear();
            self.recent.clear();
            self.flow.clear();
            self.next_list = now;
        }
    }

    pub fn drive(
        &mut self,
        now: Time,
        term: Revision,
        replica: &Replica,
        scheduler: &mut Scheduler,
        out: &mut Vec<Effect>,
    ) {
        self.enter(term, now);
        if !self.listing && now >= self.next_list {
            self.listing = true;
            out.push(Effect::List);
        }
        if now >= self.next_catalog {
            self.next_catalog = now + Span(5000);
            out.push(Effect::Catalog);
        }
        self.booting
            .retain(|id, b| !replica.machines.contains_key(id) && now.since(b.seen) < Span(30_000));
        self.deleted.retain(|_, at| now.since(*at) < Span(60_000));
        self.no_capacity.retain(|_, until| now < *until);
        // A machine whose record can't be removed yet is gone all the same: once is enough.
        let silent = self.given_up(now, replica, scheduler);
        self.give_up(now, silent);
        let needless = self.unused(now, replica, scheduler);
        self.give_up(now, needless);
        // A record that came back with a late report, or whose removal failed, goes as well.
        for id in self.deleted.keys() {
            if replica.machines.contains_key(id) {
                out.push(Effect::DropRecord(id.clone()));
            }
        }
        let due: Vec<MachineId> = self
            .deleting
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| id.clone())
            .take(MOST_DELETED)
            .collect();
        if !due.is_empty() {
            for id in &due {
                self.deleting.insert(id.clone(), now + Span(8000));
                scheduler.leaving.insert(id.clone());
            }
            out.push(Effect::Delete(due));
        }
        self.rent(now, replica, scheduler);
        for rental in &mut self.rentals {
            if !rental.sent && now >= rental.retry_at {
                rental.sent = true;
                out.push(Effect::Rent(rental.request.clone()));
            }
        }
    }

    fn boot_time(&self, type_name: &TypeName, replica: &Replica) -> f64 {
        replica.machine_type(type_name).map_or(60.0, |t| t.boot_s)
    }

    /// How long a machine may be silent before nothing is hoped for any more.
    pub fn patience(&self, replica: &Replica) -> Span {
        Span::from_secs(replica.settings().silent_s)
            .max(self.config.report + Span(self.config.report.0 / 4 + 2500))
    }

    /// The cloud has answered its deletion.
    pub fn is_deleted(&self, id: &MachineId) -> bool {
        self.deleted.contains_key(id)
    }

    /// These machines are deleted, whatever else is thought of them.
    pub fn give_up(&mut self, now: Time, machines: Vec<MachineId>) {
        for id in machines {
            if !self.deleted.contains_key(&id) {
                self.deleting.entry(id).or_insert(now);
            }
        }
    }

    /// Machines that failed, never came up, or have been silent for too long. Deleting them is
    /// also the proof that their tasks are gone.
    fn given_up(&self, now: Time, replica: &Replica, scheduler: &Scheduler) -> Vec<MachineId> {
        let mut list: Vec<MachineId> = self.failed.iter().cloned().collect();
        for (id, boot) in &self.booting {
            let limit = BOOT_GIVEN_UP * self.boot_time(&boot.type_name, replica).max(10.0);
            if now.since(boot.rented) > Span::from_secs(limit) {
                list.push(id.clone());
            }
        }
        let patience = self.patience(replica);
        let overdue = self.config.report + Span(self.config.report.0 / 4 + 500);
        let mut by_holder: BTreeMap<&str, Quiet<'_>> = BTreeMap::new();
        for (id, health) in &scheduler.health {
            let lease = replica.blocks.get(&id.block(self.config.blocks()));
            let Some(lease) = lease.filter(|l| l.revision == health.last.fence) else {
                continue;
            };
            let entry = by_holder.entry(lease.value.holder.as_str()).or_default();
            entry.count += 1;
            entry.overdue += usize::from(health.last.silent >= overdue);
            if health.last.silent >= patience && now.since(health.at) < Span(3000) {
                entry.silent.push(id);
            }
        }
        let all = by_holder.values().fold((0, 0), |(count, overdue), q| {
            (count + q.count, overdue + q.overdue)
        });
        for quiet in by_holder.into_values() {
            let rest = (all.0 - quiet.count, all.1 - quiet.overdue);
            let doubtful = quiet.is_doubtful(rest);
            let silent = quiet.silent;
            // But most may really be gone: after a while they are given up all the same, or
            // their work would wait for ever (simulated seed 45).
            let given_up = silent.into_iter().filter(|id| {
                !doubtful || scheduler.health[*id].last.silent >= Span(4 * patience.0)
            });
            list.extend(given_up.cloned());
        }
        list
    }

    /// Empties machines that the load has not needed for a while, the dearest first, and returns
    /// those that are empty. What runs on them may finish; replicas are moved.
    fn unused(
        &mut self,
        now: Time,
        replica: &Replica,
        scheduler: &mut Scheduler,
    ) -> Vec<MachineId> {
        let settings = replica.settings();
        let (mut load, batches) = demand::load(self.wall, replica, &self.config);
        self.flow.look(self.wall, replica);
        load.arrays = load.arrays.max(self.flow.cpus(self.wall));
        self.recent.push_back((now, load));
        let window = Span::from_secs(settings.idle_s);
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.recent.pop_front();
        }
        let peak = self
            .recent
            .iter()
            .fold(Load::default(), |p, (_, l)| p.max(*l));
        self.load = load;
        self.batches = batches;
        let spare = spare_replicas(replica).map_or(0, |(need, count)| need.cpus * count);
        self.spare = spare;
        let mut cpus = 0;
        let mut steady_cpus = 0;
        let mut staying: Vec<(bool, usize, u64, u64, MachineId)> = Vec::new();
        scheduler
            .leaving
            .retain(|id| replica.machines.contains_key(id));
        for (id, machine) in &replica.machines {
            let room = replica
                .machine_type(&machine.record.type_name)
                .map_or(0, |t| t.room().cpus);
            if scheduler.present(now, id) {
                cpus += room;
                steady_cpus += if machine.record.spot { 0 } else { room };
                let used = machine.record.used().cpus;
                let (replicas, in_use) = replicas(machine, replica);
                // Moving replicas costs them a moment: only where little is moved for much.
                if 4 * in_use.cpus > room {
                    continue;
                }
                staying.push((machine.record.spot, replicas, used, room, id.clone()));
            }
        }
        self.capacity = cpus;
        self.steady = steady_cpus;
        // Those that are leaving go once nothing can be on its way to them any more.
        self.left.retain(|id, _| scheduler.leaving.contains(id));
        for id in &scheduler.leaving {
            self.left.entry(id.clone()).or_insert(now);
        }
        let empty = |id: &&MachineId| {
            let machine = replica.machines.get(*id);
            let block = id.block(self.config.blocks());
            machine.is_some_and(|m| m.record.jobs.is_empty())
                && self
                    .left
                    .get(*id)
                    .is_some_and(|at| !scheduler.allotted_before(block, *at))
        };
        let list = scheduler
            .leaving
            .iter()
            .filter(|id| !self.deleting.contains_key(*id))
            .filter(empty)
            .cloned()
            .collect();
        let short = scheduler.shortages.iter().any(|s| s.tasks > 0);
        // A new leader first looks on for a while.
        let seen = self
            .recent
            .front()
            .is_some_and(|(at, _)| now.since(*at) + Span(1000) > window);
        if !short && seen && now >= self.next_return {
            staying.sort();
            // A part of the fleet at a time: a small one gives up one, a large one several.
            let mut most = 1 + staying.len() / RETURN_PART;
            for (spot, _, _, room, id) in staying {
                let needless = cpus >= peak.total() + spare + room
                    && (spot || steady_cpus >= peak.services + spare + room);
                if !needless || most == 0 {
                    continue;
                }
                most -= 1;
                cpus -= room;
                steady_cpus -= if spot { 0 } else { room };
                self.next_return = now + Span(800);
                scheduler.leaving.insert(id);
            }
        }
        list
    }

    /// Takes machines back that were to leave, when they are needed again after all.
    fn stay(&mut self, lack: &mut u64, replica: &Replica, scheduler: &mut Scheduler) {
        while *lack > 0 {
            let back = scheduler
                .leaving
                .iter()
                .find(|id| !self.deleting.contains_key(*id) && replica.machines.contains_key(*id))
                .cloned();
            let Some(id) = back else { return };
            scheduler.leaving.remove(&id);
            let room = replica
                .machines
                .get(&id)
                .and_then(|m| replica.machine_type(&m.record.type_name))
                .map_or(0, |t| t.room().cpus);
            *lack = lack.saturating_sub(room.max(1));
        }
    }

    /// Rents for what found no room, less what is already on its way.
    fn rent(&mut self, now: Time, replica: &Replica, scheduler: &mut Scheduler) {
        // What an earlier leader has just rented shows in the list only after its lag: until
        // then a new one would rent it all again.
        if now.since(self.term_since) < self.config.list_lag + Span(1500) {
            return;
        }
        let Some(catalog) = self
            .catalog
            .as_ref()
            .or(replica.catalog.as_ref().map(|c| &c.value))
        else {
            return;
        };
        let catalog = catalog.clone();
        let mut coming: Vec<(TypeName, Zone, bool, Amounts)> = Vec::new();
        for boot in self.booting.values() {
            let late = BOOT_LATE * self.boot_time(&boot.type_name, replica);
            if let Some(t) = catalog.types.iter().find(|t| t.name == boot.type_name)
                && now.since(boot.rented) < Span::from_secs(late)
            {
                coming.push((
                    boot.type_name.clone(),
                    boot.zone.clone(),
                    boot.spot,
                    t.room(),
                ));
            }
        }
        for rental in &self.rentals {
            let r = &rental.request;
            if let Some(t) = catalog.types.iter().find(|t| t.name == r.type_name) {
                for _ in 0..r.count {
                    coming.push((r.type_name.clone(), r.zone.clone(), r.spot, t.room()));
                }
            }
        }
        let on_the_way: u64 = coming.iter().map(|(_, _, _, room)| room.cpus).sum();
        let boot = catalog.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let capacity = (self.capacity + on_the_way).saturating_sub(self.load.services);
        let mut lack = demand::lacking(&self.batches, capacity as f64, boot) as u64;
        lack = lack.max(self.flow.cpus(self.wall).saturating_sub(capacity));
        let mut shortages = scheduler.shortages.clone();
        if shortages.iter().any(|s| s.together) || lack > 0 {
            let mut wanted = lack.max(1);
            self.stay(&mut wanted, replica, scheduler);
            lack = lack.min(wanted);
        }
        tracing::debug!(load = ?self.load, capacity = self.capacity, on_the_way, lack, shortages = shortages.len(), leaving = scheduler.leaving.len(), "fleet");
        let steady_coming: u64 = coming
            .iter()
            .filter(|(_, _, spot, _)| !spot)
            .map(|(_, _, _, room)| room.cpus)
            .sum();
        let steady = self.steady + steady_coming;
        let service = replica
            .jobs
            .iter()
            .find(|(_, j)| j.spec.kind == crate::wire::Kind::Service);
        // The next replicas must not wait for a machine to boot.
        if steady < self.load.services + self.spare
            && !shortages.iter().any(|s| s.together)
            && let Some((id, job)) = service
        {
            shortages.push(Shortage {
                job: id.clone(),
                need: job.spec.need(),
                tasks: 1,
                seconds: 0.0,
                priority: job.spec.priority,
                together: true,
                cached_only: false,
            });
        }
        // What must run all at once comes first: the rest shares what is left.
        shortages.sort_by_key(|s| !s.together);
        let shortages = merged(shortages, replica);
        for shortage in shortages {
            let Some(job) = replica.jobs.get(&shortage.job) else {
                continue;
            };
            let spec = &job.spec;
            // Tasks of arrays follow one another: only what their deadlines ask for is rented.
            let served = coming.iter().map(|(t, z, s, _)| (t, z, *s)).chain(
                replica
                    .machines
                    .values()
                    .map(|m| (&m.record.type_name, &m.record.zone, m.record.spot)),
            );
            // What no machine of the fleet may run needs one, however idle the others are.
            let nowhere = !served.into_iter().any(|(t, z, s)| {
                spec.allows(t, z, s)
                    && replica
                        .machine_type(t)
                        .is_some_and(|t| shortage.need.fits(t.room()))
            });
            let mut left = if shortage.together || nowhere {
                shortage.tasks
            } else {
                let tasks = lack.div_ceil(shortage.need.cpus.max(1)).min(shortage.tasks);
                lack = lack.saturating_sub(tasks * shortage.need.cpus);
                tasks
            };
            for (type_name, zone, spot, room) in &mut coming {
                if left > 0 && (shortage.together || nowhere) && spec.allows(type_name, zone, *spot)
                {
                    let n = shortage.need.count_in(*room).min(left);
                    *room = *room - shortage.need.times(n);
                    left -= n;
                }
            }
            while left > 0 {
                let Some((machine_type, zone, spot)) =
                    self.cheapest(&catalog, replica, &shortage, left)
                else {
                    break;
                };
                let per = shortage.need.count_in(machine_type.room()).max(1);
                let count = left.div_ceil(per).min(MOST_RENTED.into()) as u32;
                self.counter += 1;
                let request = RentRequest {
                    // The term makes the name unique among all that ever led.
                    request: format!("r-{}-{}", self.term, self.counter),
                    type_name: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                    count,
                };
                let covered = left.min(per * u64::from(count));
                left -= covered;
                let last = covered - per * (u64::from(count) - 1);
                coming.push((
                    machine_type.name.clone(),
                    zone,
                    spot,
                    machine_type.room() - shortage.need.times(last),
                ));
                self.rentals.push(Rental {
                    request,
                    sent: false,
                    retry_at: now,
                    since: now,
                });
                if self.rentals.len() > 16 {
                    return;
                }
            }
        }
    }

    /// The type, zone and kind that does a shortage's work for the least, among those that the
    /// cloud has not refused lately.
    fn cheapest<'a>(
        &self,
        catalog: &'a Catalog,
        replica: &Replica,
        shortage: &Shortage,
        left: u64,
    ) -> Option<(&'a MachineType, Zone, bool)> {
        let spec = &replica.jobs.get(&shortage.job)?.spec;
        let mut best: Option<(f64, usize, &MachineType, Zone, bool)> = None;
        for machine_type in &catalog.types {
            let per = shortage.need.count_in(machine_type.room());
            if per == 0 {
                continue;
            }
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let kind = (machine_type.name.clone(), zone.clone(), spot);
                    let pending = self.rentals.iter().any(|r| {
                        (&r.request.type_name, &r.request.zone, r.request.spot)
                            == (&kind.0, &kind.1, kind.2)
                    });
                    if !spec.allows(&kind.0, zone, spot)
                        || self.no_capacity.contains_key(&kind)
                        || pending
                    {
                        continue;
                    }
                    let price = if spot {
                        machine_type.spot_price
                    } else {
                        machine_type.price
                    };
                    // Others will join a replica; a batch leaves with its last task.
                    let tasks = if shortage.together { per } else { left };
                    let cost = price * tasks.div_ceil(per) as f64 / tasks as f64;
                    let here = replica
                        .machines
                        .values()
                        .filter(|m| m.record.zone == *zone)
                        .count();
                    let better = best
                        .as_ref()
                        .is_none_or(|(c, n, ..)| (cost, here) < (*c, *n));
                    if better {
                        best = Some((cost, here, machine_type, zone.clone(), spot));
                    }
                }
            }
        }
        best.map(|(_, _, t, zone, spot)| (t, zone, spot))
    }

    pub fn booting(&self) -> usize {
        self.booting.len()
    }
}

/// What a holder says of its machines.
#[derive(Debug, Default)]
struct Quiet<'a> {
    count: usize,
    /// A report of theirs should have come by now.
    overdue: usize,
    /// Silent for so long that they would be given up.
    silent: Vec<&'a MachineId>,
}

impl Quiet<'_> {
    /// Whether it is rather the holder that hears nothing: most of its machines are silent, or far
    /// more than of all others, `rest`, though blocks are dealt out over zones and types alike. The
    /// first of them are silent for long while the most have a moment left: what is overdue counts
    /// (Tramite fleet, apart: a hundred healthy machines were deleted before it was clear).
    fn is_doubtful(&self, rest: (usize, usize)) -> bool {
        let most = self.silent.len() > 1.max(self.count / 2);
        let (others, overdue) = rest;
        // More than an eighth, and more than three times the others' part.
        let far_more = 8 * self.overdue > self.count
            && self.overdue > 3
            && self.overdue * others > 3 * overdue * self.count;
        most || (far_more && others > 0)
    }
}

/// Arrays that may use the same machines rent together: calls are few, and each may bring many
/// machines. They keep the place of the first of them.
fn merged(shortages: Vec<Shortage>, replica: &Replica) -> Vec<Shortage> {
    let mut list: Vec<Shortage> = Vec::new();
    for shortage in shortages {
        let spec = |s: &Shortage| replica.jobs.get(&s.job).map(|j| j.spec.clone());
        let same = |other: &&mut Shortage| {
            let alike = match (spec(&shortage), spec(other)) {
                (Some(a), Some(b)) => (&a.types, &a.zone, a.spot) == (&b.types, &b.zone, b.spot),
                _ => false,
            };
            alike && !shortage.together && !other.together && other.need == shortage.need
        };
        match list.iter_mut().find(same) {
            Some(other) => other.tasks += shortage.tasks,
            None => list.push(shortage),
        }
    }
    list
}

#[cfg(test)]
mod tests;
