//! Final states are permanent, and jobs are done only if all their tasks are.

use crate::ids::JobId;
use crate::protocol::JobState;
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::violations::ViolationKind;
use crate::store::keys;
use crate::store::records::FinalRecord;
use std::collections::BTreeSet;

impl SimulatedCluster {
    /// Checks the final states of all jobs for `DoneTooEarly`, `FinalStateChanged` and
    /// `CancelledWithoutReason`.
    pub(in crate::simulation) fn check_final_states(&mut self) {
        if self.fleet.is_some() {
            return;
        }
        let records = self.jobs.keys().filter_map(|id| {
            let record = self.store.read::<FinalRecord>(&keys::final_state(id))?;
            Some((id.clone(), record.state))
        });
        let states: Vec<(JobId, JobState)> = records.collect();
        for (id, state) in states {
            self.check_final_state(&id, state);
        }
    }

    fn check_final_state(&mut self, id: &JobId, state: JobState) {
        let before = self.observed.final_states.insert(id.clone(), state);
        if before.is_some_and(|s| s != state) {
            self.record_violation(ViolationKind::FinalStateChanged, id);
        }
        if before.is_none() && state == JobState::Cancelled {
            self.check_cancellation_reason(id);
        }
        let completed = self.observed.completed_indices.get(id);
        let spec = &self.jobs[id];
        let done = completed.map_or(0, BTreeSet::len);
        if state == JobState::Done && done < spec.tasks as usize {
            let (kind, tasks) = (spec.kind, spec.tasks);
            let subject = format!("{id} {kind:?} {completed:?} of {tasks}");
            self.record_violation(ViolationKind::DoneTooEarly, subject);
        }
    }
}
