//! Machines that are not needed any more: emptied, then returned.

use super::*;
use crate::cloud::turnaround::turnaround_s;

/// At most one in so many machines is emptied at a time.
const RETURN_PART: usize = 50;
/// The time between two rounds of it.
const RETURN_PAUSE: Millis = Millis(800);

/// A machine that could be emptied, in the order in which that is done.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Movable {
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
    let waiting = scheduler.shortages.iter();
    let mut jobs = waiting.filter_map(|s| cache.jobs.get(&s.job));
    jobs.any(|job| {
        job.spec
            .allows(&record.type_name, &record.zone, record.spot)
    })
}

impl Fleet {
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
        let movable = self.measure_capacity(now, cache, scheduler);
        let emptied = self.emptied(now, cache, scheduler);
        if self.has_looked_on(now, cache) && now >= self.next_return {
            let short = scheduler.shortages.iter().any(|s| s.tasks > 0);
            if !short {
                self.send_away(now, movable, scheduler);
            } else if self.is_blocked(cache, scheduler) {
                self.send_useless_away(now, movable, cache, scheduler);
            }
        }
        emptied
    }

    /// Takes the load as it is now, and forgets what is older than the time for which a machine
    /// may idle.
    fn measure_load(&mut self, now: MonotonicTime, cache: &WatchCache) {
        let turnaround = turnaround_s(cache, self.change_rate);
        let (mut load, batches) = demand::load(self.unix_time, cache, &self.config, turnaround);
        self.flow.look(self.unix_time, cache, turnaround);
        load.arrays = load.arrays.max(self.flow.cpus(self.unix_time));
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
    ) -> Vec<Movable> {
        (self.capacity, self.steady) = (0, 0);
        let mut movable = Vec::new();
        let present = cache.machines.iter();
        for (id, machine) in present.filter(|(id, _)| scheduler.present(now, id)) {
            let spot = machine.record.spot;
            let room = cache
                .machine_type(&machine.record.type_name)
                .map_or(0, |t| t.room().cpus);
            self.capacity += room;
            self.steady += if spot { 0 } else { room };
            let (replicas, in_use) = replicas(machine, cache);
            // Moving replicas costs them a moment: only where little is moved for much.
            if 4 * in_use.cpus > room {
                continue;
            }
            movable.push(Movable {
                spot,
                replicas,
                used: machine.record.used().cpus,
                room,
                id: id.clone(),
            });
        }
        movable
    }

    /// Those that are leaving go once nothing is on them, or can be on its way to them any more.
    fn emptied(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        scheduler: &Scheduler,
    ) -> Vec<MachineId> {
        self.left.retain(|id, _| scheduler.leaving.contains(id));
        for id in &scheduler.leaving {
            self.left.entry(id.clone()).or_insert(now);
        }
        let empty = |id: &&MachineId| {
            let machine = cache.machines.get(*id);
            let shard = id.shard(self.config.shards());
            let left = self.left.get(*id);
            machine.is_some_and(|m| m.record.jobs.is_empty())
                && left.is_some_and(|at| !scheduler.allotted_before(shard, *at))
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
    fn send_away(
        &mut self,
        now: MonotonicTime,
        mut movable: Vec<Movable>,
        scheduler: &mut Scheduler,
    ) {
        let peak = self
            .recent
            .iter()
            .fold(Load::default(), |p, (_, l)| p.max(*l));
        let (mut cpus, mut steady) = (self.capacity, self.steady);
        let mut most = 1 + movable.len() / RETURN_PART;
        movable.sort();
        for machine in movable {
            let room = machine.room;
            let needless = cpus >= peak.total() + self.spare + room
                && (machine.spot || steady >= peak.services + self.spare + room);
            if !needless || most == 0 {
                continue;
            }
            most -= 1;
            cpus -= room;
            steady -= if machine.spot { 0 } else { room };
            self.next_return = now + RETURN_PAUSE;
            scheduler.leaving.insert(machine.id);
        }
    }

    /// Takes machines back that were to leave, when they are needed again after all.
    pub(super) fn stay(&mut self, lack: &mut u64, cache: &WatchCache, scheduler: &mut Scheduler) {
        let none_waits = scheduler.shortages.is_empty();
        while *lack > 0 {
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
            *lack = lack.saturating_sub(room.max(1));
        }
    }

    /// Whether something that must run all at once waits for a machine that the cloud has not got,
    /// with none on its way.
    fn is_blocked(&self, cache: &WatchCache, scheduler: &Scheduler) -> bool {
        let stored = cache.catalog.as_ref().map(|c| &c.value);
        let Some(catalog) = self.catalog.as_ref().or(stored) else {
            return false;
        };
        let together = scheduler.shortages.iter().filter(|s| s.together);
        together.into_iter().any(|shortage| {
            let Some(job) = cache.jobs.get(&shortage.job) else {
                return false;
            };
            let spec = &job.spec;
            let asked = self.rentals.iter().map(|r| &r.request);
            let mut asked = asked.filter(|r| spec.allows(&r.type_name, &r.zone, r.spot));
            let mut booting = self.booting.values();
            asked.next().is_none()
                && !booting.any(|b| spec.allows(&b.type_name, &b.zone, b.spot))
                && self
                    .cheapest(catalog, cache, shortage, shortage.tasks)
                    .is_none()
        })
    }

    /// Lets empty machines leave that nothing which waits may use: they take up what the cloud
    /// could give instead.
    fn send_useless_away(
        &mut self,
        now: MonotonicTime,
        movable: Vec<Movable>,
        cache: &WatchCache,
        scheduler: &mut Scheduler,
    ) {
        let is_useless = |machine: &Movable| {
            machine.used == 0 && !may_serve_waiting(&machine.id, cache, scheduler)
        };
        let most = 1 + movable.len() / RETURN_PART;
        let useless: Vec<MachineId> = movable
            .into_iter()
            .filter(is_useless)
            .map(|machine| machine.id)
            .take(most)
            .collect();
        if !useless.is_empty() {
            self.next_return = now + RETURN_PAUSE;
            scheduler.leaving.extend(useless);
        }
    }
}
