//! Request classes: the latency objective and the idempotency of requests.

use crate::event::Millis;

/// Whether a request may safely be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one execution.
    Idempotent,
    /// The request carries an idempotency key. The servers of one [`DedupScope`] drop its duplicates for a
    /// limited time.
    WithKey,
    /// The request must not be executed twice.
    NonIdempotent,
}

/// The servers that share a record of the idempotency keys that they have received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers share one record.
    All,
    /// The servers of each zone share a record.
    Zone,
    /// The servers of each cell share a record.
    Cell,
}

/// A class of requests with the same latency objective and the same idempotency.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestClass {
    /// Time in milliseconds within which a response has its full value.
    pub latency_objective_ms: Millis,
    /// Value of a later response, as a fraction of the full value.
    pub late_value: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// The servers that drop duplicates together. Applies to [`Idempotency::WithKey`] only.
    pub dedup_scope: DedupScope,
    /// Time in milliseconds for which servers drop duplicates, measured from the first attempt that may have
    /// been executed. Applies to [`Idempotency::WithKey`] only.
    pub dedup_window_ms: Millis,
}
