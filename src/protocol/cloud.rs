//! The cloud's messages.

use super::path;
use crate::ids::{MachineId, Resources, TypeName, Zone};
use serde::{Deserialize, Serialize};

/// A machine type of the cloud's catalog; also kept in the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct MachineType {
    pub name: TypeName,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "cards")]
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(rename = "low_price")]
    pub spot_price: f64,
    #[serde(rename = "startup_s")]
    pub boot_s: f64,
    #[serde(rename = "berths")]
    pub zones: Vec<Zone>,
}

impl MachineType {
    pub(crate) fn room(&self) -> Resources {
        Resources::capacity(self.cpus, self.gpus, self.memory_gb)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Catalog {
    #[serde(rename = "hulls")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct RentRequest {
    #[serde(rename = "charter")]
    pub request: String,
    #[serde(rename = "hull")]
    pub type_name: TypeName,
    #[serde(rename = "berth")]
    pub zone: Zone,
    #[serde(rename = "ebb")]
    pub spot: bool,
    #[serde(rename = "number")]
    pub count: u32,
}

#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct MachineNames {
    #[serde(rename = "moorings")]
    pub machines: Vec<MachineId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ListedMachine {
    pub id: MachineId,
    #[serde(rename = "hull")]
    pub type_name: TypeName,
    #[serde(rename = "berth")]
    pub zone: Zone,
    #[serde(rename = "ebb")]
    pub spot: bool,
    #[serde(rename = "standing")]
    pub state: MachineState,
    #[serde(rename = "held_s")]
    pub age_s: f64,
}

#[derive(Debug, Deserialize)]
pub(crate) struct MachineList {
    #[serde(rename = "moorings")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next")]
    pub more: bool,
}

pub(crate) fn machines_path(after: Option<&MachineId>) -> String {
    let after = after.map_or_else(String::new, |a| format!("after={a}&"));
    format!("{}?{after}most=500", path::MACHINES)
}
