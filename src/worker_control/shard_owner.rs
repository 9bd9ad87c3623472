//! Decisions for all machines of the shards that this controller owns. No I/O: effects are
//! returned, and their outcomes come back as calls.

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

pub(crate) use effects::{DirectCall, DirectCallOutcome, Effect, HeartbeatAnswer, HeartbeatPath};

use super::machine_tracker::{MachineTracker, RecordLimits};
use crate::config::Config;
use crate::ids::{Incarnation, MachineId, MemberId, Millis, MonotonicTime, Revision, ShardId};
use crate::store::watch_cache::WatchCache;
use allotments::WaitingAllotment;
use std::collections::{BTreeMap, BTreeSet};
use write_queue::WriteQueue;

/// A machine that has not answered its probe by then is probed again at its next heartbeat.
const PROBE_RETRY_INTERVAL: Millis = Millis(3000);

/// The duty of owning shards: the trackers of their machines, and what is to be reported and
/// written for them.
pub(crate) struct ShardOwner {
    member: MemberId,
    incarnation: Incarnation,
    /// The number of shards in the cluster.
    shards: u32,
    limits: RecordLimits,
    /// Tasks in one segment of a job's completion record.
    tasks_per_segment: u32,
    heartbeat_interval: Millis,
    worker_lease: Millis,
    trackers: BTreeMap<MachineId, MachineTracker>,
    /// Machines whose records are to change, written by priority as the rate of changes allows.
    write_queue: WriteQueue,
    /// Machines without a record that were probed, and when.
    probed: BTreeMap<MachineId, MonotonicTime>,
    /// The leader that ends were reported to.
    leader: Option<Revision>,
    /// The shards that the trackers were last compared with.
    owned_shards: BTreeMap<ShardId, Revision>,
    waiting_allotments: Vec<WaitingAllotment>,
    next_health: MonotonicTime,
    /// All trackers are to be compared with the watch cache, not only those of machines that
    /// changed.
    compare_all: bool,
    /// The last tracker of the batch that had its turn; none after a pass over all.
    batch_end: Option<MachineId>,
    /// Machines of other owners that sent heartbeats here since the last report to the leader.
    misdirected: BTreeSet<MachineId>,
    /// Some controllers can't reach each other, and machines perhaps neither.
    partitioned: bool,
}

impl ShardOwner {
    /// An owner that knows no shard yet: the watch cache brings them.
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
            leader: None,
            owned_shards: BTreeMap::new(),
            waiting_allotments: Vec::new(),
            next_health: MonotonicTime::default(),
            compare_all: true,
            batch_end: None,
            misdirected: BTreeSet::new(),
            partitioned: false,
        }
    }

    /// How many changes the key-value store takes in a second from all controllers.
    pub(crate) fn set_store_write_rate(&mut self, changes: f64) {
        self.write_queue.set_store_rate(changes);
    }

    /// Whether some controllers can't reach each other, and machines perhaps neither.
    pub(crate) fn set_partitioned(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
    }

    /// The revision of a shard's record if this process owns the shard.
    fn fence(&self, cache: &WatchCache, shard: ShardId) -> Option<Revision> {
        let record = cache.shards.get(&shard)?;
        let mine =
            record.value.owner == self.member && record.value.incarnation == self.incarnation;
        mine.then_some(record.revision)
    }

    /// Brings the trackers in line with the shards that the watch cache says this controller
    /// owns, and does what time has made due.
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
            self.step(now, &id, cache, out);
        }
        self.flush(now, cache, out);
        self.report_freed(cache, out);
        self.report_lost(now, cache, out);
        self.report_health(now, cache, out);
    }

    /// Does for one machine whatever is due; what its record lacks waits for [`Self::flush`].
    fn step(
        &mut self,
        now: MonotonicTime,
        id: &MachineId,
        cache: &WatchCache,
        out: &mut Vec<Effect>,
    ) {
        self.note_unwritten(now, id, cache, out);
        self.send_direct_commands(now, id, cache, out);
    }
}
