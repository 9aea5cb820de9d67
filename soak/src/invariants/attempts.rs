//! Checks when an attempt may begin, and when and where a request may be retried.

use std::time::Duration;

use super::{seconds_between, FinishedRun, Invariant, Timing, Violation};
use crate::deployment::{DedupScope, Idempotency};
use crate::record::{Attempt, ClientRequest, Outcome, RequestId, ServerRecord, MAX_HARNESS_DELAY};

/// Time after the notification of a server's withdrawal during which the limiter may still forward requests
/// to the server: the 250 ms of grace that the operators allow, and 50 ms of slack for sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// Time after a client's disconnect during which an attempt for the client may still begin.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Seconds by which the propagated deadline may exceed the client's remaining time.
const DEADLINE_SLACK_S: f64 = 0.15;
/// Allowance for the time between a limiter's last check of the deduplication window and the arrival of the
/// attempt at the server.
const DEDUP_WINDOW_SLACK: Duration = Duration::from_millis(50);

impl FinishedRun<'_> {
    /// Checks all attempts of a request.
    pub(super) fn check_attempts(
        &self,
        id: RequestId,
        request: &ClientRequest,
        violations: &mut Vec<Violation>,
    ) {
        let attempts = self.attempts_of(id);
        for (index, attempt) in attempts.iter().enumerate() {
            if !self.was_read_late(attempt) {
                violations.extend(check_propagated_deadline(id, request, attempt));
                violations.extend(check_disconnected_client(id, request, attempt));
                violations.extend(self.check_draining(id, request, attempt));
            }
            let earlier = &attempts[..index];
            if let Some(previous) = earlier.last() {
                violations.extend(check_overlap(id, previous, attempt));
            }
            if let Some(executed) = first_possible_execution(earlier) {
                violations.extend(self.check_retry_location(id, request, executed, attempt));
                violations.extend(self.check_dedup_window(id, request, executed, attempt));
            }
        }
    }

    /// Returns whether the simulated server may have read an attempt late because of its own stall.
    fn was_read_late(&self, attempt: &Attempt) -> bool {
        let read_at = attempt.first_byte_at;
        self.record.server_stalls.iter().any(|stall| {
            stall.server == attempt.server && stall.from <= read_at && read_at <= stall.to + MAX_HARNESS_DELAY
        })
    }

    fn check_draining(&self, id: RequestId, request: &ClientRequest, attempt: &Attempt) -> Option<Violation> {
        let notified_at = self.withdrawal_notified_at(request, attempt.server)?;
        if attempt.first_byte_at <= notified_at + DRAIN_GRACE + MAX_HARNESS_DELAY {
            return None;
        }
        let delay = attempt.first_byte_at - notified_at;
        let limiter = request.limiter;
        let server = &self.record.servers[attempt.server].name;
        let description = format!("limiter {limiter} forwarded to {server} {delay:?} after its withdrawal");
        Some(Violation::for_request(Invariant::Draining, Timing::Measured, id, description))
    }

    /// Checks that a request which the attempt `executed` may have executed is retried only where the request
    /// class allows a retry.
    fn check_retry_location(
        &self,
        id: RequestId,
        request: &ClientRequest,
        executed: &Attempt,
        attempt: &Attempt,
    ) -> Option<Violation> {
        let idempotency = self.deployment.classes[request.class].idempotency;
        let from = &self.record.servers[executed.server];
        let to = &self.record.servers[attempt.server];
        if may_retry(idempotency, from, to) {
            return None;
        }
        let description = format!("{idempotency:?}: executed at {}, retried at {}", from.name, to.name);
        Some(Violation::for_request(Invariant::SingleExecution, Timing::Independent, id, description))
    }

    /// Checks that a request with an idempotency key, which the attempt `executed` may have executed, is
    /// retried only within the deduplication window.
    fn check_dedup_window(
        &self,
        id: RequestId,
        request: &ClientRequest,
        executed: &Attempt,
        attempt: &Attempt,
    ) -> Option<Violation> {
        let class = &self.deployment.classes[request.class];
        let window_end = executed.last_byte_at + class.dedup_window + DEDUP_WINDOW_SLACK + MAX_HARNESS_DELAY;
        let has_key = matches!(class.idempotency, Idempotency::WithKey(_));
        if !has_key || attempt.last_byte_at <= window_end {
            return None;
        }
        let description = "retried after the deduplication window".to_string();
        Some(Violation::for_request(Invariant::SingleExecution, Timing::Independent, id, description))
    }
}

fn check_propagated_deadline(id: RequestId, request: &ClientRequest, attempt: &Attempt) -> Option<Violation> {
    let left_s = request.timeout.as_secs_f64() - seconds_between(request.written_at, attempt.last_byte_at);
    let propagated_s = attempt.propagated_deadline_s.unwrap_or(f64::INFINITY);
    if propagated_s <= left_s.max(0.0) + DEADLINE_SLACK_S + MAX_HARNESS_DELAY.as_secs_f64() {
        return None;
    }
    let description = format!("propagated a deadline of {propagated_s:.3} s, {left_s:.3} s were left");
    Some(Violation::for_request(Invariant::PropagatedDeadline, Timing::Measured, id, description))
}

fn check_disconnected_client(id: RequestId, request: &ClientRequest, attempt: &Attempt) -> Option<Violation> {
    if request.outcome != Some(Outcome::Disconnected) {
        return None;
    }
    let disconnected_at = request.ended_at?;
    if attempt.first_byte_at <= disconnected_at + DISCONNECT_GRACE + MAX_HARNESS_DELAY {
        return None;
    }
    let delay = attempt.first_byte_at - disconnected_at;
    let description = format!("an attempt began {delay:?} after its client disconnected");
    Some(Violation::for_request(Invariant::Response, Timing::Measured, id, description))
}

fn check_overlap(id: RequestId, previous: &Attempt, attempt: &Attempt) -> Option<Violation> {
    let previous_ended_at = previous.ended_at.unwrap_or(previous.last_byte_at);
    if previous_ended_at <= attempt.last_byte_at + MAX_HARNESS_DELAY {
        return None;
    }
    let overlap = previous_ended_at - attempt.last_byte_at;
    let description = format!("two attempts were in flight at the same time for {overlap:?}");
    Some(Violation::for_request(Invariant::SingleExecution, Timing::Measured, id, description))
}

/// Returns the first attempt that its server may have executed.
fn first_possible_execution<'a>(attempts: &[&'a Attempt]) -> Option<&'a Attempt> {
    attempts.iter().find(|attempt| !attempt.is_unprocessed).copied()
}

/// Returns whether a request that may have been executed at one server may be retried at another.
fn may_retry(idempotency: Idempotency, from: &ServerRecord, to: &ServerRecord) -> bool {
    match idempotency {
        Idempotency::Idempotent | Idempotency::WithKey(DedupScope::All) => true,
        Idempotency::WithKey(DedupScope::Zone) => from.zone == to.zone,
        Idempotency::WithKey(DedupScope::Cell) => from.cell == to.cell,
        Idempotency::NonIdempotent => false,
    }
}
