//! A stored record together with the revision at which it was written.

use crate::ids::Revision;

/// A version of a stored record.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    /// The record's contents.
    pub value: T,
    /// The revision that wrote it. Transactions that overwrite the record compare against it.
    pub revision: Revision,
}
