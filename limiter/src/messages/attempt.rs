//! The messages between the engine and the upstream about an attempt at a server.

use std::rc::Rc;

use bytes::Bytes;
use limiter_core::{Millis, Outcome, RequestId, ServerId};

use crate::messages::request::ForwardedRequest;

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// Number of the attempt among those of its request, from 0.
    pub number: u32,
}

/// An attempt that the upstream has to execute.
pub struct AttemptJob {
    /// The request and the number of the attempt.
    pub id: AttemptId,
    /// The server that was chosen for the attempt.
    pub server: ServerId,
    /// The request that is forwarded.
    pub request: Rc<ForwardedRequest>,
    /// Time at which the client abandons the request.
    pub deadline: Millis,
    /// Earliest time at which the client may abandon the request. The time left that is sent to the server
    /// ends at this time.
    pub server_deadline: Millis,
    /// Latest time at which the attempt may be sent to the server.
    pub latest_start: Millis,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The outcome that is reported to the core.
    pub outcome: Outcome,
    /// The body of a good response.
    pub body: Option<Bytes>,
    /// The actual cost of the request in quota units, if a good response states it.
    pub actual_units: Option<f64>,
}

/// Creates the result of an attempt without a good response.
impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, body: None, actual_units: None }
    }
}
