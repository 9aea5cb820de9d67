//! Actions: what a limiter asks its caller to do.

use super::{Millis, RequestId, ServerId, TimerToken};

/// Something that the caller has to do. The caller executes actions in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Forward a request to a server, as its next attempt.
    Forward {
        /// The request to forward.
        id: RequestId,
        /// The server to forward the request to.
        server: ServerId,
        /// Time in milliseconds from now within which the attempt has to begin, including the time to open a
        /// connection: servers drop the duplicates of a request with an idempotency key for a limited time
        /// only. Infinite if there is no such limit.
        begin_within_ms: Millis,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request that is being attempted.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Send the final response: the request was not served, and the client may safely send it again.
    Reject {
        /// The request to reject.
        id: RequestId,
        /// Time in milliseconds after which the client should retry; 0 if the response advises no time.
        retry_after_ms: Millis,
    },
    /// Send the final response: an error that does not say whether the request was executed.
    Fail {
        /// The request that failed.
        id: RequestId,
    },
    /// Start a timer.
    SetTimer {
        /// Time in milliseconds after which the timer fires.
        after_ms: Millis,
        /// The token to pass with [`crate::Event::TimerFired`].
        token: TimerToken,
    },
    /// Send a gossip message to another limiter.
    SendGossip {
        /// Position of the receiver.
        to: u32,
        /// The encoded message, of 256 bytes at most.
        body: Vec<u8>,
    },
    /// Subscribe to the endpoint list, or renew the subscription after the watch has failed.
    SubscribeToEndpoints,
    /// Log the ejection of a server for the operators.
    LogEjection(Ejection),
}

/// The reason why a server was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionReason {
    /// Too many responses of the server were errors.
    Errors,
    /// Several consecutive attempts at the server received no response.
    NoResponse,
}

/// The ejection of an unhealthy server: the server receives no new requests for a time, unless there is no
/// other server.
#[derive(Debug, Clone, PartialEq)]
pub struct Ejection {
    /// The ejected server.
    pub server: ServerId,
    /// Why the server was ejected.
    pub reason: EjectionReason,
    /// How long the ejection lasts, in milliseconds.
    pub duration_ms: Millis,
}
