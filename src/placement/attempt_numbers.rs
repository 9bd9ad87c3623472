//! Attempt numbers of one leader's term.

use crate::ids::{AttemptNumber, Revision};

/// Generates attempt numbers. The term forms the leading part of each number, so no number is
/// generated twice. The tasks of a gang, and their replacements, share one number.
#[derive(Default)]
pub(super) struct AttemptNumbers {
    term: Revision,
    counter: u64,
}

impl AttemptNumbers {
    /// Starts the numbering of a new term.
    pub(super) fn of_term(term: Revision) -> Self {
        Self { term, counter: 0 }
    }

    /// Returns the term that the numbers belong to.
    pub(super) fn term(&self) -> Revision {
        self.term
    }

    /// Returns a number that was not returned before.
    pub(super) fn next(&mut self) -> AttemptNumber {
        self.counter += 1;
        AttemptNumber::of(self.term, self.counter)
    }
}
