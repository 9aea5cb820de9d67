//! A server as discovery announces it.

use std::sync::Arc;

use super::Millis;

/// Identifies a server. The id is the same at every limiter, and stays the same when the process of the
/// server restarts.
pub type ServerId = Arc<str>;

/// The state that discovery announces for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Serving,
    /// The server completes its requests in progress and accepts no new ones.
    Draining,
    /// The server has been removed from the endpoint list.
    Removed,
}

/// A server as discovery announces it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The id of the server.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: u32,
    /// Cell of the server.
    pub cell: u32,
    /// Whether the server accepts requests, is draining or has been removed.
    pub state: EndpointState,
    /// Capacity of the server relative to the other servers.
    pub weight: f64,
    /// When the server last started, in milliseconds of the clock of discovery; 0 if the server started long
    /// ago. The offset between this clock and the clock of the events is unknown. The time therefore only
    /// distinguishes one start of the server from another, and shows how long before or after other servers
    /// the server started.
    pub started_at: Millis,
}
