//! Machines that are not needed any more: emptied, then returned.

use super::*;

/// At most one in so many machines is emptied at a time.
const RETURN_PART: usize = 50;
/// The time between two rounds of it.
const RETURN_PAUSE: Span = Span(800);

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
fn idle_window(replica: &Replica) -> Span {
    Span::from_secs(replica.settings().idle_s)
}

impl Fleet {
    /// Empties machines that the load has not needed for a while, the dearest first, and returns
    /// those that are empty. What runs on them may finish; replicas are moved.
    pub(super) fn unused(
        &mut self,
        now: Time,
        replica: &Replica,
        scheduler: &mut Scheduler,
    ) -> Vec<MachineId> {
        self.measure_load(now, replica);
        scheduler
            .leaving
            .retain(|id| replica.machines.contains_key(id));
        let movable = self.measure_capacity(now, replica, scheduler);
        let emptied = self.emptied(now, replica, scheduler);
        let short = scheduler.shortages.iter().any(|s| s.tasks > 0);
        if !short && self.has_looked_on(now, replica) && now >= self.next_return {
            self.send_away(now, movable, scheduler);
        }
        emptied
    }

    /// Takes the load as it is now, and forgets what is older than the time for which a machine
    /// may idle.
    fn measure_load(&mut self, now: Time, replica: &Replica) {
        let (mut load, batches) = demand::load(self.wall, replica, &self.config);
        self.flow.look(self.wall, replica);
        load.arrays = load.arrays.max(self.flow.cpus(self.wall));
        self.recent.push_back((now, load));
        let window = idle_window(replica);
        let old = |at: Time| now.since(at) > window;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
        self.load = load;
        self.batches = batches;
        self.spare = spare_replicas(replica).map_or(0, |(need, count)| need.cpus * count);
    }

    /// Takes what the machines hold that are there, and returns those that could be emptied.
    fn measure_capacity(
        &mut self,
        now: Time,
        replica: &Replica,
        scheduler: &Scheduler,
    ) -> Vec<Movable> {
        (self.capacity, self.steady) = (0, 0);
        let mut movable = Vec::new();
        let present = replica.machines.iter();
        for (id, machine) in present.filter(|(id, _)| scheduler.present(now, id)) {
            let spot = machine.record.spot;
            let room = replica
                .machine_type(&machine.record.type_name)
                .map_or(0, |t| t.room().cpus);
            self.capacity += room;
            self.steady += if spot { 0 } else { room };
            let (replicas, in_use) = replicas(machine, replica);
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
    fn emptied(&mut self, now: Time, replica: &Replica, scheduler: &Scheduler) -> Vec<MachineId> {
        self.left.retain(|id, _| scheduler.leaving.contains(id));
        for id in &scheduler.leaving {
            self.left.entry(id.clone()).or_insert(now);
        }
        let empty = |id: &&MachineId| {
            let machine = replica.machines.get(*id);
            let block = id.block(self.config.blocks());
            let left = self.left.get(*id);
            machine.is_some_and(|m| m.record.jobs.is_empty())
                && left.is_some_and(|at| !scheduler.allotted_before(block, *at))
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
    fn has_looked_on(&self, now: Time, replica: &Replica) -> bool {
        let first = self.recent.front();
        first.is_some_and(|(at, _)| now.since(*at) + Span(1000) > idle_window(replica))
    }

    /// Lets machines leave that the highest load of the last while did not need: a part of the
    /// fleet at a time, a small one gives up one, a large one several.
    fn send_away(&mut self, now: Time, mut movable: Vec<Movable>, scheduler: &mut Scheduler) {
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
    pub(super) fn stay(&mut self, lack: &mut u64, replica: &Replica, scheduler: &mut Scheduler) {
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
}
