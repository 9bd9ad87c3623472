//! Whether a job can ever run: what can't is refused for good.

use crate::config::Config;
use crate::ids::{UnixTime, Zone};
use crate::protocol::{Catalog, JobKind, JobSpec};
use crate::store::records::JobRecord;
use std::collections::BTreeSet;
use thiserror::Error;

/// Why a job can never run. The texts are shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum Infeasible {
    /// No such team is configured.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type and zone that the job allows is large enough.
    #[error("a task fits no allowed machine type")]
    TaskTooLarge,
    /// Tasks that run all at once are to be spread, and there is only one zone for them.
    #[error("its tasks may not be in one zone, nor in several")]
    ZoneConflict,
    /// Tasks that run all at once exceed the team's quota limit.
    #[error("needs more than the team's limit")]
    OverTeamLimit,
    /// Its record would exceed the store's limit of a value.
    #[error("its description is too long")]
    RecordTooLarge,
}

/// Checks whether a job can run at all on the cloud's machine types, under its team's limit and in
/// the key-value store.
pub(super) fn check(spec: &JobSpec, config: &Config, catalog: &Catalog) -> Result<(), Infeasible> {
    let Some(team) = config.teams.get(&spec.team) else {
        return Err(Infeasible::UnknownTeam);
    };
    let zones = usable_zones(spec, catalog);
    if zones.is_empty() {
        return Err(Infeasible::TaskTooLarge);
    }
    // Those that stand all at once, of which one zone may have no more than half.
    let is_spread = spec.kind != JobKind::Array && spec.spread && spec.tasks > 1;
    if is_spread && (spec.one_zone || zones.len() < 2) {
        return Err(Infeasible::ZoneConflict);
    }
    let at_once = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks.into(),
    };
    if !spec.need().times(at_once).fits(team.limit()) {
        return Err(Infeasible::OverTeamLimit);
    }
    if record_size(spec) > config.store_limits.value_bytes {
        return Err(Infeasible::RecordTooLarge);
    }
    Ok(())
}

/// The zones that the job allows and that have a machine type which holds one of its tasks.
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

/// The size in bytes of a job's record once it is stored, with the time of its release.
fn record_size(spec: &JobSpec) -> usize {
    let record = JobRecord {
        released_at: Some(UnixTime(u64::MAX)),
        ..JobRecord::new(spec.clone(), UnixTime(u64::MAX))
    };
    serde_json::to_vec(&record).map_or(usize::MAX, |bytes| bytes.len())
}

#[cfg(test)]
mod tests;
