//! The feedback of CASA: adjusts the slot limit and numBigQueries by the error of the measured latency.

use super::signals::Signals;
use super::slot_limit::{min_slots, sustainable_slots, INITIAL_SLOT_LIMIT, TARGET_LATENCY_FRACTION};
use super::Admission;
use crate::event::Millis;

/// Interval in milliseconds between two control steps, and so between two steps of the feedback.
pub(crate) const CONTROL_STEP_MS: Millis = 100.0;
/// Time in milliseconds in which numBigQueries changes by the error times the damping, while both stay
/// constant.
const FULL_CORRECTION_MS: Millis = 1000.0;
/// Upper bound of alpha. With a larger alpha, one costly request would occupy the whole slot limit while
/// servers are idle.
const MAX_ALPHA: f64 = 2.0;
/// Lower bound of numBigQueries: the slot limit admits at least one costly request.
const MIN_NUM_BIG_QUERIES: f64 = 1.0;
/// Error while no latency is known. The servers are then assumed to be idle.
const ERROR_WITHOUT_LATENCY: f64 = -1.0;

/// CASA's numBigQueries: how many of the costliest requests the slot limit admits at once.
#[derive(Debug)]
pub(super) struct NumBigQueries {
    value: f64,
}

impl NumBigQueries {
    /// Creates the value at the start, which is the initial slot limit: alpha is 0, and every request takes
    /// one slot.
    pub fn new() -> Self {
        NumBigQueries { value: INITIAL_SLOT_LIMIT }
    }

    /// Returns the current value, between 1 and the slot limit.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Scales the value with the slot limit, which has changed from `previous_limit` to `slot_limit`, and
    /// subtracts the correction. Without a correction, alpha stays the same. The result is at most the slot
    /// limit, at least [`MIN_NUM_BIG_QUERIES`], and high enough for alpha not to exceed [`MAX_ALPHA`].
    fn adjust(&mut self, previous_limit: f64, slot_limit: f64, correction: f64) {
        let min = (slot_limit / (MAX_ALPHA + 1.0)).max(MIN_NUM_BIG_QUERIES);
        let scaled = self.value * slot_limit / previous_limit;
        self.value = (scaled - correction).clamp(min, slot_limit);
    }
}

impl Admission {
    /// Runs one step of the feedback, for one of `limiters` limiters that share `servers` servers. The slot
    /// limit is adjusted first and numBigQueries is scaled in proportion, so that only the damped correction
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
/// attempts that servers at capacity rejected.
fn error(signals: &Signals, now: Millis) -> f64 {
    let rejected_fraction = signals.rejected_fraction(now).unwrap_or(0.0);
    let latency_error = match signals.latency(now) {
        Some(latency) => latency / TARGET_LATENCY_FRACTION - 1.0,
        None => ERROR_WITHOUT_LATENCY,
    };
    latency_error + rejected_fraction
}

/// Returns the damping factor between 0 and 1: the fraction of queued requests for a positive error, and the
/// fraction of admitted requests otherwise. The 1 in the denominator keeps the factor small while there are
/// few requests.
fn damping(signals: &Signals, now: Millis, error: f64) -> f64 {
    let queued_per_s = signals.queued_per_s(now);
    let admitted_per_s = signals.admitted_per_s(now);
    let damped_per_s = if error > 0.0 { queued_per_s } else { admitted_per_s };
    damped_per_s / (queued_per_s + admitted_per_s + 1.0)
}
