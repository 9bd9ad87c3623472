//! Messages of the cloud's API.

use super::path;
use crate::ids::{MachineId, MachineTypeName, Resources, Zone};
use serde::{Deserialize, Serialize};

/// A machine type of the cloud's catalog. It is also stored in the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineType {
    /// The type's name, unique in the catalog.
    pub name: MachineTypeName,
    /// Number of CPUs of a machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Number of GPUs of a machine.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    pub memory_gb: f64,
    /// Disk space for container images, in GB.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Current price of a spot machine per hour.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Nominal time from the rental of a machine to its first heartbeat, in seconds.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// The zones that offer this machine type.
    #[serde(rename = "berths")]
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// Returns the capacity of a machine without tasks.
    pub(crate) fn capacity(&self) -> Resources {
        Resources::capacity(self.cpus, self.gpus, self.memory_gb)
    }
}

/// The cloud's catalog of machine types. It is also stored in the key-value store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Catalog {
    /// The machine types, in the cloud's order.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RentRequest {
    /// The request's unique id, never reused. It makes retries idempotent: repeating a granted
    /// request rents no further machines.
    #[serde(rename = "charter")]
    pub request: String,
    /// The machine type to rent.
    #[serde(rename = "hull")]
    pub type_name: MachineTypeName,
    /// The zone in which to rent.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether to rent spot machines.
    #[serde(rename = "ebb")]
    pub spot: bool,
    /// Number of machines to rent, at most 50. The cloud may rent fewer.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Ids of machines: those that a request rented, or those to delete.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct MachineIds {
    /// The machine ids.
    #[serde(rename = "moorings")]
    pub machines: Vec<MachineId>,
}

/// A machine's state as the cloud reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum MachineState {
    /// The machine is rented. It may be running already, since the list lags behind.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is running.
    #[serde(rename = "running")]
    Running,
    /// The machine stopped by itself. It stays listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// An entry of the cloud's list of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ListedMachine {
    /// The machine's id.
    pub id: MachineId,
    /// The machine's type.
    #[serde(rename = "hull")]
    pub type_name: MachineTypeName,
    /// The machine's zone.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "ebb")]
    pub spot: bool,
    /// The machine's state.
    #[serde(rename = "standing")]
    pub state: MachineState,
    /// Seconds from the request that rented the machine to the creation of the list.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Debug, Deserialize)]
pub(crate) struct MachineList {
    /// The machines of this page, ordered by id.
    #[serde(rename = "moorings")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    pub has_next: bool,
}

/// Returns the path of the page of machines that follows the machine `after`, or of the first page
/// if `after` is `None`.
pub(crate) fn machines_path(after: Option<&MachineId>) -> String {
    let after = after.map_or_else(String::new, |a| format!("after={a}&"));
    format!("{}?{after}most=500", path::MACHINES)
}
