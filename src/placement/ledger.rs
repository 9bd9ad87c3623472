//! The leader's books for what the mirror doesn't show yet: allotments that are on their way, and
//! placements that are proved gone while their machines' records still stand.

use super::accounts::Accounts;
use super::candidates::Pending;
use super::record_room::ANY_JOB;
use crate::ids::{Amounts, BlockId, JobId, MachineId, Revision, Run, Span, TeamId, Time};
use crate::peers::Ended;
use crate::store::machine_record::size;
use crate::store::replica::Replica;
use crate::wire::Kind;
use std::collections::{BTreeMap, BTreeSet};

/// An allotment without an answer for so long is voided by rewriting its block. Holders give back
/// what they can't write well before that.
const ANSWER: Span = Span(8000);

/// One task that was allotted and is not on record.
pub(super) struct Allotted {
    pub block: BlockId,
    pub fence: Revision,
    pub machine: MachineId,
    pub team: TeamId,
    pub need: Amounts,
    pub at: Time,
}

/// The tasks of each job that are allotted, and where.
pub(super) type AllottedTasks<'a> = BTreeMap<&'a JobId, BTreeMap<u32, &'a MachineId>>;

#[derive(Default)]
pub(super) struct Ledger {
    allotted: BTreeMap<Run, Allotted>,
    /// Proved gone, though their machines' records still stand.
    freed: BTreeMap<Run, MachineId>,
    /// Blocks that were rewritten for want of an answer, and when.
    renewed: BTreeMap<BlockId, Time>,
}

impl Ledger {
    pub fn allot(&mut self, run: Run, allotted: Allotted) {
        self.allotted.insert(run, allotted);
    }

    pub fn on_freed(&mut self, runs: Vec<(MachineId, Run, bool)>) {
        let runs = runs.into_iter();
        self.freed
            .extend(runs.map(|(machine, run, _)| (run, machine)));
    }

    pub fn on_refused(&mut self, fence: Revision, runs: &[Run]) {
        for run in runs {
            if self.allotted.get(run).is_some_and(|a| a.fence == fence) {
                self.allotted.remove(run);
            }
        }
    }

    pub fn on_ended(&mut self, ended: &Ended, replica: &Replica) {
        // A gang's lost member is replaced under the same attempt. Once the mirror shows the end,
        // what is allotted under it is the replacement: taking that off the books started the
        // task twice (simulated seed 261 of the crowded days).
        let job = replica.jobs.get(&ended.run.task.job);
        let reused = job.is_some_and(|j| j.spec.kind == Kind::Gang);
        let machine = replica.machines.get(&ended.machine);
        let shown = machine.is_none_or(|m| m.revision >= ended.revision);
        if !(reused && shown) {
            self.allotted.remove(&ended.run);
        }
    }

    /// Another term: what was allotted in an earlier one failed at the blocks' fences, or is in
    /// the mirror.
    pub fn begin_term(&mut self) {
        self.allotted.clear();
        self.freed.clear();
    }

    /// Takes off the books what the mirror shows as placed, or what can no longer be placed.
    /// Returns the blocks that are to be rewritten, since allotments there have no answer.
    pub fn reconcile(&mut self, now: Time, replica: &Replica) -> Vec<BlockId> {
        let mut overdue = BTreeSet::new();
        self.allotted.retain(|run, a| {
            // Placements under the old fence were committed before the block's new record, so
            // the mirror has them.
            let fenced = replica
                .blocks
                .get(&a.block)
                .is_none_or(|b| b.revision != a.fence);
            if now.since(a.at) >= ANSWER {
                overdue.insert(a.block);
            }
            !fenced && !is_placed(run, replica)
        });
        let renewed = &self.renewed;
        let recent = |b: &BlockId| renewed.get(b).is_some_and(|at| now.since(*at) < ANSWER);
        let due: Vec<BlockId> = overdue.into_iter().filter(|b| !recent(b)).collect();
        self.renewed.extend(due.iter().map(|b| (*b, now)));
        self.freed.retain(|run, machine| {
            let machine = replica.machines.get(machine);
            machine.is_some_and(|m| m.record.holds(run))
        });
        due
    }

    /// The tasks that are allotted.
    pub fn tasks(&self) -> AllottedTasks<'_> {
        let mut tasks = AllottedTasks::new();
        for (run, a) in &self.allotted {
            let of_job = tasks.entry(&run.task.job).or_default();
            of_job.insert(run.task.index, &a.machine);
        }
        tasks
    }

    /// Books what the mirror doesn't show on the teams' accounts, and sums it up by machine.
    pub fn book(&self, accounts: &mut Accounts<'_>, replica: &Replica) -> Pending<'_> {
        let mut pending = Pending::default();
        let mut last: BTreeMap<&MachineId, &JobId> = BTreeMap::new();
        for (run, a) in &self.allotted {
            accounts.charge(&a.team, a.need);
            let sum = pending.promised.entry(&a.machine).or_default();
            *sum = *sum + a.need;
            let known = last.insert(&a.machine, &run.task.job) == Some(&run.task.job);
            let bytes = pending.promised_bytes.entry(&a.machine).or_default();
            *bytes += size::LARGEST_TASK + if known { 0 } else { ANY_JOB };
        }
        for (run, machine) in &self.freed {
            let record = replica.machines.get(machine).map(|m| &m.record);
            let placed = record.and_then(|r| r.jobs.iter().find(|p| p.job == run.task.job));
            if let Some(placed) = placed {
                accounts.credit(&placed.team, placed.need);
                let sum = pending.freed.entry(machine).or_default();
                *sum = *sum + placed.need;
                let bytes = pending.freed_bytes.entry(machine).or_default();
                *bytes += size::task(run.task.index, run.attempt);
            }
        }
        pending
    }

    pub fn is_freed(&self, run: &Run) -> bool {
        self.freed.contains_key(run)
    }

    /// Whether something that was allotted to a block before a time is still on its way.
    pub fn allotted_before(&self, block: BlockId, at: Time) -> bool {
        self.allotted
            .values()
            .any(|a| a.block == block && a.at <= at)
    }

    pub fn allotted_count(&self) -> usize {
        self.allotted.len()
    }
}

/// Whether the mirror shows a task as placed under this attempt.
fn is_placed(run: &Run, replica: &Replica) -> bool {
    let job = replica.jobs.get(&run.task.job);
    let placed = job.and_then(|j| j.placed.get(&run.task.index));
    placed.is_some_and(|(_, attempt)| *attempt == run.attempt)
}
