//! The platform's settings file, checked before anything starts.

mod store_limits;
mod team;

pub(crate) use store_limits::{StateLimits, StateRates};
pub(crate) use team::Team;

use crate::ids::{Member, Millis, Pipeline, Resources, TeamId, Zone};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot read {path}: {source}")]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[error("settings file: {0}")]
    Parse(#[from] serde_json::Error),
    #[error("settings field `{field}`: {problem}")]
    Invalid {
        field: String,
        problem: &'static str,
    },
}

#[derive(Debug, Clone)]
pub struct Config {
    pub(crate) member: Member,
    pub(crate) zone: Zone,
    pub(crate) listen: SocketAddr,
    pub(crate) peer_listen: SocketAddr,
    pub(crate) peers: BTreeMap<Member, SocketAddr>,
    pub(crate) cloud_addr: SocketAddr,
    pub(crate) state_addr: SocketAddr,
    pub(crate) controllers: u32,
    pub(crate) teams: BTreeMap<TeamId, Team>,
    pub(crate) heartbeat_interval: Millis,
    /// Without an answer for so long a worker drops its tasks.
    pub(crate) worker_lease: Millis,
    pub(crate) gang_wait: Millis,
    /// Within this time all tasks of a cancelled job must be gone.
    pub(crate) cancel: Millis,
    /// How long work within a guarantee waits before room is made for it: half of what the
    /// operators are held to.
    pub(crate) guarantee_patience: Millis,
    /// Within this time the operators want the jobs of a pipeline done: the shortest of their
    /// objectives for it.
    pub(crate) finish_within: BTreeMap<Pipeline, Millis>,
    pub(crate) state: StateLimits,
    pub(crate) cloud_rps: f64,
    pub(crate) list_lag: Millis,
    pub(crate) sockets: usize,
    /// The largest answer of the key-value store that is read at once.
    pub(crate) answer_bytes: usize,
}

/// A page of the key-value store's lists, in full and with room for what it is wrapped in.
const PAGE: f64 = 1024.0 * 1024.0;
/// Parsed, an answer takes several times its size; that must stay a small part of the memory.
const ANSWER_PART: f64 = 1.0 / 32.0;

#[derive(Deserialize)]
struct File {
    member: String,
    area: String,
    bind: String,
    peer_bind: String,
    others: Vec<FilePeer>,
    services: FileServices,
    params: FileParams,
}

#[derive(Deserialize)]
struct FilePeer {
    member: String,
    addr: String,
}

#[derive(Deserialize)]
struct FileServices {
    cloud: String,
    state: String,
}

#[derive(Deserialize)]
struct FileParams {
    teams: Vec<FileTeam>,
    #[serde(default)]
    objectives: Vec<FileObjective>,
    workers: FileWorkers,
    state: store_limits::FileState,
    cloud: FileCloud,
    quota: FileQuota,
}

#[derive(Deserialize)]
struct FileTeam {
    name: String,
    cpus: f64,
    cpus_max: f64,
    gpus: f64,
    gpus_max: f64,
}

#[derive(Deserialize)]
struct FileObjective {
    kind: String,
    class: Option<String>,
    within_s: Option<f64>,
}

#[derive(Deserialize)]
struct FileWorkers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    cancel_s: f64,
}

#[derive(Deserialize)]
struct FileCloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Deserialize)]
struct FileQuota {
    ram_mb: f64,
    sockets: usize,
}

fn invalid<T>(field: &str, problem: &'static str) -> Result<T, Error> {
    Err(Error::Invalid {
        field: field.to_owned(),
        problem,
    })
}

fn name(field: &str, text: &str) -> Result<(), Error> {
    let good = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if text.is_empty() || text.len() > 100 || !text.chars().all(good) {
        return invalid(
            field,
            "must be a name of 1 to 100 letters, digits, '-', '_' or '.'",
        );
    }
    Ok(())
}

fn address(field: &str, text: &str) -> Result<SocketAddr, Error> {
    text.parse().or_else(|_| {
        invalid(
            field,
            "must be an IP address and a port, such as 10.0.0.1:8080",
        )
    })
}

fn positive(field: &str, value: f64) -> Result<f64, Error> {
    if value.is_finite() && value > 0.0 && value < 1e9 {
        Ok(value)
    } else {
        invalid(field, "must be above 0")
    }
}

fn not_negative(field: &str, value: f64) -> Result<f64, Error> {
    if value.is_finite() && (0.0..1e9).contains(&value) {
        Ok(value)
    } else {
        invalid(field, "must not be negative")
    }
}

/// The shortest time for each pipeline among the objectives that say when its jobs should be done.
fn finish_within(objectives: &[FileObjective]) -> BTreeMap<Pipeline, Millis> {
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

impl Config {
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Self, Error> {
        let file: File = serde_json::from_str(text)?;
        name("member", &file.member)?;
        name("area", &file.area)?;
        let mut peers = BTreeMap::new();
        for (i, peer) in file.others.iter().enumerate() {
            name(&format!("others[{i}].member"), &peer.member)?;
            let addr = address(&format!("others[{i}].addr"), &peer.addr)?;
            let twice = peers.insert(Member::from(peer.member.as_str()), addr);
            if twice.is_some() || peer.member == file.member {
                return invalid(&format!("others[{i}].member"), "names a controller twice");
            }
        }
        let params = &file.params;
        let mut teams = BTreeMap::new();
        for (i, team) in params.teams.iter().enumerate() {
            let field = |f: &str| format!("params.teams[{i}].{f}");
            name(&field("name"), &team.name)?;
            not_negative(&field("cpus"), team.cpus)?;
            not_negative(&field("gpus"), team.gpus)?;
            not_negative(&field("cpus_max"), team.cpus_max)?;
            not_negative(&field("gpus_max"), team.gpus_max)?;
            // 0 means none: any guarantee is within no limit.
            let kinds = [
                ("cpus_max", team.cpus, team.cpus_max),
                ("gpus_max", team.gpus, team.gpus_max),
            ];
            for (kind, guarantee, limit) in kinds {
                if limit > 0.0 && limit < guarantee {
                    return invalid(&field(kind), "a limit is below the guarantee");
                }
            }
            let team_amounts = Team::new(
                Resources::capacity(team.cpus, team.gpus, 0.0),
                Resources::capacity(team.cpus_max, team.gpus_max, 0.0),
            );
            if teams
                .insert(TeamId::from(team.name.as_str()), team_amounts)
                .is_some()
            {
                return invalid(&field("name"), "names a team twice");
            }
        }
        if params.quota.sockets < 64 {
            return invalid("params.quota.sockets", "must be at least 64");
        }
        let within = params
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .find_map(|o| o.within_s);
        let workers = &params.workers;
        Ok(Self {
            member: file.member.as_str().into(),
            zone: file.area.as_str().into(),
            listen: address("bind", &file.bind)?,
            peer_listen: address("peer_bind", &file.peer_bind)?,
            controllers: peers.len() as u32 + 1,
            peers,
            cloud_addr: address("services.cloud", &file.services.cloud)?,
            state_addr: address("services.state", &file.services.state)?,
            teams,
            worker_lease: Millis::from_secs(positive("params.workers.lease_s", workers.lease_s)?),
            heartbeat_interval: Millis::from_secs(positive(
                "params.workers.report_s",
                workers.report_s,
            )?),
            finish_within: finish_within(&params.objectives),
            guarantee_patience: Millis::from_secs(within.unwrap_or(10.0) / 2.0),
            cancel: Millis::from_secs(positive("params.workers.cancel_s", workers.cancel_s)?),
            gang_wait: Millis::from_secs(positive(
                "params.workers.gang_wait_s",
                workers.gang_wait_s,
            )?),
            state: StateLimits::check(&params.state)?,
            cloud_rps: positive("params.cloud.rps", params.cloud.rps)?,
            list_lag: Millis::from_secs(not_negative(
                "params.cloud.list_lag_s",
                params.cloud.list_lag_s,
            )?),
            sockets: params.quota.sockets,
            answer_bytes: (positive("params.quota.ram_mb", params.quota.ram_mb)?
                * 1024.0
                * 1024.0
                * ANSWER_PART)
                .max(PAGE) as usize,
        })
    }

    /// Two shards for each controller: when one ends, its machines spread over the others.
    pub(crate) fn shards(&self) -> u32 {
        self.controllers * 2
    }

    /// Tasks in one record of a completion counter: four fit into a byte of it, and the rest
    /// of the value is left free. The same for all versions of the program, whatever limits come
    /// later: the numbering of what is stored rests on it.
    pub(crate) fn segment_tasks(&self) -> u32 {
        (self.state.present_value_bytes as u32).clamp(1024, 65_536)
    }
}

#[cfg(test)]
pub(crate) mod tests;
