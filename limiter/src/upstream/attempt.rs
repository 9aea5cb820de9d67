//! One attempt at a server: gets a connection, checks again that the attempt is allowed, sends the request
//! and reads the response up to a bounded length.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::Request;
use limiter_core::rules::{self, AttemptDenied, SendFacts};
use limiter_core::{Millis, Outcome};

use super::connection::{ConnectError, RequestSender};
use super::response::ServerResponse;
use super::servers::Servers;
use crate::engine::{Engine, ServerProcess};
use crate::messages::attempt::{AttemptJob, AttemptResult};
use crate::messages::body::{read_body, BodyError};
use crate::messages::request::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};

/// Shortest time left that is sent to a server, in seconds: the smallest positive value that the three
/// decimals of the header can express.
const MIN_TIME_LEFT_S: f64 = 0.001;

/// Why an attempt received no complete response.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The server accepts no requests.
    #[error("the server accepts no requests")]
    NotServing,
    /// The rules no longer allow the attempt. During the wait for a connection the server stopped serving,
    /// the client disconnected, or the time to begin passed.
    #[error("the attempt is no longer allowed: {0}")]
    Denied(#[source] AttemptDenied),
    /// The parts of the request do not form a valid head.
    #[error("the request cannot be written: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// No connection was available.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection ended before any byte of the request was written.
    #[error("the request was not written: {0}")]
    NotWritten(#[source] hyper::Error),
    /// The connection ended, or the server sent something other than a response, after bytes of the request
    /// may have been written.
    #[error("the connection was lost: {0}")]
    ConnectionLost(#[source] hyper::Error),
    /// The body of the response is too long or incomplete.
    #[error("no complete response: {0}")]
    Body(#[from] BodyError),
}

impl AttemptError {
    /// Returns the outcome that is reported to the core.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptError::NotServing
            | AttemptError::Denied(_)
            | AttemptError::InvalidRequest(_)
            | AttemptError::Connect(ConnectError::NoPermit | ConnectError::LocalResources(_)) => {
                Outcome::NotSent
            }
            AttemptError::Connect(_) | AttemptError::NotWritten(_) => Outcome::ConnectFailed,
            AttemptError::ConnectionLost(_) | AttemptError::Body(_) => Outcome::ConnectionLost,
        }
    }
}

/// Sends a request to its server and reads the response. On return, the connection is in the pool or closed.
///
/// Cancelling closes the connection, or abandons the connect: no part of the attempt continues.
///
/// # Errors
/// [`AttemptError`] if no complete response was read. In this case, the connection is closed.
pub async fn send_and_receive(
    servers: &Servers,
    engine: &Rc<Engine>,
    job: &AttemptJob,
) -> Result<AttemptResult, AttemptError> {
    let process = engine.serving_process(&job.server).ok_or(AttemptError::NotServing)?;
    let mut connection = servers.get_connection(engine, &job.server, process.address).await?;
    check_still_allowed(engine, job, process).await?;
    let request = build_request(job, process.address, job.server_deadline - engine.now())?;
    let response = connection.drive(async move |sender| exchange(sender, request).await).await?;
    // A process that has stopped serving or was replaced must receive no further request on this connection.
    // Such a connection is dropped here, because it was not in the pool when the idle connections were
    // closed.
    let is_serving = engine.serving_process(&job.server) == Some(process);
    if is_serving && connection.is_alive() {
        servers.put_idle(&job.server, connection);
    }
    Ok(response.into_result(servers.max_request_units()))
}

/// Checks that the attempt is still allowed, right before its first byte is written.
///
/// During the wait for a connection the server may have begun to drain, the client may have disconnected or
/// reached its deadline, or the deduplication window may have ended, after which servers no longer drop
/// duplicates. No new request is sent to a draining server, no request is forwarded for a client that has
/// disconnected, and a request that may have been executed is not sent again after that window.
///
/// The check of the client may wait, so it comes before the others.
///
/// # Errors
/// [`AttemptError::Denied`] contains the reason.
async fn check_still_allowed(
    engine: &Rc<Engine>,
    job: &AttemptJob,
    process: ServerProcess,
) -> Result<(), AttemptError> {
    let is_client_waiting = engine.is_client_waiting(job.id.request).await;
    let now = engine.now();
    let facts = SendFacts {
        is_client_waiting,
        is_serving: engine.serving_process(&job.server) == Some(process),
        begin_within_ms: job.latest_start - now,
        deadline_in_ms: job.deadline - now,
    };
    rules::may_send(&facts).map_err(AttemptError::Denied)
}

/// Builds the request to a server. `remaining_ms` is the client's remaining time as stated to the server.
fn build_request(
    job: &AttemptJob,
    address: SocketAddr,
    remaining_ms: Millis,
) -> hyper::http::Result<Request<Full<Bytes>>> {
    let forwarded = &job.request;
    let time_left_s = (remaining_ms / 1000.0).max(MIN_TIME_LEFT_S);
    let mut request = Request::builder()
        .method(forwarded.method.clone())
        .uri(forwarded.target.clone())
        .header(HOST, address.to_string())
        .header(CORRELATION_ID, forwarded.correlation_id.clone())
        .header(TIME_LEFT, format!("{time_left_s:.3}"));
    if let Some(key) = &forwarded.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, key.clone());
    }
    request.body(Full::new(forwarded.body.clone()))
}

/// Sends a request on a connection and reads the response to its end. After a cancellation, the connection
/// must be closed, because the rest of the response may still arrive.
///
/// # Errors
/// [`AttemptError::NotWritten`], [`AttemptError::ConnectionLost`] or [`AttemptError::Body`].
async fn exchange(
    sender: &mut RequestSender,
    request: Request<Full<Bytes>>,
) -> Result<ServerResponse, AttemptError> {
    let response = sender.try_send_request(request).await.map_err(|mut error| {
        // hyper returns the request if it was not written. Otherwise, it is unknown whether the request was
        // written.
        let is_unwritten = error.take_message().is_some();
        let error = error.into_error();
        if is_unwritten {
            AttemptError::NotWritten(error)
        } else {
            AttemptError::ConnectionLost(error)
        }
    })?;
    let (head, mut body) = response.into_parts();
    let body = read_body(&mut body).await?;
    Ok(ServerResponse { status: head.status, headers: head.headers, body })
}
