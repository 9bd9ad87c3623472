//! Machines that are not needed any more: emptied, then returned.

use super::*;
use crate::cloud::slot_turnaround::turnaround_s;

/// At most one in so many machines is emptied at a time.
const SCALE_IN_DIVISOR: usize = 50;
/// The time between two rounds of it.
const SCALE_IN_INTERVAL: Millis = Millis(800);

/// A machine that could be emptied, in the order in which that is done.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DrainCandidate {
    spot: bool,
    replicas: usize,
    used: u64,
    room: u64,
    id: MachineId,
}

/// For so long a load counts that has passed.
fn idle_window(cache: &WatchCache) -> Millis {
    Millis::from_secs(cache.settings().idle_s)
}

/// Whether something that waits for room may run on a machine.
fn may_serve_waiting(id: &MachineId, cache: &WatchCache, scheduler: &Scheduler) -> bool {
    let Some(record) = cache.machines.get(id).map(|m| &m.record) else {
        return false;
    };
    let waiting = scheduler.unmet_demands.iter();
    let mut jobs = waiting.filter_map(|s| cache.jobs.get(&s.job));
    jobs.any(|job| {
        job.spec
            .allows(&record.type_name, &record.zone, record.spot)
    })
}

impl Autoscaler {
    /// Empties machines that the load has not needed for a while, the dearest first, and returns
    /// those that are empty. What runs on them may finish; replicas are moved.
    pub(super) fn unused(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) -> Vec<MachineId> {
        self.measure_load(now, cache);
        scheduler
            .leaving
            .retain(|id| cache.machines.contains_key(id));
        let drain_candidates = self.measure_capacity(now, cache, scheduler);
        let drained = self.drained(now, cache, scheduler);
        if self.has_looked_on(now, cache) && now >= self.next_scale_in {
            let short = scheduler.unmet_demands.iter().any(|s| s.tasks > 0);
            if !short {
                self.release_idle(now, drain_candidates, scheduler);
            } else if self.is_blocked(cache, scheduler) {
                self.release_unusable(now, drain_candidates, cache, scheduler);
            }
        }
        drained
    }

    /// Takes the load as it is now, and forgets what is older than the time for which a machine
    /// may idle.
    fn measure_load(&mut self, now: MonotonicTime, cache: &WatchCache) {
        let turnaround = turnaround_s(cache, self.change_rate);
        let (mut load, batches) = demand::load(self.unix_time, cache, &self.config, turnaround);
        self.arrival_rate.observe(self.unix_time, cache, turnaround);
        load.arrays = load.arrays.max(self.arrival_rate.cpus(self.unix_time));
        self.recent.push_back((now, load));
        let window = idle_window(cache);
        let old = |at: MonotonicTime| now.since(at) > window;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
        self.load = load;
        self.batches = batches;
        self.spare = spare_replicas(cache).map_or(0, |(need, count)| need.cpus * count);
    }

    /// Takes what the machines hold that are there, and returns those that could be emptied.
    fn measure_capacity(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<DrainCandidate> {
        (self.capacity, self.on_demand) = (0, 0);
        let mut drain_candidates = Vec::new();
        let counts_as_capacity = cache.machines.iter();
        for (id, machine) in
            counts_as_capacity.filter(|(id, _)| scheduler.counts_as_capacity(now, id))
        {
            let spot = machine.record.spot;
            let room = cache
                .machine_type(&machine.record.type_name)
                .map_or(0, |t| t.room().cpus);
            self.capacity += room;
            self.on_demand += if spot { 0 } else { room };
            let (replicas, in_use) = replicas(machine, cache);
            // Moving replicas costs them a moment: only where little is moved for much.
            if 4 * in_use.cpus > room {
                continue;
            }
            drain_candidates.push(DrainCandidate {
                spot,
                replicas,
                used: machine.record.used().cpus,
                room,
                id: id.clone(),
            });
        }
        drain_candidates
    }

    /// Those that are leaving go once nothing is on them, or can be on its way to them any more.
    fn drained(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        self.leaving_since
            .retain(|id, _| scheduler.leaving.contains(id));
        for id in &scheduler.leaving {
            self.leaving_since.entry(id.clone()).or_insert(now);
        }
        let empty = |id: &&MachineId| {
            let machine = cache.machines.get(*id);
            let shard = id.shard(self.config.shards());
            let leaving_since = self.leaving_since.get(*id);
            machine.is_some_and(|m| m.record.jobs.is_empty())
                && leaving_since.is_some_and(|at| !scheduler.allotted_before(shard, *at))
        };
        scheduler
            .leaving
            .iter()
            .filter(|id| !self.deleting.contains_key(*id))
            .filter(empty)
            .cloned()
            .collect()
    }

    /// A new leader first looks on for a while.
    fn has_looked_on(&self, now: MonotonicTime, cache: &WatchCache) -> bool {
        let first = self.recent.front();
        first.is_some_and(|(at, _)| now.since(*at) + Millis(1000) > idle_window(cache))
    }

    /// Lets machines leave that the highest load of the last while did not need: a part of the
    /// fleet at a time, a small one gives up one, a large one several.
    fn release_idle(
        &mut self,
        now: MonotonicTime,
        mut drain_candidates: Vec<DrainCandidate>,
        scheduler: &mut Scheduler,
    ) {
        let peak = self
            .recent
            .iter()
            .fold(Load::default(), |p, (_, l)| p.max(*l));
        let (mut cpus, mut on_demand) = (self.capacity, self.on_demand);
        let mut most = 1 + drain_candidates.len() / SCALE_IN_DIVISOR;
        drain_candidates.sort();
        for machine in drain_candidates {
            let room = machine.room;
            let needless = cpus >= peak.total() + self.spare + room
                && (machine.spot || on_demand >= peak.services + self.spare + room);
            if !needless || most == 0 {
                continue;
            }
            most -= 1;
            cpus -= room;
            on_demand -= if machine.spot { 0 } else { room };
            self.next_scale_in = now + SCALE_IN_INTERVAL;
            scheduler.leaving.insert(machine.id);
        }
    }

    /// Takes machines back that were to leave, when they are needed again after all.
    pub(super) fn reclaim_leaving(
        &mut self,
        cpu_shortfall: &mut u64,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        let none_waits = scheduler.unmet_demands.is_empty();
        while *cpu_shortfall > 0 {
            let back = scheduler
                .leaving
                .iter()
                .filter(|id| !self.deleting.contains_key(*id) && cache.machines.contains_key(*id))
                .find(|id| none_waits || may_serve_waiting(id, cache, scheduler))
                .cloned();
            let Some(id) = back else { return };
            scheduler.leaving.remove(&id);
            let room = cache
                .machines
                .get(&id)
                .and_then(|m| cache.machine_type(&m.record.type_name))
                .map_or(0, |t| t.room().cpus);
            *cpu_shortfall = cpu_shortfall.saturating_sub(room.max(1));
        }
    }

    /// Whether something that must run all at once waits for a machine that the cloud has not got,
    /// with none on its way.
    fn is_blocked(&self, cache: &WatchCache, scheduler: &Scheduler) -> bool {
        let stored = cache.catalog.as_ref().map(|c| &c.value);
        let Some(catalog) = self.catalog.as_ref().or(stored) else {
            return false;
        };
        let together = scheduler.unmet_demands.iter().filter(|s| s.together);
        together.into_iter().any(|unmet_demand| {
            let Some(job) = cache.jobs.get(&unmet_demand.job) else {
                return false;
            };
            let spec = &job.spec;
            let asked = self.rentals.iter().map(|r| &r.request);
            let mut asked = asked.filter(|r| spec.allows(&r.type_name, &r.zone, r.spot));
            let mut booting = self.booting.values();
            asked.next().is_none()
                && !booting.any(|b| spec.allows(&b.type_name, &b.zone, b.spot))
                && self
                    .cheapest(catalog, cache, unmet_demand, unmet_demand.tasks)
                    .is_none()
        })
    }

    /// Lets empty machines leave that nothing which waits may use: they take up what the cloud
    /// could give instead.
    fn release_unusable(
        &mut self,
        now: MonotonicTime,
        drain_candidates: Vec<DrainCandidate>,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        let is_useless = |machine: &DrainCandidate| {
            machine.used == 0 && !may_serve_waiting(&machine.id, cache, scheduler)
        };
        let most = 1 + drain_candidates.len() / SCALE_IN_DIVISOR;
        let useless: Vec<MachineId> = drain_candidates
            .into_iter()
            .filter(is_useless)
            .map(|machine| machine.id)
            .take(most)
            .collect();
        if !useless.is_empty() {
            self.next_scale_in = now + SCALE_IN_INTERVAL;
            scheduler.leaving.extend(useless);
        }
    }
}
