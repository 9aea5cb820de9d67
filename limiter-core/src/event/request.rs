//! A client request as it is submitted to a limiter, and the outcome of an attempt.

use super::Millis;

/// Identifies a request at one incarnation of a limiter, which receives no id twice. A restarted limiter may
/// receive the ids of its earlier incarnation again.
pub type RequestId = u32;
/// Identifies a customer. The id is the same at every limiter.
pub type CustomerId = u64;

/// A client request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// Index of the request class in [`crate::Settings::classes`].
    pub class: usize,
    /// Index of the customer's plan in [`crate::Settings::plans`].
    pub plan: usize,
    /// The customer whose quota the request counts against.
    pub customer: CustomerId,
    /// Time in milliseconds from the arrival of the request to the timeout of the client.
    pub timeout_ms: Millis,
    /// Time in milliseconds from the arrival of the request to this event. The request may have been
    /// pipelined and had to wait for an earlier request on its connection, or the process may have stalled.
    pub waited_ms: Millis,
    /// Cost of the request in quota units, declared by the client or estimated.
    pub cost_units: f64,
    /// Number of limiters that receive requests of this customer. These are the members of its quota.
    pub member_count: u32,
    /// Position of the first member. The other members have the next positions; position 0 follows the last
    /// position.
    pub first_member: u32,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server sent a good response.
    Ok,
    /// The server responded with an error; the request may have been executed.
    Error,
    /// The server was at capacity and rejected the request without executing it.
    Rejected,
    /// No response arrived in time; the request may have been executed.
    TimedOut,
    /// No connection could be established, so the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    ConnectionLost,
    /// The limiter cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The request was not sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the outcome proves that no server executed the request in this attempt.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
