//! What the engine and the upstream exchange of an attempt at a server.

use std::rc::Rc;

use bytes::Bytes;
use limiter_core::{Millis, Outcome, RequestId, ServerId};

use crate::messages::request::ForwardedRequest;

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request that is attempted.
    pub request: RequestId,
    /// Number of the attempt, from 0.
    pub number: u32,
}

/// An attempt to be made.
pub struct AttemptJob {
    /// Which attempt.
    pub id: AttemptId,
    /// At which server.
    pub server: ServerId,
    /// What is forwarded.
    pub request: Rc<ForwardedRequest>,
    /// When the client gives up.
    pub deadline: Millis,
    /// When it may give up at the earliest, which is what the server is told.
    pub server_deadline: Millis,
    /// The attempt must not begin later than this.
    pub latest_start: Millis,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// For the core.
    pub outcome: Outcome,
    /// The body of a good response.
    pub body: Option<Bytes>,
    /// The units that a good response says the request really cost.
    pub actual_units: Option<f64>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, body: None, actual_units: None }
    }
}
