//! The capacity that a pass has left for arrays.

use crate::ids::Resources;
use crate::placement::candidates::Candidate;

/// The machines that can take tasks of arrays in this pass. They are tracked separately because
/// most machines are full most of the time.
pub(super) struct ArrayCapacity {
    /// The candidate indices of these machines.
    candidates: Vec<usize>,
    /// Free milli-CPUs on machines whose records cannot be written in this pass because the write
    /// budget is exhausted.
    unwritable_milli_cpus: u64,
}

impl ArrayCapacity {
    /// Selects the candidates that have free CPUs beyond the replica reserve.
    pub(super) fn new(candidates: &[Candidate<'_>], replica_reserve: &[Resources]) -> Self {
        let mut capacity = Self {
            candidates: (0..candidates.len()).collect(),
            unwritable_milli_cpus: 0,
        };
        capacity.drop_full(candidates, replica_reserve);
        capacity
    }

    /// Returns the candidate indices of the machines that can take tasks of arrays in this pass.
    pub(super) fn candidates(&self) -> &[usize] {
        &self.candidates
    }

    /// Returns whether no machine is left that can take tasks of arrays in this pass.
    pub(super) fn is_exhausted(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Drops the machines without free CPUs beyond the replica reserve.
    pub(super) fn drop_full(
        &mut self,
        candidates: &[Candidate<'_>],
        replica_reserve: &[Resources],
    ) {
        self.candidates.retain(|candidate_index| {
            free_milli_cpus(candidates, replica_reserve, *candidate_index) > 0
        });
    }

    /// Drops the machines whose records would need a new write, because the write budget is
    /// exhausted. Machines whose records are written anyway are kept.
    pub(super) fn drop_unwritable(
        &mut self,
        has_pending_write: &[bool],
        candidates: &[Candidate<'_>],
        replica_reserve: &[Resources],
    ) {
        let all = std::mem::take(&mut self.candidates);
        let (writable, unwritable): (Vec<usize>, Vec<usize>) = all
            .into_iter()
            .partition(|candidate_index| has_pending_write[*candidate_index]);
        self.candidates = writable;
        let milli_cpus = |candidate_index: &usize| {
            free_milli_cpus(candidates, replica_reserve, *candidate_index)
        };
        self.unwritable_milli_cpus += unwritable.iter().map(milli_cpus).sum::<u64>();
    }

    /// Returns how many of `tasks` fit into the free CPUs of machines whose records cannot be
    /// written in this pass, and subtracts their CPUs so that the same capacity is not counted
    /// twice.
    pub(super) fn take_unwritable_capacity(&mut self, tasks: u64, milli_cpus_per_task: u64) -> u64 {
        let waiting = tasks.min(self.unwritable_milli_cpus / milli_cpus_per_task.max(1));
        self.unwritable_milli_cpus -= waiting * milli_cpus_per_task;
        waiting
    }
}

/// Returns the free milli-CPUs of a machine beyond the replica reserve.
fn free_milli_cpus(
    candidates: &[Candidate<'_>],
    replica_reserve: &[Resources],
    candidate_index: usize,
) -> u64 {
    (candidates[candidate_index].free - replica_reserve[candidate_index]).milli_cpus
}
