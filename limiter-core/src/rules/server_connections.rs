//! Whether an idle connection to a server may carry another request.

use crate::event::Millis;

/// Time in milliseconds for which a connection stays unused after a response. Bytes that a faulty server
/// writes right after a response arrive within this time, and show that the connection must not be reused:
/// the next request on this connection could receive these bytes as its response.
const CONNECTION_REUSE_DELAY_MS: Millis = 10.0;

/// The facts about a connection to a server that has carried a response.
#[derive(Debug, Clone, Copy)]
pub struct ServerConnectionFacts {
    /// For how many milliseconds the connection has been idle.
    pub idle_ms: Millis,
    /// For how many milliseconds the connection may be idle.
    pub max_idle_ms: Millis,
}

impl ServerConnectionFacts {
    /// Returns whether it is too early for the connection to carry another request.
    #[must_use]
    pub fn is_in_reuse_delay(&self) -> bool {
        self.idle_ms < CONNECTION_REUSE_DELAY_MS
    }

    /// Returns whether the connection has been idle for so long that the server may close it at any moment.
    #[must_use]
    pub fn is_expired(&self) -> bool {
        self.idle_ms >= self.max_idle_ms
    }
}
