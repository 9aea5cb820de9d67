//! Plans: the quotas of customers.

use crate::event::Millis;

/// A plan: the quotas that each of its customers has, over all limiters together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Rate quota in units per second; 0 for no rate quota.
    pub rate: f64,
    /// Capacity of the token bucket of the rate quota, in units.
    pub burst: f64,
    /// Quota of attempts in flight; 0 for no such quota.
    pub max_in_flight: u32,
    /// Rate of the hard ceiling in units per second; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the token bucket of the ceiling, in units.
    pub ceiling_burst: f64,
    /// Units by which the token bucket of the ceiling may be overdrawn.
    pub ceiling_slack: f64,
}

impl Plan {
    /// Returns whether any quota or ceiling applies.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0 || self.max_in_flight > 0 || self.has_ceiling()
    }

    /// Returns whether a hard ceiling applies.
    #[must_use]
    pub fn has_ceiling(&self) -> bool {
        self.ceiling_rate > 0.0
    }

    /// Returns the time in milliseconds in which the slower token bucket of the plan fills from empty.
    #[must_use]
    pub fn refill_ms(&self) -> Millis {
        fill_ms(self.burst, self.rate).max(fill_ms(self.ceiling_burst, self.ceiling_rate))
    }
}

/// Returns the time in milliseconds in which an empty token bucket fills at a rate in units per second; 0 if
/// the rate is 0.
fn fill_ms(capacity: f64, rate: f64) -> Millis {
    if rate > 0.0 {
        1000.0 * capacity / rate
    } else {
        0.0
    }
}
