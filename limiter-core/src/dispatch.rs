//! Routes each event to the part that decides, and makes the periodic control step.

use crate::admission::CONTROL_STEP_MS;
use crate::event::{Action, Event, Millis, TimerToken};
use crate::limiter::Limiter;
use crate::quota::GRANT_VALIDITY_MS;
use crate::request::{AttemptEnd, AttemptKey};
use crate::settings::Plan;

/// Longest wait at the start for ceilings to fill.
const MAX_CEILING_FILL_MS: Millis = 5000.0;
/// After a pause of so many milliseconds this limiter counts as having stalled.
const STALL_MS: Millis = 500.0;

impl Limiter {
    /// Whether clients may come: the ceilings owned here, which start as if spent, have filled, or a peer
    /// serves already, and is short of this limiter.
    pub fn is_ready(&self, now: Millis) -> bool {
        let settings = &self.context.settings;
        let fill_ms = |p: &Plan| 1000.0 * (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate;
        let with_ceiling = settings.plans.iter().filter(|plan| plan.has_ceiling());
        let longest_ms = with_ceiling.map(|plan| GRANT_VALIDITY_MS + fill_ms(plan)).fold(0.0, f64::max);
        let age_ms = now - self.context.started_at;
        self.has_serving_peer || !settings.can_gossip || age_ms >= longest_ms.min(MAX_CEILING_FILL_MS)
    }

    /// Takes one event in at the moment `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.advance_clock(now);
        if !std::mem::replace(&mut self.is_started, true) {
            out.push(Action::SetTimer { after_ms: CONTROL_STEP_MS, token: TimerToken::ControlStep });
            out.extend(self.context.settings.must_subscribe.then_some(Action::SubscribeToEndpoints));
        }
        match event {
            Event::EndpointsChanged { complete, endpoints } => {
                self.on_endpoints_changed(complete, &endpoints, out);
            }
            Event::EndpointsConfigured { endpoints } => self.on_endpoints_configured(&endpoints, out),
            Event::WatchFailed => self.on_watch_failed(out),
            Event::RequestArrived(request) => self.on_request(request, out),
            Event::ResponseStarted { id } => self.requests.update(id, |pending| pending.is_streaming = true),
            Event::AttemptEnded { id, attempt, outcome, elapsed_ms, request_finished, actual_units } => {
                let key = AttemptKey { request: id, number: attempt };
                let end = AttemptEnd { key, outcome, elapsed_ms, request_finished, actual_units };
                self.on_attempt_ended(end, out);
            }
            Event::ClientDisconnected { id } => self.on_client_disconnected(id, out),
            Event::ShutdownStarted { deadline } => self.on_shutdown(deadline, out),
            Event::TimerFired { token } => self.on_timer(token, out),
            Event::GossipReceived { from, body } => self.on_gossip(from, &body, out),
        }
    }

    fn advance_clock(&mut self, now: Millis) {
        self.context.now = self.context.now.max(now);
        if self.context.now - self.last_step_at > STALL_MS {
            self.resumed_at = self.context.now;
        }
    }

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

    /// The periodic work: measurements, slow start, feedback and the expiry of what is remembered.
    fn control_step(&mut self, out: &mut Vec<Action>) {
        self.last_step_at = self.context.now;
        self.admission.adapt_smoothing(self.context.now);
        self.endpoints.update_slow_start(&self.context);
        self.poll_peers_for_tombstones(out);
        let (now, limiters) = (self.context.now, self.context.settings.limiters);
        self.admission.step_feedback(now, self.endpoints.len(), limiters);
        self.drain_queue(out);
        out.extend(self.endpoints.take_ejections().map(Action::LogEjection));
        self.member_quotas.expire(&self.context);
        self.owned_quotas.expire(&self.context);
    }
}
