//! The routine that maintains the watch cache: it loads a snapshot of the key-value store and
//! applies the changes that follow.

use super::node::Node;
use crate::config::Config;
use crate::ids::Revision;
use crate::runtime;
use crate::store::watch_cache::WatchCache;
use crate::store::{StoreClient, StoreError, keys};
use std::rc::Rc;
use std::time::{Duration, Instant};

const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_WATCH_DELAY: Duration = Duration::from_millis(120);
/// Delay after a failed watch request.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed attempt to load a snapshot.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Loads a snapshot and applies all later changes to it. If changes have been missed, it loads a
/// new snapshot.
pub(super) async fn watch_store(node: Rc<Node>) {
    loop {
        match load_snapshot(&node.store, &node.config).await {
            Ok(cache) => {
                let revision = cache.revision;
                node.watch_cache_loaded.set(true);
                node.update(|controller, now| controller.on_snapshot(now, cache));
                log_membership(&node);
                apply_changes(&node, revision).await;
            }
            Err(error) => {
                tracing::debug!(%error, "cannot load the watch cache; retrying");
                runtime::sleep(SNAPSHOT_RETRY_DELAY).await;
            }
        }
    }
}

/// Applies all changes after `revision`. Returns when the store no longer has the next changes.
async fn apply_changes(node: &Rc<Node>, mut revision: Revision) {
    loop {
        match node
            .store
            .watch(keys::LIVE_PREFIX, revision, WATCH_TIMEOUT)
            .await
        {
            Ok(events) => {
                revision = revision.max(events.revision);
                node.update(|controller, now| {
                    let (effects, _) = controller.on_events(now, events.revision, events.events);
                    effects
                });
                log_membership(node);
                // Each watch response costs one request. The fewer requests the rate limiter has
                // left, the longer the delay, so that the next response contains more changes.
                runtime::sleep(node.store.watch_delay(MAX_WATCH_DELAY)).await;
            }
            Err(StoreError::Gone) => return,
            Err(_) => runtime::sleep(WATCH_RETRY_DELAY).await,
        }
    }
}

/// Reads all live records. The pages can have different revisions; the watch therefore starts at
/// the revision of the first page and delivers the changes made while the later pages were read.
async fn load_snapshot(store: &StoreClient, config: &Config) -> Result<WatchCache, StoreError> {
    let mut cache = WatchCache::new(config);
    let started_at = Instant::now();
    let mut first_revision = None;
    let mut last_revision;
    let mut last_key: Option<String> = None;
    loop {
        let page = store.page(keys::LIVE_PREFIX, last_key.as_deref()).await?;
        first_revision.get_or_insert(page.revision);
        last_revision = page.revision;
        last_key = page.items.last().map(|item| item.key.clone());
        let has_more = page.has_next && last_key.is_some();
        for item in page.items {
            cache.load(item);
        }
        if !has_more {
            break;
        }
    }
    cache.revision = first_revision.unwrap_or_default();
    // The number of revisions that were created while the pages were read. The watch delivers them.
    let behind = last_revision.0.saturating_sub(cache.revision.0);
    tracing::info!(
        revision = %cache.revision,
        behind,
        took = ?started_at.elapsed(),
        jobs = cache.jobs.len(),
        machines = cache.machines.len(),
        "watch cache loaded"
    );
    Ok(cache)
}

fn log_membership(node: &Node) {
    let controller = node.controller.borrow();
    let mut log = node.membership_log.borrow_mut();
    log.update(&controller.cache, &node.config.member);
}
