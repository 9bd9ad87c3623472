//! Grouping of repeated events, such as refusals, into episodes. The log gets one line at the start and one
//! at the end of an episode, with the number of events, instead of a line for each event.

use crate::ids::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// A sequence of events of the same kind without a long pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Episode {
    /// The time of the first event.
    pub(crate) since: MonotonicTime,
    /// The time of the latest event.
    pub(crate) last: MonotonicTime,
    /// The number of events.
    pub(crate) count: u64,
    /// Whether the start of the episode has been logged.
    announced: bool,
}

impl Episode {
    /// Returns the time between the first and the latest event.
    pub(crate) fn duration(&self) -> Millis {
        self.last.since(self.since)
    }
}

/// The open episodes, by the subject of their events.
#[derive(Debug)]
pub(crate) struct Episodes<K> {
    open: BTreeMap<K, Episode>,
    /// The minimum duration of an episode that is logged.
    announce_after: Millis,
    /// The time without an event after which an episode is over.
    quiet_after: Millis,
    /// The largest number of open episodes. Events that would open another one are ignored.
    capacity: usize,
}

impl<K: Ord + Clone> Episodes<K> {
    /// Returns a collection without open episodes.
    pub(crate) fn new(announce_after: Millis, quiet_after: Millis, capacity: usize) -> Self {
        Self {
            open: BTreeMap::new(),
            announce_after,
            quiet_after,
            capacity,
        }
    }

    /// Counts an event. Returns the episode if the caller must log its start now.
    pub(crate) fn record(&mut self, now: MonotonicTime, key: &K) -> Option<Episode> {
        if !self.open.contains_key(key) && self.open.len() >= self.capacity {
            return None;
        }
        let episode = self.open.entry(key.clone()).or_insert(Episode {
            since: now,
            last: now,
            count: 0,
            announced: false,
        });
        episode.last = now;
        episode.count += 1;
        if episode.announced || episode.duration() < self.announce_after {
            return None;
        }
        episode.announced = true;
        Some(*episode)
    }

    /// Ends an episode. Returns it if its start was logged.
    pub(crate) fn end(&mut self, key: &K) -> Option<Episode> {
        self.open.remove(key).filter(|episode| episode.announced)
    }

    /// Removes the episodes that are over. Returns those whose start was logged.
    pub(crate) fn take_ended(&mut self, now: MonotonicTime) -> Vec<(K, Episode)> {
        let is_over = |episode: &Episode| now.since(episode.last) >= self.quiet_after;
        let ended = self.open.iter().filter(|(_, episode)| is_over(episode));
        let ended: Vec<(K, Episode)> = ended.map(|(key, e)| (key.clone(), *e)).collect();
        for (key, _) in &ended {
            self.open.remove(key);
        }
        ended.into_iter().filter(|(_, e)| e.announced).collect()
    }

    /// Returns the start of the oldest open episode.
    pub(crate) fn oldest_start(&self) -> Option<MonotonicTime> {
        self.open.values().map(|episode| episode.since).min()
    }
}

#[cfg(test)]
mod tests;
