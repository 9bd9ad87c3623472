//! Tests of machine lists that have more pages than the cloud allows calls at once.
//!
//! The rate limiter admits one second's calls at once and refuses the next page. If the list were
//! dropped then and restarted at its first page, the leader of a fleet of thousands of machines
//! would never learn which machines are rented: with 4,500 machines and two calls a second, the
//! list ended after two calls. At five and at twelve calls a second, with no other calls to the
//! cloud, it was complete. The cause was that a refused page read after the first was not
//! retried. The reads of final job states once had the same fault.

use super::*;
use crate::http::Request;
use crate::runtime::run_in_virtual_time;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;

const PAGE_SIZE: usize = 500;
const CLOUD_LATENCY: Duration = Duration::from_millis(150);

/// Creates a fake cloud that lists `machines` machines page by page and rejects calls above `rps`
/// calls a second.
fn cloud(machines: usize, rps: f64, calls: Rc<Cell<usize>>) -> Client {
    let started = runtime::now();
    let bucket = Rc::new(RefCell::new(TokenBucket::new(rps)));
    Client::with_fake_transport(Rc::new(move |request: Request| {
        let now = MonotonicTime((runtime::now() - started).as_millis() as u64);
        calls.set(calls.get() + 1);
        let admitted = bucket
            .borrow_mut()
            .try_acquire(now, 1.0, RequestClass::Accept);
        let response = match admitted {
            true => page(machines, &request.target),
            false => Response::error(429, "too many requests"),
        };
        Box::pin(async move {
            runtime::sleep(CLOUD_LATENCY).await;
            response
        })
    }))
}

/// Returns the page of the list that `path` requests.
fn page(machines: usize, path: &str) -> Response {
    let after = path.split("after=").nth(1).unwrap_or_default();
    let after = after.split('&').next().unwrap_or_default();
    let first = after
        .strip_prefix("vm-")
        .map_or(0, |n| n.parse::<usize>().expect("number") + 1);
    let last = (first + PAGE_SIZE).min(machines);
    let listed: Vec<_> = (first..last)
        .map(|n| {
            json!({"id": format!("vm-{n:06}"), "addr": "127.0.0.1:1", "hull": "t8", "berth": "a",
                "ebb": false, "standing": "running", "held_s": 1.0})
        })
        .collect();
    Response::json(
        200,
        &json!({"moorings": listed, "has_next": last < machines}),
    )
}

/// Lists all machines once. Returns how many were listed, or `None` if the list failed, and the
/// number of calls.
fn list(machines: usize, rps: f64) -> (Option<usize>, usize) {
    let result = Rc::new(Cell::new((None, 0)));
    let result_cell = result.clone();
    run_in_virtual_time(async move {
        let calls = Rc::new(Cell::new(0));
        let client = cloud(machines, rps, calls.clone());
        let addr = "127.0.0.1:1".parse().expect("address");
        let cloud_calls = CloudCalls::with_client(client, addr, rps, runtime::now());
        let listed = cloud_calls.list().await;
        result_cell.set((listed.map(|l| l.len()), calls.get()));
    });
    result.get()
}

#[test]
fn list_of_thousands_of_machines_is_complete_at_any_rate() {
    for rps in [2.0, 5.0, 12.0] {
        assert_eq!(list(4500, rps), (Some(4500), 9), "{rps} calls a second");
    }
}

#[test]
fn list_of_one_page_takes_one_call() {
    assert_eq!(list(200, 2.0), (Some(200), 1));
}
