//! Which way a message takes to another controller: directly, or through one that hears both. Two
//! zones that can't reach each other while a third reaches both cut the links between their
//! controllers, and nothing else is wrong with them.

use crate::ids::{MachineId, MemberId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// How long a status counts. Each controller sends more than three to all others in this time.
const STATUS_TIMEOUT: Millis = Millis(2500);

/// The last status that a controller sent directly to this one.
#[derive(Debug, Default)]
struct PeerStatus {
    received_at: MonotonicTime,
    /// The controllers that it hears itself.
    reachable_peers: BTreeSet<MemberId>,
    /// Machines that it owns and whose heartbeats don't come to it directly.
    machines_without_direct_heartbeats: BTreeSet<MachineId>,
}

/// What this controller knows of the links between all controllers.
#[derive(Debug, Default)]
pub(crate) struct RelayRoutes {
    statuses: BTreeMap<MemberId, PeerStatus>,
}

impl RelayRoutes {
    /// A controller reports whom it hears itself, and which of its machines it misses.
    pub(crate) fn on_peer_status(
        &mut self,
        now: MonotonicTime,
        from: &MemberId,
        reachable_peers: Vec<MemberId>,
        machines_without_direct_heartbeats: Vec<MachineId>,
    ) {
        let status = PeerStatus {
            received_at: now,
            reachable_peers: reachable_peers.into_iter().collect(),
            machines_without_direct_heartbeats: machines_without_direct_heartbeats
                .into_iter()
                .collect(),
        };
        self.statuses.insert(from.clone(), status);
    }

    /// The controllers that are heard directly now, with their statuses.
    fn recent(&self, now: MonotonicTime) -> impl Iterator<Item = (&MemberId, &PeerStatus)> {
        let is_recent = move |(_, status): &(&MemberId, &PeerStatus)| {
            now.since(status.received_at) < STATUS_TIMEOUT
        };
        self.statuses.iter().filter(is_recent)
    }

    /// The controllers that this one hears itself.
    pub(crate) fn reachable_peers(&self, now: MonotonicTime) -> Vec<MemberId> {
        self.recent(now).map(|(member, _)| member.clone()).collect()
    }

    /// The controller that relays messages to one that is not heard directly. `None`: it is heard
    /// directly, or nobody hears it.
    pub(crate) fn relay_for(&self, now: MonotonicTime, to: &MemberId) -> Option<&MemberId> {
        if self.recent(now).any(|(member, _)| member == to) {
            return None;
        }
        let mut relays = self
            .recent(now)
            .filter(|(_, status)| status.reachable_peers.contains(to));
        relays.next().map(|(member, _)| member)
    }

    /// Whether some controller is only heard through another: machines may be cut off from
    /// this one in the same way.
    pub(crate) fn has_partition(&self, now: MonotonicTime) -> bool {
        self.statuses
            .keys()
            .any(|member| self.relay_for(now, member).is_some())
    }

    /// Whether a machine that sends its heartbeat here is cut off from its shard owner as other
    /// controllers are: then the heartbeat is relayed, instead of the machine being redirected to
    /// an owner that it can't reach. A shard owner that hears all others and misses its machines
    /// has lost them alone, and is relieved sooner if it goes on missing them.
    pub(crate) fn should_relay_heartbeat(
        &self,
        now: MonotonicTime,
        owner: &MemberId,
        machine: &MachineId,
    ) -> bool {
        let mut statuses = self.recent(now);
        let reported_missing = statuses.any(|(member, status)| {
            member == owner
                && status.machines_without_direct_heartbeats.contains(machine)
                && self.is_partitioned(now, owner, status)
        });
        reported_missing || self.relay_for(now, owner).is_some()
    }

    /// Whether a controller fails to hear some other that is heard here.
    fn is_partitioned(&self, now: MonotonicTime, member: &MemberId, status: &PeerStatus) -> bool {
        let mut others = self.recent(now).filter(|(other, _)| *other != member);
        others.any(|(other, _)| !status.reachable_peers.contains(other))
    }
}

#[cfg(test)]
mod tests;
