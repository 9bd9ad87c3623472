//! Two zones that can't reach each other, and the ways around.

use super::cluster::{DisabledGuard, SHARD_LEASE_MS, SimulatedCluster, ZONES, zone_of};
use crate::ids::{Member, MonotonicTime};
use crate::peers::RelayRoutes;
use crate::protocol::Heartbeat;
use crate::worker_control::HeartbeatAnswer;

impl SimulatedCluster {
    pub(super) fn partition_zones(&mut self) {
        let spared = self.pick(0, self.zones as u64 - 1) as usize;
        let mut apart = ZONES[..self.zones].iter().enumerate();
        let mut apart = apart.by_ref().filter(|(n, _)| *n != spared);
        if let (Some((_, one)), Some((_, other))) = (apart.next(), apart.next()) {
            self.partition = [one, other];
            self.partition_until =
                MonotonicTime(self.now.0 + self.pick(SHARD_LEASE_MS, 4 * SHARD_LEASE_MS));
            self.partition_delays_messages = self.chance(50);
            self.faults_met += 1;
        }
    }

    /// Until when two zones can't reach each other.
    pub(super) fn partitioned_until(&self, one: &str, other: &str) -> MonotonicTime {
        let [a, b] = self.partition;
        match (a, b) == (one, other) || (b, a) == (one, other) {
            true => self.partition_until,
            false => MonotonicTime(0),
        }
    }

    /// What every controller knows from the others' words: they say them all the time.
    fn routes(&self, node: usize) -> RelayRoutes {
        let now = self.now;
        let members = self.nodes.len();
        let reachable_peers = |one: usize, other: usize| {
            let able = |n: usize| {
                let node = &self.nodes[n];
                let stands = node.frozen_until <= now && node.peers_cut_until <= now;
                node.controller.is_some() && stands
            };
            let parted =
                self.partitioned_until(zone_of(one, members), zone_of(other, members)) > now;
            one != other && able(one) && able(other) && !parted
        };
        let names = super::cluster::MEMBERS;
        let mut routes = RelayRoutes::default();
        for other in (0..members).filter(|other| reachable_peers(node, *other)) {
            let heard = (0..members).filter(|n| reachable_peers(other, *n));
            let heard = heard.map(|n| Member::from(names[n])).collect();
            let controller = self.nodes[other].controller.as_ref();
            let missing_machines = controller.map_or_else(Vec::new, |c| c.missing_machines(now));
            routes.on_peer_status(now, &Member::from(names[other]), heard, missing_machines);
        }
        routes
    }

    /// Through whom a message goes to a controller across the cut.
    pub(super) fn relay_between(&self, node: usize, to: usize) -> Option<usize> {
        if self.disabled_guard == DisabledGuard::RelayDisabled {
            return None;
        }
        let names = super::cluster::MEMBERS;
        let routes = self.routes(node);
        let relay_for = routes.relay_for(self.now, &Member::from(names[to]))?;
        names.iter().position(|m| *m == relay_for.as_str())
    }

    /// Hands a heartbeat on to the shard owner of its machine, and brings the answer back.
    pub(super) fn relay_heartbeat(
        &mut self,
        node: usize,
        owner: Member,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatAnswer> {
        if !self.faults.zone_partition || self.disabled_guard == DisabledGuard::RelayDisabled {
            return None;
        }
        let now = self.now;
        let routes = self.routes(node);
        if !routes.may_be_missing(now, &owner, &heartbeat.machine) {
            return None;
        }
        let mut members = super::cluster::MEMBERS.iter();
        let to = members.position(|m| *m == owner.as_str())?;
        let able = self.nodes[to].frozen_until <= now;
        let reached = able && self.relay_between(node, to).is_some()
            || routes.reachable_peers(now).contains(&owner);
        let controller = self.nodes[to].controller.as_mut().filter(|_| reached)?;
        let (answer, effects) = controller.on_relayed_heartbeat(now, heartbeat);
        self.execute(to, effects);
        if let Some(answer) = &answer {
            self.digest.add_answer(to, answer);
        }
        self.relayed += u64::from(answer.is_some());
        answer
    }

    /// What the daemon tells each controller after every word.
    pub(super) fn report_partition(&mut self, node: usize) {
        if self.faults.zone_partition {
            let cut = self.partition_until > self.now
                && self.partition.contains(&zone_of(node, self.nodes.len()));
            if let Some(controller) = self.nodes[node].controller.as_mut() {
                controller.set_partitioned(cut);
            }
        }
    }
}
