//! The settings file that the platform provides. It is checked before the controller starts.

mod error;
mod settings_file;
mod store_limits;
mod team;
mod validation;

pub use error::ConfigError;
pub(crate) use store_limits::{StoreLimits, StoreRates};
pub(crate) use team::TeamQuota;

use crate::ids::{MemberId, Millis, Pipeline, Resources, TeamId, Zone};
use settings_file::{ObjectiveEntry, PeerEntry, QuotaSection, SettingsFile, TeamEntry};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use validation::{check_name, check_not_negative, check_positive, invalid, parse_address};

/// The size in bytes of a list response of the key-value store with a full page of records, including a
/// margin for the text around the records. The size limit for responses is never below it.
const STORE_PAGE_BYTES: f64 = 1024.0 * 1024.0;
/// The size limit for a response of the key-value store, as a fraction of the process's memory. A parsed
/// response takes several times its size, and that must remain a small part of the memory.
const MAX_RESPONSE_MEMORY_SHARE: f64 = 1.0 / 32.0;
/// The smallest socket quota that suffices for peers, workers and users.
const MIN_SOCKETS: usize = 64;
/// The number of shards of machines for each controller.
const SHARDS_PER_CONTROLLER: u32 = 2;
/// The time in seconds for which work within a guaranteed quota may wait if no objective states it.
const DEFAULT_GUARANTEE_WAIT_S: f64 = 10.0;

/// The checked settings of one controller.
#[derive(Debug, Clone)]
pub struct Config {
    /// This controller's name.
    pub(crate) member: MemberId,
    /// The zone that it runs in.
    pub(crate) zone: Zone,
    /// The address on which it serves HTTP.
    pub(crate) listen: SocketAddr,
    /// The address on which it accepts connections from its peers.
    pub(crate) peer_listen: SocketAddr,
    /// The other controllers, with the addresses on which they accept connections from peers.
    pub(crate) peers: BTreeMap<MemberId, SocketAddr>,
    /// The cloud's address.
    pub(crate) cloud_addr: SocketAddr,
    /// The key-value store's address.
    pub(crate) store_addr: SocketAddr,
    /// The number of controllers, including this one.
    pub(crate) controller_count: u32,
    /// The teams with their quotas.
    pub(crate) teams: BTreeMap<TeamId, TeamQuota>,
    /// The time between two heartbeats of a worker.
    pub(crate) heartbeat_interval: Millis,
    /// The lease of a worker: without a heartbeat response for this time, it drops its tasks.
    pub(crate) worker_lease: Millis,
    /// The time for which the tasks of a gang wait for each other to start.
    pub(crate) gang_start_timeout: Millis,
    /// The time within which all tasks of a cancelled job must have ended.
    pub(crate) cancellation_timeout: Millis,
    /// The time for which work within a guaranteed quota waits before other work is preempted for it: half of
    /// the waiting time that the operators' objective allows.
    pub(crate) guarantee_preemption_delay: Millis,
    /// The time within which the jobs of each pipeline should finish: the shortest of the operators'
    /// objectives for the pipeline.
    pub(crate) finish_within: BTreeMap<Pipeline, Millis>,
    /// The limits of the key-value store.
    pub(crate) store_limits: StoreLimits,
    /// The request rate that the cloud accepts, in requests per second.
    pub(crate) cloud_rps: f64,
    /// The largest age of the information in the cloud's list of machines.
    pub(crate) list_lag: Millis,
    /// The number of sockets that the process may have open.
    pub(crate) max_sockets: usize,
    /// The largest response of the key-value store that is accepted, in bytes.
    pub(crate) max_response_bytes: usize,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Read`] if the file cannot be read, and the errors of [`Config::parse`].
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file, which is a JSON object. Unknown fields are ignored.
    /// Fields that end in `_s` are in seconds, `_kb` in KiB and `_mb` in MiB. `rps` is a rate per second.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::Parse`] if the text is not JSON, lacks a field or has a field of the wrong
    /// type, and [`ConfigError::Invalid`] for the first field whose value is out of range or contradicts
    /// another field.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: SettingsFile = serde_json::from_str(text)?;
        check_name("member", &file.member)?;
        check_name("area", &file.area)?;
        let peers = parse_peers(&file.member, &file.others)?;
        let params = &file.params;
        let teams = parse_teams(&params.teams)?;
        check_sockets(&params.quota)?;
        let workers = &params.workers;
        Ok(Self {
            member: file.member.as_str().into(),
            zone: file.area.as_str().into(),
            listen: parse_address("bind", &file.bind)?,
            peer_listen: parse_address("peer_bind", &file.peer_bind)?,
            controller_count: peers.len() as u32 + 1,
            peers,
            cloud_addr: parse_address("services.cloud", &file.services.cloud)?,
            store_addr: parse_address("services.state", &file.services.state)?,
            teams,
            worker_lease: parse_duration("params.workers.lease_s", workers.lease_s)?,
            heartbeat_interval: parse_duration("params.workers.report_s", workers.report_s)?,
            finish_within: finish_within(&params.objectives),
            guarantee_preemption_delay: guarantee_preemption_delay(&params.objectives),
            cancellation_timeout: parse_duration("params.workers.cancel_s", workers.cancel_s)?,
            gang_start_timeout: parse_duration("params.workers.gang_wait_s", workers.gang_wait_s)?,
            store_limits: StoreLimits::from_section(&params.state)?,
            cloud_rps: check_positive("params.cloud.rps", params.cloud.rps)?,
            list_lag: parse_list_lag(params.cloud.list_lag_s)?,
            max_sockets: params.quota.sockets,
            max_response_bytes: max_response_bytes(&params.quota)?,
        })
    }

    /// Returns the number of shards that the machines are divided into: two for each controller, so that the
    /// machines of a failed controller are spread over the others.
    pub(crate) fn shard_count(&self) -> u32 {
        self.controller_count * SHARDS_PER_CONTROLLER
    }

    /// Returns the number of tasks in one segment record of a completion counter: one for each byte of the
    /// present value size limit, from 1024 to 65,536. A hexadecimal digit encodes four tasks, so a segment
    /// stays well below the limit. The number must be the same in all versions of the program and must not
    /// depend on later limits, because stored segments are numbered by it.
    pub(crate) fn tasks_per_segment(&self) -> u32 {
        (self.store_limits.present_value_bytes as u32).clamp(1024, 65_536)
    }
}

/// Checks `others` and returns the addresses of the peers. `member` is this controller's name.
fn parse_peers(
    member: &str,
    entries: &[PeerEntry],
) -> Result<BTreeMap<MemberId, SocketAddr>, ConfigError> {
    let mut peers = BTreeMap::new();
    for (index, peer) in entries.iter().enumerate() {
        let name_field = format!("others[{index}].member");
        check_name(&name_field, &peer.member)?;
        let addr = parse_address(&format!("others[{index}].addr"), &peer.addr)?;
        let duplicate = peers.insert(MemberId::from(peer.member.as_str()), addr);
        if duplicate.is_some() || peer.member == member {
            return invalid(&name_field, "names a controller twice");
        }
    }
    Ok(peers)
}

/// Checks `params.teams` and returns the quotas.
fn parse_teams(entries: &[TeamEntry]) -> Result<BTreeMap<TeamId, TeamQuota>, ConfigError> {
    let mut teams = BTreeMap::new();
    for (index, entry) in entries.iter().enumerate() {
        let field = |name: &str| format!("params.teams[{index}].{name}");
        check_team(entry, &field)?;
        let team = TeamQuota::new(
            Resources::capacity(entry.cpus, entry.gpus, 0.0),
            Resources::capacity(entry.cpus_max, entry.gpus_max, 0.0),
        );
        let duplicate = teams.insert(TeamId::from(entry.name.as_str()), team);
        if duplicate.is_some() {
            return invalid(&field("name"), "names a team twice");
        }
    }
    Ok(teams)
}

fn check_team(entry: &TeamEntry, field: &impl Fn(&str) -> String) -> Result<(), ConfigError> {
    check_name(&field("name"), &entry.name)?;
    check_not_negative(&field("cpus"), entry.cpus)?;
    check_not_negative(&field("gpus"), entry.gpus)?;
    check_not_negative(&field("cpus_max"), entry.cpus_max)?;
    check_not_negative(&field("gpus_max"), entry.gpus_max)?;
    let quotas = [
        ("cpus_max", entry.cpus, entry.cpus_max),
        ("gpus_max", entry.gpus, entry.gpus_max),
    ];
    for (name, guarantee, limit) in quotas {
        // A limit of 0 means that there is no limit.
        if limit > 0.0 && limit < guarantee {
            return invalid(&field(name), "a limit is below the guarantee");
        }
    }
    Ok(())
}

/// Returns the shortest finish time in `params.objectives` for each pipeline that has one.
fn finish_within(objectives: &[ObjectiveEntry]) -> BTreeMap<Pipeline, Millis> {
    let mut shortest: BTreeMap<Pipeline, Millis> = BTreeMap::new();
    for objective in objectives.iter().filter(|o| o.kind == "finished") {
        let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else {
            continue;
        };
        let within = Millis::from_secs(within_s);
        let entry = shortest.entry(class.as_str().into()).or_insert(within);
        *entry = within.min(*entry);
    }
    shortest
}

/// Returns half of the time within which `params.objectives` requires guarantees to be met, or half of
/// [`DEFAULT_GUARANTEE_WAIT_S`] without such an objective.
fn guarantee_preemption_delay(objectives: &[ObjectiveEntry]) -> Millis {
    let within_s = objectives
        .iter()
        .filter(|objective| objective.kind == "guarantee")
        .find_map(|objective| objective.within_s);
    Millis::from_secs(within_s.unwrap_or(DEFAULT_GUARANTEE_WAIT_S) / 2.0)
}

/// Checks that a time in seconds is above 0 and converts it.
fn parse_duration(field: &str, seconds: f64) -> Result<Millis, ConfigError> {
    Ok(Millis::from_secs(check_positive(field, seconds)?))
}

/// Checks `params.cloud.list_lag_s` and converts it.
fn parse_list_lag(seconds: f64) -> Result<Millis, ConfigError> {
    let seconds = check_not_negative("params.cloud.list_lag_s", seconds)?;
    Ok(Millis::from_secs(seconds))
}

/// Checks `params.quota.sockets`.
fn check_sockets(quota: &QuotaSection) -> Result<(), ConfigError> {
    if quota.sockets < MIN_SOCKETS {
        return invalid("params.quota.sockets", "must be at least 64");
    }
    Ok(())
}

/// Returns the size limit for a response of the key-value store in bytes, based on `params.quota.ram_mb`.
fn max_response_bytes(quota: &QuotaSection) -> Result<usize, ConfigError> {
    let memory_bytes = check_positive("params.quota.ram_mb", quota.ram_mb)? * 1024.0 * 1024.0;
    Ok((memory_bytes * MAX_RESPONSE_MEMORY_SHARE).max(STORE_PAGE_BYTES) as usize)
}

#[cfg(test)]
pub(crate) mod tests;
