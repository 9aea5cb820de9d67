//! The arrival of a request: validation, rejection of overdue requests, shedding, and the pending record.

use super::pending::PendingRequest;
use crate::event::{Action, Request};
use crate::limiter::Limiter;

impl Limiter {
    /// Handles a request that has arrived. Ignores a request of an unknown class or plan, and a request whose
    /// id belongs to a pending request, so that no id is forwarded twice by mistake.
    pub(crate) fn on_request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        if !self.is_acceptable(&request) {
            return;
        }
        self.clamp_members(&mut request);
        if self.is_overdue_on_arrival(&request) {
            out.push(self.rejection(&request));
            return;
        }
        self.admission.record_cost(request.cost_units);
        if self.member_quotas.shed_probabilistically(&mut self.context, &request) {
            out.push(self.rejection(&request));
            return;
        }
        let id = request.id;
        let is_limited = self.context.plan(&request).is_limited();
        self.insert_request(request, out);
        if is_limited {
            self.admit_or_request_grant(id, out);
        } else {
            self.forward_or_queue(id, out);
        }
    }

    /// Returns whether the class and the plan of a request exist and no pending request has the same id.
    fn is_acceptable(&self, request: &Request) -> bool {
        let settings = &self.context.settings;
        let has_known_class = request.class < settings.classes.len();
        let has_known_plan = request.plan < settings.plans.len();
        has_known_class && has_known_plan && self.requests.get(request.id).is_none()
    }

    /// Limits the number of members and the position of the first member, which the client declares, to the
    /// limiters that exist. Positions beyond the last limiter wrap around.
    fn clamp_members(&self, request: &mut Request) {
        let limiters = self.context.settings.limiters;
        request.member_count = request.member_count.clamp(1, limiters);
        request.first_member %= limiters;
    }

    /// Returns whether a request waited so long before it was submitted that a response would miss the
    /// deadline or have no value.
    fn is_overdue_on_arrival(&self, request: &Request) -> bool {
        let class = self.context.class(request);
        let has_no_value = class.late_value <= 0.0 && request.waited_ms > class.latency_objective_ms;
        let has_no_time = request.waited_ms > request.timeout_ms - self.deadline_margin_ms();
        request.waited_ms > 0.0 && (has_no_value || has_no_time)
    }

    /// Starts the timers of a request and records the request as pending.
    fn insert_request(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let deadline = self.start_request_timers(&request, out);
        let pending = PendingRequest::new(request, self.context.now, deadline);
        self.requests.pending.insert(id, pending);
    }
}
