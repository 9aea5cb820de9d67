//! Reads before the I/O driver has run.

use std::future::poll_fn;
use std::io::Write;
use std::net::TcpListener;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::runtime::Builder;

use super::Stream;

/// Returns the bytes that one poll reads, or `None` if the poll is pending.
fn poll_read(stream: &mut Stream, cx: &mut Context<'_>) -> Option<Vec<u8>> {
    let mut buffer = [0; 64];
    let mut buffer = ReadBuf::new(&mut buffer);
    match Pin::new(stream).poll_read(cx, &mut buffer) {
        Poll::Ready(read) => read.map(|()| buffer.filled().to_vec()).ok(),
        Poll::Pending => None,
    }
}

/// After a stall of the process, a task may run before the I/O driver. A pooled connection on which a second
/// response has arrived must not appear to have no input.
#[test]
fn bytes_that_have_arrived_are_read_before_the_io_driver_has_run() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let mut stream = Stream::connect(listener.local_addr().expect("address")).await.expect("connect");
        let (mut peer, _) = listener.accept().expect("accept");
        let nothing = poll_fn(|cx| Poll::Ready(poll_read(&mut stream, cx))).await;
        assert_eq!(nothing, None);
        // Nothing is awaited from here on, so the I/O driver does not run.
        peer.write_all(b"late").expect("write");
        let mut cx = Context::from_waker(Waker::noop());
        assert_eq!(poll_read(&mut stream, &mut cx).as_deref(), Some(&b"late"[..]));
    });
}
