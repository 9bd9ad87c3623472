//! The unit in which the cloud rents out machines and reports missing capacity.

use crate::ids::{MachineTypeName, Zone};
use crate::protocol::{JobSpec, ListedMachine, MachineType, RentRequest};

/// A machine type in one zone, as a spot or an on-demand machine. The cloud's free capacity differs for each
/// of these combinations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachineOffer {
    /// The machine type, by its name in the catalog.
    pub(super) type_name: MachineTypeName,
    /// The zone in which the machine is placed.
    pub(super) zone: Zone,
    /// Whether it is a spot machine, which the cloud may take back.
    pub(super) spot: bool,
}

impl MachineOffer {
    /// Returns the offer that a listed machine belongs to.
    pub(super) fn of_listed(machine: &ListedMachine) -> Self {
        Self {
            type_name: machine.type_name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }

    /// Returns whether a job's constraints allow its tasks on a machine of this offer. The resources that the
    /// tasks need are not checked.
    pub(super) fn is_allowed_by(&self, spec: &JobSpec) -> bool {
        spec.allows(&self.type_name, &self.zone, self.spot)
    }

    /// Returns the price of a machine of this offer. `machine_type` must be the offer's type.
    pub(super) fn price(&self, machine_type: &MachineType) -> f64 {
        if self.spot {
            machine_type.spot_price
        } else {
            machine_type.price
        }
    }

    /// Builds the request to rent `count` machines of this offer. `name` identifies the request and must be
    /// unique.
    pub(super) fn rent_request(&self, name: &str, count: u32) -> RentRequest {
        RentRequest {
            request: name.to_owned(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            count,
        }
    }
}
