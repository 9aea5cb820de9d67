//! What enters and leaves a limiter: events, actions and timers, as plain data.
//!
//! All times are milliseconds of one clock that never goes back, unless a field says otherwise. All costs are
//! quota units.

mod action;
mod endpoint;
mod request;
mod timer;

use std::sync::Arc;

pub use action::{Action, Ejection, EjectionReason};
pub use endpoint::{Endpoint, EndpointState, ServerId};
pub use request::{CustomerId, Outcome, Request, RequestId};
pub use timer::TimerToken;

/// A moment or a duration in milliseconds.
pub type Millis = f64;

/// Something that has happened and that a limiter has to handle.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Discovery has announced servers.
    EndpointsChanged {
        /// Whether the endpoints are the complete list. Otherwise, they are those that have changed.
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
    /// The limiter shuts down. Pending requests and those that still arrive have to be answered by the
    /// deadline.
    ShutdownStarted {
        /// When the last response has to be given.
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
