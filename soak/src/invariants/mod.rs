//! The invariants that limiters must maintain, and the checks of them on the record of a run.
//!
//! | invariant | checked by |
//! | --- | --- |
//! | [`Invariant::Response`] | `responses`; `attempts`, for those that begin after a client's disconnect |
//! | [`Invariant::SingleExecution`] | `attempts`, for overlaps and retries; `responses`, for rejections |
//! | [`Invariant::PropagatedDeadline`] | `attempts` |
//! | [`Invariant::Draining`] | `attempts`, with the notification times from `notifications` |
//! | [`Invariant::SlowStart`] | `slow_start`, with the notification times from `notifications` |
//! | [`Invariant::Ceiling`] | `ceilings` |
//! | [`Invariant::Process`] | `processes`, with the faults of limiters that were recorded during the run |

mod attempts;
mod ceilings;
mod notifications;
mod processes;
mod responses;
mod slow_start;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::record::{Attempt, Record, RequestId};

/// A guarantee of the limiters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Every request that a limiter read gets one response in time, and no attempt begins after the client
    /// has disconnected.
    Response,
    /// A request is executed more than once only as its class allows, and never twice at the same time.
    SingleExecution,
    /// The deadline propagated to a server is at most the client's remaining time.
    PropagatedDeadline,
    /// Servers that are draining or removed receive no new requests.
    Draining,
    /// All limiters together do not overload a server during its slow start.
    SlowStart,
    /// All limiters together keep within the hard ceiling of each customer.
    Ceiling,
    /// Limiter processes start, stay within their resource limits, log no invariant violation, and exit with
    /// code 0.
    Process,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::Response => "response",
            Invariant::SingleExecution => "single execution",
            Invariant::PropagatedDeadline => "propagated deadline",
            Invariant::Draining => "draining",
            Invariant::SlowStart => "slow start",
            Invariant::Ceiling => "ceiling",
            Invariant::Process => "process",
        })
    }
}

/// Whether a violation depends on the times of the harness's own reads and writes, and thereby on the load of
/// the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// The violation depends on times that the harness measured.
    Measured,
    /// The violation does not depend on the speed of the machine.
    Independent,
}

/// A violation of an invariant.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// Whether the violation depends on measured times.
    pub timing: Timing,
    /// The request, if the violation concerns one.
    pub request: Option<RequestId>,
    /// Description of the violation.
    pub description: String,
}

impl Violation {
    /// Creates a violation that concerns one request.
    fn for_request(
        invariant: Invariant,
        timing: Timing,
        request: RequestId,
        description: String,
    ) -> Violation {
        Violation { invariant, timing, request: Some(request), description }
    }

    /// Creates a violation that concerns no single request.
    fn for_fleet(invariant: Invariant, timing: Timing, description: String) -> Violation {
        Violation { invariant, timing, request: None, description }
    }
}

/// A finished run, with the attempts of each request in the order of their last bytes.
pub struct FinishedRun<'a> {
    record: &'a Record,
    deployment: &'a Deployment,
    attempts: BTreeMap<RequestId, Vec<&'a Attempt>>,
}

impl<'a> FinishedRun<'a> {
    /// Prepares the record of a run for the checks.
    pub fn new(record: &'a Record, deployment: &'a Deployment) -> FinishedRun<'a> {
        let mut attempts: BTreeMap<RequestId, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &record.attempts {
            attempts.entry(attempt.request).or_default().push(attempt);
        }
        for attempts in attempts.values_mut() {
            attempts.sort_by_key(|attempt| attempt.last_byte_at);
        }
        FinishedRun { record, deployment, attempts }
    }

    /// Returns all violations of the run.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, request) in &self.record.requests {
            violations.extend(self.check_response(*id, request));
            self.check_attempts(*id, request, &mut violations);
        }
        violations.extend(self.check_slow_starts());
        violations.extend(self.check_ceilings());
        violations.extend(self.check_processes());
        violations
    }

    /// Returns the attempts of a request in the order of their last bytes.
    fn attempts_of(&self, id: RequestId) -> &[&'a Attempt] {
        self.attempts.get(&id).map_or(&[], Vec::as_slice)
    }
}

/// Returns the signed time from one moment to another in seconds.
fn seconds_between(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() - from.saturating_duration_since(to).as_secs_f64()
}
