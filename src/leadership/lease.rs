//! Maintains this process's lease and its member record.

use crate::ids::{Incarnation, LeaseId, MemberId, Revision};
use crate::protocol::store::Txn;
use crate::runtime;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::MemberRecord;
use crate::store::{StoreClient, StoreError, TxnOutcome, keys};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay after a failed attempt to acquire or renew the lease.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of renewals within the lease's time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// Ends the lease of an earlier process of this controller, then acquires a lease and renews it. Acquires a
/// new lease whenever one is gone; never returns. `ttl` returns how long a lease lasts without renewal.
/// `on_lease` is called with each new lease, and with `None` when a lease is gone. `on_valid_until` is called
/// with the time until which the lease is certainly valid.
pub(crate) async fn keep_lease(
    store: Rc<StoreClient>,
    member: MemberId,
    incarnation: Incarnation,
    ttl: impl Fn() -> Duration,
    on_lease: impl Fn(Option<LeaseId>),
    on_valid_until: impl Fn(Instant),
) {
    let key = keys::member(&member);
    loop {
        // Measured before the request is sent: the lease can't expire before `requested_at + ttl_now`.
        let requested_at = Instant::now();
        let ttl_now = ttl();
        match acquire(&store, &key, incarnation, ttl_now).await {
            Ok(lease) => {
                on_valid_until(requested_at + ttl_now);
                on_lease(Some(lease));
                renew_until_gone(&store, lease, ttl_now, requested_at, &on_valid_until).await;
                on_lease(None);
            }
            Err(_) => runtime::sleep(RETRY_DELAY).await,
        }
    }
}

/// Creates a lease and writes the member record under it.
async fn acquire(
    store: &StoreClient,
    key: &str,
    incarnation: Incarnation,
    ttl: Duration,
) -> Result<LeaseId, StoreError> {
    let member_revision = end_previous_lease(store, key).await?;
    let lease = store.create_lease(ttl).await?;
    let mut txn = Txn::default();
    txn.require(key, member_revision);
    let record = MemberRecord::new(incarnation, lease);
    txn.put(key, &record, Some(lease));
    match store.txn(RequestClass::Lease, &txn).await {
        TxnOutcome::Committed(_) => Ok(lease),
        _ => {
            store.revoke_lease(lease).await.ok();
            Err(StoreError::Unavailable)
        }
    }
}

/// Ends the lease of an earlier process. Returns the revision of the member record after that; 0 if
/// there is no record.
async fn end_previous_lease(store: &StoreClient, key: &str) -> Result<Revision, StoreError> {
    let Some(item) = store.get(RequestClass::Lease, key).await? else {
        return Ok(Revision(0));
    };
    let record: Option<MemberRecord> = serde_json::from_value(item.value).ok();
    match record.map(|r| r.lease).or(item.lease) {
        // This removes the records under the lease: the member's, the leader's and the shards'.
        Some(lease) => {
            store.revoke_lease(lease).await?;
            Ok(Revision(0))
        }
        None => Ok(item.revision),
    }
}

/// Renews a lease; returns once it is gone.
async fn renew_until_gone(
    store: &StoreClient,
    lease: LeaseId,
    ttl: Duration,
    mut renewed_at: Instant,
    on_valid_until: impl Fn(Instant),
) {
    loop {
        runtime::sleep(ttl / RENEWALS_PER_TTL).await;
        let now = Instant::now();
        match store.renew_lease(lease).await {
            Ok(()) => {
                renewed_at = now;
                on_valid_until(renewed_at + ttl);
            }
            Err(StoreError::Gone) => return,
            // Leases keep their remaining time during an outage of the store. Only a response of the store
            // shows that a lease is gone, so all other errors are retried.
            Err(error) => {
                // `late` is the time since the request of the last successful renewal or, if there was none,
                // since the request that created the lease.
                tracing::debug!(
                    late = ?renewed_at.elapsed(),
                    %error,
                    "lease renewal failed; retrying"
                );
                runtime::sleep(RETRY_DELAY).await;
            }
        }
    }
}
