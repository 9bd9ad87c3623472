//! Routes of messages to other controllers: directly, or through a controller that reaches both
//! sides. If two zones cannot reach each other but a third zone reaches both, the links between
//! their controllers are cut although the controllers work.

use crate::ids::{MachineId, MemberId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a status expires. Each controller sends more than three statuses to all others
/// in this time.
const STATUS_TIMEOUT: Millis = Millis(2500);

/// The last status that a controller sent directly to this one.
#[derive(Debug, Default)]
struct PeerStatus {
    received_at: MonotonicTime,
    /// The controllers from which it receives statuses directly.
    reachable_peers: BTreeSet<MemberId>,
    /// Machines that it owns and whose heartbeats do not reach it directly.
    machines_without_direct_heartbeats: BTreeSet<MachineId>,
}

/// The links between all controllers, as this controller knows them from the peers' statuses.
#[derive(Debug, Default)]
pub(crate) struct RelayRoutes {
    statuses: BTreeMap<MemberId, PeerStatus>,
}

impl RelayRoutes {
    /// Records a peer's status: the controllers that it receives statuses from directly, and the
    /// machines whose heartbeats do not reach it directly.
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

    /// Returns the controllers whose status has not expired, with their statuses.
    fn recent(&self, now: MonotonicTime) -> impl Iterator<Item = (&MemberId, &PeerStatus)> {
        let is_recent = move |(_, status): &(&MemberId, &PeerStatus)| {
            now.since(status.received_at) < STATUS_TIMEOUT
        };
        self.statuses.iter().filter(is_recent)
    }

    /// Returns the controllers from which this one receives statuses directly.
    pub(crate) fn reachable_peers(&self, now: MonotonicTime) -> Vec<MemberId> {
        self.recent(now).map(|(member, _)| member.clone()).collect()
    }

    /// Returns the controller that relays messages to `to`. Returns `None` if `to` is reached
    /// directly or no known controller reaches it.
    pub(crate) fn relay_for(&self, now: MonotonicTime, to: &MemberId) -> Option<&MemberId> {
        if self.recent(now).any(|(member, _)| member == to) {
            return None;
        }
        let mut relays = self
            .recent(now)
            .filter(|(_, status)| status.reachable_peers.contains(to));
        relays.next().map(|(member, _)| member)
    }

    /// Returns whether some controller is reached only through a relay. Machines may then be cut
    /// off from this controller in the same way.
    pub(crate) fn has_partition(&self, now: MonotonicTime) -> bool {
        self.statuses
            .keys()
            .any(|member| self.relay_for(now, member).is_some())
    }

    /// Returns whether to relay the heartbeat of a machine that is cut off from its shard owner by
    /// a partition that also separates controllers. The machine is then not redirected to an owner
    /// that it cannot reach. If the owner reaches all controllers and has lost contact only with
    /// its machines, their heartbeats are not relayed, and the owner is replaced sooner if it keeps
    /// missing them.
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

    /// Returns whether `member` does not reach some controller that this one reaches.
    fn is_partitioned(&self, now: MonotonicTime, member: &MemberId, status: &PeerStatus) -> bool {
        let mut others = self.recent(now).filter(|(other, _)| *other != member);
        others.any(|(other, _)| !status.reachable_peers.contains(other))
    }
}

#[cfg(test)]
mod tests;
