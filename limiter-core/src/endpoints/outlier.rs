//! Outlier detection: the health of a server as observed by this limiter, and when the server is ejected.
//!
//! A server is ejected when its error rate is too high or when several consecutive attempts receive no
//! response. While a server is ejected, routing uses the server only as a last resort. The duration doubles
//! with each ejection, up to a bound, and is reset by a good response that arrives after an ejection has
//! ended. A server that rejects a request because it is at capacity is skipped for a short time, without an
//! ejection.

use super::latency::SmoothedLatency;
use crate::decay::DecayingSum;
use crate::event::{EjectionReason, Millis, Outcome};

/// Time constant, in milliseconds, of the counts of recent responses. Also applies to the throughput of warm
/// servers, which is measured by these counts.
pub(super) const RESPONSE_TIME_CONSTANT_MS: Millis = 5000.0;
/// Weight of the newest response in the smoothed latency and the smoothed error rate of a server.
const NEWEST_WEIGHT: f64 = 0.2;
/// Smoothed fraction of errors at which a server is ejected.
const MAX_ERROR_RATE: f64 = 0.4;
/// Number of consecutive attempts without a response at which a server is ejected.
const MAX_ATTEMPTS_WITHOUT_RESPONSE: u32 = 3;
/// Duration of the first ejection in milliseconds. Each further ejection is twice as long as the one before,
/// until a good response resets the duration.
const MIN_EJECTION_MS: Millis = 1000.0;
/// Longest duration of an ejection in milliseconds.
const MAX_EJECTION_MS: Millis = 8000.0;
/// Time in milliseconds for which a server is skipped after it rejected a request because it was at capacity.
const AT_CAPACITY_MS: Millis = 100.0;
/// Number of recent responses of a server at which its own latency has the same weight as the baseline
/// latency.
const BASELINE_RESPONSES: f64 = 3.0;

/// The health of a server as observed by this limiter.
#[derive(Debug)]
pub(super) struct Health {
    /// Latency of the server's good responses.
    latency: SmoothedLatency,
    /// Smoothed fraction of errors among good responses and errors.
    pub(super) error_rate: f64,
    /// Number of attempts without a response since the last response: attempts that timed out, and attempts
    /// whose connection failed or was lost.
    attempts_without_response: u32,
    /// End of the latest ejection.
    ejected_until: Millis,
    /// Duration of the latest ejection in milliseconds; reset to 0 by a good response after the ejection has
    /// ended.
    pub(super) ejection_ms: Millis,
    /// End of the time for which the server is skipped because it rejected a request while at capacity.
    at_capacity_until: Millis,
    /// Time of the last response, good or not.
    pub(super) last_response_at: Millis,
    /// Number of recent responses: the weight of this server's own latency against the baseline latency.
    responses: DecayingSum,
    /// Number of recent good responses.
    pub(super) completions: DecayingSum,
}

impl Health {
    /// Creates the health of a server about which nothing has been observed yet.
    pub(super) fn new(now: Millis) -> Self {
        Health {
            latency: SmoothedLatency::new(NEWEST_WEIGHT),
            error_rate: 0.0,
            attempts_without_response: 0,
            ejected_until: f64::NEG_INFINITY,
            ejection_ms: 0.0,
            at_capacity_until: f64::NEG_INFINITY,
            last_response_at: f64::NEG_INFINITY,
            responses: DecayingSum::new(now, RESPONSE_TIME_CONSTANT_MS),
            completions: DecayingSum::new(now, RESPONSE_TIME_CONSTANT_MS),
        }
    }

    /// Returns the expected latency of the server: the weighted mean of its own latency and the baseline
    /// latency of all servers. The more responses the server has sent recently, the higher is the weight of
    /// its own latency.
    pub(super) fn usual_latency_ms(&self, now: Millis, baseline_ms: Millis) -> Millis {
        let responses = if self.latency.is_measured() { self.responses.value(now) } else { 0.0 };
        (self.latency.value_ms() * responses + baseline_ms * BASELINE_RESPONSES)
            / (responses + BASELINE_RESPONSES)
    }

    /// Returns whether the server is ejected now.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the server must not receive a new attempt: it is at capacity, or it is unresponsive
    /// and attempts at it are in flight. When no attempt is in flight, a new attempt tests whether the server
    /// responds again.
    pub(super) fn is_unavailable(&self, now: Millis, in_flight: u32) -> bool {
        let is_at_capacity = now < self.at_capacity_until;
        let is_unresponsive = self.attempts_without_response >= MAX_ATTEMPTS_WITHOUT_RESPONSE;
        is_at_capacity || (is_unresponsive && in_flight > 0)
    }

    /// Records the end of an attempt. `timed_out` is true if this limiter cancelled the attempt because no
    /// response arrived in time; an attempt that is cancelled for another reason shows nothing about the
    /// server. Returns the reason if the server is ejected for this end.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Millis,
        outcome: Outcome,
        elapsed_ms: Millis,
        timed_out: bool,
    ) -> Option<EjectionReason> {
        match outcome {
            Outcome::Ok => {
                self.record_success(now, elapsed_ms);
                None
            }
            Outcome::Error => self.record_error(now),
            Outcome::Rejected => {
                self.record_response(now);
                self.at_capacity_until = now + AT_CAPACITY_MS;
                None
            }
            Outcome::Cancelled if !timed_out => None,
            Outcome::Cancelled | Outcome::TimedOut | Outcome::ConnectionLost | Outcome::ConnectFailed => {
                self.record_no_response(now)
            }
            Outcome::NotSent => None,
        }
    }

    /// Records a good response. Resets the duration of ejections unless the server is ejected now.
    fn record_success(&mut self, now: Millis, elapsed_ms: Millis) {
        self.record_response(now);
        self.completions.add(now, 1.0);
        self.error_rate *= 1.0 - NEWEST_WEIGHT;
        self.latency.record(elapsed_ms);
        if !self.is_ejected(now) {
            self.ejection_ms = 0.0;
        }
    }

    /// Records an error. Returns the reason if the server is ejected for it.
    fn record_error(&mut self, now: Millis) -> Option<EjectionReason> {
        self.record_response(now);
        self.error_rate += NEWEST_WEIGHT * (1.0 - self.error_rate);
        if self.error_rate < MAX_ERROR_RATE {
            return None;
        }
        // After the ejection, the server may respond with some errors before it is ejected again.
        self.error_rate = MAX_ERROR_RATE / 2.0;
        self.eject(now, EjectionReason::Errors)
    }

    /// Records a response of any kind.
    fn record_response(&mut self, now: Millis) {
        self.attempts_without_response = 0;
        self.last_response_at = now;
        self.responses.add(now, 1.0);
    }

    /// Records that an attempt received no response. Returns the reason if the server is ejected for it.
    pub(super) fn record_no_response(&mut self, now: Millis) -> Option<EjectionReason> {
        self.attempts_without_response += 1;
        if self.attempts_without_response < MAX_ATTEMPTS_WITHOUT_RESPONSE {
            return None;
        }
        self.eject(now, EjectionReason::NoResponse)
    }

    /// Ejects the server and returns the reason, unless the server is ejected already.
    fn eject(&mut self, now: Millis, reason: EjectionReason) -> Option<EjectionReason> {
        if self.is_ejected(now) {
            return None;
        }
        self.ejection_ms = (self.ejection_ms * 2.0).clamp(MIN_EJECTION_MS, MAX_EJECTION_MS);
        self.ejected_until = now + self.ejection_ms;
        Some(reason)
    }
}
