//! Dispatches each event to its handler, and runs the periodic control step.

use crate::admission::CONTROL_STEP_MS;
use crate::event::{Action, Event, Millis, TimerToken};
use crate::limiter::Limiter;
use crate::request::{AttemptEnd, AttemptKey};

/// Time in milliseconds since the last control step after which the process is considered to have stalled. A
/// control step is due every [`CONTROL_STEP_MS`], so a longer gap means that several of them are late.
const STALL_THRESHOLD_MS: Millis = 500.0;

impl Limiter {
    /// Handles an event that is delivered at the time `now`, and appends the resulting actions to `out`. The
    /// caller has to execute the actions in this order.
    ///
    /// The clock of a limiter never goes back: if `now` is before the time of an earlier event, the event is
    /// handled at the time of the earlier event.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.advance_clock(now);
        self.start_on_first_event(out);
        match event {
            Event::EndpointsChanged { complete, endpoints } => {
                self.on_endpoints_changed(complete, &endpoints, out);
            }
            Event::EndpointsConfigured { endpoints } => self.on_endpoints_configured(&endpoints, out),
            Event::WatchFailed => self.on_watch_failed(out),
            Event::RequestArrived(request) => self.on_request(request, out),
            Event::ResponseStarted { id } => {
                self.requests.update(id, |pending| pending.is_streaming = true);
            }
            Event::AttemptEnded { id, attempt, outcome, elapsed_ms, request_finished, actual_units } => {
                let key = AttemptKey { request: id, number: attempt };
                let end = AttemptEnd { key, outcome, elapsed_ms, request_finished, actual_units };
                self.on_attempt_ended(&end, out);
            }
            Event::ClientDisconnected { id } => self.on_client_disconnected(id, out),
            Event::ShutdownStarted { deadline } => self.on_shutdown(deadline, out),
            Event::TimerFired { token } => self.on_timer(token, out),
            Event::GossipReceived { from, body } => self.on_gossip(from, &body, out),
        }
    }

    /// Advances the current time. If the last control step is more than [`STALL_THRESHOLD_MS`] ago, the
    /// process has just resumed after a stall: records the current time as the time at which it resumed. Does
    /// so for each event, up to and including the next control step.
    fn advance_clock(&mut self, now: Millis) {
        self.context.now = self.context.now.max(now);
        let since_last_step_ms = self.context.now - self.last_step_at;
        if since_last_step_ms > STALL_THRESHOLD_MS {
            self.resumed_at = self.context.now;
        }
    }

    /// Starts the control steps and, if the settings require a subscription, subscribes to the endpoint list.
    /// Does so with the first event only.
    fn start_on_first_event(&mut self, out: &mut Vec<Action>) {
        if self.is_started {
            return;
        }
        self.is_started = true;
        out.push(Action::SetTimer { after_ms: CONTROL_STEP_MS, token: TimerToken::ControlStep });
        if self.context.settings.must_subscribe {
            out.push(Action::SubscribeToEndpoints);
        }
    }

    /// Handles a timer that has fired.
    fn on_timer(&mut self, token: TimerToken, out: &mut Vec<Action>) {
        match token {
            TimerToken::ControlStep => {
                self.control_step(out);
                out.push(Action::SetTimer { after_ms: CONTROL_STEP_MS, token });
            }
            TimerToken::GossipFlush => {
                self.gossip.flush_scheduled = false;
                self.flush_gossip(out);
            }
            TimerToken::Deadline(id)
            | TimerToken::LatencyObjective(id)
            | TimerToken::SilenceCheck(id)
            | TimerToken::GrantReply(id) => self.on_request_timer(id, token, out),
        }
    }

    /// Runs the periodic work: the smoothing of measurements, slow start, polls for tombstones, the feedback
    /// of admission control, the request queue, the log of ejections, and the expiry of quota records.
    ///
    /// The order matters: the feedback reads the measurements with the time constant of this step, and the
    /// request queue is drained under the slow start budgets and the slot limit of this step. The polls and
    /// the request queue draw random numbers and append actions, so any other order would also change the
    /// actions that a seed leads to.
    fn control_step(&mut self, out: &mut Vec<Action>) {
        let now = self.context.now;
        self.last_step_at = now;
        self.admission.adapt_time_constant(now);
        self.endpoints.update_slow_start(&self.context);
        self.poll_peers_for_tombstones(out);
        self.admission.step_feedback(now, self.endpoints.len(), self.context.settings.limiters);
        self.drain_queue(out);
        out.extend(self.endpoints.take_ejections().map(Action::LogEjection));
        self.member_quotas.expire(&self.context);
        self.owned_quotas.expire(&self.context);
    }
}
