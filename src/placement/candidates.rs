//! The machines on which one scheduling pass can place tasks.

use super::pending_usage::PendingUsage;
use super::record_capacity::RecordCapacity;
use super::replicas::machine_replica_usage;
use crate::config::Config;
use crate::ids::{MachineId, MachineTypeName, MemberId, Resources, Revision, ShardId, Zone};
use crate::protocol::JobSpec;
use crate::store::watch_cache::{LiveMachine, WatchCache};
use std::collections::BTreeMap;

/// The lower bound for a machine type's image fetch rate, so that fetch times stay finite.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// A machine in a scheduling pass.
pub(super) struct Candidate<'a> {
    /// The machine's id.
    pub id: &'a MachineId,
    /// The shard that it belongs to.
    pub shard: ShardId,
    /// The fencing token of the shard's owner.
    pub fence: Revision,
    /// The shard's owner.
    pub owner: &'a MemberId,
    /// The machine's type.
    pub type_name: &'a MachineTypeName,
    /// The machine's zone.
    pub zone: &'a Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The total resources of the machine.
    pub capacity: Resources,
    /// The free resources, excluding the allotments of this pass.
    pub free: Resources,
    /// The remaining capacity of the machine's record, excluding the allotments of this pass.
    pub record_capacity: RecordCapacity,
    /// The images that are probably in the machine's cache.
    pub images: Vec<&'a str>,
    /// The rate at which the machine fetches images. Always above 0.
    pub fetch_gb_per_s: f64,
    /// The number of service replicas on the machine.
    pub replicas: usize,
    /// The resources that the service replicas on the machine use.
    pub replica_usage: Resources,
}

impl<'a> Candidate<'a> {
    fn new(
        id: &'a MachineId,
        machine: &'a LiveMachine,
        cache: &'a WatchCache,
        config: &Config,
        pending: &PendingUsage<'a>,
    ) -> Option<Self> {
        let record = &machine.record;
        let machine_type = cache.machine_type(&record.type_name)?;
        let shard = id.shard(config.shard_count());
        let shard_record = cache.shards.get(&shard)?;
        let capacity = machine_type.capacity();
        let pending = pending.of_machine(id);
        let used = record.used() + pending.allotted.unwrap_or_default() - pending.freed;
        let (replicas, replica_usage) = machine_replica_usage(machine, cache);
        Some(Self {
            id,
            shard,
            fence: shard_record.revision,
            owner: &shard_record.value.owner,
            type_name: &record.type_name,
            zone: &record.zone,
            spot: record.spot,
            capacity,
            fetch_gb_per_s: machine_type.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S),
            free: capacity - used,
            record_capacity: RecordCapacity::new(
                record,
                config.store_limits.value_bytes,
                pending.allotted_bytes,
                pending.freed_bytes,
            ),
            images: machine.images.iter().map(|i| i.as_str()).collect(),
            replicas,
            replica_usage,
        })
    }

    /// Returns whether the job's image is probably in the machine's cache.
    pub(super) fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.contains(&spec.image.as_str())
    }

    /// Returns how many seconds fetching the job's image takes; 0 if it is in the cache.
    pub(super) fn fetch_seconds(&self, spec: &JobSpec) -> f64 {
        if self.has_image(spec) {
            0.0
        } else {
            spec.image_gb / self.fetch_gb_per_s
        }
    }

    /// Returns how many tasks of a job fit in addition to the `reserved` resources.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec, reserved: Resources) -> u64 {
        let by_resources = spec.need().fit_count(self.free - reserved);
        by_resources.min(self.record_capacity.tasks_that_fit(spec))
    }

    /// Returns whether the job may run on this machine's type, in its zone, and on a spot machine
    /// if it is one.
    pub(super) fn is_allowed(&self, spec: &JobSpec) -> bool {
        spec.allows(self.type_name, self.zone, self.spot)
    }
}

/// Returns all usable machines with their free capacity, ordered by id. Machines whose type is not
/// in the catalog or whose shard has no owner are left out.
pub(super) fn collect<'a>(
    cache: &'a WatchCache,
    config: &Config,
    pending: &PendingUsage<'a>,
    is_usable: impl Fn(&MachineId) -> bool,
) -> Vec<Candidate<'a>> {
    let machines = cache.machines.iter().filter(|(id, _)| is_usable(id));
    machines
        .filter_map(|(id, machine)| Candidate::new(id, machine, cache, config, pending))
        .collect()
}

/// Returns, for each image, the total milli-CPUs of the machines that have it, whether free or in
/// use.
pub(super) fn milli_cpus_by_image<'a>(candidates: &[Candidate<'a>]) -> BTreeMap<&'a str, u64> {
    let mut milli_cpus = BTreeMap::new();
    for candidate in candidates {
        for image in &candidate.images {
            *milli_cpus.entry(*image).or_default() += candidate.capacity.milli_cpus;
        }
    }
    milli_cpus
}
