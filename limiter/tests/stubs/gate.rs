//! Control over when, and how, a stub server's connection goes on or ends.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use super::wait_for;

/// Closed until the test opens it; its clones open with it.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    pub fn open(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_open(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    pub fn wait_until_open(&self) {
        wait_for("the gate", || self.is_open());
    }
}

/// Has the next close of a connection be a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _context = runtime.enter();
    let stream = stream.try_clone().expect("a clone");
    stream.set_nonblocking(true).expect("not blocking");
    tokio::net::TcpStream::from_std(stream).expect("a stream").set_zero_linger().expect("no linger");
}
