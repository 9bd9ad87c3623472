//! Attempt numbers of one leader's term.

use crate::ids::{AttemptNumber, Revision};

/// Hands out attempt numbers. None is used twice: the number of the term is its leading part.
#[derive(Default)]
pub(super) struct AttemptNumbers {
    term: Revision,
    counter: u64,
}

impl AttemptNumbers {
    /// Numbers for a new term.
    pub(super) fn of_term(term: Revision) -> Self {
        Self { term, counter: 0 }
    }

    /// The term that the numbers belong to.
    pub(super) fn term(&self) -> Revision {
        self.term
    }

    /// The next unused number.
    pub(super) fn next(&mut self) -> AttemptNumber {
        self.counter += 1;
        AttemptNumber::of(self.term, self.counter)
    }
}
