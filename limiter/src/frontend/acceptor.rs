//! Accepts client connections, and empties the accept queue at the end.

use std::future::{pending, poll_fn};
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use super::connection;
use super::connections::Connections;
use crate::engine::Engine;

/// Pause after an accept that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How often the accept queue is looked at once more before it counts as empty.
const MAX_QUEUE_RECHECKS: u32 = 2;

/// The listener, until it is closed, and what is needed to serve those it accepts.
pub(super) struct Acceptor {
    engine: Rc<Engine>,
    connections: Rc<Connections>,
    listener: Option<TcpListener>,
    /// The last accept failed; further failures in a row are not logged.
    is_failing: bool,
}

impl Acceptor {
    /// An acceptor that enters what it accepts into the table of connections.
    pub(super) fn new(engine: Rc<Engine>, connections: Rc<Connections>, listener: TcpListener) -> Acceptor {
        Acceptor { engine, connections, listener: Some(listener), is_failing: false }
    }

    /// Whether one more connection may be open.
    pub(super) fn has_room(&self) -> bool {
        self.connections.len() < self.engine.config().max_client_connections
    }

    /// The next connection; pending forever once the listener is closed. Awaited by the accept loop; cancelling
    /// loses no connection.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        match &self.listener {
            Some(listener) => listener.accept().await.map(|(stream, _)| stream),
            None => pending().await,
        }
    }

    /// Serves what was accepted. After a failure (no descriptors left, or the client has gone already) an idle
    /// connection makes way, and what waits to be accepted is taken a little later: the accept loop rests meanwhile.
    pub(super) async fn accepted(&mut self, accepted: io::Result<TcpStream>) {
        match accepted {
            Ok(stream) => {
                self.is_failing = false;
                connection::spawn(&self.engine, &self.connections, stream);
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    self.engine.log(&format!("accept failed: {error}"));
                }
                self.connections.evict_one();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }

    /// Serves what waits in the accept queue, perhaps with a request, and closes the listener. To be awaited to its
    /// end: cancelling closes the listener on those that still wait.
    pub(super) async fn close(&mut self) {
        let Some(listener) = self.listener.take() else { return };
        for _ in 0..self.engine.config().max_client_connections {
            let Some(stream) = next_in_accept_queue(&listener).await else { break };
            connection::spawn(&self.engine, &self.connections, stream);
        }
    }
}

/// A connection of the accept queue, if there is one. tokio tries no accept while it does not know of one, or once it
/// has let this task work for long enough (128 accepts in a row): then the queue is looked at once more, after a turn
/// of the I/O driver.
async fn next_in_accept_queue(listener: &TcpListener) -> Option<TcpStream> {
    let mut rechecks = 0;
    loop {
        match poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await {
            Poll::Ready(Ok((stream, _))) => return Some(stream),
            _ if rechecks == MAX_QUEUE_RECHECKS => return None,
            _ => rechecks += 1,
        }
        tokio::task::yield_now().await;
    }
}
