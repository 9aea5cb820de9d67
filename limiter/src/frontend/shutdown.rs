//! The graceful shutdown, from the signal to the return of the server.

use std::time::Duration;

use limiter_core::rules::{may_exit, ShutdownFacts};
use tokio::time::Instant;

use super::acceptor::Acceptor;
use super::connections::Connections;
use crate::runtime::duration;
use crate::runtime::event_loop::read_pending_input;

/// How long new connections are accepted after the open ones were shut down. A client sends a request again,
/// on a new connection, if the request raced with the end of its keep-alive connection.
const RESENT_ACCEPT_TIME: Duration = Duration::from_millis(200);

/// The step that is due next.
///
/// The time of each step counts from the moment at which the step before was really taken, not from the
/// signal. After a stall of the process across several steps, these would otherwise all be taken at once, and
/// requests that arrived during the stall would be lost.
enum NextStep {
    /// Clients still use their connections and open new ones. All requests are served while there is time.
    ShutDownConnections,
    /// The open connections were shut down gracefully. New ones are still accepted.
    CloseListener {
        /// When the connections were shut down.
        shut_down_at: Instant,
    },
    /// The listener is closed. The open requests are being finished.
    Return {
        /// When the listener was closed.
        closed_at: Instant,
    },
}

/// A graceful shutdown in progress.
pub(super) struct Shutdown {
    signalled_at: Instant,
    /// How long all requests are served as before, counted from the signal.
    serve_for: Duration,
    next_step: NextStep,
}

impl Shutdown {
    /// Begins a shutdown whose signal has just arrived.
    pub(super) fn begin(serve_for: Duration) -> Shutdown {
        Shutdown { signalled_at: Instant::now(), serve_for, next_step: NextStep::ShutDownConnections }
    }

    /// Takes the steps that are due. Returns whether the server is to return.
    ///
    /// Awaited to the end by the accept loop, which accepts no connection during that time. Must not be
    /// cancelled: [`Acceptor::close`] would drop connections that wait to be accepted.
    pub(super) async fn advance(&mut self, connections: &Connections, acceptor: &mut Acceptor) -> bool {
        self.shut_down_connections_if_due(connections).await;
        self.close_listener_if_due(acceptor).await;
        if !may_exit(&self.facts(connections)) {
            return false;
        }
        read_pending_input(connections.len()).await;
        may_exit(&self.facts(connections))
    }

    /// Returns what the rules need to know of the shutdown at this moment.
    fn facts(&self, connections: &Connections) -> ShutdownFacts {
        let elapsed_ms = |since: Instant| duration::to_ms(since.elapsed());
        let closed_at = match self.next_step {
            NextStep::Return { closed_at } => Some(closed_at),
            NextStep::ShutDownConnections | NextStep::CloseListener { .. } => None,
        };
        ShutdownFacts {
            since_signal_ms: elapsed_ms(self.signalled_at),
            since_listener_close_ms: closed_at.map(elapsed_ms),
            has_blocking_connection: connections.blocks_shutdown(),
        }
    }

    /// Shuts down the open connections when they have been served for long enough. Requests that have arrived
    /// are read first.
    async fn shut_down_connections_if_due(&mut self, connections: &Connections) {
        let NextStep::ShutDownConnections = self.next_step else { return };
        if self.signalled_at.elapsed() >= self.serve_for {
            read_pending_input(connections.len()).await;
            connections.shut_down();
            self.next_step = NextStep::CloseListener { shut_down_at: Instant::now() };
        }
    }

    /// Closes the listener when clients had time to send requests again.
    async fn close_listener_if_due(&mut self, acceptor: &mut Acceptor) {
        let NextStep::CloseListener { shut_down_at } = self.next_step else { return };
        if shut_down_at.elapsed() >= RESENT_ACCEPT_TIME {
            acceptor.close().await;
            self.next_step = NextStep::Return { closed_at: Instant::now() };
        }
    }
}
