//! The tasks of a job that are to be placed in the job's turn.

use super::SchedulingPass;
use crate::ids::AttemptNumber;
use crate::placement::gangs::{GangAction, missing_tasks};
use crate::placement::queue_turns::QueueTurn;
use crate::protocol::JobKind;
use std::collections::BTreeMap;

/// The largest number of tasks of an array or a service that are placed in one turn. The others
/// wait for a later turn.
const MAX_TASKS_PER_TURN: usize = 400;

/// The tasks of a job that are to be placed now.
pub(super) struct TaskRequest {
    /// The indices of the tasks.
    pub indices: Vec<u32>,
    /// The attempt number that all tasks of a gang share; `None` for other jobs.
    pub attempt_number: Option<AttemptNumber>,
}

impl<'a> SchedulingPass<'a, '_> {
    /// Returns the tasks of a job that may be placed now, or `None` if there is nothing to place.
    pub(super) fn request(&mut self, turn: QueueTurn<'a>) -> Option<TaskRequest> {
        match turn.kind() {
            JobKind::Gang => self.gang_request(turn),
            JobKind::Array | JobKind::Service => self.tasks_request(turn),
        }
    }

    /// Returns the number of a job's tasks that were allotted, in this pass or earlier ones, and
    /// are not on record yet.
    fn allotted_count(&self, turn: QueueTurn<'a>) -> usize {
        let in_earlier_passes = self.input.allotted.get(turn.id).map_or(0, BTreeMap::len);
        in_earlier_passes + self.allotted_cached_count(turn)
    }

    /// Returns the number of tasks of the job that this pass has allotted to machines that have its
    /// image.
    fn allotted_cached_count(&self, turn: QueueTurn<'a>) -> usize {
        self.allotted_cached.get(turn.id).copied().unwrap_or(0)
    }

    /// Returns all tasks of a gang, or the missing tasks of a gang that has not started yet.
    /// Returns `None` if the gang has to wait for its current attempt to end, or if the team's
    /// quota limit does not allow all of these tasks.
    fn gang_request(&mut self, turn: QueueTurn<'a>) -> Option<TaskRequest> {
        let allowed = self
            .quota_usage
            .tasks_within_limit(&turn.job.spec.team, turn.need());
        let indices = missing_tasks(turn.job, self.input.allotted.get(turn.id));
        let (now, start_timeout) = (self.input.now, self.input.config.gang_start_timeout);
        let allotted = self.allotted_count(turn);
        let action = self
            .state
            .gangs
            .next_action(now, turn.id, turn.job, allotted, start_timeout);
        if action == GangAction::Wait || indices.len() as u64 > allowed {
            return None;
        }
        let attempt_number = match action {
            GangAction::ReplaceMissing(attempt_number) => attempt_number,
            GangAction::LaunchAll | GangAction::Wait => self.state.attempt_numbers.next(),
        };
        Some(TaskRequest {
            indices,
            attempt_number: Some(attempt_number),
        })
    }

    /// Returns as many tasks of an array or a service as `MAX_TASKS_PER_TURN`, the team's quota
    /// limit and the limit for failing jobs allow. If no machine is left for arrays, records the
    /// tasks of an array as unmet demand and returns `None`.
    fn tasks_request(&mut self, turn: QueueTurn<'a>) -> Option<TaskRequest> {
        let QueueTurn { id, job, .. } = turn;
        let within_limit = self
            .quota_usage
            .tasks_within_limit(&job.spec.team, turn.need());
        let mut allowed = within_limit.min(MAX_TASKS_PER_TURN as u64) as usize;
        let allotted = self.allotted_count(turn);
        if let Some(limit) = self.input.faults.task_limit(id) {
            allowed = allowed.min(limit.saturating_sub(job.placed.len() + allotted));
        }
        if turn.kind() == JobKind::Array && self.array_capacity.is_exhausted() {
            let started = job.done_count() as usize + job.placed.len() + allotted;
            let remaining = (job.spec.tasks as usize).saturating_sub(started);
            self.report_unmet_demand(turn, remaining.min(allowed) as u64);
            return None;
        }
        let allotted_before = self.input.allotted.get(id);
        let indices = job
            .unplaced_tasks(self.input.config.tasks_per_segment())
            .filter(|index| allotted_before.is_none_or(|a| !a.contains_key(index)))
            .skip(self.allotted_cached_count(turn))
            .take(allowed);
        Some(TaskRequest {
            indices: indices.collect(),
            attempt_number: None,
        })
    }
}
