//! The machines that can take work in one scheduling pass.

use super::record_capacity::RecordCapacity;
use super::replicas::replicas;
use crate::config::Config;
use crate::ids::{MachineId, Member, Resources, Revision, ShardId, TypeName, Zone};
use crate::protocol::JobSpec;
use crate::store::watch_cache::{LiveMachine, WatchCache};
use std::collections::BTreeMap;

/// One machine in a scheduling pass.
pub(super) struct Candidate<'a> {
    pub id: &'a MachineId,
    pub shard: ShardId,
    pub fence: Revision,
    pub owner: &'a Member,
    pub type_name: &'a TypeName,
    pub zone: &'a Zone,
    pub spot: bool,
    /// What the empty machine offers.
    pub room: Resources,
    /// What is left of it, less what this pass has given out.
    pub free: Resources,
    /// What is left of its record.
    pub record: RecordCapacity,
    pub images: Vec<&'a str>,
    pub fetch_gb_per_s: f64,
    pub replicas: usize,
    pub replicas_use: Resources,
}

/// Room that the watch cache doesn't show yet, by machine.
#[derive(Default)]
pub(super) struct Pending<'a> {
    /// Allotted, and not placed on record.
    pub promised: BTreeMap<&'a MachineId, Resources>,
    /// Proved gone, and still on record.
    pub freed: BTreeMap<&'a MachineId, Resources>,
    /// The bytes that these will add to the record, and those that will go from it.
    pub promised_bytes: BTreeMap<&'a MachineId, usize>,
    pub freed_bytes: BTreeMap<&'a MachineId, usize>,
}

impl<'a> Candidate<'a> {
    fn new(
        id: &'a MachineId,
        machine: &'a LiveMachine,
        cache: &'a WatchCache,
        config: &Config,
        pending: &Pending<'a>,
    ) -> Option<Self> {
        let record = &machine.record;
        let machine_type = cache.machine_type(&record.type_name)?;
        let shard = id.shard(config.shards());
        let shard_record = cache.shards.get(&shard)?;
        let room = machine_type.room();
        let promised = pending.promised.get(id).copied().unwrap_or_default();
        let freed = pending.freed.get(id).copied().unwrap_or_default();
        let used = record.used() + promised - freed;
        let bytes = |of: &BTreeMap<&MachineId, usize>| of.get(id).copied().unwrap_or(0);
        let (replicas, replicas_use) = replicas(machine, cache);
        Some(Self {
            id,
            shard,
            fence: shard_record.revision,
            owner: &shard_record.value.owner,
            type_name: &record.type_name,
            zone: &record.zone,
            spot: record.spot,
            room,
            fetch_gb_per_s: machine_type.fetch_gb_per_s.max(0.01),
            free: room - used,
            record: RecordCapacity::new(
                record,
                config.state.value_bytes,
                bytes(&pending.promised_bytes),
                bytes(&pending.freed_bytes),
            ),
            images: machine.images.iter().map(|i| i.as_str()).collect(),
            replicas,
            replicas_use,
        })
    }

    pub(super) fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.contains(&spec.image.as_str())
    }

    /// Seconds until the job's image is there.
    pub(super) fn fetch_seconds(&self, spec: &JobSpec) -> f64 {
        if self.has_image(spec) {
            0.0
        } else {
            spec.image_gb / self.fetch_gb_per_s
        }
    }

    /// How many tasks of a job there is room for beside what is kept from it.
    pub(super) fn tasks_that_fit(&self, spec: &JobSpec, kept: Resources) -> u64 {
        let room = spec.need().count_in(self.free - kept);
        room.min(self.record.tasks(spec))
    }

    /// Whether the job may run on this type, in this zone, on this kind of machine.
    pub(super) fn is_allowed(&self, spec: &JobSpec) -> bool {
        spec.allows(self.type_name, self.zone, self.spot)
    }
}

/// All machines that are usable, with the room that is left on them.
pub(super) fn collect<'a>(
    cache: &'a WatchCache,
    config: &Config,
    pending: &Pending<'a>,
    usable: impl Fn(&MachineId) -> bool,
) -> Vec<Candidate<'a>> {
    let machines = cache.machines.iter().filter(|(id, _)| usable(id));
    machines
        .filter_map(|(id, machine)| Candidate::new(id, machine, cache, config, pending))
        .collect()
}

/// The CPUs of the machines that have each image, used or not.
pub(super) fn image_rooms<'a>(candidates: &[Candidate<'a>]) -> BTreeMap<&'a str, u64> {
    let mut rooms = BTreeMap::new();
    for candidate in candidates {
        for image in &candidate.images {
            *rooms.entry(*image).or_default() += candidate.room.cpus;
        }
    }
    rooms
}
