//! The life of a request: admitted by its quota, queued for slots and a server, attempted, retried, finished.

mod records;

use crate::context::Context;
use crate::endpoints::AttemptTarget;
use crate::event::{Action, Millis, Outcome, Request, RequestId, ServerId, TimerToken};
use crate::gossip::{GossipLine, Settlement};
use crate::limiter::Limiter;
use crate::quota::GRANT_VALIDITY_MS;
use crate::rules::{self, AttemptFacts, ExecutionFacts};
use crate::settings::Idempotency;
use records::PossibleExecution;
pub(crate) use records::{
    AttemptEnd, AttemptKey, AttemptRecord, AwaitedReply, PendingRequest, RecordId, RequestTable, RetryBudget,
    ServerLocation,
};

/// Fraction of the latency objective for which an admitted request may wait for slots or a server.
const MAX_QUEUE_FRACTION: f64 = 0.25;
/// Fraction of the latency objective after which an attempt is checked for silence.
const SILENCE_CHECK_FRACTION: f64 = 0.4;
/// A silent attempt is timed out after this multiple of its server's usual latency.
const SILENCE_LATENCY_FACTOR: f64 = 6.0;
/// Event intervals by which a response precedes its deadline: its timer and its way may take one each.
const DEADLINE_MARGIN_INTERVALS: f64 = 2.0;
/// Milliseconds by which a timer may fire early.
const TIMER_TOLERANCE_MS: Millis = 1.0;

impl PendingRequest {
    /// Whether the rules and the time left allow another attempt.
    fn may_be_attempted(&self, context: &Context) -> bool {
        let (class, now) = (context.class(&self.request), context.now);
        let facts = AttemptFacts {
            has_attempt_in_flight: self.is_in_flight,
            is_streaming: self.is_streaming,
            deadline_in_ms: self.deadline - now,
            attempts: self.attempts,
            max_attempts: context.settings.max_attempts,
            has_no_value: now - self.arrived_at > class.latency_objective_ms && class.late_value <= 0.0,
            repeat: self.repeat_facts(context),
        };
        rules::may_attempt(&facts).is_ok()
    }

    fn repeat_facts(&self, context: &Context) -> ExecutionFacts {
        ExecutionFacts {
            idempotency: context.class(&self.request).idempotency,
            may_have_executed: self.possible_execution.is_some(),
            dedup_ends_in_ms: self.dedup_ends_in_ms(context),
        }
    }

    /// Whether units granted under a ceiling were not spent in time: the owner counts them no longer.
    pub(crate) fn grant_expired(&self, context: &Context) -> bool {
        let age_ms = context.now - self.submitted_at;
        self.attempts == 0 && context.plan(&self.request).has_ceiling() && age_ms > GRANT_VALIDITY_MS
    }
}

impl Limiter {
    pub(crate) fn on_request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        let settings = &self.context.settings;
        let unknown = request.class >= settings.classes.len() || request.plan >= settings.plans.len();
        if unknown || self.requests.get(request.id).is_some() {
            return;
        }
        request.member_count = request.member_count.clamp(1, settings.limiters);
        request.first_member %= settings.limiters;
        if self.is_overdue_on_arrival(&request) {
            out.push(self.rejection(&request));
            return;
        }
        self.admission.record_cost(request.cost_units);
        if self.member_quotas.shed_probabilistically(&mut self.context, &request) {
            out.push(self.rejection(&request));
            return;
        }
        let (id, is_limited) = (request.id, self.context.plan(&request).is_limited());
        self.insert_request(request, out);
        if is_limited {
            self.spend_local_share(id, out);
        } else {
            self.forward_or_queue(id, out);
        }
    }

    fn insert_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let (now, id) = (self.context.now, request.id);
        let objective_ms = self.context.class(&request).latency_objective_ms;
        let timeout_ms = (request.timeout_ms - request.waited_ms).min(self.shutdown_deadline - now);
        let after_ms = (timeout_ms - self.deadline_margin_ms()).max(0.0);
        out.push(Action::SetTimer { after_ms, token: TimerToken::Deadline(id) });
        let objective_in_ms = (objective_ms - request.waited_ms).max(0.0);
        if objective_in_ms < after_ms {
            out.push(Action::SetTimer { after_ms: objective_in_ms, token: TimerToken::LatencyObjective(id) });
        }
        self.requests.pending.insert(id, PendingRequest::new(request, now, now + after_ms));
    }

    /// Whether a request has waited for so long, before it was submitted, that no response could be in time
    /// or would have any value.
    fn is_overdue_on_arrival(&self, request: &Request) -> bool {
        let class = self.context.class(request);
        let has_no_value = class.late_value <= 0.0 && request.waited_ms > class.latency_objective_ms;
        let has_no_time = request.waited_ms > request.timeout_ms - self.deadline_margin_ms();
        request.waited_ms > 0.0 && (has_no_value || has_no_time)
    }

    fn deadline_margin_ms(&self) -> Millis {
        DEADLINE_MARGIN_INTERVALS * self.context.settings.event_interval_ms
    }

    /// Forgets the request and cancels its attempt, which would only hold a connection and slots.
    pub(crate) fn on_client_disconnected(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.remove_and_settle(id, out) else { return };
        if request.is_in_flight && self.context.settings.can_cancel {
            out.push(Action::CancelAttempt { id, attempt: request.last_attempt().number });
        }
    }

    /// Moves the deadlines of requests that would outlast the process to before its end.
    pub(crate) fn on_shutdown(&mut self, deadline: Millis, out: &mut Vec<Action>) {
        self.shutdown_deadline = deadline;
        let now = self.context.now;
        let after_ms = (deadline - self.deadline_margin_ms() - now).max(0.0);
        for (id, request) in self.requests.pending.iter_mut().filter(|(_, r)| r.deadline > now + after_ms) {
            request.deadline = now + after_ms;
            out.push(Action::SetTimer { after_ms, token: TimerToken::Deadline(*id) });
        }
    }

    /// Forwards a request if its slots are free and a server may have it; queues it otherwise.
    pub(crate) fn forward_or_queue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !self.try_forward(id, out) {
            self.requests.queue.push_back(id);
            self.admission.record_queued(self.context.now);
        }
    }

    fn try_forward(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.pending.get_mut(&id) else { return true };
        let slots = self.admission.slots_for(request.request.cost_units);
        let fits = self.admission.fits(self.context.now, slots);
        let server = if fits { self.endpoints.pick(&mut self.context, request) } else { None };
        request.is_queued = server.is_none();
        let Some(server) = server else { return false };
        self.forward(id, server, slots, out);
        true
    }

    fn forward(&mut self, id: RequestId, server: ServerId, slots: f64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.pending.get_mut(&id) else { return };
        let now = self.context.now;
        if request.attempts == 0 {
            self.admission.record_admitted(now);
            self.retry_budget.deposit();
        }
        let begin_within_ms = request.dedup_ends_in_ms(&self.context);
        let class = request.request.class;
        let check_ms = self.context.settings.classes[class].latency_objective_ms * SILENCE_CHECK_FRACTION;
        request.attempts += 1;
        request.is_in_flight = true;
        request.last_server = Some(server.clone());
        if let Some(target) = self.endpoints.attempt_started(&server) {
            let (server, AttemptTarget { record, location }) = (server.clone(), target);
            let attempt =
                AttemptRecord { server, record, location, sent_at: now, slots, class, cancelled: false };
            self.requests.attempts.insert(request.last_attempt(), attempt);
        }
        self.admission.occupy(slots);
        out.push(Action::Forward { id, server, begin_within_ms });
        out.push(Action::SetTimer { after_ms: check_ms, token: TimerToken::SilenceCheck(id) });
    }

    /// Handles the end of an attempt; one that is not known counts only if it finishes its request.
    pub(crate) fn on_attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let id = end.key.request;
        if !self.requests.attempts.contains_key(&end.key) && !end.request_finished {
            return;
        }
        self.requests.update(id, |request| request.actual_units = end.actual_units);
        self.record_attempt_end(&end);
        if end.request_finished || end.outcome == Outcome::Ok {
            self.remove_and_settle(id, out);
        } else {
            self.retry_or_finish(id, out);
        }
        self.drain_queue(out);
    }

    /// Records the end of an attempt: slots, latency, server health, and whether it may have been executed.
    fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let Some(attempt) = self.requests.attempts.remove(&end.key) else { return };
        let (now, outcome) = (self.context.now, end.outcome);
        let objective_ms = self.context.settings.classes[attempt.class].latency_objective_ms;
        self.admission.attempt_ended(now, outcome, attempt.slots, objective_ms, end.elapsed_ms);
        self.endpoints.attempt_ended(now, &attempt, outcome, end.elapsed_ms);
        let execution = PossibleExecution { sent_at: attempt.sent_at, location: attempt.location };
        self.requests.update(end.key.request, |request| {
            request.is_in_flight = false;
            if !outcome.never_executed() && request.possible_execution.is_none() {
                request.possible_execution = Some(execution);
            }
        });
    }

    /// After an attempt without a good response: retries where that is safe and the retry budget allows it.
    fn retry_or_finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let may_retry = self.requests.get(id).is_some_and(|request| request.may_be_attempted(&self.context));
        if !may_retry || !self.retry_budget.allows_retry() {
            return self.reject_or_fail(id, out);
        }
        self.retry_budget.withdraw();
        self.forward_or_queue(id, out);
    }

    /// Gives the final response: a rejection where a retry is safe, else a failure that promises nothing.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.remove_and_settle(id, out) else { return };
        if request.is_in_flight && self.context.settings.can_cancel {
            let key = request.last_attempt();
            self.requests.attempts.entry(key).and_modify(|attempt| attempt.cancelled = true);
            out.push(Action::CancelAttempt { id, attempt: key.number });
        }
        let is_idempotent = self.context.class(&request.request).idempotency == Idempotency::Idempotent;
        if is_idempotent || (request.possible_execution.is_none() && !request.is_in_flight) {
            out.push(self.rejection(&request.request));
        } else {
            out.push(Action::Fail { id });
        }
    }

    /// A client may retry once its quota has refilled by the cost; without one, after the time of the queue.
    fn rejection(&self, request: &Request) -> Action {
        let (plan, class) = (self.context.plan(request), self.context.class(request));
        let retry_after_ms = if !self.context.settings.can_send_retry_after {
            0.0
        } else if plan.rate > 0.0 {
            1000.0 * request.cost_units / plan.rate
        } else {
            class.latency_objective_ms * MAX_QUEUE_FRACTION
        };
        Action::Reject { id: request.id, retry_after_ms }
    }

    /// Forgets a request and reports to the owner of its quota what it really cost.
    fn remove_and_settle(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<PendingRequest> {
        let request = self.requests.pending.remove(&id)?;
        let Some(owner) = request.granting_owner else { return Some(request) };
        let expected = request.request.cost_units;
        let used = if request.attempts == 0 { 0.0 } else { request.actual_units.unwrap_or(expected) };
        if used != expected || self.context.plan(&request.request).max_in_flight > 0 {
            let settlement = Settlement { id, used_units: used as f32 };
            self.send_gossip(owner, GossipLine::Settlement(settlement), out);
        }
        Some(request)
    }

    /// Forwards queued requests, the oldest first, and finishes those whose time runs out.
    pub(crate) fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for _ in 0..self.requests.queue.len() {
            let Some(id) = self.requests.queue.pop_front() else { return };
            let Some(request) = self.requests.pending.get_mut(&id).filter(|r| r.is_queued) else { continue };
            request.is_queued = false;
            let max_wait_ms = self.context.class(&request.request).latency_objective_ms * MAX_QUEUE_FRACTION;
            let overdue = request.attempts == 0 && self.context.now - request.admitted_at > max_wait_ms;
            // A retry that was queued may have outlived the time in which servers drop duplicates.
            let allowed = !request.grant_expired(&self.context) && request.may_be_attempted(&self.context);
            if overdue || !allowed {
                self.reject_or_fail(id, out);
            } else if !self.try_forward(id, out) {
                self.requests.queue.push_front(id);
                return;
            }
        }
    }

    pub(crate) fn on_request_timer(&mut self, id: RequestId, token: TimerToken, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| !request.is_streaming) else { return };
        match token {
            TimerToken::Deadline(_) if self.context.now >= request.deadline => self.reject_or_fail(id, out),
            // A late response would have no value: finishing now frees the server.
            TimerToken::LatencyObjective(_) if self.context.class(&request.request).late_value <= 0.0 => {
                self.reject_or_fail(id, out);
            }
            TimerToken::SilenceCheck(_) => self.check_silence(id, out),
            TimerToken::GrantReply(_) => self.check_grant_reply(id, out),
            _ => {}
        }
    }

    /// Guards against servers that never respond (hang, vanish, cut link): an attempt at a server that has
    /// shown no life since it was sent is cancelled and made elsewhere. It may harm where a server is merely
    /// idle and the request heavy; the retry budget bounds that.
    fn check_silence(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.pending.get(&id).filter(|r| r.is_in_flight) else { return };
        let key = request.last_attempt();
        let class = self.context.class(&request.request);
        let Some(attempt) = self.requests.attempts.get_mut(&key) else { return };
        let elapsed_ms = self.context.now - attempt.sent_at;
        let check_ms = class.latency_objective_ms * SILENCE_CHECK_FRACTION - TIMER_TOLERANCE_MS;
        if elapsed_ms < check_ms || attempt.cancelled {
            return;
        }
        let now = self.context.now;
        let usual_ms = self.endpoints.latency_if_silent(now, &attempt.server, attempt.sent_at);
        let Some(usual_ms) = usual_ms else { return };
        let after_ms = usual_ms * SILENCE_LATENCY_FACTOR - elapsed_ms;
        if after_ms > TIMER_TOLERANCE_MS {
            return out.push(Action::SetTimer { after_ms, token: TimerToken::SilenceCheck(id) });
        }
        // What a silent server holds takes no slots from the others.
        self.admission.release(std::mem::take(&mut attempt.slots));
        let may_retry = class.idempotency != Idempotency::NonIdempotent
            && request.attempts < self.context.settings.max_attempts
            && self.retry_budget.allows_retry();
        if may_retry && self.context.settings.can_cancel {
            attempt.cancelled = true;
            out.push(Action::CancelAttempt { id, attempt: key.number });
        } else {
            self.endpoints.record_timeout(now, attempt);
        }
    }
}
