//! The machines that tasks can be placed on in one scheduling pass.

use super::pending_usage::PendingUsage;
use super::record_capacity::RecordCapacity;
use super::replicas::machine_replica_usage;
use crate::config::Config;
use crate::ids::{MachineId, MachineTypeName, MemberId, Resources, Revision, ShardId, Zone};
use crate::protocol::JobSpec;
use crate::store::watch_cache::{LiveMachine, WatchCache};
use std::collections::BTreeMap;

/// The smallest rate that images are taken to be fetched at.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// One machine in a scheduling pass.
pub(super) struct Candidate<'a> {
    /// The machine.
    pub id: &'a MachineId,
    /// The shard that it belongs to.
    pub shard: ShardId,
    /// The fencing token of the shard's owner.
    pub fence: Revision,
    /// The shard's owner.
    pub owner: &'a MemberId,
    /// Its machine type.
    pub type_name: &'a MachineTypeName,
    /// Its zone.
    pub zone: &'a Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The resources of the empty machine.
    pub capacity: Resources,
    /// The resources that are free, less what this pass has allotted.
    pub free: Resources,
    /// What is left of the machine's record, less what this pass has allotted.
    pub record_capacity: RecordCapacity,
    /// The images in its cache.
    pub images: Vec<&'a str>,
    /// The rate at which it fetches images: more than 0.
    pub fetch_gb_per_s: f64,
    /// How many replicas of services it has.
    pub replicas: usize,
    /// The resources that these use.
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

    /// Whether the job's image is in the machine's cache.
    pub(super) fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.contains(&spec.image.as_str())
    }

    /// Seconds that fetching the job's image takes: 0 if it is in the cache.
    pub(super) fn fetch_seconds(&self, spec: &JobSpec) -> f64 {
        if self.has_image(spec) {
            0.0
        } else {
            spec.image_gb / self.fetch_gb_per_s
        }
    }

    /// How many tasks of a job fit beside the resources that are reserved for others.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec, reserved: Resources) -> u64 {
        let by_resources = spec.need().fit_count(self.free - reserved);
        by_resources.min(self.record_capacity.tasks_that_fit(spec))
    }

    /// Whether the job may run on this type, in this zone, on this kind of machine.
    pub(super) fn is_allowed(&self, spec: &JobSpec) -> bool {
        spec.allows(self.type_name, self.zone, self.spot)
    }
}

/// All machines that are usable, with their free capacity, in the order of their ids.
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

/// The CPUs of the machines that have each image, whether free or in use.
pub(super) fn cpus_by_image<'a>(candidates: &[Candidate<'a>]) -> BTreeMap<&'a str, u64> {
    let mut cpus = BTreeMap::new();
    for candidate in candidates {
        for image in &candidate.images {
            *cpus.entry(*image).or_default() += candidate.capacity.milli_cpus;
        }
    }
    cpus
}
