//! The settings of a limiter, and their validation.

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
    /// Number of limiters in the deployment.
    pub limiters: u32,
    /// Position of this limiter among the limiters of the deployment, from 0.
    pub position: u32,
    /// Zone of this limiter.
    pub zone: u32,
    /// The request classes. A request refers to its class by the index in this list.
    pub classes: Vec<RequestClass>,
    /// The plans of the customers. A request refers to its plan by the index in this list.
    pub plans: Vec<Plan>,
    /// Shortest time in milliseconds between two deliveries of events to the limiter. A timer may fire up to
    /// this much late.
    pub event_interval_ms: Millis,
    /// Largest number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Time in milliseconds after which an attempt to connect to a server fails. Only the program uses this
    /// timeout: no decision in this crate depends on the value.
    pub connect_timeout_ms: Millis,
    /// Whether gossip messages may be sent to other limiters.
    pub can_gossip: bool,
    /// Whether attempts in flight may be cancelled.
    pub can_cancel: bool,
    /// Whether a rejection may contain the time after which the client should retry.
    pub can_send_retry_after: bool,
    /// Number of gossip messages per second that one limiter accepts.
    pub gossip_messages_per_s: f64,
    /// Whether the limiter has to subscribe to the endpoint list. Otherwise, the list is pushed to the
    /// limiter.
    pub must_subscribe: bool,
    /// Capacity that a server has at least when it starts, as a fraction of its full capacity.
    pub cold_capacity_fraction: f64,
    /// Duration of slow start in milliseconds: a server has its full capacity at this time after its start.
    pub slow_start_ms: Millis,
    /// Load that makes a server fail during slow start if the load lasts for `overload_ms`, as a multiple of
    /// the capacity that the server has at that time.
    pub overload_factor: f64,
    /// Time in milliseconds for which an overload has to last to make a server fail during slow start.
    pub overload_ms: Millis,
}
