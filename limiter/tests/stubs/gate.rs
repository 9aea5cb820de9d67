//! Control over when a stub server responds and how the server closes a connection.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use super::wait_for;

/// A gate at which threads of a stub wait until the test opens the gate. The gate is initially closed. All
/// clones of a gate open together.
#[derive(Clone, Default)]
pub struct Gate(Arc<AtomicBool>);

impl Gate {
    /// Opens the gate permanently. All threads that wait at the gate continue.
    pub fn open(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Returns whether the gate has been opened.
    pub fn is_open(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Blocks the calling thread until the gate is open.
    ///
    /// # Panics
    ///
    /// Panics if the gate is not opened within [`super::WAIT_TIMEOUT`].
    pub fn wait_until_open(&self) {
        wait_for("the gate to open", || self.is_open());
    }
}

/// Sets the linger time of a connection to zero, so that the connection is reset when it is closed.
///
/// # Panics
///
/// Panics if the socket option cannot be set.
pub fn reset_on_close(stream: &TcpStream) {
    // The standard library has no stable function for this option. tokio has one for the sockets of a
    // runtime.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _context = runtime.enter();
    let stream = stream.try_clone().expect("a clone of the stream");
    stream.set_nonblocking(true).expect("non-blocking mode");
    let stream = tokio::net::TcpStream::from_std(stream).expect("a stream of the runtime");
    stream.set_zero_linger().expect("a linger time of zero");
}
