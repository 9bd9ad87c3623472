//! Checks whether a job can ever run. A job that can't is refused permanently.

use crate::config::Config;
use crate::ids::{UnixTime, Zone};
use crate::protocol::{Catalog, JobKind, JobSpec};
use crate::store::records::JobRecord;
use std::collections::BTreeSet;
use thiserror::Error;

/// The reason why a job can never run. Users see the texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum Infeasible {
    /// The team is not configured.
    #[error("unknown team")]
    UnknownTeam,
    /// A task does not fit any machine type in a zone that the job allows.
    #[error("a task fits no allowed machine type")]
    TaskTooLarge,
    /// The job's tasks run at the same time and must be spread over zones, but the job asks for a
    /// single zone or fewer than two zones are usable.
    #[error("its tasks may not be in one zone, nor in several")]
    ZoneConflict,
    /// The tasks that have to run at the same time (for an array, a single task) exceed the team's
    /// quota limit.
    #[error("needs more than the team's limit")]
    OverTeamLimit,
    /// The job's record would exceed the store's size limit of a value.
    #[error("its description is too long")]
    RecordTooLarge,
}

/// Checks whether a job fits the cloud's machine types, its team's limit and the key-value store's
/// size limit.
pub(super) fn check(spec: &JobSpec, config: &Config, catalog: &Catalog) -> Result<(), Infeasible> {
    let Some(team) = config.teams.get(&spec.team) else {
        return Err(Infeasible::UnknownTeam);
    };
    let zones = usable_zones(spec, catalog);
    if zones.is_empty() {
        return Err(Infeasible::TaskTooLarge);
    }
    // At most half of a job's tasks may be in one zone if they run at the same time and the job asks
    // for them to be spread.
    let is_spread = spec.kind != JobKind::Array && spec.spread && spec.tasks > 1;
    if is_spread && (spec.one_zone || zones.len() < 2) {
        return Err(Infeasible::ZoneConflict);
    }
    let concurrent_tasks = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks.into(),
    };
    if !spec.need().times(concurrent_tasks).fits(team.limit()) {
        return Err(Infeasible::OverTeamLimit);
    }
    if record_size(spec) > config.store_limits.value_bytes {
        return Err(Infeasible::RecordTooLarge);
    }
    Ok(())
}

/// Returns the zones that the job allows and in which a machine type is large enough for one of its
/// tasks.
fn usable_zones<'a>(spec: &JobSpec, catalog: &'a Catalog) -> BTreeSet<&'a Zone> {
    let need = spec.need();
    let allowed = |zone: &Zone| spec.zone.as_ref().is_none_or(|only| only == zone);
    let fitting = catalog.types.iter().filter(|t| {
        let listed = spec
            .machine_types
            .as_ref()
            .is_none_or(|l| l.contains(&t.name));
        listed && need.fits(t.capacity())
    });
    fitting
        .flat_map(|t| t.zones.iter().filter(|z| allowed(z)))
        .collect()
}

/// Returns the size in bytes of a job's stored record, including the time of its release, which is
/// added later.
fn record_size(spec: &JobSpec) -> usize {
    let record = JobRecord {
        released_at: Some(UnixTime(u64::MAX)),
        ..JobRecord::new(spec.clone(), UnixTime(u64::MAX))
    };
    serde_json::to_vec(&record).map_or(usize::MAX, |bytes| bytes.len())
}

#[cfg(test)]
mod tests;
