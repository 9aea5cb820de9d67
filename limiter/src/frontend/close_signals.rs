//! Signals that ask a connection's task to close its connection, or to reject its incomplete request.

use std::cell::Cell;

use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Signals that ask a connection's task to close its connection, gracefully or at once, or to reject a
/// request that is incomplete.
pub(super) struct CloseSignals {
    /// Whether a graceful shutdown has been requested: the connection has to end as soon as no response is
    /// outstanding.
    is_shutting_down: Cell<bool>,
    shutdown: Notify,
    abort: Notify,
    rejection: Notify,
}

impl CloseSignals {
    /// Creates signals none of which has been sent.
    pub(super) fn new() -> CloseSignals {
        CloseSignals {
            is_shutting_down: Cell::new(false),
            shutdown: Notify::new(),
            abort: Notify::new(),
            rejection: Notify::new(),
        }
    }

    /// Asks the connection's task for a graceful shutdown, now and whenever a response has been written.
    pub(super) fn request_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.shutdown.notify_one();
    }

    /// Repeats the signal for a graceful shutdown, if there was one, because a response has been written.
    pub(super) fn repeat_shutdown_request(&self) {
        if self.is_shutting_down.get() {
            self.shutdown.notify_one();
        }
    }

    /// Completes when a graceful shutdown is requested. Awaited by the connection's task. A signal that is
    /// sent while the task does not wait is stored, and cancelling loses no signal.
    pub(super) fn shutdown_requested(&self) -> Notified<'_> {
        self.shutdown.notified()
    }

    /// Asks the connection's task to close the connection at once. The task ignores this if the connection
    /// may no longer be closed.
    pub(super) fn request_abort(&self) {
        self.abort.notify_one();
    }

    /// Completes one yield after an abort has been requested. Awaited by the connection's task.
    ///
    /// A request of the client that arrived before the abort was requested has to be read first. After a
    /// stall of the process, this may require a run of the I/O driver, hence the yield. Cancelling during the
    /// yield loses the abort; the sweep or the eviction that requested the abort requests it again.
    pub(super) async fn abort_requested(&self) {
        self.abort.notified().await;
        tokio::task::yield_now().await;
    }
    /// Asks the handler of the open request to reject the request, whose body is incomplete. The handler
    /// ignores this if the body has arrived.
    pub(super) fn request_rejection(&self) {
        self.rejection.notify_one();
    }

    /// Completes one yield after a rejection has been requested, so that a body which has arrived is read
    /// first, as for [`CloseSignals::abort_requested`]. Awaited by the handler of the open request. A signal
    /// that is sent while no handler waits is stored, possibly for a later request: the handler checks
    /// whether the request may still be rejected. Cancelling during the yield loses the signal; the eviction
    /// that sent it sends it again.
    pub(super) async fn rejection_requested(&self) {
        self.rejection.notified().await;
        tokio::task::yield_now().await;
    }
}
