//! The cloud's messages.

use super::path;
use crate::ids::{MachineId, MachineTypeName, Resources, Zone};
use serde::{Deserialize, Serialize};

/// A machine type of the cloud's catalog; also kept in the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineType {
    /// Its name, unique in the catalog.
    pub name: MachineTypeName,
    /// CPUs of a machine.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    pub memory_gb: f64,
    /// Space for images, in GB.
    pub cache_gb: f64,
    /// How fast a machine fetches images, in GB a second.
    pub fetch_gb_per_s: f64,
    /// The price of an on-demand machine for an hour.
    pub price: f64,
    /// The current price of a spot machine for an hour.
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    /// Nominal seconds from a rental to the first heartbeat.
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    /// The zones that offer the type.
    #[serde(rename = "berths")]
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// What an empty machine can hold.
    pub(crate) fn capacity(&self) -> Resources {
        Resources::capacity(self.cpus, self.gpus, self.memory_gb)
    }
}

/// What the cloud offers; also kept in the key-value store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Catalog {
    /// The machine types, in the cloud's order.
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

/// A request to rent machines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RentRequest {
    /// Its name, never reused: repeating a request that was granted rents nothing more.
    #[serde(rename = "charter")]
    pub request: String,
    /// The machine type to rent.
    #[serde(rename = "hull")]
    pub type_name: MachineTypeName,
    /// Where to rent.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether spot machines are asked for.
    #[serde(rename = "ebb")]
    pub spot: bool,
    /// How many machines, at most 50; the cloud may rent fewer.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Ids of machines: those that a request has rented, or those to delete.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct MachineIds {
    /// The ids.
    #[serde(rename = "moorings")]
    pub machines: Vec<MachineId>,
}

/// A machine's state as the cloud sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum MachineState {
    /// Rented; it may be up already, since the list lags.
    #[serde(rename = "starting")]
    Booting,
    /// Up.
    #[serde(rename = "running")]
    Running,
    /// It stopped by itself, and stays listed until it is deleted.
    #[serde(rename = "failed")]
    Failed,
}

/// An entry of the cloud's list of machines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ListedMachine {
    /// Its id.
    pub id: MachineId,
    /// Its machine type.
    #[serde(rename = "hull")]
    pub type_name: MachineTypeName,
    /// Where it is.
    #[serde(rename = "berth")]
    pub zone: Zone,
    /// Whether it is a spot machine.
    #[serde(rename = "ebb")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: MachineState,
    /// Seconds since the request that rented it, at the time of the list.
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

/// A page of the cloud's list of machines.
#[derive(Debug, Deserialize)]
pub(crate) struct MachineList {
    /// The machines of this page, by id.
    #[serde(rename = "moorings")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    pub has_next: bool,
}

/// The path of the page of machines that follows a machine; `None`: the first page.
pub(crate) fn machines_path(after: Option<&MachineId>) -> String {
    let after = after.map_or_else(String::new, |a| format!("after={a}&"));
    format!("{}?{after}most=500", path::MACHINES)
}
