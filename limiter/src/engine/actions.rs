//! Applies the actions that the limiter returns.

use std::rc::Rc;

use limiter_core::{Action, Ejection, Outcome, RequestId};

use super::timer_queue::TimerKind;
use super::{Engine, State};
use crate::messages::attempt::AttemptId;
use crate::messages::request::FinalResponse;
use crate::observability::labels::{ejection_reason_name, Invariant};
use crate::observability::metrics::Metrics;

impl Engine {
    pub(super) fn apply_action(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Forward { id, server, begin_within_ms } => {
                self.start_attempt(state, id, server, begin_within_ms);
            }
            Action::CancelAttempt { id, attempt } => {
                let attempt = AttemptId { request: id, number: attempt };
                state.pending.cancel_attempt(attempt, Outcome::Cancelled);
            }
            Action::Reject { id, retry_after_ms } => {
                self.respond(state, id, FinalResponse::Rejected { retry_after_ms });
            }
            Action::Fail { id } => self.respond(state, id, FinalResponse::Failed),
            Action::SetTimer { after_ms, token } => {
                let fires_at = self.now() + after_ms.max(0.0);
                self.set_timer(state, fires_at, TimerKind::Core(token));
            }
            Action::SendGossip { to, body } => {
                self.metrics.gossip_messages_sent.inc();
                self.gossip.send(to, &body);
            }
            // Discovery is watched at all times, whether or not the settings require a subscription.
            Action::SubscribeToEndpoints => {}
            Action::LogEjection(ejection) => log_ejection(&ejection),
        }
    }

    /// Sends the final response to a request, and counts the response. Records a violated invariant if the
    /// request is not pending.
    pub(super) fn respond(&self, state: &mut State, id: RequestId, response: FinalResponse) {
        let outcome = response.outcome();
        tracing::debug!(request = id, %outcome, "request finished");
        Metrics::count(&self.metrics.responses, outcome);
        if !state.pending.respond(id, response) {
            let detail = format_args!("request {id}: {outcome}, but the request is not pending");
            self.metrics.record_violation(Invariant::OneFinalResponse, &detail);
        }
    }
}

fn log_ejection(ejection: &Ejection) {
    let server = &ejection.server;
    let reason = ejection_reason_name(ejection.reason);
    let duration_ms = ejection.duration_ms;
    tracing::warn!(%server, %reason, duration_ms, "server ejected");
}
