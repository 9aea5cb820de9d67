//! Retries: whether a request may be attempted again, and the budget that bounds the number of retries.
//!
//! A request that may have been executed is attempted again only if a second execution is safe, see
//! [`crate::rules::may_execute`].

use super::pending::PendingRequest;
use crate::context::Context;
use crate::endpoints::ServerLocation;
use crate::event::{Action, Millis, RequestId};
use crate::limiter::Limiter;
use crate::rules::{self, AttemptFacts, ExecutionFacts};
use crate::settings::Idempotency;

/// Retries that each first attempt adds to the budget. Over time, retries add at most this fraction to the
/// load of the servers.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Largest number of retries in the budget, and the number at the start. Bounds the burst of retries that may
/// follow a period without any.
const MAX_RETRIES: f64 = 20.0;

/// Bounds retries to a fraction of the requests, so that retries cannot multiply an overload.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// Number of retries that may be made now. The fractional part counts towards the next retry.
    retries: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        RetryBudget { retries: MAX_RETRIES }
    }

    /// Adds [`RETRIES_PER_REQUEST`] for a first attempt, up to [`MAX_RETRIES`] in the budget.
    pub fn deposit(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Returns whether the budget allows a retry.
    pub fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Removes one retry from the budget.
    pub fn withdraw(&mut self) {
        self.retries -= 1.0;
    }
}

/// The earliest attempt of a request that may have been executed by its server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PossibleExecution {
    /// When the attempt was sent. The deduplication window of an idempotency key is measured from this time.
    pub sent_at: Millis,
    /// Location of the server. The location determines which servers drop duplicates of the request.
    pub location: ServerLocation,
}

impl PendingRequest {
    /// Returns whether the rules allow another attempt now.
    pub(super) fn may_be_attempted(&self, context: &Context) -> bool {
        let class = context.class(&self.request);
        let is_late = context.now - self.arrived_at > class.latency_objective_ms;
        let facts = AttemptFacts {
            has_attempt_in_flight: self.is_in_flight,
            is_streaming: self.is_streaming,
            deadline_in_ms: self.deadline - context.now,
            attempts: self.attempts,
            max_attempts: context.settings.max_attempts,
            has_no_value: is_late && class.late_value <= 0.0,
            execution: self.execution_facts(context),
        };
        rules::may_attempt(&facts).is_ok()
    }

    /// Returns the facts that decide whether the request may be executed again.
    fn execution_facts(&self, context: &Context) -> ExecutionFacts {
        ExecutionFacts {
            idempotency: context.class(&self.request).idempotency,
            may_have_executed: self.possible_execution.is_some(),
            dedup_ends_in_ms: self.dedup_ends_in_ms(context),
        }
    }

    /// Returns for how many milliseconds servers continue to drop duplicates of this request. The result is
    /// infinite if no attempt can have been executed or if the class uses no idempotency key. The window is
    /// shortened by one event interval, because an attempt may be sent this much late.
    pub(super) fn dedup_ends_in_ms(&self, context: &Context) -> Millis {
        let class = context.class(&self.request);
        match (class.idempotency, self.possible_execution) {
            (Idempotency::WithKey, Some(execution)) => {
                let window_ms = class.dedup_window_ms - context.settings.event_interval_ms;
                window_ms - (context.now - execution.sent_at)
            }
            _ => f64::INFINITY,
        }
    }

    /// Returns whether a client may safely send the request again: either the request is idempotent without a
    /// key, or no attempt can have been executed.
    pub(super) fn is_safe_to_resend(&self, context: &Context) -> bool {
        let is_idempotent = context.class(&self.request).idempotency == Idempotency::Idempotent;
        is_idempotent || (self.possible_execution.is_none() && !self.is_in_flight)
    }
}

impl Limiter {
    /// Retries a request after an attempt without a good response, if the rules and the retry budget allow
    /// it. Finishes the request otherwise.
    pub(super) fn retry_or_finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let is_allowed = self.requests.get(id).is_some_and(|pending| pending.may_be_attempted(&self.context));
        if !is_allowed || !self.retry_budget.allows_retry() {
            self.reject_or_fail(id, out);
            return;
        }
        self.retry_budget.withdraw();
        self.forward_or_queue(id, out);
    }

    /// Returns whether an attempt in flight may be cancelled in order to attempt the request at another
    /// server. The retry itself is decided in [`Limiter::retry_or_finish`], when the end of the cancelled
    /// attempt is reported.
    pub(super) fn may_replace_attempt(&self, pending: &PendingRequest) -> bool {
        let settings = &self.context.settings;
        let idempotency = self.context.class(&pending.request).idempotency;
        settings.can_cancel
            && idempotency != Idempotency::NonIdempotent
            && pending.attempts < settings.max_attempts
            && self.retry_budget.allows_retry()
    }
}
