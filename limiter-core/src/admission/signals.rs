//! The smoothed measurements on which the feedback is based.

use super::AttemptSummary;
use crate::decay::{DecayingMean, DecayingSum};
use crate::event::{Millis, Outcome};

/// Number of admitted requests over which measurements are smoothed. Older samples decay, also during a stall
/// of the process.
const SMOOTHING_SAMPLES: f64 = 20.0;
/// Shortest time constant of the smoothing in milliseconds.
const MIN_SMOOTHING_MS: Millis = 1000.0;
/// Longest time constant of the smoothing in milliseconds.
const MAX_SMOOTHING_MS: Millis = 10_000.0;
/// Lower bound of the rate of admitted requests, in requests per millisecond, where the rate is a divisor.
const MIN_ADMITTED_PER_MS: f64 = 1e-9;

/// Smoothed measurements of one limiter, all with the same time constant.
#[derive(Debug)]
pub(super) struct Signals {
    /// Latency of the attempts of this limiter, as a fraction of the latency objective.
    local_latency: DecayingMean,
    /// Latency of the attempts of this limiter together with the latencies that peers report, as a fraction
    /// of the latency objective. Each gossip message with a latency is one sample.
    latency: DecayingMean,
    /// Fraction of the attempts that servers at capacity rejected.
    rejected: DecayingMean,
    /// Number of successful responses.
    completed: DecayingSum,
    /// Sum of the latency objectives of the successful responses, in milliseconds.
    objectives_ms: DecayingSum,
    /// Requests that were queued for slots or a server. Their rate is CASA's Re.
    queued: DecayingSum,
    /// Requests that were forwarded for the first time. Their rate is CASA's Ra.
    admitted: DecayingSum,
}

impl Signals {
    /// Creates signals without any measurements.
    pub fn new(now: Millis) -> Self {
        let no_samples = DecayingMean::new(now, MIN_SMOOTHING_MS);
        let zero = DecayingSum::new(now, MIN_SMOOTHING_MS);
        Signals {
            local_latency: no_samples,
            latency: no_samples,
            rejected: no_samples,
            completed: zero,
            objectives_ms: zero,
            queued: zero,
            admitted: zero,
        }
    }

    /// Adapts the time constant to the rate of admitted requests, so that measurements are smoothed over
    /// enough samples: a limiter of a large deployment receives only a few requests per second.
    pub fn adapt_time_constant(&mut self, now: Millis) {
        let admitted_per_ms = self.admitted_per_s(now) / 1000.0;
        let time_constant_ms = SMOOTHING_SAMPLES / admitted_per_ms.max(MIN_ADMITTED_PER_MS);
        self.set_time_constant(now, time_constant_ms.clamp(MIN_SMOOTHING_MS, MAX_SMOOTHING_MS));
    }

    /// Changes the time constant of all measurements.
    fn set_time_constant(&mut self, now: Millis, time_constant_ms: Millis) {
        for mean in [&mut self.local_latency, &mut self.latency, &mut self.rejected] {
            mean.set_time_constant(now, time_constant_ms);
        }
        for sum in [&mut self.completed, &mut self.objectives_ms, &mut self.queued, &mut self.admitted] {
            sum.set_time_constant(now, time_constant_ms);
        }
    }

    /// Records that a request was forwarded for the first time.
    pub fn record_admitted(&mut self, now: Millis) {
        self.admitted.add(now, 1.0);
    }

    /// Records that a request was queued.
    pub fn record_queued(&mut self, now: Millis) {
        self.queued.add(now, 1.0);
    }

    /// Records a latency reported by a peer, as a fraction of the latency objective.
    pub fn record_peer_latency(&mut self, now: Millis, latency: f64) {
        self.latency.add(now, latency);
    }

    /// Records the end of an attempt. An attempt that was never executed says nothing about latency.
    pub fn record_attempt(&mut self, now: Millis, attempt: &AttemptSummary) {
        if !attempt.outcome.never_executed() {
            // Capped at 1: a costly request or a hung server is recorded only as a missed objective, so that
            // a few of them cannot throttle all traffic.
            let latency = (attempt.elapsed_ms / attempt.objective_ms).min(1.0);
            self.local_latency.add(now, latency);
            self.latency.add(now, latency);
        }
        if attempt.outcome == Outcome::Ok {
            self.completed.add(now, 1.0);
            self.objectives_ms.add(now, attempt.objective_ms);
        }
        let is_rejected = attempt.outcome == Outcome::Rejected;
        self.rejected.add(now, if is_rejected { 1.0 } else { 0.0 });
    }

    /// Returns the mean latency of this limiter's attempts as a fraction of the latency objective, or `None`
    /// without recent samples.
    pub fn local_latency(&self, now: Millis) -> Option<f64> {
        self.local_latency.value(now)
    }

    /// Returns the mean latency at this limiter and its peers as a fraction of the latency objective, or
    /// `None` without recent samples.
    pub fn latency(&self, now: Millis) -> Option<f64> {
        self.latency.value(now)
    }

    /// Returns the fraction of attempts that servers at capacity rejected, or `None` without recent samples.
    pub fn rejected_fraction(&self, now: Millis) -> Option<f64> {
        self.rejected.value(now)
    }

    /// Returns the rate of successful responses per second.
    pub fn completed_per_s(&self, now: Millis) -> f64 {
        self.completed.rate(now)
    }

    /// Returns the mean latency objective of the successful responses. Once their number has decayed to less
    /// than one, the result is less than the mean.
    pub fn mean_objective_ms(&self, now: Millis) -> Millis {
        self.objectives_ms.value(now) / self.completed.value(now).max(1.0)
    }

    /// Returns the rate of queued requests per second: CASA's Re.
    pub fn queued_per_s(&self, now: Millis) -> f64 {
        self.queued.rate(now)
    }

    /// Returns the rate of admitted requests per second: CASA's Ra.
    pub fn admitted_per_s(&self, now: Millis) -> f64 {
        self.admitted.rate(now)
    }
}
