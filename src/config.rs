//! The platform's settings file, checked before anything starts.

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
use validation::{address, check_name, invalid, not_negative, positive};

/// A page of the key-value store's lists in bytes, in full and with room for what it is wrapped in.
const STORE_PAGE_BYTES: f64 = 1024.0 * 1024.0;
/// Parsed, an answer takes several times its size; that must stay a small part of the memory.
const MAX_RESPONSE_MEMORY_SHARE: f64 = 1.0 / 32.0;
/// Fewer sockets don't suffice for peers, workers and users.
const MIN_SOCKETS: usize = 64;
const SHARDS_PER_CONTROLLER: u32 = 2;
/// How long work within a guarantee may wait when no objective says so, in seconds.
const DEFAULT_GUARANTEE_WAIT_S: f64 = 10.0;

/// The checked settings of one controller.
#[derive(Debug, Clone)]
pub struct Config {
    /// This controller's name.
    pub(crate) member: MemberId,
    /// The zone that it runs in.
    pub(crate) zone: Zone,
    /// Where it serves HTTP.
    pub(crate) listen: SocketAddr,
    /// Where it accepts the links of its peers.
    pub(crate) peer_listen: SocketAddr,
    /// The other controllers, and where they accept links.
    pub(crate) peers: BTreeMap<MemberId, SocketAddr>,
    /// The cloud's address.
    pub(crate) cloud_addr: SocketAddr,
    /// The key-value store's address.
    pub(crate) store_addr: SocketAddr,
    /// All controllers, this one included.
    pub(crate) controller_count: u32,
    /// The teams with their quotas.
    pub(crate) teams: BTreeMap<TeamId, TeamQuota>,
    /// Time between two heartbeats of a worker.
    pub(crate) heartbeat_interval: Millis,
    /// Without an answer for so long a worker drops its tasks.
    pub(crate) worker_lease: Millis,
    /// How long a gang's tasks wait for each other.
    pub(crate) gang_start_timeout: Millis,
    /// Within this time all tasks of a cancelled job must be gone.
    pub(crate) cancellation_timeout: Millis,
    /// How long work within a guarantee waits before room is made for it: half of what the
    /// operators are held to.
    pub(crate) guarantee_preemption_delay: Millis,
    /// Within this time the operators want the jobs of a pipeline done: the shortest of their
    /// objectives for it.
    pub(crate) finish_within: BTreeMap<Pipeline, Millis>,
    /// The limits of the key-value store.
    pub(crate) store_limits: StoreLimits,
    /// Requests that the cloud takes in a second.
    pub(crate) cloud_rps: f64,
    /// How old the cloud's list of machines may be.
    pub(crate) list_lag: Millis,
    /// Sockets that the process may have open.
    pub(crate) max_sockets: usize,
    /// The largest answer of the key-value store that is read at once, in bytes.
    pub(crate) max_response_bytes: usize,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Read`] if the file can't be read, and whatever [`Config::parse`] returns.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Checks the text of a settings file: a JSON object. Fields that are not known are ignored.
    /// Fields that end in `_s` are in seconds, `_kb` in KiB, `_mb` in MiB; `rps` is a rate for a
    /// second.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Parse`] if the text is not JSON, lacks a field or has one of the wrong type;
    /// [`ConfigError::Invalid`] for the first field whose value is out of its range or contradicts
    /// another one.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let file: SettingsFile = serde_json::from_str(text)?;
        check_name("member", &file.member)?;
        check_name("area", &file.area)?;
        let peers = peers(&file.member, &file.others)?;
        let params = &file.params;
        let teams = teams(&params.teams)?;
        check_sockets(&params.quota)?;
        let workers = &params.workers;
        Ok(Self {
            member: file.member.as_str().into(),
            zone: file.area.as_str().into(),
            listen: address("bind", &file.bind)?,
            peer_listen: address("peer_bind", &file.peer_bind)?,
            controller_count: peers.len() as u32 + 1,
            peers,
            cloud_addr: address("services.cloud", &file.services.cloud)?,
            store_addr: address("services.state", &file.services.state)?,
            teams,
            worker_lease: duration("params.workers.lease_s", workers.lease_s)?,
            heartbeat_interval: duration("params.workers.report_s", workers.report_s)?,
            finish_within: finish_within(&params.objectives),
            guarantee_preemption_delay: guarantee_preemption_delay(&params.objectives),
            cancellation_timeout: duration("params.workers.cancel_s", workers.cancel_s)?,
            gang_start_timeout: duration("params.workers.gang_wait_s", workers.gang_wait_s)?,
            store_limits: StoreLimits::from_section(&params.state)?,
            cloud_rps: positive("params.cloud.rps", params.cloud.rps)?,
            list_lag: list_lag(params.cloud.list_lag_s)?,
            max_sockets: params.quota.sockets,
            max_response_bytes: max_response_bytes(&params.quota)?,
        })
    }

    /// How many shards the machines are divided into: two for each controller, so that the machines
    /// of one that ends spread over the others.
    pub(crate) fn shard_count(&self) -> u32 {
        self.controller_count * SHARDS_PER_CONTROLLER
    }

    /// Tasks in one record of a completion counter: four fit into a byte of it, and the rest
    /// of the value is left free. The same for all versions of the program, whatever limits come
    /// later: the numbering of what is stored rests on it.
    pub(crate) fn tasks_per_segment(&self) -> u32 {
        (self.store_limits.present_value_bytes as u32).clamp(1024, 65_536)
    }
}

/// `others`: the peers of `member`.
fn peers(
    member: &str,
    entries: &[PeerEntry],
) -> Result<BTreeMap<MemberId, SocketAddr>, ConfigError> {
    let mut peers = BTreeMap::new();
    for (index, peer) in entries.iter().enumerate() {
        let name_field = format!("others[{index}].member");
        check_name(&name_field, &peer.member)?;
        let addr = address(&format!("others[{index}].addr"), &peer.addr)?;
        let duplicate = peers.insert(MemberId::from(peer.member.as_str()), addr);
        if duplicate.is_some() || peer.member == member {
            return invalid(&name_field, "names a controller twice");
        }
    }
    Ok(peers)
}

/// `params.teams`.
fn teams(entries: &[TeamEntry]) -> Result<BTreeMap<TeamId, TeamQuota>, ConfigError> {
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
    not_negative(&field("cpus"), entry.cpus)?;
    not_negative(&field("gpus"), entry.gpus)?;
    not_negative(&field("cpus_max"), entry.cpus_max)?;
    not_negative(&field("gpus_max"), entry.gpus_max)?;
    let quotas = [
        ("cpus_max", entry.cpus, entry.cpus_max),
        ("gpus_max", entry.gpus, entry.gpus_max),
    ];
    for (name, guarantee, limit) in quotas {
        // A limit of 0 means none.
        if limit > 0.0 && limit < guarantee {
            return invalid(&field(name), "a limit is below the guarantee");
        }
    }
    Ok(())
}

/// `params.objectives`: the shortest time for each pipeline whose jobs should be done in time.
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

/// `params.objectives`: half of the time within which guarantees are to be met.
fn guarantee_preemption_delay(objectives: &[ObjectiveEntry]) -> Millis {
    let within_s = objectives
        .iter()
        .filter(|objective| objective.kind == "guarantee")
        .find_map(|objective| objective.within_s);
    Millis::from_secs(within_s.unwrap_or(DEFAULT_GUARANTEE_WAIT_S) / 2.0)
}

/// A time above 0 that the file gives in seconds.
fn duration(field: &str, seconds: f64) -> Result<Millis, ConfigError> {
    Ok(Millis::from_secs(positive(field, seconds)?))
}

/// `params.cloud.list_lag_s`.
fn list_lag(seconds: f64) -> Result<Millis, ConfigError> {
    let seconds = not_negative("params.cloud.list_lag_s", seconds)?;
    Ok(Millis::from_secs(seconds))
}

/// `params.quota.sockets`.
fn check_sockets(quota: &QuotaSection) -> Result<(), ConfigError> {
    if quota.sockets < MIN_SOCKETS {
        return invalid("params.quota.sockets", "must be at least 64");
    }
    Ok(())
}

/// `params.quota.ram_mb`: how much of it an answer of the key-value store may take, in bytes.
fn max_response_bytes(quota: &QuotaSection) -> Result<usize, ConfigError> {
    let memory_bytes = positive("params.quota.ram_mb", quota.ram_mb)? * 1024.0 * 1024.0;
    Ok((memory_bytes * MAX_RESPONSE_MEMORY_SHARE).max(STORE_PAGE_BYTES) as usize)
}

#[cfg(test)]
pub(crate) mod tests;
