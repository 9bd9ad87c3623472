//! Applies stored records and changes from the watch stream to the cache, by the type of their keys.

use super::WatchCache;
use crate::ids::{JobId, Revision, ShardId};
use crate::protocol::store::{Event, KeyValue};
use crate::store::keys::LiveKey;
use crate::store::records::JobRecord;
use crate::store::versioned::Versioned;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// A record from a page or from the watch stream that is not decoded yet.
struct StoredRecord<'a> {
    key: &'a str,
    value: Value,
    revision: Revision,
}

impl StoredRecord<'_> {
    /// Decodes the contents. An unreadable record is logged and ignored, because a controller of another
    /// version may have written it, and the other records still have to be processed.
    fn decode<T: DeserializeOwned>(self) -> Option<T> {
        let key = self.key;
        serde_json::from_value(self.value)
            .map_err(
                |error| tracing::error!(key, %error, "cannot decode a stored record; ignoring it"),
            )
            .ok()
    }

    fn decode_versioned<T: DeserializeOwned>(self) -> Option<Versioned<T>> {
        let revision = self.revision;
        let value = self.decode()?;
        Some(Versioned { value, revision })
    }

    fn is_newer_than<T>(&self, current: Option<&Versioned<T>>) -> bool {
        current.is_none_or(|old| old.revision < self.revision)
    }

    /// Replaces the record in `slot` if that one is older.
    fn replace_older<T: DeserializeOwned>(self, slot: &mut Option<Versioned<T>>) {
        if self.is_newer_than(slot.as_ref())
            && let Some(versioned) = self.decode_versioned()
        {
            *slot = Some(versioned);
        }
    }
}

impl WatchCache {
    /// Stores a record from a page of the initial list.
    pub(crate) fn load(&mut self, item: KeyValue) {
        self.put(StoredRecord {
            key: &item.key,
            value: item.value,
            revision: item.revision,
        });
    }

    /// Applies the next changes from the stream. Returns the ids of jobs that ended.
    pub(crate) fn apply(&mut self, revision: Revision, events: Vec<Event>) -> Vec<JobId> {
        let mut ended = Vec::new();
        for event in events {
            if let Some(key) = event.put {
                self.put(StoredRecord {
                    key: &key,
                    value: event.value,
                    revision: event.revision,
                });
            } else if let Some(key) = event.delete {
                ended.extend(self.delete(&key, event.revision));
            }
        }
        self.revision = self.revision.max(revision);
        let reached = self.revision;
        self.cancelled.retain(|_, at| *at > reached);
        ended
    }

    fn put(&mut self, record: StoredRecord<'_>) {
        let Some(key) = LiveKey::parse(record.key) else {
            return;
        };
        match key {
            LiveKey::Leader => record.replace_older(&mut self.leader),
            LiveKey::Catalog => record.replace_older(&mut self.catalog),
            LiveKey::Settings => record.replace_older(&mut self.settings),
            LiveKey::Member(member) => {
                if let Some(contents) = record.decode() {
                    self.members.insert(member, contents);
                }
            }
            LiveKey::Shard(shard) => self.put_shard(shard, record),
            LiveKey::History(pipeline) => {
                if let Some(history) = record.decode_versioned() {
                    self.history.insert(pipeline, history);
                }
            }
            LiveKey::Job(id) => self.put_stored_job(id, record),
            LiveKey::Segment(key) => {
                if let Some(bits) = record.decode_versioned() {
                    self.put_segment(key, bits);
                }
            }
            LiveKey::Plans(name) => {
                self.put_plan_batch(name, record.decode().unwrap_or_default());
            }
            LiveKey::Machine(id) => {
                let revision = record.revision;
                if let Some(contents) = record.decode() {
                    self.put_machine(id, contents, revision);
                }
            }
        }
    }

    fn put_shard(&mut self, shard: ShardId, record: StoredRecord<'_>) {
        if record.is_newer_than(self.shards.get(&shard))
            && let Some(versioned) = record.decode_versioned()
        {
            self.shards.insert(shard, versioned);
        }
    }

    fn put_stored_job(&mut self, id: JobId, record: StoredRecord<'_>) {
        let revision = record.revision;
        let known = self.job_revision(&id);
        if !self.cancelled.contains_key(&id)
            && known.is_none_or(|known| known < revision)
            && let Some(contents) = record.decode::<JobRecord>()
        {
            self.put_job(id, contents, revision);
        }
    }

    /// Applies the deletion of a record. If this ends a job, returns the job's id.
    fn delete(&mut self, key: &str, revision: Revision) -> Option<JobId> {
        match LiveKey::parse(key)? {
            LiveKey::Leader => {
                let leader = self.leader.take();
                self.leader = leader.filter(|l| l.revision >= revision);
            }
            LiveKey::Catalog => self.catalog = None,
            LiveKey::Settings => self.settings = None,
            LiveKey::Member(member) => drop(self.members.remove(&member)),
            LiveKey::Shard(shard) => {
                let current = self.shards.get(&shard);
                if current.is_some_and(|s| s.revision < revision) {
                    self.shards.remove(&shard);
                }
            }
            LiveKey::History(pipeline) => drop(self.history.remove(&pipeline)),
            LiveKey::Job(id) => return self.delete_job(id, revision),
            LiveKey::Segment(key) => self.delete_segment(&key),
            LiveKey::Plans(name) => self.delete_plan_batch(&name),
            LiveKey::Machine(id) => self.delete_machine(&id, revision),
        }
        None
    }
}
