//! The smallest thing that the cloud rents out and may run out of.

use crate::ids::{MachineTypeName, Zone};
use crate::protocol::{JobSpec, ListedMachine, MachineType, RentRequest};

/// A machine type in one zone, as a spot or an on-demand machine. The cloud has or lacks capacity
/// for each of these separately.
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
    /// The offer of a listed machine.
    pub(super) fn of_listed(machine: &ListedMachine) -> Self {
        Self {
            type_name: machine.type_name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }

    /// Whether a job's tasks may run on such a machine, whatever their size.
    pub(super) fn is_allowed_by(&self, spec: &JobSpec) -> bool {
        spec.allows(&self.type_name, &self.zone, self.spot)
    }

    /// The price of a machine of this offer's type, which the caller has looked up.
    pub(super) fn price(&self, machine_type: &MachineType) -> f64 {
        if self.spot {
            machine_type.spot_price
        } else {
            machine_type.price
        }
    }

    /// The request to the cloud for `count` such machines under a unique `name`.
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
