//! The settings file as the platform writes it. Fields that are not named here are ignored.

use serde::Deserialize;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct SettingsFile {
    /// This controller's name.
    pub(super) member: String,
    /// The zone that it runs in.
    pub(super) area: String,
    /// Where it serves HTTP.
    pub(super) bind: String,
    /// Where it accepts the links of its peers.
    pub(super) peer_bind: String,
    /// Its peers.
    pub(super) others: Vec<PeerEntry>,
    /// The services that it calls.
    pub(super) services: ServicesSection,
    /// What it shares with its peers.
    pub(super) params: ParamsSection,
}

/// An entry of `others`.
#[derive(Deserialize)]
pub(super) struct PeerEntry {
    /// The peer's name.
    pub(super) member: String,
    /// Where it accepts links.
    pub(super) addr: String,
}

/// `services`: addresses.
#[derive(Deserialize)]
pub(super) struct ServicesSection {
    /// The cloud.
    pub(super) cloud: String,
    /// The key-value store.
    pub(super) state: String,
}

/// `params`.
#[derive(Deserialize)]
pub(super) struct ParamsSection {
    /// The teams with their quotas.
    pub(super) teams: Vec<TeamEntry>,
    /// The service-level objectives.
    #[serde(default)]
    pub(super) objectives: Vec<ObjectiveEntry>,
    /// Times that workers and tasks keep to.
    pub(super) workers: WorkersSection,
    /// Limits of the key-value store.
    pub(super) state: StateSection,
    /// Limits of the cloud.
    pub(super) cloud: CloudSection,
    /// What the process itself may use.
    pub(super) quota: QuotaSection,
}

/// An entry of `params.teams`. 0 means no guarantee or no limit.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    /// The team's name.
    pub(super) name: String,
    /// Guaranteed CPUs.
    pub(super) cpus: f64,
    /// Most CPUs.
    pub(super) cpus_max: f64,
    /// Guaranteed GPUs.
    pub(super) gpus: f64,
    /// Most GPUs.
    pub(super) gpus_max: f64,
}

/// An entry of `params.objectives`.
#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    /// What is to happen in time.
    pub(super) kind: String,
    /// The jobs that it applies to.
    pub(super) class: Option<String>,
    /// Within how many seconds.
    pub(super) within_s: Option<f64>,
}

/// `params.workers`, in seconds.
#[derive(Deserialize)]
pub(super) struct WorkersSection {
    /// Time between two heartbeats.
    pub(super) report_s: f64,
    /// How long a worker without an answer keeps its tasks.
    pub(super) lease_s: f64,
    /// How long a gang's tasks wait for each other.
    pub(super) gang_wait_s: f64,
    /// How long the tasks of a cancelled job may still run.
    pub(super) cancel_s: f64,
}

/// `params.state`.
#[derive(Deserialize)]
pub(super) struct StateSection {
    /// Requests in a second.
    pub(super) rps: f64,
    /// Changes in a second.
    pub(super) write_rps: f64,
    /// Largest value, in KiB.
    pub(super) value_kb: f64,
    /// Most operations in a transaction.
    pub(super) txn_ops: usize,
    /// The limits after a change that is to come.
    pub(super) next: Option<NextStateSection>,
}

/// `params.state.next`, with the units of [`StateSection`]. What is missing stays as it is.
#[derive(Deserialize)]
pub(super) struct NextStateSection {
    /// Requests in a second.
    pub(super) rps: Option<f64>,
    /// Changes in a second.
    pub(super) write_rps: Option<f64>,
    /// Largest value, in KiB.
    pub(super) value_kb: Option<f64>,
    /// Most operations in a transaction.
    pub(super) txn_ops: Option<usize>,
}

/// `params.cloud`.
#[derive(Deserialize)]
pub(super) struct CloudSection {
    /// Requests in a second.
    pub(super) rps: f64,
    /// How old the cloud's list of machines may be, in seconds.
    pub(super) list_lag_s: f64,
}

/// `params.quota`.
#[derive(Deserialize)]
pub(super) struct QuotaSection {
    /// Memory of the process, in MiB.
    pub(super) ram_mb: f64,
    /// Open sockets of the process.
    pub(super) sockets: usize,
}
