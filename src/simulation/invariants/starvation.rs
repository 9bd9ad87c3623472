//! After all faults are healed, no job waits for long while there is room for it.

use crate::ids::{JobId, MachineId};
use crate::protocol::{JobKind, JobSpec, TaskState};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::fakes::Worker;
use crate::simulation::violations::ViolationKind;
use crate::store::keys;
use std::collections::BTreeSet;

/// The CPUs of a machine of a small fleet, in thousandths of a CPU.
const MACHINE_MILLI_CPUS: u64 = 8000;
/// The maximum time that a job may wait while there is room for it, in ms.
const STARVATION_LIMIT_MS: u64 = 90_000;

impl SimulatedCluster {
    /// Records `Starved` for jobs without any task on a machine that have waited for longer than the
    /// limit, while `has_room` found room for them. Jobs with `spread` are not checked, because
    /// `has_room` looks at single machines and they may have to use several zones.
    pub(in crate::simulation) fn check_no_starvation(&mut self) {
        if !self.active_faults.healed || self.fleet.is_some() {
            return;
        }
        let now = self.now;
        let waiting = self.starving_jobs();
        let since = &mut self.observed.starving_since;
        since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = &mut self.observed.starving_since;
            let since = *since.entry(id.clone()).or_insert(now);
            if now.since(since).0 > STARVATION_LIMIT_MS {
                self.record_violation(ViolationKind::Starved, &id);
            }
        }
    }

    fn starving_jobs(&self) -> Vec<JobId> {
        let live = self.live_attempts();
        let on_machines: BTreeSet<&JobId> = live.map(|live| &live.attempt.task.job).collect();
        let jobs = self.jobs.iter();
        let idle = jobs.filter(|(id, _)| !on_machines.contains(id));
        let startable = idle.filter(|(id, spec)| self.is_startable(id, spec));
        let starving = startable.filter(|(_, spec)| self.has_room(spec) && !spec.spread);
        starving.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a job is accepted, has not ended, and has no unfinished dependencies.
    fn is_startable(&self, id: &JobId, spec: &JobSpec) -> bool {
        let ended = self.store.contains(&keys::final_state(id));
        let accepted = self.store.contains(&keys::job(id));
        accepted && !ended && !self.has_unfinished_dependencies(spec)
    }

    /// Returns whether the team's limit and some machine have room for a task. All tasks of a gang
    /// or service must fit on one machine, because they then fit under any placement constraint.
    fn has_room(&self, spec: &JobSpec) -> bool {
        let tasks = match spec.kind {
            JobKind::Array => 1,
            _ => spec.tasks,
        };
        let need = spec.need().milli_cpus * u64::from(tasks);
        let limit = self.nodes[0].config.teams[&spec.team].limit().milli_cpus;
        let mut running_workers = self.workers.iter().filter(|(_, w)| !w.dead);
        self.team_cpus(spec) + need <= limit
            && running_workers.any(|(id, w)| self.fits(spec, need, id, w))
    }

    fn fits(&self, spec: &JobSpec, need: u64, id: &MachineId, worker: &Worker) -> bool {
        let tasks = worker.tasks.iter();
        let live_tasks = tasks.filter(|(_, task)| task.state != TaskState::Exited);
        let jobs = live_tasks.filter_map(|(attempt, _)| self.jobs.get(&attempt.task.job));
        let taken: u64 = jobs.map(|other| other.need().milli_cpus).sum();
        let recorded = self.store.contains(&keys::machine(id));
        recorded && taken + need <= MACHINE_MILLI_CPUS && (spec.allow_spot || !worker.spot)
    }
}
