//! The stand-ins' own state: a small consistent store, and workers.

use crate::config::Config;
use crate::ids::{
    FencingToken, HeartbeatSequence, LeaseId, MonotonicTime, Revision, TaskAttempt, WorkerEpoch,
};
use crate::protocol::store::{Change, Event, Item, Txn};
use crate::protocol::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use crate::store::TxnOutcome;
use crate::store::watch_cache::WatchCache;
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Default)]
pub(super) struct StoreModel {
    pub revision: Revision,
    pub keys: BTreeMap<String, (Value, Revision, Option<LeaseId>)>,
    pub leases: BTreeMap<LeaseId, MonotonicTime>,
    pub log: Vec<(Revision, String, Option<Value>)>,
    pub ignore_fences: bool,
    /// The largest value in bytes, and changes in a transaction; none at first.
    pub limits: Option<(usize, usize)>,
    /// What was refused for its size.
    pub too_large: u64,
}

/// A record as the earlier version of the program sees it: it ignores the fields it does not know.
fn as_earlier(mut value: Value) -> Value {
    if let Some(record) = value.as_object_mut() {
        for field in ["released", "version"] {
            record.remove(field);
        }
        if let Some(spec) = record.get_mut("spec").and_then(Value::as_object_mut) {
            spec.remove("awaits");
        }
        for plan in record.values_mut().filter_map(Value::as_object_mut) {
            plan.remove("joins");
        }
    }
    value
}

impl StoreModel {
    pub(super) fn create_lease(&mut self, until: MonotonicTime) -> LeaseId {
        self.revision.0 += 1;
        let lease = LeaseId(self.revision.0);
        self.leases.insert(lease, until);
        lease
    }

    pub(super) fn revoke_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !gone.is_empty() {
            self.revision.0 += 1;
        }
        for key in gone {
            self.keys.remove(&key);
            self.log.push((self.revision, key, None));
        }
    }

    pub(super) fn expire(&mut self, now: MonotonicTime) {
        let over: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(g, _)| *g)
            .collect();
        for lease in over {
            self.revoke_lease(lease);
        }
    }

    pub(super) fn txn(&mut self, txn: &Txn) -> TxnOutcome {
        let mut failed = Vec::new();
        for condition in &txn.conditions {
            let found = self.keys.get(&condition.key).map_or(Revision(0), |v| v.1);
            let fence = condition.key.contains("/block/") || condition.key.contains("/machine/");
            if found != condition.revision && !(self.ignore_fences && fence) {
                failed.push(condition.key.clone());
            }
        }
        if !failed.is_empty() {
            return TxnOutcome::Failed(failed, self.revision);
        }
        if self.is_too_large(txn) {
            self.too_large += 1;
            return TxnOutcome::Invalid;
        }
        let dead = |c: &Change| matches!(c, Change::Put { lease: Some(g), .. } if !self.leases.contains_key(g));
        if txn.changes.iter().any(dead) {
            return TxnOutcome::Refused;
        }
        if !txn.changes.is_empty() {
            self.revision.0 += 1;
        }
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision, *lease));
                    self.log
                        .push((self.revision, key.clone(), Some(value.clone())));
                }
                Change::Delete { key } => {
                    if self.keys.remove(key).is_some() {
                        self.log.push((self.revision, key.clone(), None));
                    }
                }
            }
        }
        TxnOutcome::Committed(self.revision)
    }

    fn is_too_large(&self, txn: &Txn) -> bool {
        let Some((value_bytes, changes)) = self.limits else {
            return false;
        };
        let size = |change: &Change| match change {
            Change::Put { value, .. } => value.to_string().len(),
            Change::Delete { .. } => 0,
        };
        let large = |change: &Change| size(change) > value_bytes;
        txn.changes.len() > changes
            || txn.conditions.len() > 4 * changes
            || txn.changes.iter().any(large)
    }

    pub(super) fn events(&self, after: Revision, earlier: bool) -> Vec<Event> {
        let from = self.log.partition_point(|(r, _, _)| *r <= after);
        let list = self.log[from..]
            .iter()
            .filter(|(_, k, _)| k.starts_with("live/"));
        list.map(|(revision, key, value)| Event {
            put: value.is_some().then(|| key.clone()),
            delete: value.is_none().then(|| key.clone()),
            value: match earlier {
                true => as_earlier(value.clone().unwrap_or_default()),
                false => value.clone().unwrap_or_default(),
            },
            revision: *revision,
        })
        .collect()
    }

    pub(super) fn snapshot(&self, config: &Config, earlier: bool) -> WatchCache {
        let mut cache = WatchCache::new(config);
        for (key, (value, revision, lease)) in &self.keys {
            let value = match earlier {
                true => as_earlier(value.clone()),
                false => value.clone(),
            };
            let key = key.clone();
            cache.load(Item {
                key,
                value,
                revision: *revision,
                lease: *lease,
            });
        }
        cache.revision = self.revision;
        cache
    }
}

#[derive(Clone, Debug)]
pub(super) struct WorkerTask {
    pub state: TaskState,
    pub exit_reason: Option<ExitReason>,
    pub until: MonotonicTime,
}

pub(super) struct Worker {
    pub spot: bool,
    pub zone: &'static str,
    pub epoch: WorkerEpoch,
    pub sequence: HeartbeatSequence,
    pub token: FencingToken,
    pub tasks: BTreeMap<TaskAttempt, WorkerTask>,
    pub node: usize,
    /// When the last answered heartbeat was sent.
    pub answered: MonotonicTime,
    pub next_heartbeat: MonotonicTime,
    pub awaiting: Option<(u64, MonotonicTime)>,
    pub cut_until: MonotonicTime,
    pub hang_until: MonotonicTime,
    /// Its heartbeats get out, nothing gets in.
    pub inbound_cut_until: MonotonicTime,
    /// Direct commands get in and are answered, heartbeats reach nobody.
    pub outbound_cut_until: MonotonicTime,
    pub dead: bool,
}

impl Worker {
    pub(super) fn heartbeat(&mut self, id: &str) -> Heartbeat {
        self.sequence.0 += 1;
        let tasks = self.tasks.iter().map(|(attempt, t)| TaskStatus {
            task: attempt.task.to_string(),
            attempt_number: attempt.number,
            state: t.state,
            exit_reason: t.exit_reason,
            saved: None,
        });
        Heartbeat {
            machine: id.into(),
            addr: format!("10.0.0.1:{}", 1000 + id.len()),
            type_name: "t8".into(),
            zone: self.zone.into(),
            spot: self.spot,
            epoch: self.epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Exited tasks leave its list, though nobody has said so.
    pub(super) fn forget_exited(&mut self) {
        self.tasks.retain(|_, t| t.state != TaskState::Exited);
    }

    /// Carries commands out; the runs that were launched are returned for the checks.
    pub(super) fn execute(&mut self, now: MonotonicTime, commands: &[Command]) -> Vec<TaskAttempt> {
        let mut launched = Vec::new();
        for command in commands {
            let attempt = command.run().clone();
            match command {
                Command::Launch(_) => {
                    if self.tasks.contains_key(&attempt) {
                        continue;
                    }
                    let busy = self
                        .tasks
                        .iter()
                        .any(|(r, t)| r.task == attempt.task && t.state != TaskState::Exited);
                    let task = if busy {
                        WorkerTask {
                            state: TaskState::Exited,
                            exit_reason: Some(ExitReason::Busy),
                            until: now,
                        }
                    } else {
                        launched.push(attempt.clone());
                        let until = MonotonicTime(
                            now.0 + 2000 + u64::from(attempt.task.index) * 700 % 9000,
                        );
                        WorkerTask {
                            state: TaskState::Running,
                            exit_reason: None,
                            until,
                        }
                    };
                    self.tasks.insert(attempt, task);
                }
                Command::Stop(..) => {
                    if let Some(task) = self.tasks.get_mut(&attempt)
                        && task.state != TaskState::Exited
                    {
                        task.state = TaskState::Exited;
                        task.exit_reason = Some(ExitReason::Stopped);
                    }
                }
                Command::Forget(_) => {
                    self.tasks
                        .retain(|r, t| *r != attempt || t.state != TaskState::Exited);
                }
            }
        }
        launched
    }
}
