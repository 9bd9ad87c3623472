//! The rules, checked against what really runs.

use super::cluster::{CANCELLATION_LIMIT_MS, SimulatedCluster};
use super::stand_ins::Worker;
use crate::ids::{JobId, MachineId, MonotonicTime, Revision, TaskAttempt};
use crate::protocol::{JobKind, JobState, TaskState};
use crate::store::keys;
use crate::store::records::FinalRecord;
use std::collections::BTreeSet;

/// What a stand-in machine has, in thousandths.
const MACHINE_CPUS: u64 = 8000;
/// No job is left waiting for so long beside room that fits.
const STARVATION_LIMIT_MS: u64 = 90_000;
/// Once all is well a deleted machine's record goes within this time: a machine that is silent to a
/// shard owner that is doubted is given up only after four times the usual patience.
const DELETED_RECORD_LIMIT_MS: u64 = 45_000;
/// The longest way of a command that is neither held nor lost.
const COMMAND_TRANSIT_MS: u64 = 10;

impl SimulatedCluster {
    pub(super) fn record_violation(&mut self, rule: &str, what: impl std::fmt::Display) {
        self.violations
            .push(format!("{rule} at {}: {what}", self.now.0));
    }

    /// No record may come back for a machine that was deleted.
    pub(super) fn check_no_record_recreated(&mut self, at: Revision) {
        let new = |id: &&MachineId| {
            let held = self.store.keys.get(&keys::machine(id));
            let fresh = self
                .store
                .log
                .iter()
                .filter(|(_, k, _)| *k == keys::machine(id));
            held.is_some_and(|(_, revision, _)| *revision == at)
                && fresh
                    .rev()
                    .nth(1)
                    .is_some_and(|(_, _, value)| value.is_none())
        };
        if let Some(ghost) = self.deleted_machines.iter().find(new).cloned() {
            self.record_violation("brought_back", ghost);
        }
    }

    /// A record that came back for a deleted machine with what was carried out once more has to go
    /// again.
    pub(super) fn check_deleted_records_removed(&mut self) {
        if !self.healed || self.scale.is_some() {
            return;
        }
        let stands = |id: &&MachineId| self.store.keys.contains_key(&keys::machine(id));
        let standing: BTreeSet<MachineId> = self
            .deleted_machines
            .iter()
            .filter(stands)
            .cloned()
            .collect();
        self.deleted_records_since
            .retain(|id, _| standing.contains(id));
        for id in standing {
            let since = *self
                .deleted_records_since
                .entry(id.clone())
                .or_insert(self.now);
            if self.now.since(since).0 > DELETED_RECORD_LIMIT_MS {
                self.record_violation("ghost_stays", id);
            }
        }
    }

    /// `not_done` and `went_back`.
    pub(super) fn check_final_states(&mut self) {
        if self.scale.is_some() {
            return;
        }
        let final_records_seen: Vec<(JobId, FinalRecord)> = self
            .jobs
            .keys()
            .filter_map(|id| {
                let (value, _, _) = self.store.keys.get(&keys::final_state(id))?;
                Some((
                    id.clone(),
                    serde_json::from_value(value.clone()).expect("record"),
                ))
            })
            .collect();
        for (id, record) in final_records_seen {
            let before = self.final_states_seen.insert(id.clone(), record.state);
            if before.is_some_and(|s| s != record.state) {
                self.record_violation("went_back", &id);
            }
            if before.is_none() && record.state == JobState::Cancelled {
                self.check_cancellation_reason(&id);
            }
            let done = self.completed_indices.get(&id).map_or(0, BTreeSet::len);
            if record.state == JobState::Done && done < self.jobs[&id].tasks as usize {
                let what = format!(
                    "{id} {:?} {:?} of {}",
                    self.jobs[&id].kind,
                    self.completed_indices.get(&id),
                    self.jobs[&id].tasks
                );
                self.record_violation("not_done", what);
            }
        }
    }

    /// `ran_cancelled` for what is on a machine, reachable or not.
    pub(super) fn check_cancelled_tasks_stopped(&mut self) {
        let late = |job: &JobId| {
            let at = self.cancelled.get(job);
            at.is_some_and(|at| self.now.since(*at).0 > CANCELLATION_LIMIT_MS)
        };
        let there = self.workers.iter().filter(|(_, w)| !w.dead);
        let attempts = there.flat_map(|(id, w)| {
            w.tasks
                .iter()
                .map(move |(attempt, task)| (id, attempt, task))
        });
        let alive = attempts.filter(|(_, _, t)| t.state != TaskState::Exited);
        let kept = alive.filter(|(_, attempt, _)| late(&attempt.task.job));
        let kept: Vec<String> = kept
            .map(|(id, attempt, _)| format!("{attempt} on {id}"))
            .collect();
        for what in kept {
            self.record_violation("ran_cancelled", what);
        }
    }

    /// Once all is well, no job waits for long while a machine that fits has room for one of its
    /// tasks and its team is under its limit.
    pub(super) fn check_no_starvation(&mut self) {
        if !self.healed || self.scale.is_some() {
            return;
        }
        let now = self.now;
        let alive = |w: &&Worker| !w.dead;
        let on_machines = self.workers.values().filter(alive).flat_map(|w| &w.tasks);
        let there: Vec<&TaskAttempt> = on_machines
            .filter(|(_, t)| t.state != TaskState::Exited)
            .map(|(attempt, _)| attempt)
            .collect();
        let mut waiting = Vec::new();
        for (id, spec) in &self.jobs {
            let final_records_seen = self.store.keys.contains_key(&keys::final_state(id));
            let accepted = self.store.keys.contains_key(&keys::job(id));
            if self.has_unfinished_dependencies(spec) {
                continue;
            }
            if final_records_seen
                || !accepted
                || there.iter().any(|attempt| attempt.task.job == *id)
            {
                continue;
            }
            let used: u64 = there
                .iter()
                .filter_map(|attempt| self.jobs.get(&attempt.task.job))
                .filter(|other| other.team == spec.team)
                .map(|other| other.need().cpus)
                .sum();
            let tasks = if spec.kind == JobKind::Array {
                1
            } else {
                spec.tasks
            };
            let need = spec.need().cpus * u64::from(tasks);
            let limit = self.nodes[0].config.teams[&spec.team].limit().cpus;
            // All of a gang or service on one machine: then it fits wherever it may stand.
            let fits = |(id, w): &(&MachineId, &Worker)| {
                let here = there.iter().filter(|attempt| {
                    let task = w.tasks.get(*attempt);
                    task.is_some_and(|t| t.state != TaskState::Exited)
                });
                let taken: u64 = here
                    .filter_map(|attempt| self.jobs.get(&attempt.task.job))
                    .map(|other| other.need().cpus)
                    .sum();
                let recorded = self.store.keys.contains_key(&keys::machine(id));
                recorded && taken + need <= MACHINE_CPUS && (spec.spot || !w.spot)
            };
            let room = self
                .workers
                .iter()
                .filter(|(_, w)| !w.dead)
                .any(|m| fits(&m));
            if used + need <= limit && room && !spec.spread {
                waiting.push(id.clone());
            }
        }
        self.starving_since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.starving_since.entry(id.clone()).or_insert(now);
            if now.since(since).0 > STARVATION_LIMIT_MS {
                self.record_violation("left_waiting", &id);
            }
        }
    }

    /// The rules about what is on machines, at each start. What was sent a moment ago must not
    /// start a task of a job whose user was told that it is cancelled.
    pub(super) fn check_launches(
        &mut self,
        at: &MachineId,
        launched: &[TaskAttempt],
        just_sent: bool,
    ) {
        if self.scale.is_some() {
            self.starts += launched.len() as u64;
            return;
        }
        for attempt in launched {
            self.starts += 1;
            let gang = self
                .jobs
                .get(&attempt.task.job)
                .is_some_and(|s| s.kind == JobKind::Gang);
            let until = MonotonicTime(self.now.0 + 30_000);
            if gang
                && let Some(w) = self.workers.get_mut(at)
                && let Some(task) = w.tasks.get_mut(attempt)
            {
                task.state = TaskState::Waiting;
                task.until = until;
            }
            let Some(spec) = self.jobs.get(&attempt.task.job).cloned() else {
                continue;
            };
            let alive: Vec<(MachineId, TaskAttempt)> = self
                .workers
                .iter()
                .filter(|(_, w)| !w.dead)
                .flat_map(|(id, w)| w.tasks.iter().map(move |(r, t)| (id, r, t)))
                .filter(|(_, _, t)| t.state != TaskState::Exited)
                .map(|(id, r, _)| (id.clone(), r.clone()))
                .collect();
            if alive
                .iter()
                .any(|(id, r)| r.task == attempt.task && id != at)
            {
                self.record_violation("ran_twice", attempt);
            }
            self.check_parents_done(&spec);
            let used: u64 = alive
                .iter()
                .filter_map(|(_, r)| self.jobs.get(&r.task.job))
                .filter(|s| s.team == spec.team)
                .map(|s| s.need().cpus)
                .sum();
            if used > self.nodes[0].config.teams[&spec.team].limit().cpus {
                self.record_violation("quota", attempt);
            }
            let zone_of = |id: &MachineId| self.workers[id].zone;
            let mine: Vec<&str> = alive
                .iter()
                .filter(|(_, r)| r.task.job == attempt.task.job)
                .map(|(id, _)| zone_of(id))
                .collect();
            let here = mine.iter().filter(|z| **z == zone_of(at)).count();
            let one_zone = !spec.one_zone || here == mine.len();
            let spread = !spec.spread || here <= spec.tasks.div_ceil(2) as usize;
            if !one_zone || !spread || (self.workers[at].spot && !spec.spot) {
                self.record_violation("wrong_place", attempt);
            }
            let late = self
                .cancelled
                .get(&spec.id)
                .is_some_and(|c| self.now.since(*c).0 > CANCELLATION_LIMIT_MS);
            if late {
                self.record_violation("ran_cancelled", attempt);
            }
            let told = self.cancelled.get(&spec.id);
            if just_sent && told.is_some_and(|c| self.now.since(*c).0 > COMMAND_TRANSIT_MS) {
                self.record_violation("started_cancelled", attempt);
            }
        }
    }
}
