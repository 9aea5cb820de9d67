//! The input and the output of a limiter as plain data: events, actions and timers.
//!
//! All times are milliseconds of one monotonic clock, unless a field says otherwise. All costs are in quota
//! units.

mod action;
mod endpoint;
mod request;
mod timer;

use std::sync::Arc;

pub use action::{Action, Ejection, EjectionReason};
pub use endpoint::{Endpoint, EndpointState, ServerId};
pub use request::{CustomerId, Outcome, Request, RequestId};
pub use timer::TimerToken;

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;

/// Something that has happened and that a limiter has to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Discovery has announced servers.
    EndpointsChanged {
        /// Whether the endpoints are the complete list. Otherwise, only those that have changed are listed.
        complete: bool,
        /// The announced servers.
        endpoints: Arc<[Endpoint]>,
    },
    /// The limiter falls back to the endpoint list in its configuration, because discovery has announced
    /// nothing yet. The list may be stale.
    EndpointsConfigured {
        /// All servers of the configured list.
        endpoints: Arc<[Endpoint]>,
    },
    /// The watch on the endpoint list has failed.
    WatchFailed,
    /// A request has arrived.
    RequestArrived(Request),
    /// The response to a request has begun to stream to the client. No deadline applies from now on.
    ResponseStarted {
        /// The request that is being answered.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request that was attempted.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// How long the attempt took, in milliseconds.
        elapsed_ms: Millis,
        /// Whether the request has received its final response, or no longer needs one.
        request_finished: bool,
        /// The actual cost of the request in quota units. Reported with the first good response to a request
        /// whose cost was estimated.
        actual_units: Option<f64>,
    },
    /// The client of a request has disconnected and needs no response.
    ClientDisconnected {
        /// The request of that client.
        id: RequestId,
    },
    /// The process has begun to shut down. Pending requests and requests that arrive during the shutdown must
    /// be answered by the deadline.
    ShutdownStarted {
        /// Time by which the last response must be sent.
        deadline: Millis,
    },
    /// A timer has fired.
    TimerFired {
        /// The token that the timer was started with.
        token: TimerToken,
    },
    /// A gossip message has arrived from another limiter.
    GossipReceived {
        /// Position of the sender.
        from: u32,
        /// The encoded message.
        body: Vec<u8>,
    },
}
