//! What a scheduling pass reads, and the scheduler's state that it changes.

use super::allotment_ledger::AllottedTasks;
use super::attempt_numbers::AttemptNumbers;
use super::fault_tracking::FaultTracker;
use super::gangs::Gangs;
use crate::config::Config;
use crate::ids::{JobId, MonotonicTime, Resources, UnixTime};
use crate::store::rate_limiter::TokenBucket;
use crate::store::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};

/// What a pass starts from.
pub(super) struct PassInputs<'a> {
    /// The time of the pass on this controller's clock.
    pub now: MonotonicTime,
    /// The time of the pass, for comparison with times on jobs' records.
    pub unix_time: UnixTime,
    /// The controller's settings.
    pub config: &'a Config,
    /// The state of the cluster as far as it is on record.
    pub cache: &'a WatchCache,
    /// Failures of jobs and machines.
    pub faults: &'a FaultTracker,
    /// The jobs within their team's guaranteed quota.
    pub guaranteed_jobs: &'a BTreeSet<JobId>,
    /// The tasks that were allotted in earlier passes and are not on record.
    pub allotted: AllottedTasks<'a>,
    /// Resources that only replicas of services may take, by candidate.
    pub replica_reserve: Vec<Resources>,
    /// The candidates whose records are to be written anyway: placing a task there costs no
    /// further change.
    pub record_is_written: Vec<bool>,
}

/// What a pass changes of the scheduler's state.
pub(super) struct PassState<'a> {
    /// Launches of gangs in this term.
    pub gangs: &'a mut Gangs,
    /// The source of attempt numbers.
    pub attempt_numbers: &'a mut AttemptNumbers,
    /// How many changes of machines' records may be spent on arrays.
    pub record_writes: &'a mut TokenBucket,
    /// Services for which a place with their image is being made, and since when.
    pub awaiting_image: &'a mut BTreeMap<JobId, MonotonicTime>,
}
