use super::executor::with;
use super::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

#[test]
fn dropping_a_scope_drops_its_routines_values() {
    struct SetOnDrop(Rc<Cell<bool>>);
    impl Drop for SetOnDrop {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let dropped = Rc::new(Cell::new(false));
    let flag = dropped.clone();
    run(async move {
        let mut scope = Scope::default();
        let value = SetOnDrop(flag.clone());
        scope.spawn(async move {
            let _value = value;
            std::future::pending::<()>().await;
        });
        sleep(Duration::from_millis(1)).await;
        assert!(!flag.get());
        drop(scope);
        sleep(Duration::from_millis(1)).await;
        assert!(flag.get());
    })
    .expect("loop");
    assert!(dropped.get());
}

#[test]
fn timeout_drops_a_pending_future_and_removes_its_timer() {
    run(async {
        let never = std::future::pending::<()>();
        assert!(timeout(Duration::from_millis(2), never).await.is_none());
        assert_eq!(timeout(Duration::from_secs(60), async { 7 }).await, Some(7));
        assert_eq!(with(|executor| executor.timer_count()), Some(0));
    })
    .expect("loop");
}

#[test]
fn streams_transfer_bytes_and_channels_wake_their_reader() {
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
