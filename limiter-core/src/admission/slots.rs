//! The slots that requests take, and the slots in use.

use super::Admission;
use crate::decay::DecayingSum;
use crate::event::Millis;

/// Time constant in milliseconds with which the slots of cancelled attempts are released. They are released
/// gradually because the server may continue to work on a cancelled attempt.
const CANCELLED_TIME_CONSTANT_MS: Millis = 1000.0;

/// The slots in use at this limiter.
#[derive(Debug)]
pub(super) struct SlotUsage {
    /// Slots of the attempts in flight.
    occupied: f64,
    /// Slots of recently cancelled attempts, whose work may still be in progress at a server.
    cancelled: DecayingSum,
}

impl SlotUsage {
    /// Creates the state in which no slots are in use.
    pub fn new(now: Millis) -> Self {
        SlotUsage { occupied: 0.0, cancelled: DecayingSum::new(now, CANCELLED_TIME_CONSTANT_MS) }
    }

    /// Releases the slots of an attempt. Rounding errors cannot make the number of occupied slots negative.
    pub fn release(&mut self, slots: f64) {
        self.occupied = (self.occupied - slots).max(0.0);
    }

    /// Records the slots of a cancelled attempt as still in use.
    pub fn record_cancelled(&mut self, now: Millis, slots: f64) {
        self.cancelled.add(now, slots);
    }

    /// Returns the slots of the attempts in flight and of recently cancelled attempts.
    pub fn in_use(&self, now: Millis) -> f64 {
        self.occupied + self.cancelled.value(now)
    }
}

impl Admission {
    /// Returns the slots that a request of this cost takes: `alpha * l / lmax + 1`.
    pub fn slots_for(&self, cost_units: f64) -> f64 {
        let alpha = self.slot_limit.slots() / self.num_big_queries.value() - 1.0;
        alpha * self.cost_classes.lower_bound(cost_units) / self.cost_classes.highest_bound() + 1.0
    }

    /// Returns whether this number of slots is free. While no attempt in flight occupies slots, any number is
    /// free: otherwise, a request that takes more slots than the slot limit would never be forwarded.
    pub fn has_free_slots(&self, now: Millis, slots: f64) -> bool {
        self.slot_usage.occupied <= 0.0 || self.slot_usage.in_use(now) + slots <= self.slot_limit.slots()
    }

    /// Occupies the slots of an attempt that is being forwarded.
    pub fn occupy(&mut self, slots: f64) {
        self.slot_usage.occupied += slots;
    }

    /// Releases the slots of an attempt that is still in flight at a server that does not respond.
    pub fn release(&mut self, slots: f64) {
        self.slot_usage.release(slots);
    }
}
