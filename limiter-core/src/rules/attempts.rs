//! Whether a request may be attempted, executed again, or written to a server.

use crate::event::Millis;
use crate::settings::Idempotency;

/// The reason why an attempt is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AttemptDenied {
    /// The request has received its final response, or its client has disconnected.
    #[error("the request is not pending")]
    NotPending,
    /// Another attempt is in flight: no request has two attempts in flight.
    #[error("another attempt is in flight")]
    AnotherInFlight,
    /// The response has begun to stream to the client.
    #[error("the response has begun")]
    ResponseStarted,
    /// The deadline of the request has passed.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The largest number of attempts has been made.
    #[error("no attempts are left")]
    AttemptsExhausted,
    /// The latency objective has passed, and a later response has no value.
    #[error("a response would have no value")]
    NoValueLeft,
    /// The request may have been executed, and must not be executed twice.
    #[error("the request may have been executed")]
    MayHaveExecuted,
    /// The request may have been executed, and servers no longer drop its duplicates.
    #[error("the deduplication window has ended")]
    DedupWindowExpired,
    /// The server is draining or removed, or no longer has the address of the connection.
    #[error("the server does not accept requests")]
    NotServing,
}

/// The facts that decide whether a request may be executed, for the first time or again.
#[derive(Debug, Clone, Copy)]
pub struct ExecutionFacts {
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether an earlier attempt may have been executed.
    pub may_have_executed: bool,
    /// For how many milliseconds servers continue to drop duplicates of the request; infinite if no attempt
    /// can have been executed or if the class uses no idempotency key.
    pub dedup_ends_in_ms: Millis,
}

/// Checks that a request does not take effect twice if it is executed now.
///
/// # Errors
/// Returns [`AttemptDenied::MayHaveExecuted`] or [`AttemptDenied::DedupWindowExpired`].
pub fn may_execute(facts: ExecutionFacts) -> Result<(), AttemptDenied> {
    match facts.idempotency {
        Idempotency::NonIdempotent if facts.may_have_executed => Err(AttemptDenied::MayHaveExecuted),
        Idempotency::WithKey if facts.dedup_ends_in_ms <= 0.0 => Err(AttemptDenied::DedupWindowExpired),
        _ => Ok(()),
    }
}

/// The facts that decide whether a server may be chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptFacts {
    /// Whether an attempt of the request is in flight.
    pub has_attempt_in_flight: bool,
    /// Whether the response has begun to stream to the client.
    pub is_streaming: bool,
    /// Time until the deadline of the request in milliseconds.
    pub deadline_in_ms: Millis,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Largest number of attempts.
    pub max_attempts: u32,
    /// Whether the latency objective has passed and a later response has no value.
    pub has_no_value: bool,
    /// The facts that decide whether the request may be executed.
    pub execution: ExecutionFacts,
}

/// Checks that a server may be chosen for a request now, for the first attempt or for a retry.
///
/// # Errors
/// Returns the first reason against an attempt, in the order of the checks.
pub fn may_attempt(facts: &AttemptFacts) -> Result<(), AttemptDenied> {
    if facts.has_attempt_in_flight {
        return Err(AttemptDenied::AnotherInFlight);
    }
    if facts.is_streaming {
        return Err(AttemptDenied::ResponseStarted);
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
    may_execute(facts.execution)
}

/// The facts that decide whether the first byte of an attempt may be written to its server.
#[derive(Debug, Clone, Copy)]
pub struct SendFacts {
    /// Whether the client waits for a response: the request has no final response, and the client has not
    /// disconnected.
    pub is_client_waiting: bool,
    /// Whether the process that the connection was opened to accepts requests: the server has neither moved
    /// nor restarted since.
    pub is_serving: bool,
    /// Time in milliseconds within which the attempt has to begin; negative once this time has passed.
    pub begin_within_ms: Millis,
    /// Time until the deadline of the client in milliseconds.
    pub deadline_in_ms: Millis,
}

/// Checks that an attempt may be written to its server now. Opening a connection takes time, so the facts may
/// have changed since the server was chosen.
///
/// # Errors
/// Returns the first reason against sending, in the order of the checks.
pub fn may_send(facts: &SendFacts) -> Result<(), AttemptDenied> {
    if !facts.is_serving {
        return Err(AttemptDenied::NotServing);
    }
    if facts.begin_within_ms < 0.0 {
        return Err(AttemptDenied::DedupWindowExpired);
    }
    if facts.deadline_in_ms <= 0.0 {
        return Err(AttemptDenied::DeadlinePassed);
    }
    if !facts.is_client_waiting {
        return Err(AttemptDenied::NotPending);
    }
    Ok(())
}
