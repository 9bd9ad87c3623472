//! The controllers and zones of a simulated cluster.

/// The number of controllers and zones of a cluster.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClusterSize {
    /// The number of controllers.
    pub controller_count: usize,
    /// The number of zones.
    pub zone_count: usize,
}

/// The small deployment: three controllers in two zones.
pub(super) const THREE_CONTROLLERS: ClusterSize = ClusterSize {
    controller_count: 3,
    zone_count: 2,
};
/// The large deployment: five controllers in three zones.
pub(super) const FIVE_CONTROLLERS: ClusterSize = ClusterSize {
    controller_count: 5,
    zone_count: 3,
};
/// The names of the zones; a cluster uses the first ones.
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];
/// The names of the controllers; a cluster uses the first ones.
pub(super) const MEMBERS: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];
/// The zone that zone isolation cuts off.
pub(super) const ISOLATED_ZONE: &str = "b";
/// The controller that zone isolation cuts off together with the zone. Of five controllers, another
/// one is in that zone too, but is treated as outside it.
pub(super) const ISOLATED_ZONE_CONTROLLER: usize = 2;

/// Returns the zone of a controller. Of five controllers, two are in the first zone and two in the
/// second.
pub(super) fn zone_of(node: usize, controller_count: usize) -> &'static str {
    match (controller_count, node) {
        (5, node) => ZONES[node / 2],
        (_, ISOLATED_ZONE_CONTROLLER) => ISOLATED_ZONE,
        _ => ZONES[0],
    }
}

/// Returns the index of the controller with this name.
pub(super) fn member_index(name: &str) -> Option<usize> {
    MEMBERS.iter().position(|member| *member == name)
}
