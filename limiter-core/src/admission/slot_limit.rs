//! The slot limit: how many slots the attempts in flight may occupy together.

use super::signals::Signals;
use crate::event::Millis;

/// Slot limit at the start, and its upper bound. The value is so high that the limit has an effect only after
/// an overload has been measured.
pub(super) const INITIAL_SLOT_LIMIT: f64 = 4096.0;
/// Lower bound of the slots per server that all limiters have together. With a lower limit, too few requests
/// would complete for the limit to grow again.
const MIN_SLOTS_PER_SERVER: f64 = 6.0;
/// Lower bound of the slot limit of one limiter.
const MIN_SLOT_LIMIT: f64 = 2.0;
/// Relative growth of the slot limit in one control step without a positive error. The limit grows by more if
/// the servers already sustain more.
const LIMIT_GROWTH: f64 = 0.03;
/// Fraction of the slot limit that must be exceeded by the slots in use for the limit to grow. If fewer slots
/// are in use, the measurements do not show whether the servers sustain a higher limit.
const MIN_USED_FRACTION: f64 = 0.5;
/// The target latency of the feedback, as a fraction of the latency objective. The target is low because
/// latency shows a queue only after the queued requests are served: with a target of half the objective, a
/// sudden overload fills the servers before the error becomes positive.
pub(super) const TARGET_LATENCY_FRACTION: f64 = 0.25;

/// The slot limit of one limiter.
#[derive(Debug)]
pub(super) struct SlotLimit {
    slots: f64,
}

impl SlotLimit {
    /// Creates a limit of [`INITIAL_SLOT_LIMIT`].
    pub fn new() -> Self {
        SlotLimit { slots: INITIAL_SLOT_LIMIT }
    }

    /// Returns the limit in slots.
    pub fn slots(&self) -> f64 {
        self.slots
    }

    /// Adjusts the limit in one step of the feedback.
    ///
    /// If the error is positive and the limit exceeds the slots that the servers sustain, the limit is
    /// lowered to these slots in one step: more attempts in flight would only wait at the servers. Any other
    /// error raises the limit if more than [`MIN_USED_FRACTION`] of the limit is in use: by [`LIMIT_GROWTH`]
    /// or to the slots that the servers sustain, whichever is higher, but at most to [`INITIAL_SLOT_LIMIT`].
    pub fn adjust(&mut self, error: f64, sustainable_slots: f64, slots_in_use: f64) {
        if error > 0.0 {
            self.slots = self.slots.min(sustainable_slots);
        } else if slots_in_use > self.slots * MIN_USED_FRACTION {
            self.slots = (self.slots * (1.0 + LIMIT_GROWTH)).max(sustainable_slots).min(INITIAL_SLOT_LIMIT);
        }
    }
}

/// Returns the slots that the servers sustain within the target latency. By Little's law, this is the rate of
/// successful responses times the target latency. The result is at least `min_slots`.
pub(super) fn sustainable_slots(signals: &Signals, now: Millis, min_slots: f64) -> f64 {
    let target_latency_s = TARGET_LATENCY_FRACTION * signals.mean_objective_ms(now) / 1000.0;
    let completed_in_target_time = signals.completed_per_s(now) * target_latency_s;
    completed_in_target_time.max(min_slots)
}

/// Returns the lower bound of the slot limit for a limiter that shares its servers with other limiters.
pub(super) fn min_slots(servers: usize, limiters: u32) -> f64 {
    let slots_per_limiter = MIN_SLOTS_PER_SERVER * servers as f64 / f64::from(limiters);
    slots_per_limiter.max(MIN_SLOT_LIMIT)
}
