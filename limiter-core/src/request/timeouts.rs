//! Timeouts of a request: its deadline, its latency objective, the silence check of its attempt, the validity
//! of its grant, and the earlier deadlines during a shutdown.

use super::attempts::AttemptKey;
use super::pending::PendingRequest;
use crate::context::Context;
use crate::event::{Action, Millis, Request, RequestId, TimerToken};
use crate::limiter::Limiter;
use crate::quota::GRANT_VALIDITY_MS;

/// Number of event intervals by which a final response precedes the deadline of the client: one because the
/// timer of the deadline may fire this much late, and one for the delivery of the response.
const DEADLINE_MARGIN_INTERVALS: f64 = 2.0;
/// Fraction of the latency objective after which the first silence check of an attempt is due.
const SILENCE_CHECK_FRACTION: f64 = 0.4;
/// Multiple of the usual latency of a server after which an attempt at the server times out, if the server
/// has been silent since the attempt was sent.
const SILENCE_LATENCY_FACTOR: f64 = 6.0;
/// Time in milliseconds by which a timer may fire early.
const TIMER_TOLERANCE_MS: Millis = 1.0;

impl PendingRequest {
    /// Returns whether a grant under a ceiling has expired before the first attempt spent its units. The
    /// owner may no longer count the units as outstanding. Spending them now could exceed the ceiling.
    pub(crate) fn grant_expired(&self, context: &Context) -> bool {
        let age_ms = context.now - self.submitted_at;
        self.attempts == 0 && context.plan(&self.request).has_ceiling() && age_ms > GRANT_VALIDITY_MS
    }
}

impl Limiter {
    /// Returns by how many milliseconds a final response has to precede the deadline of the client.
    pub(super) fn deadline_margin_ms(&self) -> Millis {
        DEADLINE_MARGIN_INTERVALS * self.context.settings.event_interval_ms
    }

    /// Starts the timer of the deadline and, if the latency objective passes before the deadline, the timer
    /// of the latency objective. The timeout of the client and the latency objective are measured from the
    /// arrival of the request. The deadline precedes the end of the timeout, or of a shutdown if that is
    /// earlier, by [`Limiter::deadline_margin_ms`]. Returns the deadline.
    pub(super) fn start_request_timers(&self, request: &Request, out: &mut Vec<Action>) -> Millis {
        let now = self.context.now;
        let timeout_ms = (request.timeout_ms - request.waited_ms).min(self.shutdown_deadline - now);
        let deadline_in_ms = (timeout_ms - self.deadline_margin_ms()).max(0.0);
        out.push(Action::SetTimer { after_ms: deadline_in_ms, token: TimerToken::Deadline(request.id) });
        let objective_ms = self.context.class(request).latency_objective_ms;
        let objective_in_ms = (objective_ms - request.waited_ms).max(0.0);
        if objective_in_ms < deadline_in_ms {
            let token = TimerToken::LatencyObjective(request.id);
            out.push(Action::SetTimer { after_ms: objective_in_ms, token });
        }
        now + deadline_in_ms
    }

    /// Returns the timer of the first silence check of an attempt that is being sent now.
    pub(super) fn first_silence_check(&self, id: RequestId, class: usize) -> Action {
        let objective_ms = self.context.settings.classes[class].latency_objective_ms;
        let after_ms = objective_ms * SILENCE_CHECK_FRACTION;
        Action::SetTimer { after_ms, token: TimerToken::SilenceCheck(id) }
    }

    /// Handles the start of a shutdown, in which the last response must be sent by `deadline`: brings forward
    /// the deadline of each request whose final response would otherwise be sent too late.
    pub(crate) fn on_shutdown(&mut self, deadline: Millis, out: &mut Vec<Action>) {
        self.shutdown_deadline = deadline;
        let now = self.context.now;
        let after_ms = (deadline - self.deadline_margin_ms() - now).max(0.0);
        let latest_deadline = now + after_ms;
        for (id, pending) in &mut self.requests.pending {
            if pending.deadline > latest_deadline {
                pending.deadline = latest_deadline;
                out.push(Action::SetTimer { after_ms, token: TimerToken::Deadline(*id) });
            }
        }
    }

    /// Handles a timer of a request. A timer of a request that has finished, or whose response has begun to
    /// stream, has no effect.
    pub(crate) fn on_request_timer(&mut self, id: RequestId, token: TimerToken, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id).filter(|pending| !pending.is_streaming) else { return };
        match token {
            TimerToken::Deadline(_) if self.context.now >= pending.deadline => self.reject_or_fail(id, out),
            // A late response would have no value. Finishing the request now frees capacity of the server.
            TimerToken::LatencyObjective(_) if self.context.class(&pending.request).late_value <= 0.0 => {
                self.reject_or_fail(id, out);
            }
            TimerToken::SilenceCheck(_) => self.check_silence(id, out),
            TimerToken::GrantReply(_) => self.check_grant_reply(id, out),
            _ => {}
        }
    }

    /// Times out an attempt at a server that has not responded to anything since the attempt was sent. Guards
    /// against servers that never respond, for instance because they hang or because their network is
    /// partitioned.
    ///
    /// The slots of the attempt are released. The attempt is cancelled if the request may be attempted at
    /// another server. Otherwise, the attempt stays in flight, and the timeout of its server is recorded. A
    /// server whose only request from this limiter is a costly one cannot be distinguished from a server that
    /// hangs. Cancelling such an attempt wastes the work of the server; the retry budget bounds the waste.
    fn check_silence(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(key) = self.attempt_to_check(id) else { return };
        let Some(remaining_ms) = self.silence_timeout_in_ms(key) else { return };
        if remaining_ms > TIMER_TOLERANCE_MS {
            out.push(Action::SetTimer { after_ms: remaining_ms, token: TimerToken::SilenceCheck(id) });
            return;
        }
        self.release_slots(key);
        if self.requests.get(id).is_some_and(|pending| self.may_replace_attempt(pending)) {
            self.cancel_unanswered_attempt(key, out);
        } else if let Some(attempt) = self.requests.attempts.get(&key) {
            self.endpoints.record_timeout(self.context.now, attempt);
        }
    }

    /// Returns the attempt in flight of a request if a silence check of that attempt is due. Returns `None`
    /// if the attempt was cancelled, or if the timer belongs to an earlier attempt of the request.
    fn attempt_to_check(&self, id: RequestId) -> Option<AttemptKey> {
        let pending = self.requests.get(id).filter(|pending| pending.is_in_flight)?;
        let key = pending.last_attempt();
        let attempt = self.requests.attempts.get(&key)?;
        let objective_ms = self.context.class(&pending.request).latency_objective_ms;
        let min_elapsed_ms = objective_ms * SILENCE_CHECK_FRACTION - TIMER_TOLERANCE_MS;
        let elapsed_ms = self.context.now - attempt.sent_at;
        let is_due = elapsed_ms >= min_elapsed_ms && !attempt.timed_out;
        is_due.then_some(key)
    }

    /// Returns after how many milliseconds an attempt times out if its server stays silent; zero or negative
    /// if the attempt has timed out. Returns `None` if the server has responded to any attempt since this one
    /// was sent, or is no longer announced.
    fn silence_timeout_in_ms(&self, key: AttemptKey) -> Option<Millis> {
        let now = self.context.now;
        let attempt = self.requests.attempts.get(&key)?;
        let usual_ms = self.endpoints.usual_latency_if_silent(now, &attempt.server, attempt.sent_at)?;
        let elapsed_ms = now - attempt.sent_at;
        Some(usual_ms * SILENCE_LATENCY_FACTOR - elapsed_ms)
    }

    /// Releases the slots of an attempt that has timed out: attempts at a silent server must not occupy the
    /// slots that requests to other servers need.
    fn release_slots(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.requests.attempts.get_mut(&key) {
            let slots = std::mem::take(&mut attempt.slots);
            self.admission.release(slots);
        }
    }
}
