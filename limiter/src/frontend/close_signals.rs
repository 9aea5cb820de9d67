//! Requests to a connection's task to close its connection.

use std::cell::Cell;

use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Requests to a connection's task to close its connection, gracefully or at once.
pub(super) struct CloseSignals {
    /// A graceful shutdown has been requested: the connection is to end as soon as no response is
    /// outstanding.
    is_shutting_down: Cell<bool>,
    shutdown: Notify,
    abort: Notify,
}

impl CloseSignals {
    /// Creates signals of which none has been requested.
    pub(super) fn new() -> CloseSignals {
        CloseSignals { is_shutting_down: Cell::new(false), shutdown: Notify::new(), abort: Notify::new() }
    }

    /// Asks the connection's task for a graceful shutdown, now and whenever a response has been written.
    pub(super) fn request_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.shutdown.notify_one();
    }

    /// Repeats the request for a graceful shutdown, if there was one, because a response has been written.
    pub(super) fn repeat_shutdown_request(&self) {
        if self.is_shutting_down.get() {
            self.shutdown.notify_one();
        }
    }

    /// Completes when a graceful shutdown is requested. Awaited by the connection's task. A request that is
    /// made while nobody waits is stored, and cancelling loses none.
    pub(super) fn shutdown_requested(&self) -> Notified<'_> {
        self.shutdown.notified()
    }

    /// Asks the connection's task to close at once, if the connection may still be closed by then.
    pub(super) fn request_abort(&self) {
        self.abort.notify_one();
    }

    /// Completes one yield after an abort is requested. Awaited by the connection's task.
    ///
    /// A client's request that arrived before the abort was requested has to be read first. After a stall of
    /// the process, that may need a run of the I/O driver, hence the yield. Cancelling during the yield loses
    /// the abort; the sweep or the eviction that requested it requests it again.
    pub(super) async fn abort_requested(&self) {
        self.abort.notified().await;
        tokio::task::yield_now().await;
    }
}
