//! CASA's cost classes: ranges of costs that are separated at the quartiles of recent costs.

use std::collections::VecDeque;

/// Number of recent requests whose costs determine the bounds of the classes.
const COST_SAMPLES: usize = 256;
/// Number of classes.
const CLASSES: usize = 4;
/// Smallest value of [`CostClasses::highest_bound`], which is a divisor: no class has a bound above 0 before
/// the first cost is known.
const MIN_HIGHEST_BOUND: f64 = 1e-9;

/// Classes of requests by their cost in quota units.
#[derive(Debug, Default)]
pub(super) struct CostClasses {
    /// Costs of the most recent requests, the oldest first.
    recent_costs: VecDeque<f64>,
    /// Lower bounds of the classes in units, in ascending order.
    lower_bounds: [f64; CLASSES],
}

impl CostClasses {
    /// Records the cost of an arriving request and drops the oldest costs beyond [`COST_SAMPLES`].
    pub fn record(&mut self, cost_units: f64) {
        self.recent_costs.push_back(cost_units);
        let excess = self.recent_costs.len().saturating_sub(COST_SAMPLES);
        self.recent_costs.drain(..excess);
    }

    /// Sets the bounds to the quartiles of the recent costs. Keeps the bounds if no cost is known.
    pub fn update(&mut self) {
        let mut sorted: Vec<f64> = self.recent_costs.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        if let Some(last) = sorted.len().checked_sub(1) {
            self.lower_bounds = [0.0, sorted[last / 4], sorted[last / 2], sorted[last * 3 / 4]];
        }
    }

    /// Returns the lower bound of the class to which a cost belongs.
    pub fn lower_bound(&self, cost_units: f64) -> f64 {
        let highest_reached = self.lower_bounds.iter().rev().find(|bound| cost_units >= **bound);
        highest_reached.copied().unwrap_or(0.0)
    }

    /// Returns the lower bound of the highest class, for use as a divisor: never 0.
    pub fn highest_bound(&self) -> f64 {
        self.lower_bounds[CLASSES - 1].max(MIN_HIGHEST_BOUND)
    }
}
