//! The task of one client connection, which drives hyper.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use super::connection_state::ConnectionState;
use super::connections::{Connections, OpenConnection};
use super::limits::{MAX_HEAD_BYTES, MAX_READ_BYTES};
use super::read_ahead::{ClientSocket, ReadAhead, ReadAheadStream};
use super::request::RequestHandler;
use super::response::ClientResponse;
use crate::engine::Engine;
use crate::net::Stream;
use crate::observability::labels::{ClientCloseReason, Invariant};
use crate::observability::metrics::Metrics;

/// Adds a connection to the table and serves it in a separate task. `queued_since` is the earliest time at
/// which the connection may have entered the accept queue, if it may have waited there.
pub(super) fn spawn(
    engine: &Rc<Engine>,
    connections: &Rc<Connections>,
    stream: Stream,
    queued_since: Option<Instant>,
) {
    stream.set_nodelay();
    engine.metrics().client_connections_accepted.inc();
    let memory = connections.new_read_ahead_share();
    let stream = stream.with_max_read_bytes(MAX_READ_BYTES);
    let read_ahead = ReadAhead::new(stream, memory, engine.arrival_clock().clone(), queued_since);
    let task = ConnectionTask {
        engine: engine.clone(),
        connections: connections.clone(),
        connection: connections.add(),
    };
    tokio::task::spawn_local(async move {
        let reason = task.serve(read_ahead).await;
        task.record_close(reason);
    });
}

/// A client connection that is served by hyper.
type HttpConnection<S> = http1::Connection<TokioIo<ReadAheadStream>, S>;

/// The task of one connection. Dropping the task removes the connection from the table.
struct ConnectionTask {
    engine: Rc<Engine>,
    connections: Rc<Connections>,
    connection: OpenConnection,
}

impl ConnectionTask {
    /// Serves the connection until either side ends it.
    ///
    /// Awaited by the connection's task alone. When the future returns or is cancelled, it drops hyper's
    /// connection and with it the handler of an open request, and the engine treats the client as
    /// disconnected.
    async fn serve(&self, read_ahead: ReadAhead) -> ClientCloseReason {
        let state = self.connection.state();
        let read_ahead = Rc::new(RefCell::new(read_ahead));
        let client = Rc::new(ClientSocket::new(read_ahead.clone(), state.clone()));
        let handler =
            RequestHandler::new(self.engine.clone(), self.connections.clone(), state.clone(), client);
        let stream = ReadAheadStream::new(read_ahead.clone(), state.clone());
        let http = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service(handler));
        self.drive(http, &read_ahead).await
    }

    /// Polls hyper, and closes the connection when the table of connections requests that or the client
    /// disconnects.
    ///
    /// The order of the branches matters. hyper is polled first, so that bytes which have arrived are read
    /// before another branch closes the connection. The other branches are cancelled whenever one of them
    /// completes. This loses no bytes and no shutdown signal. An abort that is lost is requested again, as
    /// `CloseSignals::abort_requested` explains.
    async fn drive(
        &self,
        http: HttpConnection<impl RequestService>,
        read_ahead: &RefCell<ReadAhead>,
    ) -> ClientCloseReason {
        let state = self.connection.state();
        tokio::pin!(http);
        loop {
            tokio::select! {
                biased;
                result = &mut http => return match result {
                    Ok(()) => ClientCloseReason::Finished,
                    Err(_) => ClientCloseReason::ClientError,
                },
                () = state.close_signals().abort_requested() => {
                    // A request may have arrived since the abort was requested. The connection then stays
                    // open.
                    if state.facts(self.connections.is_shutting_down()).may_close() {
                        return ClientCloseReason::Aborted;
                    }
                }
                () = poll_fn(|cx| read_ahead.borrow_mut().poll_disconnected(state, cx)) => {
                    return ClientCloseReason::ClientDisconnected;
                }
                () = state.close_signals().shutdown_requested() => {
                    if may_shut_down_now(state, &read_ahead.borrow()) {
                        http.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Counts and logs the end of the connection. While a response is outstanding, only the client may end
    /// the connection, unless the client does not read the response. Any other end violates an invariant.
    fn record_close(&self, reason: ClientCloseReason) {
        let metrics = self.engine.metrics();
        let id = self.connection.id();
        let facts = self.connection.state().facts(false);
        let open_requests = facts.open_requests;
        Metrics::count(&metrics.client_connections_closed, reason);
        tracing::debug!(connection = id, %reason, open_requests, "client connection closed");
        let is_closed_by_limiter = matches!(reason, ClientCloseReason::Finished | ClientCloseReason::Aborted);
        if is_closed_by_limiter && !facts.may_close() {
            let detail = format_args!("connection {id} closed with {open_requests} requests open: {reason}");
            metrics.record_violation(Invariant::NoCloseWithOpenRequest, &detail);
        }
    }
}

/// Returns whether hyper may close the connection now, because no part of an unanswered request has been
/// read. Any other connection ends with its last response, or is examined again when a response has been
/// written.
fn may_shut_down_now(state: &ConnectionState, read_ahead: &ReadAhead) -> bool {
    let is_idle = state.facts(true).is_idle() && !read_ahead.has_bytes();
    is_idle || !state.has_received_bytes()
}

/// The service that hyper calls for each request.
trait RequestService: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible> {}

impl<S: Service<Request<Incoming>, Response = ClientResponse, Error = Infallible>> RequestService for S {}

/// Returns a service that passes each request to a handler.
fn service(handler: RequestHandler) -> impl RequestService {
    let handler = Rc::new(handler);
    service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok(handler.handle(request).await) }
    })
}
