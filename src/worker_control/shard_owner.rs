//! The control logic for all machines of the shards that this controller owns. It does no I/O: it
//! returns effects, and their outcomes come back as method calls.

mod allotments;
mod calls;
mod cancellations;
mod commands;
mod effects;
mod health;
mod heartbeats;
mod record_commits;
mod records;
mod tracking;
mod transactions;
mod write_queue;

pub(crate) use effects::{
    DirectCall, DirectCallOutcome, Effect, HeartbeatAnswer, HeartbeatPath, RecordWrite, SentCall,
};

use super::machine_tracker::{MachineTracker, RecordLimits};
use crate::config::Config;
use crate::ids::{
    Incarnation, MachineId, MemberId, Millis, MonotonicTime, RequestId, Revision, ShardId,
};
use crate::store::watch_cache::WatchCache;
use allotments::WaitingAllotment;
use std::collections::{BTreeMap, BTreeSet};
use write_queue::WriteQueue;

/// Minimum time between two probes of a machine without a record. After it, the next heartbeat
/// triggers a new probe.
const PROBE_RETRY_INTERVAL: Millis = Millis(3000);

/// The state of a shard owner: the trackers of its machines, and the reports and record writes that
/// are pending for them.
pub(crate) struct ShardOwner {
    member: MemberId,
    incarnation: Incarnation,
    /// The number of shards in the cluster.
    shards: u32,
    limits: RecordLimits,
    /// The number of tasks in one segment of a job's completion counter.
    tasks_per_segment: u32,
    heartbeat_interval: Millis,
    worker_lease: Millis,
    trackers: BTreeMap<MachineId, MachineTracker>,
    /// Machines with unwritten record changes, written by priority within the write budget.
    write_queue: WriteQueue,
    /// Machines without a record and the time of their last probe.
    probed: BTreeMap<MachineId, MonotonicTime>,
    /// The id of the last direct call or record write.
    last_request: RequestId,
    /// Revision of the leader's record when ended attempts were last reported.
    leader: Option<Revision>,
    /// The owned shards and their fences at the last comparison with the trackers.
    owned_shards: BTreeMap<ShardId, Revision>,
    waiting_allotments: Vec<WaitingAllotment>,
    next_health_report: MonotonicTime,
    /// Whether the next comparison with the watch cache covers all trackers, not only those of
    /// changed machines.
    compare_all: bool,
    /// The last machine of the previous batch. `None` if the next batch starts from the beginning.
    batch_end: Option<MachineId>,
    /// Machines of other owners that sent heartbeats here since the last health report to the
    /// leader.
    misdirected: BTreeSet<MachineId>,
    /// Whether some controllers can't reach each other. Machines may then be unable to reach their
    /// owner.
    partitioned: bool,
}

impl ShardOwner {
    /// Creates a shard owner without trackers. They are created from the watch cache.
    pub(crate) fn new(config: &Config, incarnation: Incarnation) -> Self {
        Self {
            member: config.member.clone(),
            incarnation,
            shards: config.shard_count(),
            limits: RecordLimits {
                value_bytes: config.store_limits.value_bytes,
                txn_ops: config.store_limits.txn_ops,
            },
            tasks_per_segment: config.tasks_per_segment(),
            heartbeat_interval: config.heartbeat_interval,
            worker_lease: config.worker_lease,
            trackers: BTreeMap::new(),
            write_queue: WriteQueue::new(config.store_limits.rates.writes),
            probed: BTreeMap::new(),
            last_request: RequestId(0),
            leader: None,
            owned_shards: BTreeMap::new(),
            waiting_allotments: Vec::new(),
            next_health_report: MonotonicTime::default(),
            compare_all: true,
            batch_end: None,
            misdirected: BTreeSet::new(),
            partitioned: false,
        }
    }

    /// Sets how many writes per second the key-value store accepts from all controllers together.
    pub(crate) fn set_store_write_rate(&mut self, writes_per_s: f64) {
        self.write_queue.set_store_rate(writes_per_s);
    }

    /// Sets whether some controllers can't reach each other. Machines may then be unable to reach
    /// their owner.
    pub(crate) fn set_partitioned(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
    }

    /// Returns the revision of the shard's record if this process owns the shard.
    fn fence(&self, cache: &WatchCache, shard: ShardId) -> Option<Revision> {
        let record = cache.shards.get(&shard)?;
        let is_owner =
            record.value.owner == self.member && record.value.incarnation == self.incarnation;
        is_owner.then_some(record.revision)
    }

    /// Returns the id of the next direct call or record write.
    fn next_request(&mut self) -> RequestId {
        self.last_request.0 += 1;
        self.last_request
    }

    /// Updates the trackers to the shards that this controller owns according to the watch cache,
    /// and performs the actions that are due by time.
    pub(crate) fn reconcile(
        &mut self,
        now: MonotonicTime,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.track_machines(now, &BTreeSet::new(), cache);
        self.place_waiting(now, cache, out);
        self.probed
            .retain(|_, at| now.since(*at) < PROBE_RETRY_INTERVAL);
        self.write_queue.adjust_rate(now, cache.members.len());
        for id in self.next_batch() {
            self.process_machine(now, &id, cache, out);
        }
        self.flush(now, cache, out);
        self.report_freed_placements(cache, out);
        self.report_lost_machines(now, cache, out);
        self.report_health(now, cache, out);
    }

    /// Updates the unwritten changes of one machine and sends its due commands. The changes are
    /// written by [`Self::flush`].
    fn process_machine(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.update_unwritten(now, id, cache, out);
        self.send_direct_commands(now, id, cache, out);
    }
}
