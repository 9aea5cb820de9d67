//! Accepts client connections, and drains the accept queue before the listener is closed.

use std::cell::Cell;
use std::future::{pending, poll_fn};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{timeout, Instant};

use super::connection;
use super::connections::Connections;
use crate::engine::Engine;
use crate::net::{Listener, Stream};
use crate::observability::metrics::Metrics;

/// Delay before the next accept after one that failed because the resources of this host are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Largest number of failed accepts that are retried while the accept queue is drained during the shutdown.
/// The queue is abandoned at the next failure. With [`ACCEPT_RETRY_DELAY`], the retries take one second.
const MAX_SHUTDOWN_ACCEPT_RETRIES: u32 = 100;
/// Longest time for which the accept queue is drained during the shutdown. Several times as long as a
/// connection with an incomplete request is kept before it may be evicted.
const MAX_SHUTDOWN_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Delay before the next search for a connection that may be evicted, if none has closed before.
const EVICTION_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Longest time that a connection is assumed to have waited in the accept queue. While connections keep
/// arriving, the queue is never observed to be empty, and how long the newest connection waited is unknown.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

/// Why the accept queue was not drained when the listener was closed.
#[derive(Debug, thiserror::Error)]
enum DrainError {
    /// This host cannot accept connections.
    #[error(transparent)]
    Accept(io::Error),
    /// The limit of client connections has been reached, and none of them could be evicted in time.
    #[error("too many connections")]
    TooManyConnections,
}

/// Accepts connections until the listener is closed, and serves each of them in a separate task.
pub(super) struct Acceptor {
    engine: Rc<Engine>,
    connections: Rc<Connections>,
    /// `None` after the listener has been closed.
    listener: Option<Listener>,
    /// Whether the last accept failed. Only the first of consecutive failures is logged.
    is_failing: bool,
    /// Time since which connections may have been waiting in the accept queue. Cleared when the queue is
    /// observed to be empty.
    queued_since: Cell<Option<Instant>>,
}

impl Acceptor {
    /// Creates an acceptor that adds the accepted connections to the table `connections`.
    pub(super) fn new(engine: Rc<Engine>, connections: Rc<Connections>, listener: Listener) -> Acceptor {
        Acceptor {
            engine,
            connections,
            listener: Some(listener),
            is_failing: false,
            queued_since: Cell::new(None),
        }
    }

    /// Returns whether the number of open connections is below its limit.
    pub(super) fn has_capacity(&self) -> bool {
        self.connections.len() < self.engine.config().max_client_connections
    }

    /// Evicts a connection so that the next one can be accepted, and records that connections may have to
    /// wait in the accept queue from now on.
    pub(super) fn evict_for_next_accept(&self) {
        if self.queued_since.get().is_none() {
            self.queued_since.set(Some(Instant::now()));
        }
        if let Some(state) = self.connections.evict_one() {
            Metrics::count(&self.engine.metrics().client_connections_evicted, state);
        }
    }

    /// Accepts the next connection. Never completes once the listener is closed. Awaited by the accept loop.
    /// Cancelling loses no connection: a connection that has not been accepted stays in the accept queue.
    ///
    /// # Errors
    /// The reason why this host cannot accept the connection. The connection stays in the accept queue.
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

    /// Serves a connection that was accepted, or waits after an accept that failed because the resources of
    /// this host are exhausted. The accept loop awaits this to the end, and accepts no connection during the
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

    /// Evicts a connection to free its resources for the next accept, and waits for [`ACCEPT_RETRY_DELAY`].
    /// Cancelling only shortens the wait.
    async fn wait_for_resources(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::warn!(%error, "accept failed");
        }
        self.evict_for_next_accept();
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Serves the connections in the accept queue, whose clients may already have sent requests, and closes
    /// the listener. Accepts no more connections than at any other time, and waits until others have been
    /// evicted, but not beyond [`MAX_SHUTDOWN_DRAIN_TIME`] or `deadline`. Clients that keep connecting
    /// therefore do not prolong the shutdown.
    ///
    /// Must be awaited to the end: cancelling closes the listener and resets the connections that are still
    /// in the queue.
    pub(super) async fn close(&mut self, deadline: Instant) {
        let Some(listener) = self.listener.take() else { return };
        let deadline = deadline.min(Instant::now() + MAX_SHUTDOWN_DRAIN_TIME);
        if let Err(error) = self.drain(&listener, deadline).await {
            tracing::error!(%error, "accept queue abandoned");
        }
    }

    /// Serves the connections in the accept queue until the queue is empty. After the deadline, only as many
    /// are accepted as fit into an empty table, without waiting for capacity.
    ///
    /// # Errors
    /// [`DrainError`] if connections may be left in the queue.
    async fn drain(&mut self, listener: &Listener, deadline: Instant) -> Result<(), DrainError> {
        let mut retries = 0;
        let mut num_accepted = 0;
        loop {
            self.wait_for_capacity(deadline).await?;
            let is_table_used_up = num_accepted >= self.engine.config().max_client_connections;
            if is_table_used_up && Instant::now() >= deadline {
                return Err(DrainError::TooManyConnections);
            }
            match listener.try_accept() {
                Ok(Some(stream)) => {
                    num_accepted += 1;
                    self.serve(stream);
                }
                Ok(None) => return Ok(()),
                Err(error) if retries < MAX_SHUTDOWN_ACCEPT_RETRIES => {
                    retries += 1;
                    self.wait_for_resources(&error).await;
                }
                Err(error) => return Err(DrainError::Accept(error)),
            }
        }
    }

    /// Evicts connections until another one may be opened.
    ///
    /// # Errors
    /// [`DrainError::TooManyConnections`] if none may be opened by `deadline`.
    async fn wait_for_capacity(&self, deadline: Instant) -> Result<(), DrainError> {
        while !self.has_capacity() {
            if Instant::now() >= deadline {
                return Err(DrainError::TooManyConnections);
            }
            self.evict_for_next_accept();
            // Time alone may make a connection evictable.
            let _ = timeout(EVICTION_RETRY_DELAY, self.connections.closed()).await;
        }
        Ok(())
    }
}
