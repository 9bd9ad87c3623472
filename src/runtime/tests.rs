use super::*;
use std::cell::Cell;

#[test]
fn dropping_a_scope_drops_what_its_routines_hold() {
    struct Tell(Rc<Cell<bool>>);
    impl Drop for Tell {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let told = Rc::new(Cell::new(false));
    let seen = told.clone();
    run(async move {
        let mut scope = Scope::default();
        let tell = Tell(seen.clone());
        scope.spawn(async move {
            let _held = tell;
            std::future::pending::<()>().await;
        });
        sleep(Duration::from_millis(1)).await;
        assert!(!seen.get());
        drop(scope);
        sleep(Duration::from_millis(1)).await;
        assert!(seen.get());
    })
    .expect("loop");
    assert!(told.get());
}

#[test]
fn timeout_ends_what_never_completes_and_leaves_no_timer() {
    run(async {
        let never = std::future::pending::<()>();
        assert!(timeout(Duration::from_millis(2), never).await.is_none());
        assert_eq!(timeout(Duration::from_secs(60), async { 7 }).await, Some(7));
        assert_eq!(with(|e| e.timers.len()), Some(0));
    })
    .expect("loop");
}

#[test]
fn streams_carry_bytes_and_channels_wake_their_reader() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0".parse().expect("addr")).expect("bind");
        let addr = listener.local_addr().expect("addr");
        let (tx, mut rx) = channel();
        spawn(async move {
            let mut stream = listener.accept().await.expect("accept");
            let mut buffer = [0; 16];
            let n = stream.read(&mut buffer).await.expect("read");
            tx.send(buffer[..n].to_vec());
        });
        let mut stream = TcpStream::connect(addr).await.expect("connect");
        stream.write_all(b"hello").await.expect("write");
        assert_eq!(rx.recv().await, Some(b"hello".to_vec()));
        assert_eq!(rx.recv().await, None);
    })
    .expect("loop");
}
