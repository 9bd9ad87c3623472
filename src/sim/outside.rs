//! The stand-ins' own state: a small consistent store, and workers.

use crate::config::Config;
use crate::ids::{GrantId, Revision, Run, Seq, Session, Time, Token};
use crate::store::TxnOutcome;
use crate::store::replica::Replica;
use crate::wire::state::{Change, Event, Item, Txn};
use crate::wire::{Order, Report, TaskReport, TaskState, Why};
use serde_json::Value;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct StoreModel {
    pub revision: Revision,
    pub keys: BTreeMap<String, (Value, Revision, Option<GrantId>)>,
    pub grants: BTreeMap<GrantId, Time>,
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
    pub fn create_grant(&mut self, until: Time) -> GrantId {
        self.revision.0 += 1;
        let grant = GrantId(self.revision.0);
        self.grants.insert(grant, until);
        grant
    }

    pub fn end_grant(&mut self, grant: GrantId) {
        self.grants.remove(&grant);
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, v)| v.2 == Some(grant))
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

    pub fn expire(&mut self, now: Time) {
        let over: Vec<GrantId> = self
            .grants
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(g, _)| *g)
            .collect();
        for grant in over {
            self.end_grant(grant);
        }
    }

    pub fn txn(&mut self, txn: &Txn) -> TxnOutcome {
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
        let dead = |c: &Change| matches!(c, Change::Put { grant: Some(g), .. } if !self.grants.contains_key(g));
        if txn.changes.iter().any(dead) {
            return TxnOutcome::Refused;
        }
        if !txn.changes.is_empty() {
            self.revision.0 += 1;
        }
        for change in &txn.changes {
            match change {
                Change::Put { key, value, grant } => {
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision, *grant));
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

    pub fn events(&self, after: Revision, earlier: bool) -> Vec<Event> {
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

    pub fn snapshot(&self, config: &Config, earlier: bool) -> Replica {
        let mut replica = Replica::new(config);
        for (key, (value, revision, grant)) in &self.keys {
            let value = match earlier {
                true => as_earlier(value.clone()),
                false => value.clone(),
            };
            let key = key.clone();
            replica.load(Item {
                key,
                value,
                revision: *revision,
                grant: *grant,
            });
        }
        replica.revision = self.revision;
        replica
    }
}

#[derive(Clone, Debug)]
pub struct WorkerTask {
    pub state: TaskState,
    pub why: Option<Why>,
    pub until: Time,
}

pub struct Worker {
    pub spot: bool,
    pub zone: &'static str,
    pub session: Session,
    pub seq: Seq,
    pub token: Token,
    pub tasks: BTreeMap<Run, WorkerTask>,
    pub node: usize,
    /// When the last answered report was sent.
    pub answered: Time,
    pub next_report: Time,
    pub awaiting: Option<(u64, Time)>,
    pub cut_until: Time,
    pub hang_until: Time,
    /// Its reports get out, nothing gets in.
    pub deaf_until: Time,
    /// Direct commands get in and are answered, reports reach nobody.
    pub mute_until: Time,
    pub dead: bool,
}

impl Worker {
    pub fn report(&mut self, id: &str) -> Report {
        self.seq.0 += 1;
        let tasks = self.tasks.iter().map(|(run, t)| TaskReport {
            task: run.task.to_string(),
            attempt: run.attempt,
            state: t.state,
            why: t.why,
            saved: None,
        });
        Report {
            machine: id.into(),
            addr: format!("10.0.0.1:{}", 1000 + id.len()),
            type_name: "t8".into(),
            zone: self.zone.into(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Exited tasks leave its list, though nobody has said so.
    pub fn forget_exited(&mut self) {
        self.tasks.retain(|_, t| t.state != TaskState::Exited);
    }

    /// Carries commands out; the runs that were launched are returned for the checks.
    pub fn obey(&mut self, now: Time, orders: &[Order]) -> Vec<Run> {
        let mut launched = Vec::new();
        for order in orders {
            let run = order.run().clone();
            match order {
                Order::Start(_) => {
                    if self.tasks.contains_key(&run) {
                        continue;
                    }
                    let busy = self
                        .tasks
                        .iter()
                        .any(|(r, t)| r.task == run.task && t.state != TaskState::Exited);
                    let task = if busy {
                        WorkerTask {
                            state: TaskState::Exited,
                            why: Some(Why::Busy),
                            until: now,
                        }
                    } else {
                        launched.push(run.clone());
                        let until = Time(now.0 + 2000 + u64::from(run.task.index) * 700 % 9000);
                        WorkerTask {
                            state: TaskState::Running,
                            why: None,
                            until,
                        }
                    };
                    self.tasks.insert(run, task);
                }
                Order::Stop(..) => {
                    if let Some(task) = self.tasks.get_mut(&run)
                        && task.state != TaskState::Exited
                    {
                        task.state = TaskState::Exited;
                        task.why = Some(Why::Stopped);
                    }
                }
                Order::Forget(_) => {
                    self.tasks
                        .retain(|r, t| *r != run || t.state != TaskState::Exited);
                }
            }
        }
        launched
    }
}
