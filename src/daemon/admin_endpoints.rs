//! The operators' endpoints: `/admin/status` and `/admin/settings`.

use super::node::Node;
use super::status_report::StatusReport;
use crate::admin::Settings;
use crate::http::Response;
use crate::ids::Revision;
use crate::protocol::store::Txn;
use crate::store::rate_limiter::RequestClass;
use crate::store::{TxnOutcome, keys};
use serde_json::Value;

/// Returns the settings in force.
pub(super) fn settings(node: &Node) -> Response {
    Response::json(200, &node.controller.borrow().cache.settings())
}

/// Checks a change of the settings and stores the result in the key-value store. Every controller
/// adopts it from its watch cache.
pub(super) async fn change_settings(node: &Node, body: &[u8]) -> Response {
    let change: Value = match serde_json::from_slice(body) {
        Ok(change) => change,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    let (settings, revision) = {
        let controller = node.controller.borrow();
        let stored = controller.cache.settings.as_ref();
        let revision = stored.map_or(Revision(0), |stored| stored.revision);
        (controller.cache.settings(), revision)
    };
    let changed: Settings = match settings.with_changes(&change) {
        Ok(changed) => changed,
        Err(error) => return Response::error(400, &error.to_string()),
    };
    let mut txn = Txn::default();
    txn.require(keys::SETTINGS, revision);
    txn.put(keys::SETTINGS, &changed, None);
    match node.store.txn(RequestClass::Accept, &txn).await {
        TxnOutcome::Committed(_) => Response::json(200, &changed),
        TxnOutcome::Failed(..) => Response::retry_later("changed by somebody else just now", 1),
        _ => Response::retry_later("the state service did not take it", 1),
    }
}

/// Returns the status report of this node and of the cluster as its watch cache shows it.
pub(super) fn status(node: &Node) -> Response {
    let controller = node.controller.borrow();
    let report = StatusReport::new(node, &controller.cache);
    // Serializing through a `Value` sorts the fields by name.
    match serde_json::to_value(&report) {
        Ok(report) => Response::json(200, &report),
        Err(error) => Response::error(500, &error.to_string()),
    }
}
