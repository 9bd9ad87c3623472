//! The test fixture of the scheduler.

use crate::config::Config;
use crate::config::tests::sample_config;
use crate::ids::{
    AttemptNumber, Incarnation, MachineId, Millis, MonotonicTime, Revision, ShardId, TaskAttempt,
    TaskId, UnixTime,
};
use crate::peers::{Allotment, MachineHealth, Message};
use crate::placement::{Effect, Scheduler};
use crate::protocol::JobSpec;
use crate::protocol::store::KeyValue;
use crate::store::keys;
use crate::store::records::{JobRecord, MachineRecord, ShardRecord};
use crate::store::watch_cache::WatchCache;
use serde::Serialize;
use serde_json::json;

/// A scheduler on a small cluster whose records are written by the test.
pub(super) struct TestCluster {
    /// The controller's settings.
    pub config: Config,
    /// The state of the cluster.
    pub cache: WatchCache,
    /// The scheduler under test.
    pub scheduler: Scheduler,
    revision: u64,
}

/// The time of every scheduling step.
pub(super) const NOW: MonotonicTime = MonotonicTime(100_000);
/// The leader's term.
pub(super) const TERM: Revision = Revision(1);

/// The messages that one scheduling step sends to the shard owners.
pub(super) struct StepOutcome {
    /// The allotments, in order.
    pub allotments: Vec<Allotment>,
    /// The attempts to stop, in order.
    pub stops: Vec<TaskAttempt>,
}

impl TestCluster {
    /// Creates a cluster of one machine type with 8 CPUs. All of its shards have an owner.
    pub(super) fn new() -> Self {
        let config = sample_config();
        let mut cluster = Self {
            scheduler: Scheduler::new(&config),
            cache: WatchCache::new(&sample_config()),
            revision: 10,
            config,
        };
        cluster.scheduler.unix_time = UnixTime(1_000_000);
        let catalog = json!({"hulls": [
            {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 1.0,
             "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a", "b"]}]});
        cluster.put_record(keys::CATALOG.to_owned(), &catalog);
        for shard in 0..cluster.config.shard_count() {
            let record = ShardRecord {
                owner: "c0".into(),
                incarnation: Incarnation(1),
                term: TERM,
            };
            cluster.put_record(keys::shard(ShardId(shard)), &record);
        }
        cluster
    }

    /// Writes a record to the watch cache and returns its revision.
    pub(super) fn put_record(&mut self, key: String, value: &impl Serialize) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        let value = serde_json::to_value(value).expect("json");
        self.cache.load(KeyValue {
            key,
            value,
            revision,
            lease: None,
        });
        revision
    }

    /// Returns a report that a machine is healthy.
    pub(super) fn healthy_report(&self, id: &MachineId) -> MachineHealth {
        let shard = id.shard(self.config.shard_count());
        MachineHealth {
            machine: id.clone(),
            fence: self.cache.shards[&shard].revision,
            unresponsive_for: Millis(0),
            since_direct_heartbeat: Millis(0),
            token_confirmed: true,
            until_interruption: None,
            unstored_record: None,
            gangs: Vec::new(),
        }
    }

    /// Adds a healthy machine with the given tasks: job, index and attempt number of each.
    pub(super) fn add_machine(
        &mut self,
        n: u32,
        zone: &str,
        spot: bool,
        attempts: &[(&JobSpec, u32, u64)],
    ) -> MachineId {
        let id = MachineId::from(format!("vm-{n:04}").as_str());
        let mut record = MachineRecord::new("1.1.1.1:1", &"t8".into(), &zone.into(), spot);
        for (spec, index, attempt_number) in attempts {
            let task = TaskId {
                job: spec.id.clone(),
                index: *index,
            };
            record.add(
                &TaskAttempt {
                    task,
                    number: AttemptNumber(*attempt_number),
                },
                spec,
            );
        }
        self.put_record(keys::machine(&id), &record);
        let health = self.healthy_report(&id);
        self.scheduler.on_health(NOW, vec![health], &self.cache);
        id
    }

    /// Adds a waiting job.
    pub(super) fn add_job(&mut self, n: u32, change: impl FnOnce(&mut JobSpec)) -> JobSpec {
        let mut spec = crate::protocol::tests::spec(&format!("job-{n:06}"));
        change(&mut spec);
        let record = JobRecord::new(spec.clone(), UnixTime(900_000));
        self.put_record(keys::job(&spec.id), &record);
        spec
    }

    /// Runs one scheduling step and returns its messages.
    pub(super) fn run_step(&mut self) -> StepOutcome {
        let mut out = Vec::new();
        self.scheduler.step(NOW, TERM, &self.cache, &mut out);
        let (mut allotments, mut stops) = (Vec::new(), Vec::new());
        for effect in out {
            match effect {
                Effect::ToShardOwner(_, message) => match *message {
                    Message::Allot(a) => allotments.push(a),
                    Message::Stop { attempt, .. } => stops.push(attempt),
                    other => panic!("{other:?}"),
                },
                Effect::RaiseShardFence(_) => {}
            }
        }
        StepOutcome { allotments, stops }
    }
}
