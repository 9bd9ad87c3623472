//! Stores the cloud's machine types, for controllers that get no answer from the cloud.

use super::effects::{Effect, TxnRequester};
use crate::cloud::Autoscaler;
use crate::ids::{Millis, MonotonicTime};
use crate::protocol::store::Txn;
use crate::store::rate_limiter::RequestClass;
use crate::store::watch_cache::WatchCache;
use crate::store::{TxnOutcome, keys};

/// How long to wait before the catalog is written again after the store rejected it with status 400, probably
/// for its size.
const TOO_LARGE_RETRY_INTERVAL: Millis = Millis(60_000);

/// Writes the catalog if it differs from the stored one.
#[derive(Debug, Default)]
pub(super) struct CatalogWriter {
    in_flight: bool,
    retry_at: MonotonicTime,
}

impl CatalogWriter {
    /// Returns the write that is due, if any.
    pub(super) fn step(
        &mut self,
        now: MonotonicTime,
        autoscaler: &Autoscaler,
        cache: &WatchCache,
    ) -> Option<Effect> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let catalog = autoscaler.catalog_to_store(cache)?;
        let mut txn = Txn::default();
        txn.put(keys::CATALOG, catalog, None);
        self.in_flight = true;
        Some(Effect::Txn {
            requester: TxnRequester::Catalog,
            class: RequestClass::Place,
            txn,
        })
    }

    /// Handles the outcome of the write.
    pub(super) fn on_outcome(&mut self, now: MonotonicTime, outcome: &TxnOutcome) {
        self.in_flight = false;
        if matches!(outcome, TxnOutcome::Invalid) {
            tracing::error!(
                "catalog of machine types not stored: it exceeds the store's value limit"
            );
            self.retry_at = now + TOO_LARGE_RETRY_INTERVAL;
        }
    }
}
