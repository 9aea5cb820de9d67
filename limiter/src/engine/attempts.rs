//! Starts attempts at servers, and records their ends.

use std::rc::Rc;

use limiter_core::{Event, Millis, Outcome, RequestId, ServerId};

use super::pending::NewAttempt;
use super::timer_queue::TimerKind;
use super::{Engine, State};
use crate::messages::attempt::{AttemptId, AttemptJob, AttemptResult};
use crate::messages::request::FinalResponse;
use crate::observability::labels::{AttemptOutcome, Invariant};
use crate::observability::metrics::Metrics;

impl Engine {
    /// Records the end of an attempt. The connection of the attempt must be closed or back in the pool.
    ///
    /// A good response is returned to the client if the request is still pending, and dropped otherwise. The
    /// outcome is reported to the core in either case.
    pub fn record_attempt_end(self: &Rc<Self>, id: AttemptId, result: AttemptResult) {
        let mut state = self.state.borrow_mut();
        let Some(started_at) = state.pending.record_attempt_end(id, result.outcome) else { return };
        let mut request_finished = !state.pending.contains(id.request);
        if result.outcome == Outcome::Ok {
            if !request_finished {
                let response = FinalResponse::Served(result.body.unwrap_or_default());
                self.respond(&mut state, id.request, response);
            }
            request_finished = true;
        }
        self.count_attempt(id, result.outcome);
        let event = Event::AttemptEnded {
            id: id.request,
            attempt: id.number,
            outcome: result.outcome,
            elapsed_ms: self.now() - started_at,
            request_finished,
            actual_units: result.actual_units,
        };
        self.dispatch_event(&mut state, event);
    }

    fn count_attempt(&self, id: AttemptId, outcome: Outcome) {
        let outcome = AttemptOutcome::from(outcome);
        tracing::debug!(request = id.request, attempt = id.number, %outcome, "attempt ended");
        Metrics::count(&self.metrics.attempts, outcome);
    }

    /// Starts the next attempt of a request, or reports to the core that the attempt was not sent. Has no
    /// effect if the request is not pending.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut State,
        request: RequestId,
        server: ServerId,
        begin_within_ms: Millis,
    ) {
        let Some(attempt) = state.pending.next_attempt(request) else { return };
        let now = self.now();
        if attempt.another_in_flight {
            let detail = format_args!("request {request}: attempt not sent, because another is in flight");
            self.metrics.record_violation(Invariant::OneAttemptAtATime, &detail);
        }
        if attempt.another_in_flight || state.endpoints.serving_process(&server).is_none() {
            state.events.push_back(not_sent(attempt.id));
            return;
        }
        let NewAttempt { id, content, deadlines, .. } = attempt;
        tracing::debug!(request, attempt = id.number, %server, "attempt started");
        let cancelled = state.pending.record_attempt_start(id, now);
        self.set_timer(state, deadlines.deadline, TimerKind::AttemptTimeout(id));
        let job = AttemptJob {
            id,
            server,
            request: content,
            deadline: deadlines.deadline,
            server_deadline: deadlines.server_deadline,
            latest_start: now + begin_within_ms,
        };
        self.upstream.start_attempt(self, job, cancelled);
    }
}

/// Returns the event that reports the end of an attempt that was not sent to its server.
fn not_sent(id: AttemptId) -> Event {
    Event::AttemptEnded {
        id: id.request,
        attempt: id.number,
        outcome: Outcome::NotSent,
        elapsed_ms: 0.0,
        request_finished: false,
        actual_units: None,
    }
}
