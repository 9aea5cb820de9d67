//! What the engine needs of the layers around it. They implement these traits; the engine names none of them.

use std::rc::Rc;

use limiter_core::{Outcome, ServerId};
use tokio::sync::oneshot;

use super::Engine;
use crate::messages::attempt::AttemptJob;

/// Makes attempts at servers.
pub trait Upstream {
    /// Starts an attempt without waiting for it; its end is reported by [`Engine::record_attempt_end`]. When `cancelled`
    /// yields an outcome, the connection is closed first and the attempt then ends with that.
    fn start_attempt(&self, engine: &Rc<Engine>, job: AttemptJob, cancelled: oneshot::Receiver<Outcome>);

    /// Closes the idle connections to a server.
    fn close_idle(&self, server: &ServerId);
}

/// The connection of a client whose request is pending.
pub trait ClientConnection {
    /// Whether the client has closed it by now. Looks at the socket itself.
    fn is_closed_by_client(&self) -> bool;
}

/// Carries gossip to other limiters.
pub trait GossipTransport {
    /// Sends a message to the limiter at position `to`; it may be lost.
    fn send(&self, to: u32, body: &[u8]);
}
