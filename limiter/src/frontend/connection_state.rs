//! What is known of one client connection, shared by the task that serves it and the table of all connections.

use std::cell::Cell;

use limiter_core::rules::ClientConnectionFacts;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::runtime::arrival::Arrival;
use crate::runtime::duration;

/// The state of one client connection.
///
/// The flags are no phases of one sequence: hyper may start the next pipelined request while the response before it
/// is still being written.
pub(super) struct ConnectionState {
    /// Requests that are being received or answered, until their responses are written.
    open_requests: Cell<u32>,
    /// The body of the open request is still to come.
    is_receiving_body: Cell<bool>,
    /// The open request waits for its response: hyper does not read the stream and would not see its end.
    watches_disconnect: Cell<bool>,
    /// Requests that hyper has been given to their end and whose responses are not ready.
    unanswered_requests: Cell<u32>,
    /// Responses that are there and not written completely.
    unwritten_responses: Cell<u32>,
    /// Since when the first of them waits to be written.
    unwritten_since: Cell<Option<Instant>>,
    /// More came behind an open request than is kept.
    read_ahead_overflowed: Cell<bool>,
    /// When the connection was accepted, a response was ready, or a response had been written; the last of these.
    last_active: Cell<Instant>,
    /// When the request that has not arrived completely began. A new connection owes one from the start.
    incomplete_since: Cell<Option<Instant>>,
    /// Something has been read.
    has_received_bytes: Cell<bool>,
    /// When the bytes that hyper was given last arrived. Where hyper has a complete request, it has not read on: they are
    /// the last ones of that request, or came with them.
    last_arrival: Cell<Arrival>,
    /// The connection is to end as soon as nothing is owed on it.
    is_shutting_down: Cell<bool>,
    /// Nothing more is read.
    has_last_response: Cell<bool>,
    /// Tells the connection's task to shut down gracefully.
    shutdown: Notify,
    /// Tells the connection's task to close at once.
    abort: Notify,
}

impl ConnectionState {
    /// The state of a connection accepted now.
    pub(super) fn new() -> ConnectionState {
        let now = Instant::now();
        ConnectionState {
            open_requests: Cell::new(0),
            is_receiving_body: Cell::new(false),
            watches_disconnect: Cell::new(false),
            unanswered_requests: Cell::new(0),
            unwritten_responses: Cell::new(0),
            unwritten_since: Cell::new(None),
            read_ahead_overflowed: Cell::new(false),
            last_active: Cell::new(now),
            incomplete_since: Cell::new(Some(now)),
            has_received_bytes: Cell::new(false),
            last_arrival: Cell::new(Arrival::not_before(now.into_std())),
            is_shutting_down: Cell::new(false),
            has_last_response: Cell::new(false),
            shutdown: Notify::new(),
            abort: Notify::new(),
        }
    }

    /// Whether anything has been read of this connection.
    pub(super) fn has_received_bytes(&self) -> bool {
        self.has_received_bytes.get()
    }

    /// Bytes have arrived: the first of a request, unless they belong to a body.
    pub(super) fn bytes_received(&self) {
        self.has_received_bytes.set(true);
        if !self.is_receiving_body.get() && self.incomplete_since.get().is_none() {
            self.incomplete_since.set(Some(Instant::now()));
        }
    }

    /// hyper has been given bytes that arrived then.
    pub(super) fn bytes_handed_over(&self, arrival: Arrival) {
        self.last_arrival.set(arrival);
    }

    /// When the last byte arrived of a request that has just become complete.
    pub(super) fn last_arrival(&self) -> Arrival {
        self.last_arrival.get()
    }

    /// hyper has parsed the head of a request.
    pub(super) fn head_received(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.is_receiving_body.set(true);
    }

    /// When the open request began. What arrives from here on, except for its body, belongs to the next one.
    pub(super) fn take_request_start(&self) -> Instant {
        self.incomplete_since.take().unwrap_or_else(Instant::now)
    }

    /// The body of the open request has arrived, or is waited for no longer.
    pub(super) fn body_received(&self) {
        self.is_receiving_body.set(false);
    }

    /// Whether to look for a disconnect of the client at this moment.
    pub(super) fn watches_disconnect(&self) -> bool {
        self.watches_disconnect.get()
    }

    /// Begins or ends to look for a disconnect of the client.
    pub(super) fn watch_disconnect(&self, watch: bool) {
        self.watches_disconnect.set(watch);
    }

    /// The response of the open request is ready to be written.
    pub(super) fn response_ready(&self) {
        self.is_receiving_body.set(false);
        let now = Instant::now();
        self.unanswered_requests.set(self.unanswered_requests.get().saturating_sub(1));
        self.unwritten_responses.set(self.unwritten_responses.get() + 1);
        self.unwritten_since.set(self.unwritten_since.get().or(Some(now)));
        self.last_active.set(now);
    }

    /// All that was to be written has been; whether a response was among it. A further request may be open: hyper may
    /// have read it before.
    pub(super) fn flushed(&self) -> bool {
        let written = self.unwritten_responses.take();
        if written > 0 {
            self.open_requests.set(self.open_requests.get().saturating_sub(written));
            self.unwritten_since.set(None);
            self.last_active.set(Instant::now());
            if self.is_shutting_down.get() {
                self.shutdown.notify_one();
            }
        }
        written > 0
    }

    /// hyper has been given a request to its end. It may read on before the request's handler begins.
    pub(super) fn request_handed_over(&self) {
        self.unanswered_requests.set(self.unanswered_requests.get() + 1);
    }

    /// Whether hyper has been given a request whose response is not ready.
    pub(super) fn awaits_response(&self) -> bool {
        self.unanswered_requests.get() > 0
    }

    /// The response that is ready is the last one of this connection.
    pub(super) fn set_last_response(&self) {
        self.has_last_response.set(true);
    }

    /// Whether the last response of this connection is ready.
    pub(super) fn has_last_response(&self) -> bool {
        self.has_last_response.get()
    }

    /// Whether more came behind an open request than is kept: the connection cannot go on after the response.
    pub(super) fn read_ahead_overflowed(&self) -> bool {
        self.read_ahead_overflowed.get()
    }

    /// More came behind an open request than is kept.
    pub(super) fn set_read_ahead_overflowed(&self) {
        self.read_ahead_overflowed.set(true);
    }

    /// What the rules have to know of it at this moment.
    pub(super) fn facts(&self, is_shutting_down: bool) -> ClientConnectionFacts {
        let elapsed_ms = |since: Instant| duration::to_ms(since.elapsed());
        ClientConnectionFacts {
            open_requests: self.open_requests.get(),
            unwritten_for_ms: self.unwritten_since.get().map(elapsed_ms),
            incomplete_for_ms: self.incomplete_since.get().map(elapsed_ms),
            idle_ms: elapsed_ms(self.last_active.get()),
            is_shutting_down,
        }
    }

    /// The least of these is evicted first: one that has sent no request or a part of one, the oldest, else the one
    /// that has been idle for longest.
    pub(super) fn eviction_rank(&self) -> (bool, Instant) {
        (self.incomplete_since.get().is_none(), self.last_active.get())
    }

    /// Asks the connection's task for a graceful shutdown, now and each time that a response has been written.
    pub(super) fn request_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.shutdown.notify_one();
    }

    /// Awaited by the connection's task. A request made while nobody waits is kept, and cancelling loses none.
    pub(super) fn shutdown_requested(&self) -> Notified<'_> {
        self.shutdown.notified()
    }

    /// Asks the connection's task to close at once, if it may be closed still.
    pub(super) fn request_abort(&self) {
        self.abort.notify_one();
    }

    /// Awaited by the connection's task. Completes one yield after the request: a client's request that came before
    /// it is to be read first, and after a stall that may need a run of the I/O driver. Cancelling during that yield
    /// loses the abort; the sweep or the eviction that asked for it asks again.
    pub(super) async fn abort_requested(&self) {
        self.abort.notified().await;
        tokio::task::yield_now().await;
    }
}

#[cfg(test)]
mod tests;
