//! The traits through which the engine calls the layers around it. Those layers depend on the engine; the
//! engine depends on none of them.

use std::rc::Rc;

use limiter_core::{Outcome, ServerId};
use tokio::sync::oneshot;

use super::Engine;
use crate::messages::attempt::AttemptJob;

/// Executes attempts at servers.
pub trait Upstream {
    /// Starts an attempt without waiting for its end, which is reported to [`Engine::record_attempt_end`].
    /// When `cancelled` yields an outcome, the attempt closes its connection first and then ends with that
    /// outcome.
    fn start_attempt(&self, engine: &Rc<Engine>, job: AttemptJob, cancelled: oneshot::Receiver<Outcome>);

    /// Closes the idle connections to a server.
    fn close_idle(&self, server: &ServerId);
}

/// Whether a client is connected, as far as its connection has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientPresence {
    /// All that has arrived has been read, and the client has not closed the connection.
    Connected,
    /// The client has closed or reset the connection.
    Disconnected,
    /// More has arrived than was read, and the end of the connection may come behind it.
    Unknown,
}

/// The connection of a client whose request is pending.
pub trait ClientConnection {
    /// Returns whether the client is connected. Reads a bounded amount from the socket, in case a close has
    /// arrived that was not read yet.
    fn presence(&self) -> ClientPresence;
}

/// Sends gossip to other limiters.
pub trait GossipTransport {
    /// Sends a message to the limiter at position `to`. The message may be lost.
    fn send(&self, to: u32, body: &[u8]);
}
