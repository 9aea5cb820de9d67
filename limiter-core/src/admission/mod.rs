//! CASA: admission by slots with feedback ("Classification-based Adjusted Slot Admission Control").

mod cost_classes;
mod state;

use crate::event::Millis;
pub(crate) use state::Admission;
use state::{INITIAL_SLOT_LIMIT, MIN_SMOOTHING_MS};

/// Least slots a server over all limiters: with a lower limit too little completes for it to grow again.
const MIN_SLOTS_PER_SERVER: f64 = 6.0;
/// Least slot limit of one limiter.
const MIN_SLOT_LIMIT: f64 = 2.0;
/// Fraction of the objective above which smoothed latency makes the error positive. Low, since latency tells
/// of a queue only once it is served: at half the objective a flood had filled the servers by then.
const TARGET_LATENCY_FRACTION: f64 = 0.25;
/// Milliseconds between two control steps, and so between two steps of the feedback.
pub(crate) const CONTROL_STEP_MS: Millis = 100.0;
/// Milliseconds in which numBigQueries moves by error times damping.
const FULL_CORRECTION_MS: Millis = 1000.0;
/// Largest alpha: with more, one costly request takes up the whole slot limit while servers are idle.
const MAX_ALPHA: f64 = 2.0;
/// Measurements are smoothed over so many samples; older ones decay, also after a stall.
const SMOOTHING_SAMPLES: f64 = 20.0;
/// Longest smoothing time in milliseconds.
const MAX_SMOOTHING_MS: Millis = 10_000.0;
/// Growth of the limit in one step with a negative error, while more than half of it is used: an unused limit
/// says nothing of what the back end could take.
const LIMIT_GROWTH: f64 = 0.03;

impl Admission {
    /// Slots that a request occupies: alpha * l / lmax + 1, with l and lmax the lower bounds of its cost
    /// class and of the highest one.
    pub fn slots_for(&self, cost_units: f64) -> f64 {
        let alpha = self.slot_limit / self.num_big_queries - 1.0;
        alpha * self.cost_classes.lower_bound(cost_units) / self.cost_classes.highest_bound() + 1.0
    }

    /// Whether so many slots are free now; the first request always fits.
    pub fn fits(&self, now: Millis, slots: f64) -> bool {
        self.occupied_slots <= 0.0 || self.busy_slots(now) + slots <= self.slot_limit
    }

    /// Smooths over as many requests as needed: a limiter in a large fleet sees only a few a second.
    pub fn adapt_smoothing(&mut self, now: Millis) {
        let admitted_per_ms = self.signals.admitted.rate(now) / 1000.0;
        let span_ms = SMOOTHING_SAMPLES / admitted_per_ms.max(1e-9);
        self.signals.set_span(now, span_ms.clamp(MIN_SMOOTHING_MS, MAX_SMOOTHING_MS));
    }

    /// One step of the feedback before so many servers. The slot limit moves first and numBigQueries in
    /// proportion, so that alpha moves by the damped feedback alone.
    pub fn step_feedback(&mut self, now: Millis, servers: usize, limiters: u32) {
        self.cost_classes.update();
        let error = self.error(now);
        let before = self.slot_limit;
        let min_slots = MIN_SLOTS_PER_SERVER * servers as f64 / f64::from(limiters);
        self.move_slot_limit(now, error, min_slots.max(MIN_SLOT_LIMIT));
        let (queued, admitted) = (self.signals.queued.rate(now), self.signals.admitted.rate(now));
        let damping = if error > 0.0 { queued } else { admitted } / (queued + admitted + 1.0);
        let correction = error * damping * CONTROL_STEP_MS / FULL_CORRECTION_MS;
        let min = (self.slot_limit / (MAX_ALPHA + 1.0)).max(1.0);
        self.num_big_queries =
            (self.num_big_queries * self.slot_limit / before - correction).clamp(min, self.slot_limit);
    }

    /// Smoothed latency over the target, minus one, plus the fraction that full servers rejected.
    fn error(&self, now: Millis) -> f64 {
        let latency = self.signals.latency.value(now);
        let rejected = self.signals.rejected.value(now).unwrap_or(0.0);
        latency.map_or(-1.0, |latency| latency / TARGET_LATENCY_FRACTION - 1.0) + rejected
    }

    /// A positive error lowers the limit to what the back end finishes in the target time, by Little's law;
    /// more than that in flight only waits there. A negative one lets it grow while it is used.
    fn move_slot_limit(&mut self, now: Millis, error: f64, min_slots: f64) {
        let signals = &self.signals;
        let mean_objective_ms = signals.objectives_ms.value(now) / signals.completed.value(now).max(1.0);
        let finished = signals.completed.rate(now) * (TARGET_LATENCY_FRACTION * mean_objective_ms / 1000.0);
        let bound = finished.max(min_slots);
        if error > 0.0 {
            self.slot_limit = self.slot_limit.min(bound);
        } else if self.busy_slots(now) * 2.0 > self.slot_limit {
            self.slot_limit = (self.slot_limit * (1.0 + LIMIT_GROWTH)).max(bound).min(INITIAL_SLOT_LIMIT);
        }
    }
}
