//! The steps of one request: receive, validate, submit to the engine, respond.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use limiter_core::rules::{may_submit, Eviction, SubmissionFacts, INCOMPLETE_REQUEST_TIMEOUT_MS};
use limiter_core::Millis;
use tokio::time::{sleep_until, Instant};

use super::body::{read_body, RequestBodyError};
use super::head::{RequestHead, RequestHeadError};
use crate::engine::{DuplicateRequest, Engine, PendingResponse};
use crate::frontend::connection_state::ConnectionState;
use crate::frontend::connections::Connections;
use crate::frontend::read_ahead::ClientSocket;
use crate::frontend::response::{self, ClientResponse};
use crate::messages::request::ForwardedRequest;
use crate::observability::labels::{InvalidRequestReason, ShedReason};
use crate::observability::metrics::Metrics;

/// Time within which a request has to arrive completely, measured from its first byte, or from the accept for
/// the first request of a connection. Applies even if the client keeps sending slowly.
const INCOMPLETE_REQUEST_TIMEOUT: Duration = Duration::from_millis(INCOMPLETE_REQUEST_TIMEOUT_MS as u64);
/// Path of the readiness check. The status of the response says whether the limiter is ready.
const READINESS_PATH: &str = "/-/ready";

/// Why a request was rejected before it was submitted. The message is the body of the response.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    /// The head is invalid.
    #[error(transparent)]
    Head(#[from] RequestHeadError),
    /// The body is invalid, or did not arrive.
    #[error(transparent)]
    Body(#[from] RequestBodyError),
    /// A server could not distinguish the request from an earlier one.
    #[error(transparent)]
    Duplicate(#[from] DuplicateRequest),
    /// The request is valid as far as it was read, and client connections are scarce. The client may send it
    /// again.
    #[error("too many connections")]
    Shed {
        /// Why the request was chosen.
        reason: ShedReason,
        /// Time in milliseconds after which the client should retry; 0 if the client is not advised.
        retry_after_ms: Millis,
    },
}

impl RequestError {
    /// Returns the status of the response.
    fn status(&self) -> StatusCode {
        match self {
            RequestError::Head(error) => error.status(),
            RequestError::Body(error) => error.status(),
            RequestError::Duplicate(_) => StatusCode::CONFLICT,
            RequestError::Shed { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Handles the requests of one connection.
pub struct RequestHandler {
    engine: Rc<Engine>,
    connections: Rc<Connections>,
    state: Rc<ConnectionState>,
    client: Rc<ClientSocket>,
}

impl RequestHandler {
    /// Creates the handler of the connection with the given state and socket.
    pub fn new(
        engine: Rc<Engine>,
        connections: Rc<Connections>,
        state: Rc<ConnectionState>,
        client: Rc<ClientSocket>,
    ) -> RequestHandler {
        RequestHandler { engine, connections, state, client }
    }

    /// Handles a request whose head has arrived.
    ///
    /// Polled by hyper within the connection's task, one request at a time. The future is cancelled only
    /// together with the connection; the engine then treats the client as disconnected.
    pub async fn handle(&self, request: Request<Incoming>) -> ClientResponse {
        self.state.record_head_received();
        let mut response = self.respond(request).await;
        if self.is_last_response() {
            self.end_connection_with(&mut response);
        }
        self.state.record_response_ready();
        response
    }

    /// Makes a response the last one of its connection.
    fn end_connection_with(&self, response: &mut ClientResponse) {
        response::close_connection(response);
        self.state.record_last_response();
    }

    /// Returns whether the connection has to end with the response to the current request. During the
    /// shutdown, requests that were pipelined after this one are answered first. After an overflow of the
    /// read-ahead buffer, bytes that follow this request have been dropped.
    fn is_last_response(&self) -> bool {
        let is_last_before_shutdown =
            self.connections.is_shutting_down() && !self.client.has_pipelined_bytes();
        is_last_before_shutdown || self.state.has_read_ahead_overflowed()
    }

    /// Returns the response to a request. The engine treats cancelling as a disconnect of the client.
    async fn respond(&self, request: Request<Incoming>) -> ClientResponse {
        let started_at = self.state.request_start();
        if request.uri().path() == READINESS_PATH {
            return self.readiness_response();
        }
        match self.receive_and_submit(request, started_at).await {
            Ok(pending) => self.wait_for_response(pending).await,
            Err(error) => self.reject(&error),
        }
    }

    /// Returns the response to a readiness check.
    fn readiness_response(&self) -> ClientResponse {
        let status = if self.engine.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response::empty(status)
    }

    /// Counts and logs a request that was rejected before it was submitted, and returns its response.
    fn reject(&self, error: &RequestError) -> ClientResponse {
        if let RequestError::Shed { reason, retry_after_ms } = error {
            return self.shed(*reason, *retry_after_ms);
        }
        let engine = &self.engine;
        let status = error.status();
        let reason = InvalidRequestReason::from_status(status);
        tracing::debug!(status = status.as_u16(), %reason, %error, "invalid request rejected");
        Metrics::count(&engine.metrics().invalid_requests, reason);
        response::invalid_request(status, error.to_string())
    }

    /// Counts and logs a request that was shed, and returns its response. The connection is needed for
    /// another client and ends with the response, unless further requests have been read from it.
    fn shed(&self, reason: ShedReason, retry_after_ms: Millis) -> ClientResponse {
        tracing::debug!(%reason, "request shed");
        Metrics::count(&self.engine.metrics().shed_requests, reason);
        let mut response = response::overloaded(retry_after_ms);
        if !self.client.has_pipelined_bytes() {
            self.end_connection_with(&mut response);
        }
        response
    }

    /// Receives and validates a request that began to arrive at `started_at`, and submits it.
    ///
    /// # Errors
    /// [`RequestError`] if the request is invalid, does not arrive in time, or has the correlation id of an
    /// earlier request that is pending or may have been executed.
    async fn receive_and_submit(
        &self,
        request: Request<Incoming>,
        started_at: Instant,
    ) -> Result<PendingResponse, RequestError> {
        let (parts, body) = request.into_parts();
        let head = RequestHead::parse(&parts, self.engine.config())?;
        // The header fields occupy several times the memory of the parsed head, and the body may be slow.
        drop(parts);
        let body = self.receive_body(body, &head.request, started_at).await;
        self.state.record_body_end();
        let body = body?;
        if head.method == Method::GET && !body.is_empty() {
            return Err(RequestBodyError::UnexpectedWithGet.into());
        }
        self.check_connection_limit(&head.request)?;
        let forwarded = ForwardedRequest {
            method: head.method,
            target: head.target,
            correlation_id: head.correlation_id,
            idempotency_key: head.idempotency_key,
            body,
        };
        let arrival = self.state.last_arrival();
        Ok(self.engine.submit(forwarded, head.request, arrival, self.client.clone())?)
    }

    /// Receives the body of a request that began to arrive at `started_at`. The body is read before any other
    /// branch decides.
    ///
    /// # Errors
    /// [`RequestError`] if the body is invalid or does not arrive in time, or if the connection is evicted.
    async fn receive_body(
        &self,
        body: Incoming,
        request: &limiter_core::Request,
        started_at: Instant,
    ) -> Result<Bytes, RequestError> {
        let deadline = started_at + INCOMPLETE_REQUEST_TIMEOUT;
        tokio::select! {
            biased;
            body = read_body(body) => Ok(body?),
            () = self.evicted() => Err(self.shed_error(ShedReason::Evicted, request)),
            () = sleep_until(deadline) => Err(RequestBodyError::TimedOut.into()),
        }
    }

    /// Checks that not too many connections have a request that was submitted.
    ///
    /// # Errors
    /// [`RequestError::Shed`] if the request must not be submitted.
    fn check_connection_limit(&self, request: &limiter_core::Request) -> Result<(), RequestError> {
        let max_busy_connections = self.engine.config().max_busy_client_connections;
        if self.connections.len() <= max_busy_connections {
            return Ok(());
        }
        let busy_connections = self.connections.num_busy();
        if may_submit(SubmissionFacts { busy_connections, max_busy_connections }) {
            return Ok(());
        }
        Err(self.shed_error(ShedReason::ConnectionLimit, request))
    }

    /// Returns the error of a request that is shed.
    fn shed_error(&self, reason: ShedReason, request: &limiter_core::Request) -> RequestError {
        RequestError::Shed { reason, retry_after_ms: self.engine.retry_after_ms(request) }
    }

    /// Completes when the open request, whose body is incomplete, has to be rejected in favour of another
    /// connection.
    async fn evicted(&self) {
        loop {
            self.state.close_signals().rejection_requested().await;
            let facts = self.state.facts(self.connections.is_shutting_down());
            if facts.eviction() == Some(Eviction::RejectRequest) {
                return;
            }
        }
    }

    /// Waits for the final response. Meanwhile, the connection's task watches for a disconnect of the client.
    ///
    /// Cancelling drops `pending`, which reports the disconnect to the engine.
    async fn wait_for_response(&self, pending: PendingResponse) -> ClientResponse {
        let disconnect_watch = self.state.watch_for_disconnect();
        let response = pending.wait().await;
        drop(disconnect_watch);
        response::from_final(response)
    }
}
