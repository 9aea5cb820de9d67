//! Checks that every request that a limiter read gets one final response in time, and that a rejected request
//! can be retried safely.

use super::{FinishedRun, Invariant, Timing, Violation};
use crate::clients::RESPONSE_GRACE;
use crate::deployment::{DedupScope, Idempotency};
use crate::record::{ClientRequest, Outcome, RequestId, MAX_HARNESS_DELAY};

impl FinishedRun<'_> {
    /// Checks the outcome of a request for its client.
    pub(super) fn check_response(&self, id: RequestId, request: &ClientRequest) -> Option<Violation> {
        let violation =
            |timing, description| Some(Violation::for_request(Invariant::Response, timing, id, description));
        match request.outcome.as_ref()? {
            Outcome::Closed | Outcome::TimedOut if self.was_killed(request) => None,
            Outcome::Closed => {
                let connection = if request.is_on_reused_connection { "reused" } else { "new" };
                violation(
                    Timing::Independent,
                    format!("a {connection} connection was closed without a response"),
                )
            }
            Outcome::TimedOut => {
                let timeout = request.timeout;
                let description =
                    format!("no response by {RESPONSE_GRACE:?} after the timeout of {timeout:?}");
                violation(Timing::Measured, description)
            }
            Outcome::Answered { status: 200, has_expected_body: false } => violation(
                Timing::Independent,
                "the body of the response is not the one that a server produced for the request".to_string(),
            ),
            Outcome::Answered { status: 429 | 503, .. } => self.check_rejection(id, request),
            Outcome::Answered { status: 200 | 502 | 504, .. } | Outcome::Disconnected => None,
            Outcome::Answered { status, .. } => {
                violation(Timing::Independent, format!("a valid request was answered with {status}"))
            }
        }
    }

    /// Checks that the client can safely retry a rejected request.
    fn check_rejection(&self, id: RequestId, request: &ClientRequest) -> Option<Violation> {
        let may_have_run = self.attempts_of(id).iter().any(|attempt| !attempt.is_unprocessed);
        let is_retry_safe = match self.deployment.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All) => true,
            Idempotency::WithKey(DedupScope::Zone | DedupScope::Cell) | Idempotency::NonIdempotent => false,
        };
        if !may_have_run || is_retry_safe {
            return None;
        }
        let description = "rejected, although it may have been executed".to_string();
        Some(Violation::for_request(Invariant::SingleExecution, Timing::Independent, id, description))
    }

    /// Returns whether the limiter was killed before the request ended.
    fn was_killed(&self, request: &ClientRequest) -> bool {
        let incarnations = self.record.incarnations.get(&request.limiter);
        let incarnation = incarnations.and_then(|incarnations| incarnations.get(request.incarnation));
        let Some(killed_at) = incarnation.and_then(|incarnation| incarnation.killed_at) else { return false };
        request.ended_at.is_none_or(|ended_at| killed_at <= ended_at + MAX_HARNESS_DELAY)
    }
}
