//! Validation of the settings.
//!
//! Decisions divide by some settings and rely on the range of others. All values are validated once, when a
//! limiter is created, so that no decision has to check them again.

use super::{Plan, RequestClass, Settings};

/// Largest number of limiters of one deployment: a position has to fit into 16 bits of a gossip message.
const MAX_LIMITERS: u32 = 65_535;
/// Largest number of plans: an index has to fit into 8 bits of a gossip message.
const MAX_PLANS: usize = 255;

/// The first invalid value of the settings.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The number of limiters is 0 or too large.
    #[error("the number of limiters must be 1 to {MAX_LIMITERS}, but is {0}")]
    LimiterCount(u32),
    /// The position of the limiter is not less than the number of limiters.
    #[error("position {position} must be less than the number of limiters, which is {limiters}")]
    Position {
        /// The configured position.
        position: u32,
        /// The configured number of limiters.
        limiters: u32,
    },
    /// The largest number of attempts is 0, so that no request could be served.
    #[error("max_attempts must be 1 or more, but is 0")]
    NoAttempts,
    /// The number of plans is too large.
    #[error("the number of plans must be {MAX_PLANS} at most, but is {0}")]
    PlanCount(usize),
    /// A time, a rate or a factor is negative or not finite.
    #[error("{name} {value} is not a {kind} of 0 or more")]
    NotAnAmount {
        /// Name of the setting.
        name: &'static str,
        /// What the setting measures: a time, a rate or a factor.
        kind: &'static str,
        /// The configured value.
        value: f64,
    },
    /// A fraction is not between 0 and 1.
    #[error("{name} {value} is not a fraction between 0 and 1")]
    NotAFraction {
        /// Name of the setting.
        name: &'static str,
        /// The configured value.
        value: f64,
    },
    /// The class at this index has a latency objective of 0, or a value that is negative or not finite.
    #[error("class {0} has an invalid latency objective, deduplication window or late value")]
    Class(usize),
    /// The plan at this index has a rate or an amount that is negative or not finite.
    #[error("plan {0} has a rate or an amount that is negative or not finite")]
    Plan(usize),
}

impl Settings {
    /// Validates every setting that decisions depend on.
    ///
    /// # Errors
    /// Returns the first invalid value.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.plans.len() > MAX_PLANS {
            return Err(SettingsError::PlanCount(self.plans.len()));
        }
        if !(1..=MAX_LIMITERS).contains(&self.limiters) {
            return Err(SettingsError::LimiterCount(self.limiters));
        }
        if self.position >= self.limiters {
            return Err(SettingsError::Position { position: self.position, limiters: self.limiters });
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        self.validate_amounts()?;
        if let Some(index) = self.classes.iter().position(|class| !class.is_valid()) {
            return Err(SettingsError::Class(index));
        }
        match self.plans.iter().position(|plan| !plan.is_valid()) {
            Some(index) => Err(SettingsError::Plan(index)),
            None => Ok(()),
        }
    }

    /// Validates the times, rates, factors and fractions.
    fn validate_amounts(&self) -> Result<(), SettingsError> {
        validate_amount("event_interval_ms", "time", self.event_interval_ms)?;
        validate_amount("slow_start_ms", "time", self.slow_start_ms)?;
        validate_amount("overload_ms", "time", self.overload_ms)?;
        validate_fraction("cold_capacity_fraction", self.cold_capacity_fraction)?;
        validate_amount("overload_factor", "factor", self.overload_factor)?;
        validate_amount("gossip_messages_per_s", "rate", self.gossip_messages_per_s)
    }
}

impl RequestClass {
    /// Returns whether the latency objective is positive and all amounts are valid.
    fn is_valid(&self) -> bool {
        let amounts = [self.latency_objective_ms, self.dedup_window_ms, self.late_value];
        self.latency_objective_ms > 0.0 && amounts.into_iter().all(is_valid_amount)
    }
}

impl Plan {
    /// Returns whether all rates and amounts are valid.
    fn is_valid(&self) -> bool {
        let amounts = [self.rate, self.burst, self.ceiling_rate, self.ceiling_burst, self.ceiling_slack];
        amounts.into_iter().all(is_valid_amount)
    }
}

/// Returns whether a value is valid as an amount: finite and not negative.
fn is_valid_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Checks that a setting is finite and not negative.
fn validate_amount(name: &'static str, kind: &'static str, value: f64) -> Result<(), SettingsError> {
    if is_valid_amount(value) {
        Ok(())
    } else {
        Err(SettingsError::NotAnAmount { name, kind, value })
    }
}

/// Checks that a setting is between 0 and 1.
fn validate_fraction(name: &'static str, value: f64) -> Result<(), SettingsError> {
    if is_valid_amount(value) && value <= 1.0 {
        Ok(())
    } else {
        Err(SettingsError::NotAFraction { name, value })
    }
}
