//! The fencing token under which a machine is commanded, and the one that its worker obeys.

use crate::ids::{FencingToken, Millis, MonotonicTime, Revision};

/// A machine's token is not raised again within this time, except where nothing else helps.
const TOKEN_RAISE_INTERVAL: Millis = Millis(4000);

/// Our token for one machine and how it compares with the one the worker has seen.
#[derive(Debug)]
pub(super) struct TokenState {
    /// Revision of the shard's record under which the token was issued.
    fence: Revision,
    current: FencingToken,
    raised_at: MonotonicTime,
    /// The highest that the worker had seen by its latest heartbeat.
    seen: FencingToken,
    /// The latest heartbeat carried our token.
    confirmed: bool,
    /// A higher token exists: nothing more is sent until the watch cache brings it.
    superseded: bool,
}

impl TokenState {
    /// The first token under the given revision of the shard's record.
    pub(super) fn new(fence: Revision, now: MonotonicTime) -> Self {
        Self {
            fence,
            current: FencingToken::of(fence, 0),
            raised_at: now,
            seen: FencingToken(0),
            confirmed: false,
            superseded: false,
        }
    }

    /// Starts again under a new revision of the shard's record.
    pub(super) fn reset(&mut self, fence: Revision) {
        self.fence = fence;
        self.current = FencingToken::of(fence, 0);
        self.superseded = false;
        self.confirmed = false;
    }

    /// Raises the token within its fence. `false`: the fence has no higher one left.
    pub(super) fn raise(&mut self, now: MonotonicTime) -> bool {
        self.raised_at = now;
        let Some(next) = self.current.checked_increment() else {
            return false;
        };
        self.current = next;
        self.confirmed = false;
        true
    }

    /// Whether the token was raised a moment ago: raising it again would only cost calls.
    pub(super) fn raised_recently(&self, now: MonotonicTime) -> bool {
        now.since(self.raised_at) < TOKEN_RAISE_INTERVAL
    }

    /// Whether a heartbeat with this token is the first to show that ours has arrived.
    pub(super) fn newly_arrived(&self, reported: FencingToken) -> bool {
        reported == self.current && self.seen < reported
    }

    /// Takes in the token of a heartbeat. Returns whether ours rose above it: an earlier tracker
    /// under the same fence had raised it, and what that one sent is not known here.
    pub(super) fn observe(&mut self, reported: FencingToken) -> bool {
        self.seen = reported;
        let raised_before = reported.fence() == self.fence && reported > self.current;
        if raised_before {
            self.current = reported.checked_increment().unwrap_or(reported);
        }
        self.superseded = reported > self.current;
        self.confirmed = reported == self.current;
        raised_before
    }

    /// Notes that the worker obeys a token of a later fence.
    pub(super) fn mark_superseded(&mut self) {
        self.superseded = true;
    }

    /// Revision of the shard's record under which the token was issued.
    pub(super) fn fence(&self) -> Revision {
        self.fence
    }

    /// The token that commands carry now.
    pub(super) fn current(&self) -> FencingToken {
        self.current
    }

    /// Whether the latest heartbeat carried our token.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Whether the worker obeys a token above ours.
    pub(super) fn is_superseded(&self) -> bool {
        self.superseded
    }
}
