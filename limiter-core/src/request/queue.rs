//! The queue of requests that their quota has admitted and that wait for free slots or an available server.

use super::pending::PendingRequest;
use crate::context::Context;
use crate::event::{Action, Millis, RequestId};
use crate::limiter::Limiter;
use crate::settings::RequestClass;

/// Fraction of the latency objective for which an admitted request may be queued before its first attempt.
/// The rest of the objective is left for the attempt.
const MAX_QUEUE_FRACTION: f64 = 0.25;

/// Returns the longest time in milliseconds for which a request of a class may be queued before its first
/// attempt.
pub(super) fn max_queue_ms(class: &RequestClass) -> Millis {
    class.latency_objective_ms * MAX_QUEUE_FRACTION
}

impl PendingRequest {
    /// Returns whether the request has waited for its first attempt for longer than [`max_queue_ms`].
    fn has_queued_too_long(&self, context: &Context) -> bool {
        let max_ms = max_queue_ms(context.class(&self.request));
        self.attempts == 0 && context.now - self.admitted_at > max_ms
    }
}

impl Limiter {
    /// Forwards a request if its slots are free and a server is available, and queues the request otherwise.
    pub(crate) fn forward_or_queue(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !self.try_forward(id, out) {
            self.requests.queue.push_back(id);
            self.admission.record_queued(self.context.now);
        }
    }

    /// Forwards queued requests, the oldest first, and finishes those that have waited for too long, whose
    /// grant has expired or that may no longer be attempted. Stops at the first request that still cannot be
    /// forwarded. Later requests are not examined and may be queued for longer than [`max_queue_ms`]; their
    /// timers finish them in any case.
    pub(crate) fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for _ in 0..self.requests.queue.len() {
            let Some(id) = self.requests.queue.pop_front() else { return };
            let Some(pending) = self.requests.get_mut(id).filter(|pending| pending.is_queued) else {
                continue;
            };
            pending.is_queued = false;
            let is_overdue = pending.has_queued_too_long(&self.context);
            // The deduplication window of a queued retry may have ended in the meantime.
            let is_allowed = !pending.grant_expired(&self.context) && pending.may_be_attempted(&self.context);
            if is_overdue || !is_allowed {
                self.reject_or_fail(id, out);
            } else if !self.try_forward(id, out) {
                self.requests.queue.push_front(id);
                return;
            }
        }
    }

    /// Forwards a request if its slots are free and a server is available. Returns false if the request has
    /// to be queued, and true if it has been forwarded or had already finished.
    fn try_forward(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.pending.get_mut(&id) else { return true };
        let slots = self.admission.slots_for(pending.request.cost_units);
        let has_free_slots = self.admission.has_free_slots(self.context.now, slots);
        let server =
            if has_free_slots { self.endpoints.pick_server(&mut self.context, pending) } else { None };
        pending.is_queued = server.is_none();
        let Some(server) = server else { return false };
        self.forward(id, server, slots, out);
        true
    }
}
