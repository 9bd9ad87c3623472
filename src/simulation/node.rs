//! A node that a controller runs on.

use super::fake_services::WaitingWorker;
use super::topology::MEMBERS;
use crate::config::Config;
use crate::config::tests::sample_config;
use crate::controller::Controller;
use crate::ids::{Incarnation, JobId, LeaseId, MemberId, MonotonicTime, Revision};
use crate::peers::PendingForwards;
use std::collections::BTreeSet;

/// A node and the controller that runs on it.
pub(super) struct Node {
    /// The configuration that controller processes on this node start with.
    pub config: Config,
    /// The running controller; `None` while the process is down.
    pub controller: Option<Controller>,
    /// A counter that rises with each stop and start, so that responses to an earlier process are
    /// dropped.
    pub generation: u64,
    /// The last revision that the watch has delivered.
    pub watched_revision: Revision,
    /// Whether the process is loading its watch cache again.
    pub is_loading_watch_cache: bool,
    /// The lease of the running process.
    pub lease: Option<LeaseId>,
    /// The lease of the previous process, until the new process revokes it.
    pub previous_lease: Option<LeaseId>,
    /// Until when the key-value store refuses the controller.
    pub store_cut_until: MonotonicTime,
    /// Until when messages from and to other controllers are lost.
    pub peers_cut_until: MonotonicTime,
    /// When the last pause of the process began.
    pub paused_at: MonotonicTime,
    /// Until when the process is paused.
    pub paused_until: MonotonicTime,
    /// The workers whose heartbeats the process has forwarded.
    pub pending_forwards: PendingForwards<WaitingWorker>,
    /// Cancelled jobs whose final record this process has written or read.
    pub final_records_seen: BTreeSet<JobId>,
    /// Whether the node runs the earlier version of the program.
    pub earlier_version: bool,
}

impl Node {
    /// Creates one of `controller_count` nodes, before its controller starts.
    pub(super) fn new(index: usize, controller_count: usize, earlier_version: bool) -> Self {
        let mut config = sample_config();
        config.member = MEMBERS[index].into();
        let addr = config.peer_listen;
        let others = MEMBERS[..controller_count]
            .iter()
            .filter(|m| **m != MEMBERS[index]);
        config.controller_count = controller_count as u32;
        config.peers = others.map(|m| (MemberId::from(*m), addr)).collect();
        Self {
            config,
            controller: None,
            generation: 0,
            watched_revision: Revision(0),
            is_loading_watch_cache: false,
            lease: None,
            previous_lease: None,
            store_cut_until: MonotonicTime(0),
            peers_cut_until: MonotonicTime(0),
            paused_at: MonotonicTime(0),
            paused_until: MonotonicTime(0),
            pending_forwards: PendingForwards::new(Incarnation(0)),
            final_records_seen: BTreeSet::new(),
            earlier_version,
        }
    }

    /// Returns the controller, if its process of this generation still runs.
    pub(super) fn process(&mut self, generation: u64) -> Option<&mut Controller> {
        let current = self.generation == generation;
        self.controller.as_mut().filter(|_| current)
    }
}
