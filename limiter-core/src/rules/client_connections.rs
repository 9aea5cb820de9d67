//! Whether the connection of a client may be closed or evicted, is overdue, or blocks the shutdown.

use crate::event::Millis;

/// Time in milliseconds for which a response may wait to be written before its connection is closed. Bounds
/// how long a client that does not read occupies a connection.
const WRITE_TIMEOUT_MS: Millis = 10_000.0;
/// Time in milliseconds within which a request has to arrive completely, measured from its first byte, or
/// from the accept for the first request of a connection. Clients that stall must be answered or disconnected
/// within 3 s; the rest of that time allows for the interval at which connections are checked.
pub const INCOMPLETE_REQUEST_TIMEOUT_MS: Millis = 2000.0;
/// Time in milliseconds since the last response after which an idle connection is closed.
const IDLE_TIMEOUT_MS: Millis = 30_000.0;
/// Time in milliseconds since the last response after which an idle connection is closed during a graceful
/// shutdown.
const SHUTDOWN_IDLE_TIMEOUT_MS: Millis = 500.0;
/// Time in milliseconds for which a connection must have been idle since its last response before it may be
/// evicted so that another connection can be accepted.
const IDLE_EVICTION_DELAY_MS: Millis = 50.0;
/// Time in milliseconds for which a request must have been arriving before it may be evicted. In the
/// meantime, clients in the accept queue may have to wait.
const INCOMPLETE_EVICTION_DELAY_MS: Millis = 100.0;

/// The facts about a client connection that decide whether it may be closed.
#[derive(Debug, Clone, Copy)]
pub struct ClientConnectionFacts {
    /// Number of requests whose head has been read and whose responses are not written completely.
    pub open_requests: u32,
    /// Whether the body of the last open request is still awaited.
    pub is_receiving_body: bool,
    /// For how many milliseconds a response has been waiting to be written, if there is one.
    pub unwritten_for_ms: Option<Millis>,
    /// For how many milliseconds a request has been arriving, if its head or its body is incomplete. The
    /// first request of a connection is regarded as arriving from the accept on.
    pub incomplete_for_ms: Option<Millis>,
    /// Time in milliseconds since the connection was accepted or last answered.
    pub idle_ms: Millis,
    /// Whether the limiter is shutting down.
    pub is_shutting_down: bool,
}

/// How a connection is evicted so that another connection can be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// The connection is closed: no response is outstanding.
    Close,
    /// The open request, whose body is incomplete, is rejected, and the connection ends with that response.
    /// The client may just be sending the last byte, and a request that was sent needs a response.
    RejectRequest,
}

/// The facts about all client connections that decide whether a request may be submitted.
#[derive(Debug, Clone, Copy)]
pub struct SubmissionFacts {
    /// Number of connections that are busy, see [`ClientConnectionFacts::is_busy`], including the connection
    /// of the request.
    pub busy_connections: usize,
    /// Highest number of busy connections.
    pub max_busy_connections: usize,
}

/// Returns whether a request that has arrived completely may be submitted. Any other request is rejected at
/// once, because it would occupy a connection that other clients wait for.
#[must_use]
pub fn may_submit(facts: SubmissionFacts) -> bool {
    facts.busy_connections <= facts.max_busy_connections
}

impl ClientConnectionFacts {
    /// Returns whether a request has arrived completely and its response is not written completely. A busy
    /// connection cannot be evicted.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.open_requests > u32::from(self.is_receiving_body)
    }

    /// Returns whether the client has not read a response within [`WRITE_TIMEOUT_MS`].
    fn has_write_timed_out(&self) -> bool {
        self.unwritten_for_ms.is_some_and(|unwritten_ms| unwritten_ms > WRITE_TIMEOUT_MS)
    }

    /// Returns whether the connection may be closed: either no response would be lost, or the client does not
    /// read the response.
    #[must_use]
    pub fn may_close(&self) -> bool {
        self.open_requests == 0 || self.has_write_timed_out()
    }

    /// Returns whether no response is outstanding and no request is arriving. An idle connection may be
    /// closed: a request that its client sends at that moment is not read, and the client retries it.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.incomplete_for_ms.is_none()
    }

    /// Returns whether the connection has to be closed: its request did not arrive in time, its response is
    /// not being read, or the connection has been idle for too long. A connection that may not be closed is
    /// never overdue.
    #[must_use]
    pub fn is_overdue(&self) -> bool {
        let max_idle_ms = if self.is_shutting_down { SHUTDOWN_IDLE_TIMEOUT_MS } else { IDLE_TIMEOUT_MS };
        let is_request_late =
            self.incomplete_for_ms.is_some_and(|incomplete_ms| incomplete_ms > INCOMPLETE_REQUEST_TIMEOUT_MS);
        let is_overdue = is_request_late || self.idle_ms > max_idle_ms || self.has_write_timed_out();
        is_overdue && self.may_close()
    }

    /// Returns how the connection may be evicted now, or `None` if it must stay open.
    #[must_use]
    pub fn eviction(&self) -> Option<Eviction> {
        if self.may_close() {
            return self.has_been_unused_for_long().then_some(Eviction::Close);
        }
        let may_reject = self.has_only_incomplete_request() && self.has_been_unused_for_long();
        may_reject.then_some(Eviction::RejectRequest)
    }

    /// Returns whether the body of the only open request is incomplete.
    fn has_only_incomplete_request(&self) -> bool {
        self.is_receiving_body && self.open_requests == 1
    }

    /// Returns whether a request has been arriving, or no request has arrived, for so long that the
    /// connection may be given to another client.
    fn has_been_unused_for_long(&self) -> bool {
        match self.incomplete_for_ms {
            Some(incomplete_ms) => incomplete_ms > INCOMPLETE_EVICTION_DELAY_MS,
            None => self.idle_ms > IDLE_EVICTION_DELAY_MS,
        }
    }

    /// Returns whether a request is probably in transit: the connection was accepted less than
    /// `INCOMPLETE_EVICTION_DELAY_MS` ago, or was last answered less than that ago and the next request has
    /// begun to arrive.
    #[must_use]
    pub fn expects_request_soon(&self) -> bool {
        let is_incomplete = self.incomplete_for_ms.is_some();
        self.open_requests == 0 && is_incomplete && self.idle_ms < INCOMPLETE_EVICTION_DELAY_MS
    }

    /// Returns whether the process has to wait for this connection before it may exit: a response is
    /// outstanding, or the connection has been answered and is not closed yet. The process does not wait for
    /// a connection whose request is incomplete: faulty clients keep opening such connections, and waiting
    /// for them would keep the limiter out of service for longer.
    #[must_use]
    pub fn blocks_shutdown(&self) -> bool {
        self.open_requests > 0 || self.incomplete_for_ms.is_none()
    }
}
