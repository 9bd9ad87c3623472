//! Episodes of an event that repeats, such as refusals: the log says when one begins and when it is
//! over, with a count, in place of a line for each event.

use crate::ids::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// One run of the same event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Episode {
    /// Its first event.
    pub(crate) since: MonotonicTime,
    /// Its latest event.
    pub(crate) last: MonotonicTime,
    /// How many events there were.
    pub(crate) count: u64,
    /// Whether its beginning was logged.
    announced: bool,
}

impl Episode {
    /// The time between its first and its latest event.
    pub(crate) fn duration(&self) -> Millis {
        self.last.since(self.since)
    }
}

/// The episodes that are not over, by what they concern.
#[derive(Debug)]
pub(crate) struct Episodes<K> {
    open: BTreeMap<K, Episode>,
    /// An episode is worth a line once it has lasted so long.
    announce_after: Millis,
    /// An episode without an event for so long is over.
    quiet_after: Millis,
    /// Bounds the number of open episodes. What comes beyond it is not followed.
    capacity: usize,
}

impl<K: Ord + Clone> Episodes<K> {
    /// No episodes.
    pub(crate) fn new(announce_after: Millis, quiet_after: Millis, capacity: usize) -> Self {
        Self {
            open: BTreeMap::new(),
            announce_after,
            quiet_after,
            capacity,
        }
    }

    /// Counts an event. Returns the episode if its beginning is to be logged now.
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

    /// Ends an episode. Returns it if its beginning was logged.
    pub(crate) fn end(&mut self, key: &K) -> Option<Episode> {
        self.open.remove(key).filter(|episode| episode.announced)
    }

    /// Ends the episodes that are over. Returns those whose beginning was logged.
    pub(crate) fn take_ended(&mut self, now: MonotonicTime) -> Vec<(K, Episode)> {
        let is_over = |episode: &Episode| now.since(episode.last) >= self.quiet_after;
        let over = self.open.iter().filter(|(_, episode)| is_over(episode));
        let over: Vec<(K, Episode)> = over.map(|(key, e)| (key.clone(), *e)).collect();
        for (key, _) in &over {
            self.open.remove(key);
        }
        over.into_iter().filter(|(_, e)| e.announced).collect()
    }

    /// When the oldest open episode began.
    pub(crate) fn oldest_start(&self) -> Option<MonotonicTime> {
        self.open.values().map(|episode| episode.since).min()
    }
}

#[cfg(test)]
mod tests;
