//! The way of one request: read, validate, submit to the engine, respond.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use limiter_core::rules::INCOMPLETE_REQUEST_TIMEOUT_MS;
use tokio::time::{timeout_at, Instant};

use super::connection_state::ConnectionState;
use super::connections::Connections;
use super::read_ahead::ClientSocket;
use super::request_body::{read_body, RequestBodyError};
use super::request_head::{RequestHead, RequestHeadError};
use super::response::{self, ClientResponse};
use crate::engine::{DuplicateRequest, Engine, PendingResponse};
use crate::messages::request::ForwardedRequest;
use crate::observability::labels::InvalidRequestReason;
use crate::observability::metrics::Metrics;

/// A request has to arrive completely within this time from its first byte on, however slowly it trickles.
const INCOMPLETE_REQUEST_TIMEOUT: Duration = Duration::from_millis(INCOMPLETE_REQUEST_TIMEOUT_MS as u64);
/// Tells with its status whether the limiter is ready.
const READINESS_PATH: &str = "/-/ready";

/// Why a request was rejected before it reached the core. The message is the body of the response.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Head(#[from] RequestHeadError),
    #[error(transparent)]
    Body(#[from] RequestBodyError),
    #[error("a request with this X-Correlation-Id is open")]
    Duplicate,
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::Head(error) => error.status(),
            RequestError::Body(error) => error.status(),
            RequestError::Duplicate => StatusCode::CONFLICT,
        }
    }
}

/// Handles a request whose head has arrived. Polled by hyper within the connection's task, one request at a time; it
/// is cancelled only with the whole connection.
pub(super) async fn handle(
    engine: &Rc<Engine>,
    connections: &Connections,
    state: &ConnectionState,
    client: Rc<ClientSocket>,
    request: Request<Incoming>,
) -> ClientResponse {
    state.head_received();
    let mut response = respond(engine, state, client.clone(), request).await;
    // What was read behind this request is owed an answer, too.
    let is_last = connections.is_shutting_down() && !client.has_bytes_behind();
    if is_last || state.read_ahead_overflowed() {
        response::close_connection(&mut response);
        state.set_last_response();
    }
    state.response_ready();
    response
}

async fn respond(
    engine: &Rc<Engine>,
    state: &ConnectionState,
    client: Rc<ClientSocket>,
    request: Request<Incoming>,
) -> ClientResponse {
    let began = state.take_request_start();
    if request.uri().path() == READINESS_PATH {
        let status = if engine.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return response::empty(status);
    }
    match receive(engine, state, client, request, began).await {
        Ok(pending) => wait_for_response(state, pending).await,
        Err(error) => {
            let status = error.status();
            let reason = InvalidRequestReason::from_status(status);
            tracing::debug!(status = status.as_u16(), %reason, %error, "invalid request rejected");
            Metrics::count(&engine.metrics().invalid_requests, reason);
            response::reject(status, error.to_string())
        }
    }
}

/// Reads and validates a request that began at a moment, and submits it.
async fn receive(
    engine: &Rc<Engine>,
    state: &ConnectionState,
    client: Rc<ClientSocket>,
    request: Request<Incoming>,
    began: Instant,
) -> Result<PendingResponse, RequestError> {
    let (head, body) = request.into_parts();
    let RequestHead { request, target, correlation_id, idempotency_key } =
        RequestHead::parse(&head, engine.config())?;
    let body = timeout_at(began + INCOMPLETE_REQUEST_TIMEOUT, read_body(body)).await;
    state.body_received();
    let body = body.map_err(|_| RequestBodyError::TimedOut)??;
    if head.method == Method::GET && !body.is_empty() {
        return Err(RequestBodyError::UnexpectedWithGet.into());
    }
    let forwarded = ForwardedRequest { method: head.method, target, correlation_id, idempotency_key, body };
    let submitted = engine.submit(forwarded, request, state.last_arrival(), client);
    submitted.map_err(|DuplicateRequest| RequestError::Duplicate)
}

/// Waits for the final response, and has the connection's task look for a disconnect meanwhile. Cancelling drops the
/// pending response, which tells the engine that the client has disconnected.
async fn wait_for_response(state: &ConnectionState, pending: PendingResponse) -> ClientResponse {
    state.watch_disconnect(true);
    let response = pending.wait().await;
    state.watch_disconnect(false);
    response::from_final(response)
}
