//! What the engine and the upstream exchange about an attempt at a server.

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

/// An attempt that is to be made.
pub struct AttemptJob {
    /// The attempt.
    pub id: AttemptId,
    /// The server that was chosen for the attempt.
    pub server: ServerId,
    /// The request that is forwarded.
    pub request: Rc<ForwardedRequest>,
    /// The client abandons the request at this time.
    pub deadline: Millis,
    /// The earliest time at which the client may abandon the request. The time left that the server is given
    /// ends here.
    pub server_deadline: Millis,
    /// The attempt must not be sent to the server later than this.
    pub latest_start: Millis,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The outcome that is reported to the core.
    pub outcome: Outcome,
    /// The body of a good response.
    pub body: Option<Bytes>,
    /// The units that the request really cost, as a good response states.
    pub actual_units: Option<f64>,
}

/// The result of an attempt without a good response.
impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, body: None, actual_units: None }
    }
}
