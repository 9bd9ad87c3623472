//! The fixture of the scheduler's tests.

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

/// A scheduler on a small cluster whose records a test writes.
pub(super) struct Scene {
    /// The controller's settings.
    pub config: Config,
    /// The state of the cluster.
    pub cache: WatchCache,
    /// The scheduler under test.
    pub scheduler: Scheduler,
    revision: u64,
}

/// The time of every step.
pub(super) const NOW: MonotonicTime = MonotonicTime(100_000);
/// The term of the leader.
pub(super) const TERM: Revision = Revision(1);

/// What a step of the scheduler sends to the shard owners.
pub(super) struct StepOutcome {
    /// The allotments, in order.
    pub allotments: Vec<Allotment>,
    /// The attempts that are to be stopped, in order.
    pub stops: Vec<TaskAttempt>,
}

impl Scene {
    /// A cluster of one machine type with 8 CPUs, all of whose shards have an owner.
    pub(super) fn new() -> Self {
        let config = sample_config();
        let mut scene = Self {
            scheduler: Scheduler::new(&config),
            cache: WatchCache::new(&sample_config()),
            revision: 10,
            config,
        };
        scene.scheduler.unix_time = UnixTime(1_000_000);
        let catalog = json!({"hulls": [
            {"name": "t8", "cores": 8, "cards": 0, "memory_gb": 64, "cache_gb": 50, "fetch_gb_per_s": 1.0,
             "price": 1.0, "low_price": 0.5, "startup_s": 20, "berths": ["a", "b"]}]});
        scene.put(keys::CATALOG.to_owned(), &catalog);
        for shard in 0..scene.config.shard_count() {
            let record = ShardRecord {
                owner: "c0".into(),
                incarnation: Incarnation(1),
                term: TERM,
            };
            scene.put(keys::shard(ShardId(shard)), &record);
        }
        scene
    }

    /// Writes a record.
    pub(super) fn put(&mut self, key: String, value: &impl Serialize) -> Revision {
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

    /// A report that a machine is healthy.
    pub(super) fn health(&self, id: &MachineId) -> MachineHealth {
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

    /// Adds a healthy machine with these tasks: job, index and attempt number.
    pub(super) fn machine(
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
        self.put(keys::machine(&id), &record);
        let health = self.health(&id);
        self.scheduler.on_health(NOW, vec![health], &self.cache);
        id
    }

    /// Adds a waiting job.
    pub(super) fn job(&mut self, n: u32, change: impl FnOnce(&mut JobSpec)) -> JobSpec {
        let mut spec = crate::protocol::tests::spec(&format!("job-{n:06}"));
        change(&mut spec);
        let record = JobRecord::new(spec.clone(), UnixTime(900_000));
        self.put(keys::job(&spec.id), &record);
        spec
    }

    /// Runs one step of the scheduler.
    pub(super) fn step(&mut self) -> StepOutcome {
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
