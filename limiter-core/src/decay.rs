//! Sums and means of samples whose weight decays exponentially with their age.
//!
//! A sample of age `t` has the weight `exp(-t / time_constant)`. The decay of a sum is computed when the sum
//! is read or changed, so that no timer is needed and an idle sum costs nothing.

use crate::event::Millis;

/// A sum of amounts that decays exponentially.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingSum {
    /// The sum at the time `updated_at`.
    sum: f64,
    /// Time of the last change.
    updated_at: Millis,
    /// Time in milliseconds in which an amount decays to 1/e of its value.
    time_constant_ms: Millis,
}

impl DecayingSum {
    /// Returns an empty sum with a time constant in milliseconds.
    pub fn new(now: Millis, time_constant_ms: Millis) -> Self {
        DecayingSum { sum: 0.0, updated_at: now, time_constant_ms }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.value(now) + amount;
        self.updated_at = now;
    }

    /// Returns the sum of all amounts, each decayed by its age.
    pub fn value(&self, now: Millis) -> f64 {
        self.sum * (-(now - self.updated_at) / self.time_constant_ms).exp()
    }

    /// Returns the estimated amount per second. If amounts are added at a constant rate, the sum approaches
    /// the rate times the time constant.
    pub fn rate(&self, now: Millis) -> f64 {
        self.value(now) * 1000.0 / self.time_constant_ms
    }

    /// Changes the time constant and scales the sum so that the rate stays the same.
    pub fn set_time_constant(&mut self, now: Millis, time_constant_ms: Millis) {
        let sum = self.value(now) * time_constant_ms / self.time_constant_ms;
        *self = DecayingSum { sum, updated_at: now, time_constant_ms };
    }
}

/// Total weight that the samples of a [`DecayingMean`] must exceed for the mean to have a value: half the
/// weight of a new sample. The mean of a single sample therefore has a value until 0.69 time constants after
/// the sample was added.
const MIN_SAMPLE_WEIGHT: f64 = 0.5;

/// The mean of samples whose weight decays exponentially.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingMean {
    /// Sum of the samples.
    sum: DecayingSum,
    /// Sum of the weights of the samples: 1 for a new one.
    weight: DecayingSum,
}

impl DecayingMean {
    /// Returns a mean without samples, with a time constant in milliseconds.
    pub fn new(now: Millis, time_constant_ms: Millis) -> Self {
        let empty = DecayingSum::new(now, time_constant_ms);
        DecayingMean { sum: empty, weight: empty }
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Millis, sample: f64) {
        self.sum.add(now, sample);
        self.weight.add(now, 1.0);
    }

    /// Returns the mean, or `None` if the samples have decayed to [`MIN_SAMPLE_WEIGHT`] or less.
    pub fn value(&self, now: Millis) -> Option<f64> {
        let weight = self.weight.value(now);
        if weight > MIN_SAMPLE_WEIGHT {
            Some(self.sum.value(now) / weight)
        } else {
            None
        }
    }

    /// Changes the time constant. The mean stays the same, and the weight of the samples is scaled by the
    /// same factor as the time constant.
    pub fn set_time_constant(&mut self, now: Millis, time_constant_ms: Millis) {
        self.sum.set_time_constant(now, time_constant_ms);
        self.weight.set_time_constant(now, time_constant_ms);
    }
}
