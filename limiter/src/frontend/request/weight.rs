//! The value of `X-Weight`: the cost of a request, and the limiters that are members of its quota.

use crate::config::Config;

/// The contents of `X-Weight`.
pub struct Weight {
    /// Cost in quota units.
    pub cost_units: f64,
    /// Number of limiters that are members of the customer's quota.
    pub member_count: u32,
    /// Position of the first member. The other members have the next positions; position 0 follows the last
    /// position.
    pub first_member: u32,
}

impl Weight {
    /// Parses a value such as `units=2,spread=3,first=1`, in any order. Other names are ignored. Returns
    /// `None` if a value is missing, malformed or out of bounds.
    pub fn parse(text: &str, config: &Config) -> Option<Weight> {
        let mut cost_units = None;
        let mut member_count = None;
        let mut first_member = None;
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim();
            match name.trim() {
                "units" => cost_units = parse_cost(value, config.max_request_units),
                "spread" => member_count = parse_member_count(value, config.settings.limiters),
                "first" => first_member = parse_position(value, config.settings.limiters),
                _ => {}
            }
        }
        Some(Weight { cost_units: cost_units?, member_count: member_count?, first_member: first_member? })
    }
}

/// Parses a cost: positive, and at most `max_units`.
fn parse_cost(text: &str, max_units: f64) -> Option<f64> {
    text.parse().ok().filter(|units| *units > 0.0 && *units <= max_units)
}

/// Parses a number of members: from one to all limiters.
fn parse_member_count(text: &str, limiters: u32) -> Option<u32> {
    text.parse().ok().filter(|count| (1..=limiters).contains(count))
}

/// Parses the position of a limiter.
fn parse_position(text: &str, limiters: u32) -> Option<u32> {
    text.parse().ok().filter(|position| *position < limiters)
}
