//! The fencing token of the commands to a machine, and the token that its worker obeys.

use crate::ids::{FencingToken, Millis, MonotonicTime, Revision};

/// Minimum time between two raises of a machine's token. It does not apply when a status shows that
/// an earlier tracker of the machine under the same fence had raised the token further: this
/// tracker's token is then raised above that one at once.
const MIN_TOKEN_RAISE_INTERVAL: Millis = Millis(4000);

/// This controller's token for one machine, and how it compares with the token that the worker
/// reports.
#[derive(Debug)]
pub(super) struct TokenState {
    /// Revision of the shard's record under which the token was issued.
    fence: Revision,
    current: FencingToken,
    raised_at: MonotonicTime,
    /// The highest token that the worker had seen when it sent its latest status.
    seen: FencingToken,
    /// Whether the latest status carried the current token.
    confirmed: bool,
    /// Whether a higher token exists. No more commands are sent until the watch cache delivers its
    /// fence.
    superseded: bool,
}

impl TokenState {
    /// Creates the state with the first token under the given revision of the shard's record.
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

    /// Restarts with the first token under a new revision of the shard's record.
    pub(super) fn reset(&mut self, fence: Revision) {
        self.fence = fence;
        self.current = FencingToken::of(fence, 0);
        self.superseded = false;
        self.confirmed = false;
    }

    /// Raises the token within its fence. Returns `false` if the fence has no higher token left.
    pub(super) fn raise(&mut self, now: MonotonicTime) -> bool {
        self.raised_at = now;
        let Some(next) = self.current.checked_increment() else {
            return false;
        };
        self.current = next;
        self.confirmed = false;
        true
    }

    /// Returns whether the token was raised so recently that raising it again would only cost
    /// calls.
    pub(super) fn raised_recently(&self, now: MonotonicTime) -> bool {
        now.since(self.raised_at) < MIN_TOKEN_RAISE_INTERVAL
    }

    /// Returns whether a status with this token is the first to show that the current token has
    /// reached the worker.
    pub(super) fn is_first_report_of_current(&self, reported: FencingToken) -> bool {
        reported == self.current && self.seen < reported
    }

    /// Applies the token of a status. Returns whether the current token was raised above it: an
    /// earlier tracker under the same fence had raised the token, and this tracker does not know
    /// which commands it sent.
    pub(super) fn observe(&mut self, reported: FencingToken) -> bool {
        self.seen = reported;
        let raised_by_earlier_tracker = reported.fence() == self.fence && reported > self.current;
        if raised_by_earlier_tracker {
            self.current = reported.checked_increment().unwrap_or(reported);
        }
        self.superseded = reported > self.current;
        self.confirmed = reported == self.current;
        raised_by_earlier_tracker
    }

    /// Records that the worker obeys a token of a later fence.
    pub(super) fn mark_superseded(&mut self) {
        self.superseded = true;
    }

    /// Returns the revision of the shard's record under which the token was issued.
    pub(super) fn fence(&self) -> Revision {
        self.fence
    }

    /// Returns the token that commands carry.
    pub(super) fn current(&self) -> FencingToken {
        self.current
    }

    /// Returns whether the latest status carried the current token.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns whether the worker obeys a higher token than the current one.
    pub(super) fn is_superseded(&self) -> bool {
        self.superseded
    }
}
