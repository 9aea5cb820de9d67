//! Requests in the form that the front end, the engine and the upstream share: the content of a request, its
//! final response, and the names of its headers.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use limiter_core::Millis;

use crate::observability::labels::ResponseOutcome;

/// Header that identifies a request. At most one request with the same value is pending.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Header with the idempotency key, which all duplicates of a request share.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the time in seconds for which the sender waits for the response.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// The part of a client's request that is forwarded to a server unchanged.
pub struct ForwardedRequest {
    /// `GET` or `POST`.
    pub method: hyper::Method,
    /// Path and query.
    pub target: hyper::Uri,
    /// Value of [`CORRELATION_ID`].
    pub correlation_id: HeaderValue,
    /// Value of [`IDEMPOTENCY_KEY`].
    pub idempotency_key: Option<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
}

/// The final response to a client.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of a server's good response.
    Served(Bytes),
    /// The request was not served, and the client may safely retry.
    Rejected {
        /// Time in milliseconds after which the client should retry; 0 if the response advises no time.
        retry_after_ms: Millis,
    },
    /// An error that does not say whether the request was executed.
    Failed,
}

impl FinalResponse {
    /// Returns the outcome under which the response is counted.
    pub fn outcome(&self) -> ResponseOutcome {
        match self {
            FinalResponse::Served(_) => ResponseOutcome::Served,
            FinalResponse::Rejected { .. } => ResponseOutcome::Rejected,
            FinalResponse::Failed => ResponseOutcome::Failed,
        }
    }
}
