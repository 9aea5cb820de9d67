//! The graceful shutdown, from the signal to the return of the server.

use std::time::Duration;

use limiter_core::rules::{may_exit, ShutdownFacts};
use tokio::time::Instant;

use super::acceptor::Acceptor;
use super::connections::Connections;
use crate::runtime::duration;
use crate::runtime::event_loop::read_pending_input;

/// A request that races with the end of its keep-alive connection is sent again on a new one: new connections are
/// accepted for this much longer.
const RESENT_ACCEPT_TIME: Duration = Duration::from_millis(200);

/// Which step is due next. Each step counts its time from the moment at which the one before it was really taken, not
/// from the signal: in a process that stalled across all of them, they would else all be taken at once, and what
/// arrived meanwhile would be lost.
enum NextStep {
    /// Clients go on using the connections that they have, and open new ones: all are served while there is time.
    ShutDownConnections,
    /// The connections were shut down gracefully; new ones are accepted still.
    CloseListener {
        /// When the connections were shut down.
        shut_down_at: Instant,
    },
    /// The listener is closed; the open requests are finished.
    Return {
        /// When the listener was closed.
        closed_at: Instant,
    },
}

/// A graceful shutdown in progress.
pub(super) struct Shutdown {
    signalled_at: Instant,
    /// For how long after the signal all is served as before.
    serve_for: Duration,
    next_step: NextStep,
}

impl Shutdown {
    /// A shutdown whose signal came now.
    pub(super) fn begin(serve_for: Duration) -> Shutdown {
        Shutdown { signalled_at: Instant::now(), serve_for, next_step: NextStep::ShutDownConnections }
    }

    /// Takes the steps that are due; whether the server is to return. Awaited by the accept loop, which accepts
    /// nothing meanwhile, and never cancelled.
    pub(super) async fn advance(&mut self, connections: &Connections, acceptor: &mut Acceptor) -> bool {
        self.shut_down_connections_if_due(connections).await;
        self.close_listener_if_due(acceptor).await;
        if !may_exit(&self.facts(connections)) {
            return false;
        }
        read_pending_input(connections.len()).await;
        may_exit(&self.facts(connections))
    }

    fn facts(&self, connections: &Connections) -> ShutdownFacts {
        let elapsed_ms = |since: Instant| duration::to_ms(since.elapsed());
        let closed_at = match self.next_step {
            NextStep::Return { closed_at } => Some(closed_at),
            NextStep::ShutDownConnections | NextStep::CloseListener { .. } => None,
        };
        ShutdownFacts {
            signalled_for_ms: elapsed_ms(self.signalled_at),
            closed_for_ms: closed_at.map(elapsed_ms),
            has_blocking_connection: connections.blocks_shutdown(),
        }
    }

    async fn shut_down_connections_if_due(&mut self, connections: &Connections) {
        let NextStep::ShutDownConnections = self.next_step else { return };
        if self.signalled_at.elapsed() >= self.serve_for {
            read_pending_input(connections.len()).await;
            connections.shut_down();
            self.next_step = NextStep::CloseListener { shut_down_at: Instant::now() };
        }
    }

    async fn close_listener_if_due(&mut self, acceptor: &mut Acceptor) {
        let NextStep::CloseListener { shut_down_at } = self.next_step else { return };
        if shut_down_at.elapsed() >= RESENT_ACCEPT_TIME {
            acceptor.close().await;
            self.next_step = NextStep::Return { closed_at: Instant::now() };
        }
    }
}
