//! The settings of a limiter, and the check that rejects values that cannot be served.

mod plan;
mod request_class;
mod validation;

use crate::event::Millis;

pub use plan::Plan;
pub use request_class::{DedupScope, Idempotency, RequestClass};
pub use validation::SettingsError;

/// Settings of one limiter. They do not change while the limiter runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of limiters of the deployment.
    pub limiters: u32,
    /// Position of this limiter among the limiters of the deployment, from 0.
    pub position: u32,
    /// Zone of this limiter.
    pub zone: u32,
    /// The request classes. A request refers to its class by the index in this list.
    pub classes: Vec<RequestClass>,
    /// The plans of the customers. A request refers to its plan by the index in this list.
    pub plans: Vec<Plan>,
    /// Shortest time in milliseconds between two deliveries of events to the limiter. A timer may therefore
    /// fire late by this time.
    pub event_interval_ms: Millis,
    /// Largest number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Time in milliseconds after which a connection that is not established counts as failed. Used by the
    /// program alone: no decision depends on this time.
    pub connect_timeout_ms: Millis,
    /// Whether gossip messages may be sent to other limiters.
    pub can_gossip: bool,
    /// Whether attempts in flight may be cancelled.
    pub can_cancel: bool,
    /// Whether rejected clients may be sent a time after which to retry.
    pub can_send_retry_after: bool,
    /// Number of gossip messages a second that one limiter accepts.
    pub gossip_messages_per_s: f64,
    /// Whether the limiter has to subscribe to the endpoint list. Otherwise, the list is pushed to the
    /// limiter.
    pub must_subscribe: bool,
    /// Smallest capacity of a server that has just started, as a fraction of its full capacity.
    pub cold_capacity_fraction: f64,
    /// Time in milliseconds after its start at which a server has reached its full capacity.
    pub slow_start_ms: Millis,
    /// Load that makes a server fail during slow start, as a multiple of its capacity at the time. The load
    /// has to last for `overload_ms`.
    pub overload_factor: f64,
    /// Time in milliseconds for which an overload has to last to make a server fail during slow start.
    pub overload_ms: Millis,
}
