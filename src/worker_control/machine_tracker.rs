//! What is known of one machine under one token, and what may be concluded from it.

mod direct_calls;
mod launches;
mod observed_state;
mod placements;
mod presence;
mod reachability;
mod record_writes;
mod stops;
mod tasks;
mod token;

pub(super) use direct_calls::DirectCalls;
pub(super) use launches::{CommandRoute, DirectLaunch};
pub(super) use observed_state::StatusSource;
pub(super) use placements::{PendingPlacement, Placements, RecordLimits};
pub(super) use presence::TaskPresence;
pub(super) use record_writes::{EndedPlacement, PendingTxn, RecordWrites, UnwrittenChanges};

use crate::ids::{FencingToken, Millis, MonotonicTime, Revision, TaskAttempt, WorkerEpoch};
use crate::protocol::Heartbeat;
use launches::Launches;
use observed_state::ObservedState;
use reachability::Reachability;
use stops::StopRequests;
use token::TokenState;

/// All that a shard owner knows of one of its machines.
#[derive(Debug)]
pub(super) struct MachineTracker {
    token: TokenState,
    reachability: Reachability,
    /// The newest status of the worker.
    observed: ObservedState,
    /// Launches that were sent under the current token.
    launches: Launches,
    stops: StopRequests,
    /// Placements that are not settled yet.
    placements: Placements,
    /// The state of writing the machine's record.
    writes: RecordWrites,
    /// Direct commands to the worker.
    calls: DirectCalls,
}

/// Construction and parts.
impl MachineTracker {
    /// A machine of which nothing is known yet, under this revision of its shard's record.
    pub(super) fn new(fence: Revision, addr: &str, now: MonotonicTime) -> Self {
        Self {
            token: TokenState::new(fence, now),
            reachability: Reachability::new(now),
            observed: ObservedState::new(addr),
            launches: Launches::default(),
            stops: StopRequests::default(),
            placements: Placements::default(),
            writes: RecordWrites::new(now),
            calls: DirectCalls::new(now),
        }
    }

    /// The shard was rewritten: what was sent under the old token proves nothing any more, and
    /// transactions under the old fence can't be applied.
    pub(super) fn reset(&mut self, fence: Revision, now: MonotonicTime) {
        self.token.reset(fence);
        self.launches.clear();
        self.placements.reset();
        self.writes.reset();
        self.calls.set_next(now);
        self.reachability = Reachability::new(now);
    }

    /// Placements that are not settled yet.
    pub(super) fn placements(&self) -> &Placements {
        &self.placements
    }

    /// Placements that are not settled yet.
    pub(super) fn placements_mut(&mut self) -> &mut Placements {
        &mut self.placements
    }

    /// The state of writing the machine's record.
    pub(super) fn writes(&self) -> &RecordWrites {
        &self.writes
    }

    /// The state of writing the machine's record.
    pub(super) fn writes_mut(&mut self) -> &mut RecordWrites {
        &mut self.writes
    }

    /// Direct commands to the machine.
    pub(super) fn calls(&self) -> &DirectCalls {
        &self.calls
    }

    /// Direct commands to the machine.
    pub(super) fn calls_mut(&mut self) -> &mut DirectCalls {
        &mut self.calls
    }
}

/// The token.
impl MachineTracker {
    /// The shard's revision, under which the machine's token was issued.
    pub(super) fn fence(&self) -> Revision {
        self.token.fence()
    }

    /// The token that commands to the machine carry.
    pub(super) fn token(&self) -> FencingToken {
        self.token.current()
    }

    /// Whether the latest heartbeat carried our token.
    pub(super) fn is_confirmed(&self) -> bool {
        self.token.is_confirmed()
    }

    /// Whether a higher token exists, so that nothing more is sent.
    pub(super) fn is_superseded(&self) -> bool {
        self.token.is_superseded()
    }

    /// Whether the machine obeys our token, and no higher one is known.
    pub(super) fn obeys_us(&self) -> bool {
        self.token.is_confirmed() && !self.token.is_superseded()
    }

    /// Notes that the machine obeys a token of a later fence.
    pub(super) fn mark_superseded(&mut self) {
        self.token.mark_superseded();
    }

    /// Raises this machine's token alone, where a direct launch is in the way: one without an
    /// answer, or so many carried out that keeping them at the worker has become a burden. The
    /// shard's record, and all that is under way in the shard, stay as they are. Once a heartbeat
    /// carries the higher token, no launch that was sent under a lower one can take effect any
    /// more, however often it is repeated. `false`: there is no higher token under this record.
    pub(super) fn raise_token(&mut self, now: MonotonicTime) -> bool {
        if !self.token.raise(now) {
            return false;
        }
        self.calls.set_next(now);
        self.launches.clear();
        true
    }

    /// Whether its token was raised a moment ago: raising it again would only cost calls.
    pub(super) fn token_raised_recently(&self, now: MonotonicTime) -> bool {
        self.token.raised_recently(now)
    }
}

/// Heartbeats and whether they arrive.
impl MachineTracker {
    /// Whether a status is newer than all that came.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        self.observed.is_newer(heartbeat)
    }

    /// Takes a heartbeat if it is the newest. Late ones say nothing, and are no sign of life
    /// either.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: StatusSource,
        now: MonotonicTime,
    ) {
        if !self.observed.is_newer(heartbeat) {
            return;
        }
        self.reachability.on_heartbeat(now);
        if self.token.newly_arrived(heartbeat.token) {
            self.reachability.mark_reached(now);
        }
        self.observed.apply(heartbeat, source, now);
        if self.token.observe(heartbeat.token) {
            self.launches.clear();
        }
        if self.token.is_confirmed() && self.shows_new_launch() {
            self.reachability.mark_reached(now);
        }
        self.observed.track_running(now);
        self.settle_sent_commands();
    }

    /// Whether a launch was carried out and has arrived therefore.
    fn shows_new_launch(&self) -> bool {
        let new = |attempt: &TaskAttempt| {
            self.launches.contains(attempt) && self.observed.running_since(attempt).is_none()
        };
        self.observed.listed().any(|(attempt, _)| new(attempt))
    }

    /// Drops what the newest status shows to be carried out or void.
    fn settle_sent_commands(&mut self) {
        let observed = &self.observed;
        self.placements
            .retain_launchable(|attempt| !observed.lists(attempt));
        self.launches.drop_before(observed.epoch());
        let launches = &self.launches;
        self.stops
            .retain(|attempt| observed.lists(attempt) || launches.contains(attempt));
    }

    /// A heartbeat came directly from the machine.
    pub(super) fn on_direct_heartbeat(&mut self, now: MonotonicTime) {
        self.reachability.on_direct_heartbeat(now);
    }

    /// Something of ours has arrived at the worker.
    pub(super) fn mark_reached(&mut self, now: MonotonicTime) {
        self.reachability.mark_reached(now);
    }

    /// A direct command had no answer.
    pub(super) fn on_failed_call(&mut self) {
        self.reachability.on_failed_call();
    }

    /// Whether a heartbeat that comes through another controller is accepted. After half a lease
    /// the machine is made to try the direct path once.
    ///
    /// Nothing else shows that answers arrive there: direct commands don't. So the token rises,
    /// and comes back with the next heartbeat.
    pub(super) fn try_accept_relayed_heartbeat(
        &mut self,
        now: MonotonicTime,
        direct_heartbeat_timeout: Millis,
        worker_lease: Millis,
    ) -> bool {
        if !self.is_missing(now, direct_heartbeat_timeout)
            || !self.reachability.accept_relayed(now, worker_lease)
        {
            return false;
        }
        if self.reachability.since_reached(now) > direct_heartbeat_timeout
            && !self.token_raised_recently(now)
        {
            if !self.is_confirmed() {
                // The one before has not come back: as if a command had no answer.
                self.reachability.on_failed_call();
            }
            self.raise_token(now);
        }
        true
    }

    /// How long no heartbeat has come.
    pub(super) fn since_heartbeat(&self, now: MonotonicTime) -> Millis {
        self.reachability.since_heartbeat(now)
    }

    /// How long no heartbeat has come directly from the machine.
    pub(super) fn since_direct_heartbeat(&self, now: MonotonicTime) -> Millis {
        self.reachability.since_direct_heartbeat(now)
    }

    /// How long nothing has shown that something of ours arrives there.
    pub(super) fn since_reached(&self, now: MonotonicTime) -> Millis {
        self.reachability.since_reached(now)
    }

    /// Whether direct heartbeats have been absent for too long.
    pub(super) fn is_missing(&self, now: MonotonicTime, direct_heartbeat_timeout: Millis) -> bool {
        self.since_direct_heartbeat(now) > direct_heartbeat_timeout
    }

    /// Whether its heartbeats come through other controllers.
    pub(super) fn is_relayed(&self) -> bool {
        self.reachability.is_relayed()
    }

    /// How long nothing shows that the machine can be used.
    pub(super) fn silent(&self, now: MonotonicTime) -> Millis {
        self.reachability.silent(now)
    }

    /// Where the worker takes direct commands.
    pub(super) fn addr(&self) -> &str {
        self.observed.addr()
    }

    /// The worker's epoch.
    pub(super) fn epoch(&self) -> WorkerEpoch {
        self.observed.epoch()
    }

    /// When the machine will be interrupted, if its cloud has given notice.
    pub(super) fn notice(&self) -> Option<MonotonicTime> {
        self.observed.notice()
    }
}

#[cfg(test)]
mod tests;
