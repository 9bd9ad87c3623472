//! What a pass has left for arrays.

use crate::ids::Resources;
use crate::placement::candidates::Candidate;

/// The machines with free capacity for arrays. Most machines are full most of the time.
pub(super) struct ArrayCapacity {
    /// Their indices among the candidates.
    candidates: Vec<usize>,
    /// CPUs free for arrays on machines whose records no change can be spent on in this pass.
    unwritable_cpus: u64,
}

impl ArrayCapacity {
    /// All candidates with free capacity beside what is reserved for replicas.
    pub(super) fn new(candidates: &[Candidate<'_>], replica_reserve: &[Resources]) -> Self {
        let mut capacity = Self {
            candidates: (0..candidates.len()).collect(),
            unwritable_cpus: 0,
        };
        capacity.drop_full(candidates, replica_reserve);
        capacity
    }

    /// The indices of the machines with free capacity.
    pub(super) fn candidates(&self) -> &[usize] {
        &self.candidates
    }

    /// Whether no machine has any left.
    pub(super) fn is_exhausted(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Leaves out the machines that have become full.
    pub(super) fn drop_full(
        &mut self,
        candidates: &[Candidate<'_>],
        replica_reserve: &[Resources],
    ) {
        self.candidates
            .retain(|at| free_cpus(candidates, replica_reserve, *at) > 0);
    }

    /// Keeps only the machines whose records are written anyway, since no change is left to spend.
    pub(super) fn keep_written(
        &mut self,
        record_is_written: &[bool],
        candidates: &[Candidate<'_>],
        replica_reserve: &[Resources],
    ) {
        let all = std::mem::take(&mut self.candidates);
        let (written, unwritable): (Vec<usize>, Vec<usize>) =
            all.into_iter().partition(|at| record_is_written[*at]);
        self.candidates = written;
        let cpus = |at: &usize| free_cpus(candidates, replica_reserve, *at);
        self.unwritable_cpus += unwritable.iter().map(cpus).sum::<u64>();
    }

    /// How many of `tasks` only wait for a machine's record to be written. What they take is not
    /// counted again.
    pub(super) fn take_unwritable(&mut self, tasks: u64, cpus_each: u64) -> u64 {
        let waiting = tasks.min(self.unwritable_cpus / cpus_each.max(1));
        self.unwritable_cpus -= waiting * cpus_each;
        waiting
    }
}

/// The CPUs of a machine that arrays may take.
fn free_cpus(candidates: &[Candidate<'_>], replica_reserve: &[Resources], at: usize) -> u64 {
    (candidates[at].free - replica_reserve[at]).milli_cpus
}
