//! The format of the settings file that the platform writes. Unknown fields are ignored.

use serde::Deserialize;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct SettingsFile {
    /// This controller's name.
    pub(super) member: String,
    /// The zone that it runs in.
    pub(super) area: String,
    /// The address on which it serves HTTP.
    pub(super) bind: String,
    /// The address on which it accepts connections from its peers.
    pub(super) peer_bind: String,
    /// The other controllers.
    pub(super) others: Vec<PeerEntry>,
    /// The addresses of the services that it calls.
    pub(super) services: ServicesSection,
    /// The settings that all controllers share.
    pub(super) params: ParamsSection,
}

/// An entry of `others`.
#[derive(Deserialize)]
pub(super) struct PeerEntry {
    /// The peer's name.
    pub(super) member: String,
    /// The address on which it accepts connections from peers.
    pub(super) addr: String,
}

/// The `services` section: addresses of other services.
#[derive(Deserialize)]
pub(super) struct ServicesSection {
    /// The address of the cloud.
    pub(super) cloud: String,
    /// The address of the key-value store.
    pub(super) state: String,
}

/// The `params` section.
#[derive(Deserialize)]
pub(super) struct ParamsSection {
    /// The teams with their quotas.
    pub(super) teams: Vec<TeamEntry>,
    /// The service-level objectives.
    #[serde(default)]
    pub(super) objectives: Vec<ObjectiveEntry>,
    /// Timeouts and intervals of workers and tasks.
    pub(super) workers: WorkersSection,
    /// Limits of the key-value store.
    pub(super) state: StateSection,
    /// Limits of the cloud.
    pub(super) cloud: CloudSection,
    /// The resources that the controller process may use.
    pub(super) quota: QuotaSection,
}

/// An entry of `params.teams`. An amount of 0 means that there is no guarantee or no limit.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    /// The team's name.
    pub(super) name: String,
    /// The guaranteed number of CPUs.
    pub(super) cpus: f64,
    /// The largest number of CPUs that the team may use.
    pub(super) cpus_max: f64,
    /// The guaranteed number of GPUs.
    pub(super) gpus: f64,
    /// The largest number of GPUs that the team may use.
    pub(super) gpus_max: f64,
}

/// An entry of `params.objectives`.
#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    /// The event that must happen in time, such as `finished` or `guarantee`.
    pub(super) kind: String,
    /// The class of jobs that the objective applies to. `finished` objectives name a pipeline here.
    pub(super) class: Option<String>,
    /// The time within which the event must happen, in seconds.
    pub(super) within_s: Option<f64>,
}

/// The `params.workers` section. All values are in seconds.
#[derive(Deserialize)]
pub(super) struct WorkersSection {
    /// The time between two heartbeats.
    pub(super) report_s: f64,
    /// The time for which a worker keeps its tasks without a heartbeat response.
    pub(super) lease_s: f64,
    /// The time for which the tasks of a gang wait for each other to start.
    pub(super) gang_wait_s: f64,
    /// The time for which the tasks of a cancelled job may continue to run.
    pub(super) cancel_s: f64,
}

/// The `params.state` section.
#[derive(Deserialize)]
pub(super) struct StateSection {
    /// The request rate that the key-value store accepts, in requests per second.
    pub(super) rps: f64,
    /// The write rate that the key-value store accepts, in key changes per second.
    pub(super) write_rps: f64,
    /// The largest size of a value, in KiB.
    pub(super) value_kb: f64,
    /// The largest number of operations in a transaction.
    pub(super) txn_ops: usize,
    /// The limits after an upcoming change. `None` if no change is planned.
    pub(super) next: Option<NextStateSection>,
}

/// The `params.state.next` section, with the units of [`StateSection`]. Missing fields keep their current
/// value.
#[derive(Deserialize)]
pub(super) struct NextStateSection {
    /// The request rate after the change.
    pub(super) rps: Option<f64>,
    /// The write rate after the change.
    pub(super) write_rps: Option<f64>,
    /// The largest size of a value after the change.
    pub(super) value_kb: Option<f64>,
    /// The largest number of operations in a transaction after the change.
    pub(super) txn_ops: Option<usize>,
}

/// The `params.cloud` section.
#[derive(Deserialize)]
pub(super) struct CloudSection {
    /// The request rate that the cloud accepts, in requests per second.
    pub(super) rps: f64,
    /// The largest age of the information in the cloud's list of machines, in seconds.
    pub(super) list_lag_s: f64,
}

/// The `params.quota` section.
#[derive(Deserialize)]
pub(super) struct QuotaSection {
    /// The memory of the process in MiB.
    pub(super) ram_mb: f64,
    /// The number of sockets that the process may have open.
    pub(super) sockets: usize,
}
