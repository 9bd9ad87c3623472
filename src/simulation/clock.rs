//! The queue of scheduled events in simulated time.

use super::events::SimulationEvent;
use crate::ids::MonotonicTime;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event and when it is due.
struct ScheduledEvent {
    due: MonotonicTime,
    /// Events due at the same time happen in the order in which they were scheduled.
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.sequence) == (other.due, other.sequence)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

/// The scheduled events, ordered by due time.
#[derive(Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    scheduled: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Returns a sequence number that no event and no earlier caller has.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Adds an event.
    pub(super) fn push(&mut self, due: MonotonicTime, event: SimulationEvent) {
        let sequence = self.next_sequence();
        self.scheduled.push(Reverse(ScheduledEvent {
            due,
            sequence,
            event,
        }));
    }

    /// Removes and returns the next event with its due time, if it is due at or before `until`.
    pub(super) fn pop_until(
        &mut self,
        until: MonotonicTime,
    ) -> Option<(MonotonicTime, SimulationEvent)> {
        let Reverse(next) = self.scheduled.peek()?;
        if next.due > until {
            return None;
        }
        let Reverse(next) = self.scheduled.pop()?;
        Some((next.due, next.event))
    }
}
