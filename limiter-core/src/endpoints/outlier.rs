//! Outlier detection: what is seen of a server's health, and when it is ejected.

use super::table::{Endpoints, Health};
use crate::event::{EjectionReason, Millis, Outcome, ServerId};

/// Weight of the newest latency or error in a server's smoothed figures.
pub(super) const NEWEST_WEIGHT: f64 = 0.2;
/// Smoothed fraction of errors at which a server is ejected.
const MAX_ERROR_RATE: f64 = 0.4;
/// Attempts in a row without a response at which a server is ejected.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;
/// First ejection in milliseconds; each further one is twice as long.
const MIN_EJECTION_MS: Millis = 1000.0;
/// Longest ejection in milliseconds.
const MAX_EJECTION_MS: Millis = 8000.0;
/// Milliseconds that a full server is passed over.
const FULL_MS: Millis = 100.0;
/// Responses of a server within the last seconds at which its own latency weighs as much as the baseline.
const BASELINE_RESPONSES: f64 = 3.0;

impl Endpoints {
    /// Usual latency of a server that has not responded in any way `since` then.
    pub(crate) fn latency_if_silent(&self, now: Millis, server: &ServerId, since: Millis) -> Option<Millis> {
        let health = &self.by_id.get(server)?.health;
        (health.last_response_at < since).then(|| health.usual_latency_ms(now, self.baseline_latency_ms))
    }
}

impl Health {
    /// Its own latency as far as its responses are enough to trust, else the baseline of all servers.
    pub(super) fn usual_latency_ms(&self, now: Millis, baseline_ms: Millis) -> Millis {
        let responses = if self.latency_ms > 0.0 { self.responses.value(now) } else { 0.0 };
        (self.latency_ms * responses + baseline_ms * BASELINE_RESPONSES) / (responses + BASELINE_RESPONSES)
    }

    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Whether it is full, or hangs with attempts in flight.
    pub(super) fn is_unavailable(&self, now: Millis, in_flight: u32) -> bool {
        let hangs = self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS && in_flight > 0;
        now < self.full_until || hangs
    }

    /// Records how an attempt ended; `timed_out` if it was cancelled for want of a response.
    pub(super) fn record(&mut self, now: Millis, outcome: Outcome, elapsed_ms: Millis, timed_out: bool) {
        match outcome {
            Outcome::Ok => {
                self.record_success(now, elapsed_ms);
                // The next ejection is a short one again.
                self.ejection_ms = if self.is_ejected(now) { self.ejection_ms } else { 0.0 };
            }
            Outcome::Error => self.record_error(now),
            Outcome::Rejected => {
                self.record_response(now);
                self.full_until = now + FULL_MS;
            }
            Outcome::Cancelled if !timed_out => {}
            Outcome::Cancelled | Outcome::TimedOut | Outcome::ConnectionLost | Outcome::ConnectFailed => {
                self.record_timeout(now);
            }
            Outcome::NotSent => {}
        }
    }

    fn record_error(&mut self, now: Millis) {
        self.record_response(now);
        self.error_rate += NEWEST_WEIGHT * (1.0 - self.error_rate);
        if self.error_rate >= MAX_ERROR_RATE {
            self.error_rate = MAX_ERROR_RATE / 2.0;
            self.eject(now, EjectionReason::Errors);
        }
    }

    pub(super) fn record_timeout(&mut self, now: Millis) {
        self.consecutive_timeouts += 1;
        if self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
            self.eject(now, EjectionReason::NoResponse);
        }
    }

    fn eject(&mut self, now: Millis, reason: EjectionReason) {
        if !self.is_ejected(now) {
            self.ejection_ms = (self.ejection_ms * 2.0).clamp(MIN_EJECTION_MS, MAX_EJECTION_MS);
            self.ejected_until = now + self.ejection_ms;
            self.unlogged_ejection = Some(reason);
        }
    }
}
