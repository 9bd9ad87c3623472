//! The network: isolated zones, partitions between zones, and relays around them.

use crate::ids::{MemberId, MonotonicTime};
use crate::peers::{Message, RelayRoutes, frame_round_trip};
use crate::simulation::cluster::SimulatedCluster;
use crate::simulation::events::{PeerDelivery, SimulationEvent};
use crate::simulation::guards::DisabledGuard;
use crate::simulation::topology::{
    ISOLATED_ZONE, ISOLATED_ZONE_CONTROLLER, MEMBERS, member_index, zone_of,
};

/// The latency of a message between controllers, in ms.
const TRANSIT_MS: (u64, u64) = (1, 5);
/// The latency of a relayed message, in ms.
const RELAY_TRANSIT_MS: u64 = 10;
/// How long the last status of a controller counts, in ms.
const PEER_STATUS_TIMEOUT_MS: u64 = 2500;
/// Percent of the messages between controllers that are lost.
const LOST_MESSAGE_PERCENT: u64 = 5;

impl SimulatedCluster {
    /// Returns until when messages between a controller and the machines of a zone are blocked.
    pub(in crate::simulation) fn blocked_until(&self, node: usize, zone: &str) -> MonotonicTime {
        let partition = &self.active_faults.partition;
        let partitioned = partition.blocked_until(zone_of(node, self.nodes.len()), zone);
        let same_side = (node == ISOLATED_ZONE_CONTROLLER) == (zone == ISOLATED_ZONE);
        let isolated = match same_side {
            true => MonotonicTime(0),
            false => self.active_faults.zone_isolated_until,
        };
        partitioned.max(isolated)
    }

    /// Returns whether two controllers are in zones that can't reach each other.
    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        let controller_count = self.nodes.len();
        let partition = &self.active_faults.partition;
        partition.blocked_until(
            zone_of(one, controller_count),
            zone_of(other, controller_count),
        ) > self.now
    }

    /// Sends a message to another controller, through a relay if their zones are partitioned.
    pub(in crate::simulation) fn send_to_peer(
        &mut self,
        from: usize,
        to: &MemberId,
        message: &Message,
    ) {
        let to = member_index(to.as_str()).unwrap_or(0);
        let now = self.now;
        let is_cut_off = |node: usize| self.nodes[node].peers_cut_until > now;
        let partitioned = self.is_partitioned(from, to);
        let blocked = is_cut_off(from) || is_cut_off(to) || partitioned;
        if partitioned && let Some(relay) = self.relay_between(from, to) {
            self.deliver_to_peer(RELAY_TRANSIT_MS, from, to, message);
            self.observed.relayed_messages += u64::from(relay != from);
            return;
        }
        let lost = blocked || (self.faults.lost_responses && self.chance(LOST_MESSAGE_PERCENT));
        if !lost {
            let ms = self.pick(TRANSIT_MS.0, TRANSIT_MS.1);
            self.deliver_to_peer(ms, from, to, message);
        }
    }

    fn deliver_to_peer(&mut self, ms: u64, from: usize, to: usize, message: &Message) {
        let message = frame_round_trip(message);
        let delivery = PeerDelivery { to, from, message };
        self.schedule_in(ms, SimulationEvent::Peer(delivery));
    }

    /// Returns the relay routes that a controller would know now. They are computed from the current
    /// state of the network, as if all reachable peers had just sent their periodic status. The status
    /// of a controller that has just paused has not expired yet.
    pub(in crate::simulation) fn routes(&self, node: usize) -> RelayRoutes {
        let now = self.now;
        let controller_count = self.nodes.len();
        let reachable_peers = |one: usize, other: usize| {
            let is_running = |n: usize| {
                let node = &self.nodes[n];
                let has_status = node.paused_until <= now
                    || now.since(node.paused_at).0 < PEER_STATUS_TIMEOUT_MS;
                let serving = has_status && node.peers_cut_until <= now;
                node.controller.is_some() && serving
            };
            let partitioned = self.is_partitioned(one, other);
            one != other && is_running(one) && is_running(other) && !partitioned
        };
        let mut routes = RelayRoutes::default();
        for other in (0..controller_count).filter(|other| reachable_peers(node, *other)) {
            let peers = (0..controller_count).filter(|n| reachable_peers(other, *n));
            let peer_ids = peers.map(|n| MemberId::from(MEMBERS[n])).collect();
            let controller = self.nodes[other].controller.as_ref();
            let machines_without_direct_heartbeats =
                controller.map_or_else(Vec::new, |c| c.machines_without_direct_heartbeats(now));
            routes.on_peer_status(
                now,
                &MemberId::from(MEMBERS[other]),
                peer_ids,
                machines_without_direct_heartbeats,
            );
        }
        routes
    }

    /// Returns the controller that relays a message around the partition, if there is one.
    pub(in crate::simulation) fn relay_between(&self, node: usize, to: usize) -> Option<usize> {
        if self.disabled_guard == DisabledGuard::RelayDisabled {
            return None;
        }
        let routes = self.routes(node);
        let relay_for = routes.relay_for(self.now, &MemberId::from(MEMBERS[to]))?;
        member_index(relay_for.as_str())
    }

    /// Tells a controller whether its zone is partitioned from another one, as the daemon does.
    pub(in crate::simulation) fn report_partition(&mut self, node: usize) {
        if self.faults.zone_partition {
            let partition = &self.active_faults.partition;
            let is_partitioned = partition.until > self.now
                && partition.zones.contains(&zone_of(node, self.nodes.len()));
            if let Some(controller) = self.nodes[node].controller.as_mut() {
                controller.set_partitioned(is_partitioned);
            }
        }
    }
}
