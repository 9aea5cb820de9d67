//! What the front end and the upstream share of a request: its content, its final response and header names.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use limiter_core::Millis;

use crate::observability::labels::ResponseOutcome;

/// Header that identifies a request. At most one request with the same value is pending.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Header that identifies the duplicates of one effect.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the time in seconds for which the sender will wait.
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
    /// The request was not served, and a retry by the client is safe.
    Rejected {
        /// Time after which the client should retry; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// An error, after which the request may or may not have been executed.
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
