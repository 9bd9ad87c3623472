use super::*;
use crate::http::{Response, serve};
use crate::runtime::{self, TcpListener};
use crate::store::keys;

/// A watch response with many changes at once, after half a minute without any, can need more memory
/// than a controller has. The watch cache must then be reloaded page by page: a retry of the same
/// request would get the same response each time, and the watch cache would not advance any more.
#[test]
fn watch_response_over_the_size_limit_is_reported_as_gone() {
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("addr")).expect("bind");
        let addr = listener.local_addr().expect("addr");
        let mut scope = runtime::Scope::default();
        scope.spawn(serve(listener, 10, |request| async move {
            let events = match request.target.contains("after=1&") {
                true => vec!["x"; 1000],
                false => Vec::new(),
            };
            Response::json(
                200,
                &serde_json::json!({"edition": 9, "filler": events, "events": []}),
            )
        }));
        let config = crate::config::tests::sample_config();
        let store = StoreClient::new(addr, &config.store_limits, 1.0, 2000, Instant::now());
        let watch = |after| store.watch(keys::LIVE_PREFIX, Revision(after), Duration::ZERO);
        assert_eq!(watch(1).await.err(), Some(StoreError::Gone));
        assert_eq!(watch(2).await.map(|e| e.revision).ok(), Some(Revision(9)));
        drop(scope);
    })
    .expect("loop");
}
