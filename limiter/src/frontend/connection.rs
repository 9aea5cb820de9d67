//! One client connection: the task that drives hyper on it.

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use super::connection_state::ConnectionState;
use super::connections::Connections;
use super::read_ahead::{ClientSocket, ReadAhead, ReadAheadStream};
use super::request_handler;
use crate::engine::Engine;
use crate::net::Stream;
use crate::observability::labels::{ClientCloseReason, Invariant};
use crate::observability::metrics::Metrics;

/// Longest head of a request.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;

/// Adds a connection to the table and serves it in a task of its own. `queued_since` says since when it may have waited to
/// be accepted; none if it has not.
pub(super) fn spawn(
    engine: &Rc<Engine>,
    connections: &Rc<Connections>,
    stream: Stream,
    queued_since: Option<Instant>,
) {
    stream.set_nodelay();
    let (id, state) = connections.add();
    engine.metrics().client_connections_accepted.inc();
    let (engine, connections) = (engine.clone(), connections.clone());
    tokio::task::spawn_local(async move {
        let memory = connections.read_ahead_memory().share();
        let read_ahead = ReadAhead::new(stream, memory, engine.arrival_clock().clone(), queued_since);
        let reason = serve(&engine, &connections, &state, read_ahead).await;
        record_close(&engine, id, &state, reason);
        connections.remove(id);
    });
}

/// Counts and logs the end of a connection. Only its client may end it while a response is owed.
fn record_close(engine: &Engine, id: u64, state: &ConnectionState, reason: ClientCloseReason) {
    let metrics = engine.metrics();
    Metrics::count(&metrics.client_connections_closed, reason);
    let open_requests = state.facts(false).open_requests;
    tracing::debug!(connection = id, %reason, open_requests, "client connection closed");
    let is_by_limiter = matches!(reason, ClientCloseReason::Finished | ClientCloseReason::Aborted);
    if is_by_limiter && !state.facts(false).may_close() {
        let detail = format_args!("connection {id} closed with {open_requests} requests open: {reason}");
        metrics.record_violation(Invariant::NoCloseWithOpenRequest, &detail);
    }
}

/// Serves until the connection ends, from either side.
///
/// Awaited by the connection's task alone. Its return drops hyper's connection, and with it the handler of an open
/// request: the engine then takes the client for disconnected. The order of the branches matters: hyper goes first,
/// so that what has arrived is read before anything closes the connection.
async fn serve(
    engine: &Rc<Engine>,
    connections: &Rc<Connections>,
    state: &Rc<ConnectionState>,
    read_ahead: ReadAhead,
) -> ClientCloseReason {
    let read_ahead = Rc::new(RefCell::new(read_ahead));
    let service = service_fn(|request| {
        let (engine, connections, state) = (engine.clone(), connections.clone(), state.clone());
        let client = Rc::new(ClientSocket::new(read_ahead.clone(), state.clone()));
        async move {
            let response = request_handler::handle(&engine, &connections, &state, client, request).await;
            Ok::<_, Infallible>(response)
        }
    });
    let stream = ReadAheadStream::new(read_ahead.clone(), state.clone());
    let http = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(http);
    loop {
        tokio::select! {
            biased;
            // An error here is the client's: it left, or sent what is not HTTP.
            served = &mut http => return served.map_or(ClientCloseReason::ClientError, |()| ClientCloseReason::Finished),
            // If a request has arrived meanwhile, the connection stays.
            () = state.abort_requested() => if state.facts(connections.is_shutting_down()).may_close() { return ClientCloseReason::Aborted },
            () = poll_fn(|cx| read_ahead.borrow_mut().poll_disconnected(state, cx)) => return ClientCloseReason::ClientDisconnected,
            () = state.shutdown_requested() => {
                // Else it ends with its last response, or is looked at again once one is written.
                let is_idle = state.facts(true).is_idle() && !read_ahead.borrow().has_bytes();
                if is_idle || !state.has_received_bytes() {
                    http.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
