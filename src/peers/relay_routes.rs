//! Which way a message takes to another controller: straight, or through one that hears both. Two
//! zones that can't reach each other while a third reaches both cut the links between their
//! controllers, and nothing else is wrong with them.

use crate::ids::{MachineId, Member, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Each controller says a word to all others more often than three times in this.
const FRESH: Millis = Millis(2500);

/// What a controller said last, straight to this one.
#[derive(Debug, Default)]
struct PeerStatus {
    at: MonotonicTime,
    reachable_peers: BTreeSet<Member>,
    missing_machines: BTreeSet<MachineId>,
}

#[derive(Debug, Default)]
pub(crate) struct RelayRoutes {
    words: BTreeMap<Member, PeerStatus>,
}

impl RelayRoutes {
    /// A controller said whom it hears itself, and which of its machines it misses.
    pub(crate) fn on_peer_status(
        &mut self,
        now: MonotonicTime,
        from: &Member,
        reachable_peers: Vec<Member>,
        missing_machines: Vec<MachineId>,
    ) {
        let word = PeerStatus {
            at: now,
            reachable_peers: reachable_peers.into_iter().collect(),
            missing_machines: missing_machines.into_iter().collect(),
        };
        self.words.insert(from.clone(), word);
    }

    fn fresh(&self, now: MonotonicTime) -> impl Iterator<Item = (&Member, &PeerStatus)> {
        let fresh = move |(_, w): &(&Member, &PeerStatus)| now.since(w.at) < FRESH;
        self.words.iter().filter(fresh)
    }

    /// Whom this controller hears itself.
    pub(crate) fn reachable_peers(&self, now: MonotonicTime) -> Vec<Member> {
        self.fresh(now).map(|(m, _)| m.clone()).collect()
    }

    /// Who passes messages on to a controller that is not heard itself, if anybody does.
    pub(crate) fn relay_for(&self, now: MonotonicTime, to: &Member) -> Option<&Member> {
        if self.fresh(now).any(|(m, _)| m == to) {
            return None;
        }
        let mut between = self
            .fresh(now)
            .filter(|(_, w)| w.reachable_peers.contains(to));
        between.next().map(|(m, _)| m)
    }

    /// Whether some controller is only heard through another: machines may be cut off from
    /// this one in the same way.
    pub(crate) fn has_partition(&self, now: MonotonicTime) -> bool {
        self.words
            .keys()
            .any(|member| self.relay_for(now, member).is_some())
    }

    /// Whether a machine that turns up here is cut off from its shard owner as other controllers are:
    /// then its heartbeat is handed on instead of being sent there, where it would not arrive. A
    /// shard owner that hears all others and misses its machines has lost them alone, and is relieved
    /// sooner if it goes on missing them (Savannah fleet, apart: 0.83 to 0.76, bc14cf10).
    pub(crate) fn may_be_missing(
        &self,
        now: MonotonicTime,
        owner: &Member,
        machine: &MachineId,
    ) -> bool {
        let parted = |word: &PeerStatus| {
            let mut others = self.fresh(now).filter(|(m, _)| *m != owner);
            others.any(|(m, _)| !word.reachable_peers.contains(m))
        };
        let mut words = self.fresh(now);
        words.any(|(m, w)| m == owner && w.missing_machines.contains(machine) && parted(w))
            || self.relay_for(now, owner).is_some()
    }
}

#[cfg(test)]
mod tests;
