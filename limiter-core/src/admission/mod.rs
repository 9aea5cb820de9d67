//! Admission control by slots, after CASA: "Classification-based Adjusted Slot Admission Control for Query
//! Processing Engines" (Zeyl, Venugopal, Sun and Larson).
//!
//! Each request takes a number of *slots* that grows with its expected cost. A request is forwarded if its
//! slots and those of the attempts in flight do not exceed the *slot limit* together, and is queued
//! otherwise. A feedback loop on latency determines how many slots costly requests take, so that an overload
//! throttles costly requests first.
//!
//! # Terms
//!
//! - **Cost class** (`cost_classes.rs`): one of four ranges of costs, separated at the quartiles of recent
//!   costs. The lower bound of a request's class is `l`, that of the highest class is `lmax`.
//! - **Slots of a request** (`slots.rs`): `alpha * l / lmax + 1`. That is 1 in the lowest class and
//!   `alpha + 1` in the highest class.
//! - **Slot limit** (`slot_limit.rs`): the slots that the attempts in flight may occupy together.
//! - **numBigQueries** (`feedback.rs`): the number of requests of the highest class that the slot limit
//!   admits at once.
//! - **alpha**: `slot limit / numBigQueries - 1`. Alpha is 0 at the start, when every request takes one slot.
//! - **Error** (`feedback.rs`): smoothed latency relative to its target, minus one, plus the fraction of
//!   attempts that servers at capacity rejected. A positive error means that the servers are overloaded.
//! - **Re and Ra** (`signals.rs`): the smoothed rates, per second, of requests that were queued (enqueued)
//!   and of requests that were admitted.
//! - **Damping** (`feedback.rs`): the factor by which a correction is reduced, to avoid oscillations. For a
//!   positive error the factor is `Re / (Re + Ra + 1)`, which the paper calls Fa. For a negative error it is
//!   `Ra / (Re + Ra + 1)`; the paper mentions such a complementary adjustment without a formula.
//!
//! # Changes of the slot limit and numBigQueries
//!
//! Only [`Admission::step_feedback`] changes them. In each control step, this method first adjusts the slot
//! limit with `SlotLimit::adjust` and then numBigQueries with `NumBigQueries::adjust`. All other methods
//! record measurements (`signals.rs`) or occupy and release slots (`slots.rs`).
//!
//! # Differences from the paper
//!
//! CASA assumes one coordinator with a fixed limit. Here, each limiter has its own slot limit, which adapts
//! to what the servers complete in time, and limiters report their latency to each other by gossip. The cost
//! of a request in quota units, declared or estimated, replaces the predicted CPU and memory class.

mod cost_classes;
mod feedback;
mod signals;
mod slot_limit;
mod slots;

use crate::event::{Millis, Outcome};
use cost_classes::CostClasses;
use feedback::NumBigQueries;
pub(crate) use feedback::CONTROL_STEP_MS;
use signals::Signals;
use slot_limit::SlotLimit;
use slots::SlotUsage;

/// Admission control of one limiter.
#[derive(Debug)]
pub(crate) struct Admission {
    cost_classes: CostClasses,
    slot_usage: SlotUsage,
    slot_limit: SlotLimit,
    num_big_queries: NumBigQueries,
    signals: Signals,
}

/// The properties of an ended attempt that admission control uses.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptSummary {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Slots that the attempt occupied until now.
    pub slots: f64,
    /// Latency objective of the request in milliseconds.
    pub objective_ms: Millis,
    /// Duration of the attempt in milliseconds.
    pub elapsed_ms: Millis,
}

impl Admission {
    /// Creates admission control without any measurements.
    pub fn new(now: Millis) -> Self {
        Admission {
            cost_classes: CostClasses::default(),
            slot_usage: SlotUsage::new(now),
            slot_limit: SlotLimit::new(),
            num_big_queries: NumBigQueries::new(),
            signals: Signals::new(now),
        }
    }

    /// Records the cost of an arriving request.
    pub fn record_cost(&mut self, cost_units: f64) {
        self.cost_classes.record(cost_units);
    }

    /// Records that a request is forwarded for the first time.
    pub fn record_admitted(&mut self, now: Millis) {
        self.signals.record_admitted(now);
    }

    /// Records that a request is queued because its slots are not free or no server is available.
    pub fn record_queued(&mut self, now: Millis) {
        self.signals.record_queued(now);
    }

    /// Returns the latency that this limiter has measured and reports to its peers, as a fraction of the
    /// latency objective.
    pub fn local_latency(&self, now: Millis) -> Option<f64> {
        self.signals.local_latency(now)
    }

    /// Records the latency that a peer has measured, as a fraction of the latency objective.
    pub fn record_peer_latency(&mut self, now: Millis, latency: f64) {
        self.signals.record_peer_latency(now, latency);
    }

    /// Adapts the time constant of the measurements to the rate of requests. Called in each control step.
    pub fn adapt_time_constant(&mut self, now: Millis) {
        self.signals.adapt_time_constant(now);
    }

    /// Releases the slots of an attempt that has ended, and records its measurements.
    pub fn record_attempt_end(&mut self, now: Millis, attempt: &AttemptSummary) {
        self.slot_usage.release(attempt.slots);
        if attempt.outcome == Outcome::Cancelled {
            self.slot_usage.record_cancelled(now, attempt.slots);
        }
        self.signals.record_attempt(now, attempt);
    }
}
