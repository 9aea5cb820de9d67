//! What one limiter is configured with, and which values can be served at all.

use crate::event::Millis;

/// The most limiters that one deployment may have: a position fits into 16 bits of a gossip message.
const MAX_LIMITERS: u32 = 65_535;
/// The most plans: an index fits into 8 bits of a gossip message.
const MAX_PLANS: usize = 255;

/// Whether a request may safely be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// It carries an idempotency key: the servers of one [`DedupScope`] drop its duplicates for a time.
    WithKey,
    /// It must never be executed twice.
    NonIdempotent,
}

/// Which servers share the record of the idempotency keys that they have seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests, which share their objective and their idempotency.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// A response within this time has its full value.
    pub latency_objective_ms: Millis,
    /// Fraction of the value that a later response still has.
    pub late_value: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// With [`Idempotency::WithKey`]: which servers drop duplicates together.
    pub dedup_scope: DedupScope,
    /// With [`Idempotency::WithKey`]: for how long duplicates are dropped, from the first attempt that may
    /// have been executed.
    pub dedup_window_ms: Millis,
}

/// A plan: the quotas that each customer on it has over all limiters together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Units a second; 0 for no rate quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket in units.
    pub burst: f64,
    /// Attempts in flight at once; 0 for no such quota.
    pub max_in_flight: u32,
    /// Units a second of the hard ceiling; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may be overdrawn.
    pub ceiling_slack: f64,
}

impl Plan {
    /// Whether any quota or ceiling applies.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0 || self.max_in_flight > 0 || self.has_ceiling()
    }

    /// Whether a hard ceiling applies.
    pub fn has_ceiling(&self) -> bool {
        self.ceiling_rate > 0.0
    }

    /// Time in which the slower of the plan's token buckets fills from empty.
    pub fn refill_ms(&self) -> Millis {
        let time = |amount: f64, rate: f64| if rate > 0.0 { 1000.0 * amount / rate } else { 0.0 };
        time(self.burst, self.rate).max(time(self.ceiling_burst, self.ceiling_rate))
    }
}

/// Settings of one limiter.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Limiters in front of this back end.
    pub limiters: u32,
    /// This limiter's number among them, from 0.
    pub position: u32,
    /// This limiter's zone.
    pub zone: u32,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Shortest time between two deliveries of events: a timer fires up to this much late.
    pub event_interval_ms: Millis,
    /// Most attempts for one request, the first included.
    pub max_attempts: u32,
    /// A connection that is not established by then has failed.
    pub connect_timeout_ms: Millis,
    /// Gossip messages may be sent to other limiters.
    pub can_gossip: bool,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Rejected clients may be sent a time to retry after.
    pub can_send_retry_after: bool,
    /// Gossip messages a second that one limiter accepts.
    pub gossip_messages_per_s: f64,
    /// The endpoint list has to be subscribed to; otherwise it is pushed.
    pub must_subscribe: bool,
    /// A server that has just started has this fraction of its capacity or more.
    pub cold_capacity_fraction: f64,
    /// Time after its start by which a server has its full capacity.
    pub slow_start_ms: Millis,
    /// A server that is warming up fails under this multiple of its capacity that lasts for `overload_ms`.
    pub overload_factor: f64,
    /// How long an overload has to last for a server that is warming up to fail.
    pub overload_ms: Millis,
}

/// The first value found that cannot be served.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There are no limiters or too many.
    #[error("limiters must be 1 to {MAX_LIMITERS}, but is {0}")]
    LimiterCount(u32),
    /// The limiter's own number is not one of them.
    #[error("position {position} is not below limiters {limiters}")]
    Position {
        /// The number given.
        position: u32,
        /// Limiters of the deployment.
        limiters: u32,
    },
    /// No attempt would be allowed.
    #[error("max_attempts must be 1 or more, but is 0")]
    NoAttempts,
    /// There are too many plans.
    #[error("plans must be {MAX_PLANS} at most, but are {0}")]
    PlanCount(usize),
    /// A value that must be finite and not negative.
    #[error("{name} {value} is not a {kind} of 0 or more")]
    NotAnAmount {
        /// Name of the setting.
        name: &'static str,
        /// What it measures: a time, a rate or a factor.
        kind: &'static str,
        /// The value given.
        value: f64,
    },
    /// A fraction that is not between 0 and 1.
    #[error("{name} {value} is not a fraction between 0 and 1")]
    NotAFraction {
        /// Name of the setting.
        name: &'static str,
        /// The value given.
        value: f64,
    },
    /// A class without a usable objective, deduplication window or late value.
    #[error("class {0} has a latency objective, deduplication window or late value that cannot be served")]
    Class(usize),
    /// A plan with a rate or an amount that cannot be served.
    #[error("plan {0} has a negative or infinite rate or amount")]
    Plan(usize),
}

impl Settings {
    /// Checks every value that the decisions depend on.
    ///
    /// # Errors
    /// The first value that cannot be served.
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

    fn validate_amounts(&self) -> Result<(), SettingsError> {
        check_amount("event_interval_ms", "time", self.event_interval_ms)?;
        check_amount("slow_start_ms", "time", self.slow_start_ms)?;
        check_amount("overload_ms", "time", self.overload_ms)?;
        check_fraction("cold_capacity_fraction", self.cold_capacity_fraction)?;
        check_amount("overload_factor", "factor", self.overload_factor)?;
        check_amount("gossip_messages_per_s", "rate", self.gossip_messages_per_s)
    }
}

impl RequestClass {
    fn is_valid(&self) -> bool {
        let amounts = [self.latency_objective_ms, self.dedup_window_ms, self.late_value];
        self.latency_objective_ms > 0.0 && amounts.into_iter().all(is_amount)
    }
}

impl Plan {
    fn is_valid(&self) -> bool {
        let ceiling = [self.ceiling_rate, self.ceiling_burst, self.ceiling_slack];
        [self.rate, self.burst].into_iter().chain(ceiling).all(is_amount)
    }
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

fn check_amount(name: &'static str, kind: &'static str, value: f64) -> Result<(), SettingsError> {
    if is_amount(value) {
        Ok(())
    } else {
        Err(SettingsError::NotAnAmount { name, kind, value })
    }
}

fn check_fraction(name: &'static str, value: f64) -> Result<(), SettingsError> {
    if is_amount(value) && value <= 1.0 {
        Ok(())
    } else {
        Err(SettingsError::NotAFraction { name, value })
    }
}
