//! The inputs of a scheduling pass, and the scheduler state that it changes.

use super::allotment_ledger::AllottedTasks;
use super::attempt_numbers::AttemptNumbers;
use super::fault_tracking::FaultTracker;
use super::gangs::Gangs;
use crate::config::Config;
use crate::ids::{JobId, MonotonicTime, Resources, UnixTime};
use crate::store::rate_limiter::TokenBucket;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// The inputs of a scheduling pass.
pub(super) struct PassInputs<'a> {
    /// The time of the pass on this controller's monotonic clock.
    pub now: MonotonicTime,
    /// The wall-clock time of the pass, for comparison with the times on job records.
    pub unix_time: UnixTime,
    /// The controller's settings.
    pub config: &'a Config,
    /// The state of the cluster that is on record.
    pub cache: &'a WatchCache,
    /// The recent failures of jobs and machines.
    pub faults: &'a FaultTracker,
    /// The jobs that fit within their team's guaranteed quota.
    pub guaranteed_jobs: &'a BTreeSet<JobId>,
    /// The tasks that were allotted in earlier passes and are not on record yet.
    pub allotted: AllottedTasks<'a>,
    /// The resources of each candidate that only service replicas may use, by candidate index.
    pub replica_reserve: Vec<Resources>,
    /// Whether each candidate's record is to be written anyway, by candidate index. Placing another
    /// task there needs no additional write.
    pub has_pending_write: Vec<bool>,
}

/// The scheduler state that a pass changes.
pub(super) struct PassState<'a> {
    /// The gangs that were launched in this term.
    pub gangs: &'a mut Gangs,
    /// The source of attempt numbers.
    pub attempt_numbers: &'a mut AttemptNumbers,
    /// The budget of machine record writes for placing arrays.
    pub record_writes: &'a mut TokenBucket,
    /// Services that wait for preemption on a machine that has their image, with the time at which
    /// the wait began.
    pub awaiting_image: &'a mut BTreeMap<JobId, MonotonicTime>,
}
