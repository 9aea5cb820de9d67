//! The feedback of CASA: moves the slot limit and numBigQueries by the error of the measured latency.

use super::signals::Signals;
use super::slot_limit::{min_slots, sustainable_slots, INITIAL_SLOT_LIMIT, TARGET_LATENCY_FRACTION};
use super::Admission;
use crate::event::Millis;

/// Interval in milliseconds of the control step, and so of the feedback.
pub(crate) const CONTROL_STEP_MS: Millis = 100.0;
/// Milliseconds within which numBigQueries moves by error times damping, at a constant error.
const FULL_CORRECTION_MS: Millis = 1000.0;
/// Upper bound of alpha. With a larger alpha one costly request takes the whole slot limit while servers are
/// idle.
const MAX_ALPHA: f64 = 2.0;
/// Lower bound of numBigQueries: the slot limit admits at least one costly request.
const MIN_NUM_BIG_QUERIES: f64 = 1.0;
/// Error while no latency is known: the servers count as idle.
const ERROR_WITHOUT_LATENCY: f64 = -1.0;

/// CASA's numBigQueries: how many of the costliest requests the slot limit admits at once.
#[derive(Debug)]
pub(super) struct NumBigQueries {
    value: f64,
}

impl NumBigQueries {
    /// Starts at the slot limit, so that alpha is 0 and every request takes one slot.
    pub fn new() -> Self {
        NumBigQueries { value: INITIAL_SLOT_LIMIT }
    }

    /// Returns the present value, between 1 and the slot limit.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Scales the value with the slot limit, which has moved from `previous_limit` to `slot_limit`, and
    /// subtracts the correction. Without a correction alpha stays as it was. The result is high enough for
    /// alpha not to exceed [`MAX_ALPHA`], and at most the slot limit.
    fn adjust(&mut self, previous_limit: f64, slot_limit: f64, correction: f64) {
        let min = (slot_limit / (MAX_ALPHA + 1.0)).max(MIN_NUM_BIG_QUERIES);
        let scaled = self.value * slot_limit / previous_limit;
        self.value = (scaled - correction).clamp(min, slot_limit);
    }
}

impl Admission {
    /// Makes one step of the feedback, for a limiter that shares `servers` servers with the other `limiters`.
    /// The slot limit moves first and numBigQueries moves in proportion, so that only the damped correction
    /// changes alpha.
    pub fn step_feedback(&mut self, now: Millis, servers: usize, limiters: u32) {
        self.cost_classes.update();
        let error = error(&self.signals, now);
        let previous_limit = self.slot_limit.slots();
        let sustainable_slots = sustainable_slots(&self.signals, now, min_slots(servers, limiters));
        self.slot_limit.adjust(error, sustainable_slots, self.slot_usage.in_use(now));
        let damped_error = error * damping(&self.signals, now, error);
        let correction = damped_error * CONTROL_STEP_MS / FULL_CORRECTION_MS;
        self.num_big_queries.adjust(previous_limit, self.slot_limit.slots(), correction);
    }
}

/// Returns the error: smoothed latency relative to the target latency, minus one, plus the fraction of
/// attempts that full servers rejected.
fn error(signals: &Signals, now: Millis) -> f64 {
    let rejected_fraction = signals.rejected_fraction(now).unwrap_or(0.0);
    let latency_error = match signals.latency(now) {
        Some(latency) => latency / TARGET_LATENCY_FRACTION - 1.0,
        None => ERROR_WITHOUT_LATENCY,
    };
    latency_error + rejected_fraction
}

/// Returns the damping factor between 0 and 1: the fraction of queued requests for a positive error, and of
/// admitted requests for a negative one. The 1 in the denominator keeps the factor small while there are few
/// requests.
fn damping(signals: &Signals, now: Millis, error: f64) -> f64 {
    let queued_per_s = signals.queued_per_s(now);
    let admitted_per_s = signals.admitted_per_s(now);
    let damped_per_s = if error > 0.0 { queued_per_s } else { admitted_per_s };
    damped_per_s / (queued_per_s + admitted_per_s + 1.0)
}
