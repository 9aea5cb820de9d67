//! What the client side and the server side of the program share of a request: contents and header names.

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use limiter_core::Millis;

use crate::observability::labels::ResponseOutcome;

/// Identifies a request; at most one with the same value is pending.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// Marks the duplicates of one effect.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Seconds for which the sender will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// What of a client's request is forwarded to a server unchanged.
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

/// The final response to a client.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of a server's good response.
    Served(Bytes),
    /// Not served; a retry is safe.
    Rejected {
        /// When the client should retry; 0 for no advice.
        retry_after_ms: Millis,
    },
    /// An error that promises nothing.
    Failed,
}
