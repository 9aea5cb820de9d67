//! Accepts client connections, and drains the accept queue at the end.

use std::cell::Cell;
use std::future::{pending, poll_fn};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::connection;
use super::connections::Connections;
use crate::engine::Engine;
use crate::net::{Listener, Stream};

/// Pause after an accept that failed because this host's resources are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Largest number of such failures while the accept queue is drained at the shutdown; the queue is abandoned
/// after the next one. With [`ACCEPT_RETRY_DELAY`] the failures take one second.
const MAX_SHUTDOWN_RETRIES: u32 = 100;
/// Longest time that a connection is assumed to have waited in the accept queue. While more and more
/// connections arrive, the queue is never seen empty, and the real wait of the newest connection is unknown.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

/// The listener, until it is closed, and what is needed to serve the connections that it accepts.
pub(super) struct Acceptor {
    engine: Rc<Engine>,
    connections: Rc<Connections>,
    /// `None` once it is closed.
    listener: Option<Listener>,
    /// The last accept failed. Further failures in a row are not logged.
    is_failing: bool,
    /// Since when connections may have had to wait in the accept queue, until the queue is seen empty.
    queued_since: Cell<Option<Instant>>,
}

impl Acceptor {
    /// Creates an acceptor that adds the connections which it accepts to a table.
    pub(super) fn new(engine: Rc<Engine>, connections: Rc<Connections>, listener: Listener) -> Acceptor {
        Acceptor {
            engine,
            connections,
            listener: Some(listener),
            is_failing: false,
            queued_since: Cell::new(None),
        }
    }

    /// Returns whether another connection may be opened.
    pub(super) fn has_capacity(&self) -> bool {
        self.connections.len() < self.engine.config().max_client_connections
    }

    /// Evicts a connection to make room for another one, and records that connections may have to wait in the
    /// accept queue from now on.
    pub(super) fn make_room(&self) {
        if self.queued_since.get().is_none() {
            self.queued_since.set(Some(Instant::now()));
        }
        self.connections.evict_one();
    }

    /// Accepts the next connection; pending forever once the listener is closed. Awaited by the accept loop.
    /// Cancelling loses no connection: it stays in the accept queue.
    ///
    /// # Errors
    /// The reason why this host cannot accept the connection, which stays in the accept queue.
    pub(super) async fn accept(&self) -> io::Result<Stream> {
        let Some(listener) = &self.listener else { return pending().await };
        poll_fn(|cx| {
            let accepted = listener.poll_accept(cx);
            if accepted.is_pending() {
                self.queued_since.set(None);
            }
            accepted
        })
        .await
    }

    /// Serves a connection that was accepted, or waits after an accept that failed because this host's
    /// resources are exhausted. The accept loop awaits this to the end, and accepts no connection during the
    /// wait.
    pub(super) async fn handle_accepted(&mut self, accepted: io::Result<Stream>) {
        match accepted {
            Ok(stream) => {
                self.is_failing = false;
                self.serve(stream);
            }
            Err(error) => self.wait_for_resources(&error).await,
        }
    }

    /// Serves a connection in a separate task.
    fn serve(&self, stream: Stream) {
        let earliest = Instant::now() - MAX_QUEUE_WAIT;
        let queued_since = self.queued_since.get().map(|since| since.max(earliest));
        connection::spawn(&self.engine, &self.connections, stream, queued_since);
    }

    /// Evicts a connection, whose resources the next accept may use, and waits for [`ACCEPT_RETRY_DELAY`].
    /// Cancelling only shortens the wait.
    async fn wait_for_resources(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::warn!(%error, "accept failed");
        }
        self.make_room();
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Serves the connections that wait in the accept queue, perhaps with a request, and closes the listener.
    /// Must be awaited to the end: cancelling closes the listener and resets the connections that still wait.
    pub(super) async fn close(&mut self) {
        let Some(listener) = self.listener.take() else { return };
        let mut retries = 0;
        for _ in 0..self.engine.config().max_client_connections {
            match listener.try_accept() {
                Ok(Some(stream)) => self.serve(stream),
                Ok(None) => return,
                Err(error) if retries < MAX_SHUTDOWN_RETRIES => {
                    retries += 1;
                    self.wait_for_resources(&error).await;
                }
                Err(error) => {
                    tracing::error!(%error, "accept queue abandoned");
                    return;
                }
            }
        }
    }
}
