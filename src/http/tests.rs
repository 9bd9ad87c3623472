//! Tests of the parsers, which must accept any bytes without a panic, and of the limits on
//! connections.

use super::server::{RequestProgress, parse};
use super::{Response, client};
use proptest::prelude::*;

#[test]
fn requests_are_parsed_from_a_stream() {
    let text = b"POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}GET / HTTP/1.1\r\n";
    let RequestProgress::Complete {
        request,
        consumed,
        close,
    } = parse(text)
    else {
        panic!("not ready");
    };
    assert_eq!(
        (request.target.as_str(), request.body.as_slice()),
        ("/work", &b"{}"[..])
    );
    assert!(!close && text[consumed..].starts_with(b"GET"));
    let incomplete = b"POST /work HTTP/1.1\r\nContent-Length: 5\r\n\r\n{}";
    assert!(matches!(
        parse(incomplete),
        RequestProgress::Incomplete { .. }
    ));
}

#[test]
fn chunked_body_and_connection_close_are_parsed() {
    let text = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    let RequestProgress::Complete { request, close, .. } = parse(text) else {
        panic!("not ready");
    };
    assert_eq!(request.body, b"abc");
    assert!(close);
}

#[test]
fn oversized_bodies_and_heads_are_refused_early() {
    let body = b"POST /work HTTP/1.1\r\nContent-Length: 65537\r\n\r\n";
    assert!(matches!(parse(body), RequestProgress::Rejected(r) if r.status == 400));
    let mut head = b"GET / HTTP/1.1\r\nX: ".to_vec();
    head.resize(20_000, b'a');
    assert!(matches!(parse(&head), RequestProgress::Rejected(r) if r.status == 431));
}

#[test]
fn retry_later_response_has_a_retry_after_header() {
    let text = String::from_utf8(super::server::encode(
        &Response::retry_later("busy", 3),
        false,
    ));
    assert!(text.expect("text").contains("\r\nRetry-After: 3\r\n"));
}

/// Connections above the limit are closed at once. When open connections end, new ones are served.
#[test]
fn server_connections_and_client_idle_connections_are_bounded() {
    use crate::runtime::{self, TcpListener, TcpStream};
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("addr")).expect("bind");
        let addr = listener.local_addr().expect("addr");
        let mut scope = runtime::Scope::default();
        let handler = |_| async { Response::new(200, b"{}".to_vec()) };
        scope.spawn(super::serve(listener, 2, handler));
        let request = b"GET / HTTP/1.1\r\n\r\n";
        let mut open_streams = Vec::new();
        for _ in 0..2 {
            let mut stream = TcpStream::connect(addr).await.expect("connect");
            stream.write_all(request).await.expect("write");
            let mut buffer = [0; 256];
            assert!(stream.read(&mut buffer).await.expect("read") > 0);
            open_streams.push(stream);
        }
        let mut third = TcpStream::connect(addr).await.expect("connect");
        let mut buffer = [0; 256];
        assert!(!matches!(third.read(&mut buffer).await, Ok(n) if n > 0));
        drop(open_streams);
        let client = super::Client::new(1000, 4);
        let call = || {
            let client = client.clone();
            let timeout = std::time::Duration::from_secs(20);
            async move {
                client
                    .call(addr, super::Method::Get, "/", b"", timeout)
                    .await
            }
        };
        // The server notices that the other connections have ended only when its routines run next.
        while call().await.is_err() {
            runtime::sleep(std::time::Duration::from_millis(1)).await;
        }
        for _ in 0..30 {
            assert_eq!(call().await.map(|r| r.status), Ok(200));
        }
        assert_eq!(client.idle_count(addr), 1);
    })
    .expect("loop");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn parsers_accept_any_bytes_without_panicking(bytes in proptest::collection::vec(any::<u8>(), 0..400), cut in 0usize..80) {
        parse(&bytes);
        client::parse(&bytes, 100, false).ok();
        let mut text = b"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        text.truncate(text.len() - cut.min(text.len()));
        text.extend_from_slice(&bytes);
        parse(&text);
    }
}

/// When few connections are left, the server closes each connection after a response, so that all
/// clients are served.
#[test]
fn more_clients_than_connections_are_all_served() {
    use crate::http::{Client, Method};
    use crate::runtime::{self, TcpListener};
    use std::rc::Rc;
    use std::time::Duration;
    runtime::run(async {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("addr")).expect("bind");
        let addr = listener.local_addr().expect("addr");
        let mut scope = runtime::Scope::default();
        let handler = |_| async { Response::new(200, b"{}".to_vec()) };
        scope.spawn(super::serve(listener, 8, handler));
        // Each client keeps its connection until the server closes it.
        let clients: Vec<Rc<Client>> = (0..40).map(|_| Rc::new(Client::new(1024, 4))).collect();
        for _ in 0..3 {
            for client in &clients {
                let timeout = Duration::from_secs(2);
                let response = client.call(addr, Method::Get, "/", b"", timeout).await;
                assert_eq!(response.map(|r| r.status).ok(), Some(200));
            }
        }
    })
    .expect("loop");
}
