//! The end of a request: its final response, the settlement of its cost, and a disconnect of its client.

use super::pending::PendingRequest;
use super::queue::max_queue_ms;
use crate::event::{Action, Millis, Request, RequestId};
use crate::gossip::{GossipLine, Settlement};
use crate::limiter::Limiter;

impl Limiter {
    /// Finishes a request without a good response. The client receives a rejection if sending the request
    /// again is safe, and otherwise a failure, which says nothing about whether the request was executed. An
    /// attempt in flight is cancelled.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.remove_and_settle(id, out) else { return };
        if pending.is_in_flight && self.context.settings.can_cancel {
            self.cancel_unanswered_attempt(pending.last_attempt(), out);
        }
        if pending.is_safe_to_resend(&self.context) {
            out.push(self.rejection(&pending.request));
        } else {
            out.push(Action::Fail { id });
        }
    }

    /// Returns the rejection of a request. The rejection says when to retry if the settings allow it.
    pub(super) fn rejection(&self, request: &Request) -> Action {
        Action::Reject { id: request.id, retry_after_ms: self.retry_after_ms(request) }
    }

    /// Returns the time in milliseconds after which the client of a rejected request should retry: the time
    /// in which its rate quota refills by the cost of the request or, without a rate quota, the longest time
    /// for which the request would have been queued. Returns 0, which means no advice, if the settings do not
    /// allow any. The class and the plan of the request must exist.
    #[must_use]
    pub fn retry_after_ms(&self, request: &Request) -> Millis {
        if !self.context.settings.can_send_retry_after {
            return 0.0;
        }
        let plan = self.context.plan(request);
        if plan.rate > 0.0 {
            1000.0 * request.cost_units / plan.rate
        } else {
            max_queue_ms(self.context.class(request))
        }
    }

    /// Handles the disconnect of a client: removes the request and cancels its attempt, which would only
    /// occupy a connection and slots.
    pub(crate) fn on_client_disconnected(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.remove_and_settle(id, out) else { return };
        if pending.is_in_flight && self.context.settings.can_cancel {
            out.push(Action::CancelAttempt { id, attempt: pending.last_attempt().number });
        }
    }

    /// Removes a request and reports its actual cost to the owner that granted the units, see
    /// [`Limiter::report_cost`].
    pub(super) fn remove_and_settle(
        &mut self,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> Option<PendingRequest> {
        let pending = self.requests.pending.remove(&id)?;
        if let Some(owner) = pending.granting_owner {
            self.report_cost(owner, &pending, out);
        }
        Some(pending)
    }

    /// Reports the actual cost of a finished request to the owner that granted the units, if the cost differs
    /// from the expected cost, or if the owner counts attempts in flight and so has to be notified whenever a
    /// request finishes.
    fn report_cost(&mut self, owner: u32, pending: &PendingRequest, out: &mut Vec<Action>) {
        let expected_units = pending.request.cost_units;
        let used_units = actual_cost_units(pending);
        let limits_attempts_in_flight = self.context.plan(&pending.request).max_in_flight > 0;
        if used_units != expected_units || limits_attempts_in_flight {
            let settlement = Settlement { id: pending.request.id, used_units: used_units as f32 };
            self.send_gossip(owner, GossipLine::Settlement(settlement), out);
        }
    }
}

/// Returns the units that a finished request has used: none without an attempt, otherwise the units that a
/// response has reported, otherwise the expected units.
fn actual_cost_units(pending: &PendingRequest) -> f64 {
    if pending.attempts == 0 {
        return 0.0;
    }
    pending.actual_units.unwrap_or(pending.request.cost_units)
}
