//! What is known of one client connection, shared by the task that serves it and the table of all
//! connections.

use std::cell::Cell;

use limiter_core::rules::ClientConnectionFacts;
use tokio::time::Instant;

use super::close_signals::CloseSignals;
use crate::runtime::arrival::Arrival;
use crate::runtime::duration;

/// The state of one client connection.
///
/// The flags are not the phases of one sequence: hyper may start the next pipelined request while the
/// response before it is still being written.
pub(super) struct ConnectionState {
    /// Requests that are being received or answered, until their responses are written.
    open_requests: Cell<u32>,
    /// Requests that hyper has read to their end and whose responses are not ready.
    unanswered_requests: Cell<u32>,
    /// Responses that are ready and not completely written.
    unwritten_responses: Cell<u32>,
    /// Since when the first of the unwritten responses has been ready.
    unwritten_since: Cell<Option<Instant>>,
    /// The body of the open request has not arrived completely.
    is_receiving_body: Cell<bool>,
    /// The open request awaits its response. hyper does not read the stream and would not see its end.
    watches_disconnect: Cell<bool>,
    /// The client sent more after an open request than may be buffered. The excess was dropped.
    has_read_ahead_overflowed: Cell<bool>,
    /// Bytes of the client have been read.
    has_received_bytes: Cell<bool>,
    /// When the bytes arrived that hyper read last. hyper does not read on after a complete request: the
    /// bytes are the last ones of that request, or arrived together with them.
    last_arrival: Cell<Arrival>,
    /// When the connection was accepted, a response became ready, or a response was written; the latest of
    /// these.
    last_active: Cell<Instant>,
    /// Since when a request has been arriving that is not complete. The first request of a connection counts
    /// as arriving from the accept on.
    incomplete_since: Cell<Option<Instant>>,
    /// The response that is ready is the last one. Nothing more is read.
    has_last_response: Cell<bool>,
    close_signals: CloseSignals,
}

/// The order in which connections are evicted: the lowest rank first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    /// No request is arriving. Connections that have sent no request, or a part of one, are evicted before
    /// others.
    is_between_requests: bool,
    /// Among connections of equal rank, the one that has been idle for longest is evicted first.
    last_active: Instant,
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
            watches_disconnect: Cell::new(false),
            has_read_ahead_overflowed: Cell::new(false),
            has_received_bytes: Cell::new(false),
            last_arrival: Cell::new(Arrival::not_before(now.into_std())),
            last_active: Cell::new(now),
            incomplete_since: Cell::new(Some(now)),
            has_last_response: Cell::new(false),
            close_signals: CloseSignals::new(),
        }
    }

    /// Returns what the rules need to know of the connection at this moment.
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

    /// Returns the requests to the connection's task to close the connection.
    pub(super) fn close_signals(&self) -> &CloseSignals {
        &self.close_signals
    }

    /// Returns when the connection is evicted, compared with other connections.
    pub(super) fn eviction_rank(&self) -> EvictionRank {
        EvictionRank {
            is_between_requests: self.incomplete_since.get().is_none(),
            last_active: self.last_active.get(),
        }
    }
}

/// Receiving requests.
impl ConnectionState {
    /// Records that bytes have been read. A request begins with them, unless one has begun or they belong to
    /// a body.
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

    /// Returns when the last byte of the request arrived that has just become complete.
    pub(super) fn last_arrival(&self) -> Arrival {
        self.last_arrival.get()
    }

    /// Records that hyper has read a request to its end. hyper may read on before the handler of the request
    /// begins.
    pub(super) fn record_request_read_by_hyper(&self) {
        self.unanswered_requests.set(self.unanswered_requests.get() + 1);
    }

    /// Records that hyper has parsed the head of a request.
    pub(super) fn record_head_received(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.is_receiving_body.set(true);
    }

    /// Returns when the open request began. Bytes that arrive from now on belong to the next request, except
    /// for those of the body.
    pub(super) fn take_request_start(&self) -> Instant {
        self.incomplete_since.take().unwrap_or_else(Instant::now)
    }

    /// Records that the body of the open request has arrived, or is no longer awaited.
    pub(super) fn record_body_end(&self) {
        self.is_receiving_body.set(false);
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

/// Responding.
impl ConnectionState {
    /// Returns whether hyper has read a request whose response is not ready.
    pub(super) fn awaits_response(&self) -> bool {
        self.unanswered_requests.get() > 0
    }

    /// Begins to watch for a disconnect of the client, until the returned guard is dropped.
    pub(super) fn watch_for_disconnect(&self) -> DisconnectWatch<'_> {
        self.watches_disconnect.set(true);
        DisconnectWatch { state: self }
    }

    /// Returns whether a disconnect of the client is watched for.
    pub(super) fn watches_disconnect(&self) -> bool {
        self.watches_disconnect.get()
    }

    /// Records that the response to the open request is ready to be written.
    pub(super) fn record_response_ready(&self) {
        self.is_receiving_body.set(false);
        let now = Instant::now();
        self.unanswered_requests.set(self.unanswered_requests.get().saturating_sub(1));
        self.unwritten_responses.set(self.unwritten_responses.get() + 1);
        self.unwritten_since.set(self.unwritten_since.get().or(Some(now)));
        self.last_active.set(now);
    }

    /// Records that the response which is about to become ready is the last one of the connection.
    pub(super) fn record_last_response(&self) {
        self.has_last_response.set(true);
    }

    /// Returns whether the last response of the connection is ready.
    pub(super) fn has_last_response(&self) -> bool {
        self.has_last_response.get()
    }

    /// Records that everything which was to be written has been written. Returns whether a response was among
    /// it. Another request may be open, as hyper may have read it before.
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

/// A disconnect of the client is watched for. Dropping this ends the watch.
pub(super) struct DisconnectWatch<'s> {
    state: &'s ConnectionState,
}

impl Drop for DisconnectWatch<'_> {
    fn drop(&mut self) {
        self.state.watches_disconnect.set(false);
    }
}

#[cfg(test)]
mod tests;
