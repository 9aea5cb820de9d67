//! The steps of the graceful shutdown, from the signal to the return of the server.

use std::time::Duration;

use limiter_core::rules::{may_exit, ShutdownFacts};
use tokio::time::Instant;

use super::acceptor::Acceptor;
use super::connections::Connections;
use crate::runtime::duration;
use crate::runtime::event_loop::read_pending_input;

/// How long new connections are accepted after the open ones have been shut down. A client whose request
/// raced with the end of its keep-alive connection sends the request again, on a new connection.
const RESEND_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// The step that has to be taken next.
///
/// The delay of each step after the first is measured from the time at which the previous step was actually
/// taken, not from the signal. Otherwise, after a stall of the process across several steps, all of these
/// would be taken at once, and requests that arrived during the stall would be lost.
enum NextStep {
    /// Shut down the open connections. Until then, clients use their connections and open new ones, and all
    /// requests are served.
    ShutDownConnections,
    /// Close the listener. The open connections have been shut down, and new ones are still accepted.
    CloseListener {
        /// When the connections were shut down.
        shut_down_at: Instant,
    },
    /// Return from the server. The listener is closed, and the open requests are being finished.
    Return {
        /// When the listener was closed.
        closed_at: Instant,
    },
}

/// A graceful shutdown in progress.
pub(super) struct Shutdown {
    signalled_at: Instant,
    /// How long after the signal all requests are still served as before.
    serve_for: Duration,
    /// When all accepted requests have received their final response.
    respond_by: Instant,
    next_step: NextStep,
}

impl Shutdown {
    /// Begins a shutdown whose signal has just arrived. Requests are served as before for `serve_for`, and
    /// all of them have received their final response after `respond_within`.
    pub(super) fn begin(serve_for: Duration, respond_within: Duration) -> Shutdown {
        let signalled_at = Instant::now();
        Shutdown {
            signalled_at,
            serve_for,
            respond_by: signalled_at + respond_within,
            next_step: NextStep::ShutDownConnections,
        }
    }

    /// Takes the steps that are due. Returns whether the server has to return: if the rules allow the exit,
    /// the requests that have arrived are read, and the rules are applied again.
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

    /// Returns the current facts from which the rules decide about the shutdown.
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

    /// Shuts down the open connections when they have been served for [`Shutdown::serve_for`] since the
    /// signal. Requests that have arrived are read first.
    async fn shut_down_connections_if_due(&mut self, connections: &Connections) {
        let NextStep::ShutDownConnections = self.next_step else { return };
        if self.signalled_at.elapsed() >= self.serve_for {
            read_pending_input(connections.len()).await;
            connections.shut_down();
            self.next_step = NextStep::CloseListener { shut_down_at: Instant::now() };
        }
    }

    /// Closes the listener once clients have had time to send requests again.
    async fn close_listener_if_due(&mut self, acceptor: &mut Acceptor) {
        let NextStep::CloseListener { shut_down_at } = self.next_step else { return };
        if shut_down_at.elapsed() >= RESEND_GRACE_PERIOD {
            acceptor.close(self.respond_by).await;
            self.next_step = NextStep::Return { closed_at: Instant::now() };
        }
    }
}
