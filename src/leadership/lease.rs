//! The routine that keeps this process's lease and its member record.

use crate::ids::{Incarnation, LeaseId, Member, Revision};
use crate::protocol::store::Txn;
use crate::runtime;
use crate::store::rate_limiter::RequestClass;
use crate::store::records::MemberRecord;
use crate::store::{Store, StoreError, TxnOutcome, keys};
use std::rc::Rc;
use std::time::{Duration, Instant};

const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Ends what an earlier life of this controller left, then holds a lease for ever. `tell` hears
/// of each new lease, and of its loss; `assure` until when it holds for certain.
pub(crate) async fn keep_lease(
    store: Rc<Store>,
    member: Member,
    incarnation: Incarnation,
    life: impl Fn() -> Duration,
    tell: impl Fn(Option<LeaseId>),
    assure: impl Fn(Instant),
) {
    let key = keys::member(&member);
    loop {
        // Sent before the request leaves: the lease can't end sooner than this says.
        let sent = Instant::now();
        let life_now = life();
        match enter(&store, &key, incarnation, life_now).await {
            Some(lease) => {
                assure(sent + life_now);
                tell(Some(lease));
                extend(&store, lease, life_now, sent, &assure).await;
                tell(None);
            }
            None => runtime::sleep(RETRY_DELAY).await,
        }
    }
}

async fn enter(
    store: &Store,
    key: &str,
    incarnation: Incarnation,
    life: Duration,
) -> Option<LeaseId> {
    let old = store.get(RequestClass::Lease, key).await.ok()?;
    let mut revision = Revision(0);
    if let Some(item) = old {
        let record: Option<MemberRecord> = serde_json::from_value(item.value).ok();
        let left = record.map(|r| r.lease).or(item.lease);
        match left {
            // Ending the old lease removes its keys: the member's, the leader's and the shards'.
            Some(lease) => store.revoke_lease(lease).await.ok()?,
            None => revision = item.revision,
        }
    }
    let lease = store.create_lease(life.as_millis() as u64).await.ok()?;
    let mut txn = Txn::default();
    txn.require(key, revision);
    let record = MemberRecord::new(incarnation, lease);
    txn.put(key, &record, Some(lease));
    match store.txn(RequestClass::Lease, &txn).await {
        TxnOutcome::Committed(_) => Some(lease),
        _ => {
            store.revoke_lease(lease).await.ok();
            None
        }
    }
}

/// Returns once the lease is gone.
async fn extend(
    store: &Store,
    lease: LeaseId,
    life: Duration,
    mut sent: Instant,
    assure: impl Fn(Instant),
) {
    loop {
        runtime::sleep(life / 3).await;
        let now = Instant::now();
        match store.renew_lease(lease).await {
            Ok(()) => {
                sent = now;
                assure(sent + life);
            }
            Err(StoreError::Gone) => return,
            // In an outage leases keep their time; only the service can say that it is gone.
            Err(StoreError::Unavailable) => {
                tracing::debug!(late = ?sent.elapsed(), "lease not renewed");
                runtime::sleep(RETRY_DELAY).await;
            }
        }
    }
}
