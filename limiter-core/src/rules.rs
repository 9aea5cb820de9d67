//! What may be sent, repeated, closed or ended now: the one place that all paths ask, those of the decisions
//! and those of the sockets.
//!
//! Each question takes the facts of one moment and gives a reason where the answer is no. Whoever asks must
//! act on the answer before anything else happens.

use crate::event::Millis;
use crate::settings::Idempotency;

/// A response that a client does not read holds its connection for no longer than this, in milliseconds.
const WRITE_TIMEOUT_MS: Millis = 10_000.0;
/// A request has to arrive completely within this time from its first byte on, in milliseconds; the first one
/// of a connection within this time from the accept on. Clients that stall are owed a close within 3 s.
pub const INCOMPLETE_REQUEST_TIMEOUT_MS: Millis = 2000.0;
/// A client's connection that has been answered and stays idle is closed after this time, in milliseconds.
const IDLE_TIMEOUT_MS: Millis = 30_000.0;
/// The same during the graceful shutdown.
const SHUTDOWN_IDLE_TIMEOUT_MS: Millis = 500.0;
/// Least idle time in milliseconds after its last response before a connection may be evicted to make room.
const MIN_IDLE_BEFORE_EVICTION_MS: Millis = 50.0;
/// Least time in milliseconds before a connection whose request has not arrived completely may be evicted.
/// Clients that wait in the accept queue meanwhile are not seen.
const MIN_SILENCE_BEFORE_EVICTION_MS: Millis = 100.0;
/// A connection to a server is used again only after this time, in milliseconds: what a server writes right
/// behind a response has arrived by then, and shows that the connection is of no further use.
const CONNECTION_REUSE_DELAY_MS: Millis = 10.0;
/// Left to the connections accepted last for their requests to be read, in milliseconds.
const LAST_ACCEPTED_READ_MS: Millis = 50.0;
/// Nothing is waited for any longer than this after the signal to stop, in milliseconds.
const MAX_SHUTDOWN_MS: Millis = 20_000.0;

/// Why an attempt may not be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AttemptDenied {
    /// The request has its final response, or its client has gone.
    #[error("the request is not pending")]
    NotPending,
    /// Another attempt is in flight: a request never has two.
    #[error("another attempt is in flight")]
    AnotherInFlight,
    /// Its response has begun to stream.
    #[error("the response has begun")]
    ResponseBegun,
    /// Its deadline has come.
    #[error("the deadline has come")]
    DeadlinePassed,
    /// As many attempts have been made as may be.
    #[error("no attempts are left")]
    AttemptsExhausted,
    /// A response would come after the latency objective and have no value.
    #[error("a response would have no value")]
    NoValueLeft,
    /// It may have been executed, and must not be twice.
    #[error("it may have been executed")]
    MayHaveExecuted,
    /// It may have been executed, and servers drop its duplicates no longer.
    #[error("servers drop duplicates no longer")]
    DedupWindowOver,
    /// The server takes no requests, or is not the one that was chosen.
    #[error("the server takes no requests")]
    NotServing,
}

/// What is known of a request that is to be attempted.
#[derive(Debug, Clone, Copy)]
pub struct ExecutionFacts {
    /// Whether its class may be executed more than once.
    pub idempotency: Idempotency,
    /// An attempt may have been executed.
    pub may_have_executed: bool,
    /// For how long servers still drop its duplicates, in milliseconds; infinite if nothing has to be
    /// dropped.
    pub dedup_ends_in_ms: Millis,
}

/// Whether executing a request now could have its effect twice.
///
/// # Errors
/// [`AttemptDenied::MayHaveExecuted`] or [`AttemptDenied::DedupWindowOver`].
pub fn may_execute(facts: ExecutionFacts) -> Result<(), AttemptDenied> {
    match facts.idempotency {
        Idempotency::NonIdempotent if facts.may_have_executed => Err(AttemptDenied::MayHaveExecuted),
        Idempotency::WithKey if facts.dedup_ends_in_ms <= 0.0 => Err(AttemptDenied::DedupWindowOver),
        _ => Ok(()),
    }
}

/// What is known of a request for which a server is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct AttemptFacts {
    /// An attempt of it is in flight.
    pub has_attempt_in_flight: bool,
    /// Its response has begun to stream.
    pub is_streaming: bool,
    /// Time to its deadline in milliseconds.
    pub deadline_in_ms: Millis,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts that may be made.
    pub max_attempts: u32,
    /// Its latency objective has passed, and a later response has no value.
    pub has_no_value: bool,
    /// Whether it may be executed now.
    pub repeat: ExecutionFacts,
}

/// Whether a server may be chosen for a request now, for its first attempt or a further one.
///
/// # Errors
/// The first reason against it.
pub fn may_attempt(facts: &AttemptFacts) -> Result<(), AttemptDenied> {
    if facts.has_attempt_in_flight {
        return Err(AttemptDenied::AnotherInFlight);
    }
    if facts.is_streaming {
        return Err(AttemptDenied::ResponseBegun);
    }
    if facts.has_no_value {
        return Err(AttemptDenied::NoValueLeft);
    }
    if facts.attempts >= facts.max_attempts {
        return Err(AttemptDenied::AttemptsExhausted);
    }
    if facts.deadline_in_ms <= 0.0 {
        return Err(AttemptDenied::DeadlinePassed);
    }
    may_execute(facts.repeat)
}

/// What is known of an attempt whose first byte is about to be written to its server.
#[derive(Debug, Clone, Copy)]
pub struct SendFacts {
    /// Its client still waits: the request has no final response, and the client has not closed its
    /// connection.
    pub is_client_waiting: bool,
    /// The server that was chosen takes requests, at the same place and in the same start of its process.
    pub is_serving: bool,
    /// Until when it may begin, from now on, in milliseconds; negative if that is over.
    pub begin_within_ms: Millis,
    /// Time to the client's deadline in milliseconds.
    pub deadline_in_ms: Millis,
}

/// Whether an attempt may be written to its server now. The choice of the server may be a while ago.
///
/// # Errors
/// The first reason against it.
pub fn may_send(facts: &SendFacts) -> Result<(), AttemptDenied> {
    if !facts.is_serving {
        return Err(AttemptDenied::NotServing);
    }
    if facts.begin_within_ms < 0.0 {
        return Err(AttemptDenied::DedupWindowOver);
    }
    if facts.deadline_in_ms <= 0.0 {
        return Err(AttemptDenied::DeadlinePassed);
    }
    if !facts.is_client_waiting {
        return Err(AttemptDenied::NotPending);
    }
    Ok(())
}

/// What is known of a connection of a client.
#[derive(Debug, Clone, Copy)]
pub struct ClientConnectionFacts {
    /// Requests that have been read and whose responses are not written completely.
    pub open_requests: u32,
    /// Since when a response waits to be written, in milliseconds.
    pub unwritten_for_ms: Option<Millis>,
    /// For how long a request has been arriving, in milliseconds; a new connection owes one from the start.
    pub incomplete_for_ms: Option<Millis>,
    /// Time since it was accepted or answered, in milliseconds.
    pub idle_ms: Millis,
    /// The limiter shuts down.
    pub is_shutting_down: bool,
}

impl ClientConnectionFacts {
    /// Whether its client does not read the response.
    fn is_unread(&self) -> bool {
        self.unwritten_for_ms.is_some_and(|unwritten_ms| unwritten_ms > WRITE_TIMEOUT_MS)
    }

    /// Whether it may be closed without the loss of a response, or because its client does not read that.
    pub fn may_close(&self) -> bool {
        self.open_requests == 0 || self.is_unread()
    }

    /// Whether nothing is owed on it or on its way: it may be closed in a moment, and its client sends again
    /// what has not been read.
    pub fn is_idle(&self) -> bool {
        self.open_requests == 0 && self.incomplete_for_ms.is_none()
    }

    /// Whether it is to be closed: its request is overdue, its response is not read, or it has rested for too
    /// long.
    pub fn is_overdue(&self) -> bool {
        let max_idle_ms = if self.is_shutting_down { SHUTDOWN_IDLE_TIMEOUT_MS } else { IDLE_TIMEOUT_MS };
        let is_late = |incomplete_ms| incomplete_ms > INCOMPLETE_REQUEST_TIMEOUT_MS;
        let is_overdue =
            self.incomplete_for_ms.is_some_and(is_late) || self.idle_ms > max_idle_ms || self.is_unread();
        is_overdue && self.may_close()
    }

    /// Whether it may be closed to make room for another.
    pub fn may_evict(&self) -> bool {
        let is_incomplete = self.incomplete_for_ms.is_some();
        let min_ms = if is_incomplete { MIN_SILENCE_BEFORE_EVICTION_MS } else { MIN_IDLE_BEFORE_EVICTION_MS };
        self.may_close() && self.idle_ms > min_ms
    }

    /// Whether a request is on its way: the connection was accepted just now, or the next request has begun
    /// to arrive right behind a response.
    pub fn expects_request_soon(&self) -> bool {
        let is_incomplete = self.incomplete_for_ms.is_some();
        self.open_requests == 0 && is_incomplete && self.idle_ms < MIN_SILENCE_BEFORE_EVICTION_MS
    }

    /// Whether the end of the process has to wait for it: a response is owed or on its way, or it has been
    /// answered and is not closed yet. Connections that have sent no request are not waited for: faulty
    /// clients open new ones without end, and a limiter that lingers for them is missed.
    pub fn blocks_shutdown(&self) -> bool {
        self.open_requests > 0 || self.incomplete_for_ms.is_none()
    }
}

/// What is known of a connection to a server that has carried a response.
#[derive(Debug, Clone, Copy)]
pub struct ServerConnectionFacts {
    /// For how long it has been idle, in milliseconds.
    pub idle_ms: Millis,
    /// For how long it may be, in milliseconds.
    pub max_idle_ms: Millis,
}

impl ServerConnectionFacts {
    /// Whether it has to rest before it may carry the next request.
    pub fn is_in_reuse_delay(&self) -> bool {
        self.idle_ms < CONNECTION_REUSE_DELAY_MS
    }

    /// Whether it has been idle for so long that the server may close it at any moment.
    pub fn is_expired(&self) -> bool {
        self.idle_ms >= self.max_idle_ms
    }
}

/// What is known of a process that has been told to stop.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownFacts {
    /// Time since the signal in milliseconds.
    pub signalled_for_ms: Millis,
    /// Time since the listener was closed, in milliseconds; none while it is open.
    pub closed_for_ms: Option<Millis>,
    /// A connection must be awaited.
    pub has_blocking_connection: bool,
}

/// Whether the process may end: all that it accepted is answered, or it takes far too long.
pub fn may_exit(facts: &ShutdownFacts) -> bool {
    let is_finished = facts.closed_for_ms.is_some_and(|closed_ms| closed_ms >= LAST_ACCEPTED_READ_MS)
        && !facts.has_blocking_connection;
    is_finished || facts.signalled_for_ms >= MAX_SHUTDOWN_MS
}
