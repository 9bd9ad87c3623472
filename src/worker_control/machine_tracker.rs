//! The state of one machine as seen by its shard owner under one fencing token.

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

/// The state of one machine as seen by its shard owner.
#[derive(Debug)]
pub(super) struct MachineTracker {
    token: TokenState,
    reachability: Reachability,
    /// The latest status of the worker.
    observed: ObservedState,
    /// Launches that were sent under the current token and are not settled yet.
    launches: Launches,
    stops: StopRequests,
    /// Placements that are pending, committed but not yet launched, or refused but not yet
    /// reported.
    placements: Placements,
    /// Unwritten changes to the machine's record and the transaction in flight.
    writes: RecordWrites,
    /// The direct call in flight and the time of the next one.
    calls: DirectCalls,
}

/// Construction and access to the parts of the state.
impl MachineTracker {
    /// Creates a tracker for a machine without a known status. `fence` is the revision of its
    /// shard's record.
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

    /// Resets the tracker after the shard's record was rewritten. Commands that were sent under the
    /// old token prove nothing any more, and transactions under the old fence can't be applied.
    pub(super) fn reset(&mut self, fence: Revision, now: MonotonicTime) {
        self.token.reset(fence);
        self.launches.clear();
        self.placements.reset();
        self.writes.reset();
        self.calls.set_next(now);
        self.reachability = Reachability::new(now);
    }

    /// Returns the placements that are not settled yet.
    pub(super) fn placements(&self) -> &Placements {
        &self.placements
    }

    /// Returns the placements that are not settled yet, for changes.
    pub(super) fn placements_mut(&mut self) -> &mut Placements {
        &mut self.placements
    }

    /// Returns the state of the writes of the machine's record.
    pub(super) fn writes(&self) -> &RecordWrites {
        &self.writes
    }

    /// Returns the state of the writes of the machine's record, for changes.
    pub(super) fn writes_mut(&mut self) -> &mut RecordWrites {
        &mut self.writes
    }

    /// Returns the state of the direct calls to the machine.
    pub(super) fn calls(&self) -> &DirectCalls {
        &self.calls
    }

    /// Returns the state of the direct calls to the machine, for changes.
    pub(super) fn calls_mut(&mut self) -> &mut DirectCalls {
        &mut self.calls
    }
}

/// Fencing token.
impl MachineTracker {
    /// Returns the revision of the shard's record under which the machine's token was issued.
    pub(super) fn fence(&self) -> Revision {
        self.token.fence()
    }

    /// Returns the token that commands to the machine carry.
    pub(super) fn token(&self) -> FencingToken {
        self.token.current()
    }

    /// Returns whether the latest status carried the current token.
    pub(super) fn is_confirmed(&self) -> bool {
        self.token.is_confirmed()
    }

    /// Returns whether a higher token exists, in which case no more commands are sent.
    pub(super) fn is_superseded(&self) -> bool {
        self.token.is_superseded()
    }

    /// Returns whether the machine obeys the current token and no higher token is known.
    pub(super) fn is_token_current(&self) -> bool {
        self.token.is_confirmed() && !self.token.is_superseded()
    }

    /// Records that the machine obeys a token of a later fence.
    pub(super) fn mark_superseded(&mut self) {
        self.token.mark_superseded();
    }

    /// Raises the token of this machine without changing the shard's record, so that other work in
    /// the shard continues. It is called when the direct launch of a task that is no longer wanted
    /// has no answer, when the worker has to list too many exited tasks whose direct launches could
    /// be repeated, and to test whether answers reach a machine whose heartbeats are relayed. Once
    /// a heartbeat carries the higher token, no copy of a launch under a lower token can take
    /// effect any more. Returns `false` if the fence has no higher token left.
    pub(super) fn raise_token(&mut self, now: MonotonicTime) -> bool {
        if !self.token.raise(now) {
            return false;
        }
        self.calls.set_next(now);
        self.launches.clear();
        true
    }

    /// Returns whether the token was raised so recently that raising it again would only cost
    /// calls.
    pub(super) fn token_raised_recently(&self, now: MonotonicTime) -> bool {
        self.token.raised_recently(now)
    }
}

/// Heartbeats and reachability.
impl MachineTracker {
    /// Returns whether a status is newer than all received ones.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        self.observed.is_newer(heartbeat)
    }

    /// Applies a status, from a heartbeat or from the answer to a direct call, if it is the newest.
    /// A late one is ignored and does not count as a sign of life either.
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
        if self.token.is_first_report_of_current(heartbeat.token) {
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

    /// Returns whether the latest status lists a task that was launched under the current token and
    /// that was not seen running before. It proves that a message from this controller has reached
    /// the worker.
    fn shows_new_launch(&self) -> bool {
        let new = |attempt: &TaskAttempt| {
            self.launches.contains(attempt) && self.observed.running_since(attempt).is_none()
        };
        self.observed.listed().any(|(attempt, _)| new(attempt))
    }

    /// Drops launches and stop requests that the latest status shows to be executed or void.
    fn settle_sent_commands(&mut self) {
        let observed = &self.observed;
        self.placements
            .retain_launchable(|attempt| !observed.lists(attempt));
        self.launches.remove_before_epoch(observed.epoch());
        let launches = &self.launches;
        self.stops
            .retain(|attempt| observed.lists(attempt) || launches.contains(attempt));
    }

    /// Records that a heartbeat came directly from the machine.
    pub(super) fn on_direct_heartbeat(&mut self, now: MonotonicTime) {
        self.reachability.on_direct_heartbeat(now);
    }

    /// Records that a message from this controller has reached the worker.
    pub(super) fn mark_reached(&mut self, now: MonotonicTime) {
        self.reachability.mark_reached(now);
    }

    /// Records that a direct call was not sent or not answered.
    pub(super) fn on_failed_call(&mut self) {
        self.reachability.on_failed_call();
    }

    /// Returns whether to accept a heartbeat that another controller relays. After half a lease of
    /// relayed heartbeats, one is rejected to make the machine try the direct path.
    ///
    /// While heartbeats are relayed no direct calls are sent, so only the token can show that
    /// answers reach the machine: it is raised, and the next heartbeat carries it if the answer
    /// arrived.
    pub(super) fn try_accept_relayed_heartbeat(
        &mut self,
        now: MonotonicTime,
        direct_heartbeat_timeout: Millis,
        worker_lease: Millis,
    ) -> bool {
        if !self.is_direct_heartbeat_overdue(now, direct_heartbeat_timeout)
            || !self.reachability.accept_relayed(now, worker_lease)
        {
            return false;
        }
        if self.reachability.since_reached(now) > direct_heartbeat_timeout
            && !self.token_raised_recently(now)
        {
            if !self.is_confirmed() {
                // The previous token has not come back: this counts as an unanswered call.
                self.reachability.on_failed_call();
            }
            self.raise_token(now);
        }
        true
    }

    /// Returns the time since the last heartbeat, direct or relayed.
    pub(super) fn since_heartbeat(&self, now: MonotonicTime) -> Millis {
        self.reachability.since_heartbeat(now)
    }

    /// Returns the time since the last heartbeat that came directly from the machine.
    pub(super) fn since_direct_heartbeat(&self, now: MonotonicTime) -> Millis {
        self.reachability.since_direct_heartbeat(now)
    }

    /// Returns the time since the machine last proved that a message from this controller reached
    /// it.
    pub(super) fn since_reached(&self, now: MonotonicTime) -> Millis {
        self.reachability.since_reached(now)
    }

    /// Returns whether direct heartbeats are overdue.
    pub(super) fn is_direct_heartbeat_overdue(
        &self,
        now: MonotonicTime,
        direct_heartbeat_timeout: Millis,
    ) -> bool {
        self.since_direct_heartbeat(now) > direct_heartbeat_timeout
    }

    /// Returns whether the machine's heartbeats are relayed by other controllers.
    pub(super) fn is_relayed(&self) -> bool {
        self.reachability.is_relayed()
    }

    /// Returns how long the machine has been unresponsive.
    pub(super) fn unresponsive_for(&self, now: MonotonicTime) -> Millis {
        self.reachability.unresponsive_for(now)
    }

    /// Returns the address and port where the worker accepts direct calls.
    pub(super) fn addr(&self) -> &str {
        self.observed.addr()
    }

    /// Returns the worker's epoch.
    pub(super) fn epoch(&self) -> WorkerEpoch {
        self.observed.epoch()
    }

    /// Returns when the machine will be interrupted, if its cloud provider has given notice.
    pub(super) fn interruption_at(&self) -> Option<MonotonicTime> {
        self.observed.interruption_at()
    }
}

#[cfg(test)]
mod tests;
