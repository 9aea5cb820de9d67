//! Attempts: forwarding a request to a server, and recording the end of the attempt.

use super::retry::PossibleExecution;
use crate::admission::AttemptSummary;
use crate::endpoints::{AttemptTarget, RecordId, ServerLocation};
use crate::event::{Action, Millis, Outcome, RequestId, ServerId};
use crate::limiter::Limiter;

/// Identifies an attempt at one limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u32,
}

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// The record of that server when the attempt was sent. A server that is removed and announced again gets
    /// a new record, to which the outcome of this attempt does not apply.
    pub record: RecordId,
    /// The location of the server when the attempt was sent. By the end of the attempt, the server may be
    /// announced at another location, or be removed.
    pub location: ServerLocation,
    /// When the attempt was sent.
    pub sent_at: Millis,
    /// Slots that the attempt occupies.
    pub slots: f64,
    /// Index of the class of the request.
    pub class: usize,
    /// Whether this limiter cancelled the attempt because no response arrived in time: in a silence check, or
    /// when the request was rejected or failed. If the attempt then ends with [`Outcome::Cancelled`], its end
    /// is recorded as a timeout of the server.
    pub timed_out: bool,
}

/// The end of an attempt, as reported by the caller.
#[derive(Debug)]
pub(crate) struct AttemptEnd {
    /// The attempt that ended.
    pub key: AttemptKey,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How long the attempt took, in milliseconds.
    pub elapsed_ms: Millis,
    /// Whether the request has received its final response, or no longer needs one.
    pub request_finished: bool,
    /// The actual cost of the request in quota units, if a response has reported it.
    pub actual_units: Option<f64>,
}

impl Limiter {
    /// Starts an attempt at a server. The attempt occupies the slots until the attempt ends or a silence
    /// check releases them.
    pub(super) fn forward(&mut self, id: RequestId, server: ServerId, slots: f64, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.pending.get_mut(&id) else { return };
        if pending.attempts == 0 {
            self.admission.record_admitted(self.context.now);
            self.retry_budget.deposit();
        }
        let begin_within_ms = pending.dedup_ends_in_ms(&self.context);
        let class = pending.request.class;
        let key = pending.begin_attempt(server.clone());
        self.record_attempt_start(key, class, &server, slots);
        self.admission.occupy(slots);
        out.push(Action::Forward { id, server, begin_within_ms });
        out.push(self.first_silence_check(id, class));
    }

    /// Records an attempt as in flight, here and at its server. Does nothing if the server is not announced.
    fn record_attempt_start(&mut self, key: AttemptKey, class: usize, server: &ServerId, slots: f64) {
        let Some(target) = self.endpoints.record_attempt_start(server) else { return };
        let AttemptTarget { record, location } = target;
        let attempt = AttemptRecord {
            server: server.clone(),
            record,
            location,
            sent_at: self.context.now,
            slots,
            class,
            timed_out: false,
        };
        self.requests.attempts.insert(key, attempt);
    }

    /// Cancels an attempt that has received no response in time.
    pub(super) fn cancel_unanswered_attempt(&mut self, key: AttemptKey, out: &mut Vec<Action>) {
        if let Some(attempt) = self.requests.attempts.get_mut(&key) {
            attempt.timed_out = true;
        }
        out.push(Action::CancelAttempt { id: key.request, attempt: key.number });
    }

    /// Handles the end of an attempt. The end of an unknown attempt is ignored unless the caller reports
    /// that the request has finished.
    pub(crate) fn on_attempt_ended(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let is_known = self.requests.attempts.contains_key(&end.key);
        if !is_known && !end.request_finished {
            return;
        }
        let id = end.key.request;
        self.requests.update(id, |pending| pending.actual_units = end.actual_units);
        self.record_attempt_end(end);
        if end.request_finished || end.outcome == Outcome::Ok {
            self.remove_and_settle(id, out);
        } else {
            self.retry_or_finish(id, out);
        }
        self.drain_queue(out);
    }

    /// Records the end of an attempt: releases its slots, updates the latency and the health of its server,
    /// and records whether the request may have been executed.
    fn record_attempt_end(&mut self, end: &AttemptEnd) {
        let Some(attempt) = self.requests.attempts.remove(&end.key) else { return };
        let now = self.context.now;
        let outcome = end.outcome;
        let objective_ms = self.context.settings.classes[attempt.class].latency_objective_ms;
        let ended =
            AttemptSummary { outcome, slots: attempt.slots, objective_ms, elapsed_ms: end.elapsed_ms };
        self.admission.record_attempt_end(now, &ended);
        self.endpoints.record_attempt_end(now, &attempt, outcome, end.elapsed_ms);
        let Some(pending) = self.requests.get_mut(end.key.request) else { return };
        pending.is_in_flight = false;
        if !outcome.never_executed() && pending.possible_execution.is_none() {
            let execution = PossibleExecution { sent_at: attempt.sent_at, location: attempt.location };
            pending.possible_execution = Some(execution);
        }
    }
}
