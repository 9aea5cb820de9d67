//! Accepts client connections, and empties the accept queue at the end.

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

/// Pause after an accept that failed for want of something on this host.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How often in a row such a failure is borne at the shutdown before the queue is given up: for a second.
const MAX_SHUTDOWN_RETRIES: u32 = 100;
/// Longest time for which a connection is taken to have waited in the accept queue. While more and more come, the queue
/// is never seen empty, and for how long the last one has waited is not known.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

/// The listener, until it is closed, and what is needed to serve those it accepts.
pub(super) struct Acceptor {
    engine: Rc<Engine>,
    connections: Rc<Connections>,
    listener: Option<Listener>,
    /// The last accept failed; further failures in a row are not logged.
    is_failing: bool,
    /// Since when connections may have had to wait in the accept queue, until that is seen empty.
    queued_since: Cell<Option<Instant>>,
}

impl Acceptor {
    /// An acceptor that enters what it accepts into the table of connections.
    pub(super) fn new(engine: Rc<Engine>, connections: Rc<Connections>, listener: Listener) -> Acceptor {
        let (listener, queued_since) = (Some(listener), Cell::new(None));
        Acceptor { engine, connections, listener, is_failing: false, queued_since }
    }

    /// Whether one more connection may be open.
    pub(super) fn has_room(&self) -> bool {
        let has_room = self.connections.len() < self.engine.config().max_client_connections;
        if !has_room {
            self.begin_queueing();
        }
        has_room
    }

    /// From now on connections may have to wait.
    fn begin_queueing(&self) {
        self.queued_since.set(self.queued_since.get().or_else(|| Some(Instant::now())));
    }

    /// The next connection; pending forever once the listener is closed. Awaited by the accept loop; cancelling
    /// loses no connection.
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

    /// Serves what was accepted. After a failure for want of something on this host an idle connection makes way, and
    /// what waits to be accepted is taken a little later: the accept loop rests meanwhile.
    pub(super) async fn accepted(&mut self, accepted: io::Result<Stream>) {
        match accepted {
            Ok(stream) => {
                self.is_failing = false;
                self.serve(stream);
            }
            Err(error) => self.wait_for_resources(&error).await,
        }
    }

    fn serve(&self, stream: Stream) {
        let earliest = Instant::now() - MAX_QUEUE_WAIT;
        let queued_since = self.queued_since.get().map(|since| since.max(earliest));
        connection::spawn(&self.engine, &self.connections, stream, queued_since);
    }

    async fn wait_for_resources(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.is_failing, true) {
            tracing::warn!(%error, "accept failed");
        }
        self.begin_queueing();
        self.connections.evict_one();
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }

    /// Serves what waits in the accept queue, perhaps with a request, and closes the listener. To be awaited to its
    /// end: cancelling closes the listener on those that still wait.
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
