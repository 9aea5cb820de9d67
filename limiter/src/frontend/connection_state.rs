//! The state of one client connection, shared by the task that serves the connection and the table of all
//! connections.

use std::cell::Cell;

use limiter_core::rules::{ClientConnectionFacts, Eviction};
use tokio::time::Instant;

use super::close_signals::CloseSignals;
use crate::observability::labels::EvictedState;
use crate::runtime::arrival::Arrival;
use crate::runtime::duration;

/// The state of one client connection.
///
/// The fields do not describe a sequence of phases: hyper may start the next pipelined request while the
/// previous response is still being written.
pub(super) struct ConnectionState {
    /// Number of requests whose head has been received and whose response is not completely written.
    open_requests: Cell<u32>,
    /// Number of requests that hyper has read to their end and whose response is not ready.
    unanswered_requests: Cell<u32>,
    /// Number of responses that are ready and not completely written.
    unwritten_responses: Cell<u32>,
    /// When the first of the unwritten responses became ready.
    unwritten_since: Cell<Option<Instant>>,
    /// Whether the body of the open request is still awaited.
    is_receiving_body: Cell<bool>,
    /// Whether the client is watched for a disconnect, because the open request awaits its response. In the
    /// meantime, hyper is given no bytes and does not see the end of the stream.
    is_watching_for_disconnect: Cell<bool>,
    /// Whether the client sent more after an open request than may be buffered. The excess was dropped.
    has_read_ahead_overflowed: Cell<bool>,
    /// Whether any bytes of the client have been read.
    has_received_bytes: Cell<bool>,
    /// The arrival of the bytes that were given to hyper most recently. hyper is given nothing beyond the end
    /// of a request before the response is ready. When a request has just become complete, these bytes are
    /// therefore its last ones.
    last_arrival: Cell<Arrival>,
    /// The latest time at which the connection was accepted, a response became ready, or a response was
    /// written.
    last_active: Cell<Instant>,
    /// When the first byte of the arriving request was read. `None` if no request is arriving. The first
    /// request of a connection is treated as arriving from the accept on.
    incomplete_since: Cell<Option<Instant>>,
    /// Whether the response that is ready is the last one of the connection. Nothing more is read.
    has_last_response: Cell<bool>,
    close_signals: CloseSignals,
}

/// Rank of a connection in the order of eviction. The connection with the lowest rank is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    /// Whether no request is arriving. Connections whose client has sent nothing yet, or only a part of a
    /// request, are evicted before others.
    is_between_requests: bool,
    /// Latest time at which the connection was accepted, bytes of the client were read, a response became
    /// ready, or a response was written. Among otherwise equal connections, the one without progress for
    /// longest is evicted first.
    last_progress: Instant,
}

impl ConnectionState {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new() -> ConnectionState {
        let now = Instant::now();
        ConnectionState {
            open_requests: Cell::new(0),
            unanswered_requests: Cell::new(0),
            unwritten_responses: Cell::new(0),
            unwritten_since: Cell::new(None),
            is_receiving_body: Cell::new(false),
            is_watching_for_disconnect: Cell::new(false),
            has_read_ahead_overflowed: Cell::new(false),
            has_received_bytes: Cell::new(false),
            last_arrival: Cell::new(Arrival::not_before(now.into_std())),
            last_active: Cell::new(now),
            incomplete_since: Cell::new(Some(now)),
            has_last_response: Cell::new(false),
            close_signals: CloseSignals::new(),
        }
    }

    /// Returns the current facts from which the rules decide about the connection.
    pub(super) fn facts(&self, is_shutting_down: bool) -> ClientConnectionFacts {
        self.facts_at(Instant::now(), is_shutting_down)
    }

    /// Returns the facts at the time `now`, which a search of the table reads once for all connections.
    pub(super) fn facts_at(&self, now: Instant, is_shutting_down: bool) -> ClientConnectionFacts {
        let elapsed_ms = |since: Instant| duration::to_ms(now.saturating_duration_since(since));
        ClientConnectionFacts {
            open_requests: self.open_requests.get(),
            is_receiving_body: self.is_receiving_body.get(),
            unwritten_for_ms: self.unwritten_since.get().map(elapsed_ms),
            incomplete_for_ms: self.incomplete_since.get().map(elapsed_ms),
            idle_ms: elapsed_ms(self.last_active.get()),
            is_shutting_down,
        }
    }

    /// Returns the signals that ask the connection's task to close the connection.
    pub(super) fn close_signals(&self) -> &CloseSignals {
        &self.close_signals
    }

    /// Returns the rank of the connection in the order of eviction.
    pub(super) fn eviction_rank(&self) -> EvictionRank {
        let last_read_at = Instant::from_std(self.last_arrival.get().read_at);
        EvictionRank {
            is_between_requests: self.incomplete_since.get().is_none(),
            last_progress: self.last_active.get().max(last_read_at),
        }
    }

    /// Evicts the connection: asks its task to close it, or the handler of its request to reject the request.
    /// Returns what the connection was doing.
    pub(super) fn evict(&self, eviction: Eviction) -> EvictedState {
        match eviction {
            Eviction::Close => self.close_signals.request_abort(),
            Eviction::RejectRequest => self.close_signals.request_rejection(),
        }
        self.evicted_state()
    }

    /// Returns what the connection is doing, for the counter of evicted connections.
    fn evicted_state(&self) -> EvictedState {
        if self.is_receiving_body.get() {
            EvictedState::IncompleteBody
        } else if self.incomplete_since.get().is_some() {
            EvictedState::IncompleteHead
        } else {
            EvictedState::Idle
        }
    }
}

/// Tracking of the requests that are received.
impl ConnectionState {
    /// Records that bytes have been read. The bytes begin a request, unless one has already begun or they
    /// belong to a body.
    pub(super) fn record_bytes_received(&self) {
        self.has_received_bytes.set(true);
        if !self.is_receiving_body.get() && self.incomplete_since.get().is_none() {
            self.incomplete_since.set(Some(Instant::now()));
        }
    }

    /// Returns whether any bytes of the client have been read.
    pub(super) fn has_received_bytes(&self) -> bool {
        self.has_received_bytes.get()
    }

    /// Records that hyper has read bytes, and when they arrived.
    pub(super) fn record_bytes_read_by_hyper(&self, arrival: Arrival) {
        self.last_arrival.set(arrival);
    }

    /// Returns when the last byte of the request that has just become complete arrived.
    pub(super) fn last_arrival(&self) -> Arrival {
        self.last_arrival.get()
    }

    /// Records that hyper has read a request to its end. This is recorded before the handler of the request
    /// begins, because hyper may try to read more before that.
    pub(super) fn record_request_read_by_hyper(&self) {
        self.unanswered_requests.set(self.unanswered_requests.get() + 1);
    }

    /// Records that hyper has parsed the head of a request.
    pub(super) fn record_head_received(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.is_receiving_body.set(true);
    }

    /// Returns when the request whose head has been received began to arrive.
    pub(super) fn request_start(&self) -> Instant {
        self.incomplete_since.get().unwrap_or_else(Instant::now)
    }

    /// Records that the body of the open request has arrived, or is no longer awaited. Bytes that are read
    /// from now on belong to the next request.
    pub(super) fn record_body_end(&self) {
        if self.is_receiving_body.replace(false) {
            self.incomplete_since.set(None);
        }
    }

    /// Records that the client sent more after an open request than may be buffered.
    pub(super) fn record_read_ahead_overflow(&self) {
        self.has_read_ahead_overflowed.set(true);
    }

    /// Returns whether the client sent more after an open request than may be buffered. The connection cannot
    /// be used after the response.
    pub(super) fn has_read_ahead_overflowed(&self) -> bool {
        self.has_read_ahead_overflowed.get()
    }
}

/// Tracking of the responses.
impl ConnectionState {
    /// Returns whether hyper has read a request whose response is not ready.
    pub(super) fn awaits_response(&self) -> bool {
        self.unanswered_requests.get() > 0
    }

    /// Watches for a disconnect of the client until the returned guard is dropped.
    pub(super) fn watch_for_disconnect(&self) -> DisconnectWatch<'_> {
        self.is_watching_for_disconnect.set(true);
        DisconnectWatch { state: self }
    }

    /// Returns whether the client is watched for a disconnect.
    pub(super) fn is_watching_for_disconnect(&self) -> bool {
        self.is_watching_for_disconnect.get()
    }

    /// Records that the response to the open request is ready to be written.
    pub(super) fn record_response_ready(&self) {
        self.record_body_end();
        let now = Instant::now();
        self.unanswered_requests.set(self.unanswered_requests.get().saturating_sub(1));
        self.unwritten_responses.set(self.unwritten_responses.get() + 1);
        self.unwritten_since.set(self.unwritten_since.get().or(Some(now)));
        self.last_active.set(now);
    }

    /// Returns whether a response is ready and not completely written.
    pub(super) fn has_unwritten_response(&self) -> bool {
        self.unwritten_responses.get() > 0
    }

    /// Records that the response which is about to become ready is the last one of the connection.
    pub(super) fn record_last_response(&self) {
        self.has_last_response.set(true);
    }

    /// Returns whether the last response of the connection is ready.
    pub(super) fn has_last_response(&self) -> bool {
        self.has_last_response.get()
    }

    /// Records that all pending output has been written, and returns whether it included a response. Another
    /// request may still be open, because hyper may have read that request before the flush.
    pub(super) fn record_flush(&self) -> bool {
        let written_responses = self.unwritten_responses.take();
        if written_responses == 0 {
            return false;
        }
        self.open_requests.set(self.open_requests.get().saturating_sub(written_responses));
        self.unwritten_since.set(None);
        self.last_active.set(Instant::now());
        self.close_signals.repeat_shutdown_request();
        true
    }
}

/// A guard that keeps the client watched for a disconnect. Dropping the guard ends the watch.
pub(super) struct DisconnectWatch<'s> {
    state: &'s ConnectionState,
}

impl Drop for DisconnectWatch<'_> {
    fn drop(&mut self) {
        self.state.is_watching_for_disconnect.set(false);
    }
}

#[cfg(test)]
mod tests;
