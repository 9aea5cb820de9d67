//! How the engine starts attempts, and what it makes of their ends.

use std::rc::Rc;

use limiter_core::{Event, Millis, Outcome, RequestId, ServerId};

use super::timer_queue::TimerKind;
use super::{Engine, State};
use crate::messages::attempt::{AttemptId, AttemptJob, AttemptResult};
use crate::messages::request::FinalResponse;
use crate::observability::labels::{AttemptOutcome, Invariant};
use crate::observability::metrics::Metrics;

impl Engine {
    /// An attempt has ended; its connection is closed or back in the pool by now. A response in time goes to the
    /// client; one for a request that has finished is dropped, yet the core takes its outcome in.
    pub fn record_attempt_end(self: &Rc<Self>, id: AttemptId, result: AttemptResult) {
        let mut state = self.state.borrow_mut();
        let Some(started_at) = state.pending.attempt_ended(id) else { return };
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
        let AttemptId { request, number: attempt } = id;
        let outcome = AttemptOutcome::from(outcome);
        tracing::debug!(request, attempt, %outcome, "attempt ended");
        Metrics::count(&self.metrics.attempts, outcome);
    }

    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut State,
        id: RequestId,
        server: ServerId,
        begin_within_ms: Millis,
    ) {
        let Some(attempt) = state.pending.next_attempt(id) else { return };
        let now = self.now();
        if attempt.another_in_flight {
            let detail = format_args!("request {id}: a second attempt beside the first was not sent");
            self.metrics.record_violation(Invariant::OneAttemptAtATime, &detail);
        }
        if attempt.another_in_flight || state.endpoints.serving_address(&server).is_none() {
            state.events.push_back(Event::AttemptEnded {
                id,
                attempt: attempt.id.number,
                outcome: Outcome::NotSent,
                elapsed_ms: 0.0,
                request_finished: false,
                actual_units: None,
            });
            return;
        }
        tracing::debug!(request = id, attempt = attempt.id.number, %server, "attempt started");
        let cancelled = state.pending.attempt_started(attempt.id, now);
        self.set_timer(state, attempt.deadlines.deadline, TimerKind::AttemptTimeout(attempt.id));
        let job = AttemptJob {
            id: attempt.id,
            server,
            request: attempt.content,
            deadline: attempt.deadlines.deadline,
            server_deadline: attempt.deadlines.server_deadline,
            latest_start: now + begin_within_ms,
        };
        self.upstream.start_attempt(self, job, cancelled);
    }
}
