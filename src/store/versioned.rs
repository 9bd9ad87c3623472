//! A stored record together with the revision that wrote it.

use crate::ids::Revision;

/// A record as one change of the store left it.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    /// The record's contents.
    pub value: T,
    /// The change that wrote it: the condition under which it may be overwritten.
    pub revision: Revision,
}
