//! Translates a server's response into the result of an attempt.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::StatusCode;
use limiter_core::Outcome;

use crate::messages::attempt::AttemptResult;

/// Header of an error response that states whether the server left the request unprocessed.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Value of [`UNPROCESSED`] if the request was not processed.
const UNPROCESSED_TRUE: &str = "1";
/// Header of the first successful response to a request: the actual cost of the request in quota units.
const ACTUAL_COST: HeaderName = HeaderName::from_static("x-true-cost");

/// A response that was read to its end.
pub struct ServerResponse {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl ServerResponse {
    /// Returns the result of the attempt that received this response.
    pub fn into_result(self, max_request_units: f64) -> AttemptResult {
        match self.status {
            StatusCode::OK => AttemptResult {
                outcome: Outcome::Ok,
                actual_units: self.actual_units(max_request_units),
                body: Some(self.body),
            },
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if self.is_unprocessed() => {
                Outcome::Rejected.into()
            }
            _ => Outcome::Error.into(),
        }
    }

    /// Returns whether the server states that it did not process the request.
    fn is_unprocessed(&self) -> bool {
        self.headers.get(UNPROCESSED).is_some_and(|value| value == UNPROCESSED_TRUE)
    }

    /// Returns the actual cost of the request in quota units, if the response states a cost that a request
    /// can have.
    fn actual_units(&self, max_request_units: f64) -> Option<f64> {
        let text = self.headers.get(ACTUAL_COST)?.to_str().ok()?;
        let units: f64 = text.trim().parse().ok()?;
        (units > 0.0 && units <= max_request_units).then_some(units)
    }
}
