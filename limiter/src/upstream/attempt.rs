//! One attempt at a server: a request is written to a connection, and its response read within bounds.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HOST};
use hyper::{Request, StatusCode};
use limiter_core::rules::{self, AttemptDenied, SendFacts};
use limiter_core::{Millis, Outcome};

use super::connection::{ConnectError, RequestSender};
use super::Servers;
use crate::engine::Engine;
use crate::messages::attempt::{AttemptJob, AttemptResult};
use crate::messages::body::{read_body, BodyError};
use crate::messages::request::{CORRELATION_ID, IDEMPOTENCY_KEY, TIME_LEFT};

/// Says with a failure that the server did not process the request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// Value of [`UNPROCESSED`] that says so.
const UNPROCESSED_TRUE: &str = "1";
/// Units that the request really cost, with its first good response.
const ACTUAL_COST: HeaderName = HeaderName::from_static("x-true-cost");
/// Least time left that is sent to a server, in seconds: the least that the header's three decimals can express.
const MIN_TIME_LEFT_S: f64 = 0.001;

/// Why an attempt has no response that can be judged.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The server takes no requests.
    #[error("the server takes no requests")]
    NotServing,
    /// The rules do not allow it any more: while a connection was waited for, the server, the client or the time to begin
    /// was lost.
    #[error("the attempt came too late: {0}")]
    Refused(AttemptDenied),
    /// The request's parts make no valid head.
    #[error("the request cannot be written: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// There is no connection.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection ended before any of the request was written.
    #[error("the request was not written: {0}")]
    NotWritten(hyper::Error),
    /// The connection ended, or what came is no response, after some of the request may have been written.
    #[error("the connection was lost: {0}")]
    ConnectionLost(hyper::Error),
    /// The body of the response is too long or breaks off.
    #[error("no complete response: {0}")]
    Body(#[from] BodyError),
}

impl AttemptError {
    /// The outcome that is reported to the core.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptError::NotServing | AttemptError::Refused(_) | AttemptError::InvalidRequest(_) => {
                Outcome::NotSent
            }
            AttemptError::Connect(ConnectError::NoPermit | ConnectError::LocalResources(_)) => {
                Outcome::NotSent
            }
            AttemptError::Connect(_) | AttemptError::NotWritten(_) => Outcome::ConnectFailed,
            AttemptError::ConnectionLost(_) | AttemptError::Body(_) => Outcome::ConnectionLost,
        }
    }
}

/// A response that was read to its end.
struct ServerResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Sends a request to its server and reads the response.
///
/// Dropping the future closes the connection, or abandons the connect: nothing of the attempt goes on. A connection is
/// back in the pool or closed when the future completes.
///
/// # Errors
/// [`AttemptError`] if no response was read to its end; the connection is closed then.
pub async fn send_and_receive(
    servers: &Servers,
    engine: &Rc<Engine>,
    job: &AttemptJob,
) -> Result<AttemptResult, AttemptError> {
    let address = engine.serving_address(&job.server).ok_or(AttemptError::NotServing)?;
    let mut connection = servers.connection_to(engine, &job.server, address).await?;
    check_still_wanted(engine, job, address)?;
    let request = build_request(job, address, job.server_deadline - engine.now())?;
    let response = connection.drive(async move |sender| send_request(sender, request).await).await?;
    // A server that takes no requests by now gets none on this connection, and nobody would close it.
    let is_serving = engine.serving_address(&job.server) == Some(address);
    if is_serving && connection.is_alive() {
        servers.keep_idle(&job.server, connection);
    }
    Ok(classify_response(response, servers.max_request_units))
}

/// The wait for a connection may have outlived the server's readiness, the client's patience, or the window in which
/// servers drop duplicates: nothing new goes to one that drains, nothing is forwarded for a client that has gone, and
/// what may have run is not sent again.
fn check_still_wanted(
    engine: &Rc<Engine>,
    job: &AttemptJob,
    address: SocketAddr,
) -> Result<(), AttemptError> {
    let now = engine.now();
    let facts = SendFacts {
        is_client_waiting: engine.is_client_waiting(job.id.request),
        is_serving: engine.serving_address(&job.server) == Some(address),
        begin_within_ms: job.latest_start - now,
        deadline_in_ms: job.deadline - now,
    };
    rules::may_send(&facts).map_err(AttemptError::Refused)
}

fn build_request(
    job: &AttemptJob,
    address: SocketAddr,
    time_left_ms: Millis,
) -> hyper::http::Result<Request<Full<Bytes>>> {
    let forwarded = &job.request;
    let time_left_s = (time_left_ms / 1000.0).max(MIN_TIME_LEFT_S);
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

async fn send_request(
    sender: &mut RequestSender,
    request: Request<Full<Bytes>>,
) -> Result<ServerResponse, AttemptError> {
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        // A request that is given back was not written; of any other it is not known.
        Err(mut error) => {
            return Err(match error.take_message() {
                Some(_) => AttemptError::NotWritten(error.into_error()),
                None => AttemptError::ConnectionLost(error.into_error()),
            })
        }
    };
    let (head, mut body) = response.into_parts();
    let body = read_body(&mut body).await?;
    Ok(ServerResponse { status: head.status, headers: head.headers, body })
}

/// What a response means for the core.
fn classify_response(response: ServerResponse, max_request_units: f64) -> AttemptResult {
    let unprocessed = response.headers.get(UNPROCESSED).is_some_and(|value| value == UNPROCESSED_TRUE);
    match response.status {
        StatusCode::OK => AttemptResult {
            outcome: Outcome::Ok,
            body: Some(response.body),
            actual_units: actual_units(&response.headers, max_request_units),
        },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
            Outcome::Rejected.into()
        }
        _ => Outcome::Error.into(),
    }
}

/// The units that a good response says the request really cost; a figure that no request can have counts as none.
fn actual_units(headers: &HeaderMap, max_request_units: f64) -> Option<f64> {
    let units = headers.get(ACTUAL_COST)?.to_str().ok()?.trim().parse::<f64>().ok()?;
    (units > 0.0 && units <= max_request_units).then_some(units)
}
