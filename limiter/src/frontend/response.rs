//! Responses to clients.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};
use limiter_core::Millis;

use crate::messages::request::FinalResponse;

/// A response to a client, with its complete body in memory.
pub(super) type ClientResponse = Response<Full<Bytes>>;

/// Returns a response without a body.
pub(super) fn empty(status: StatusCode) -> ClientResponse {
    with_body(status, Bytes::new())
}

/// Returns the response to an invalid request, which is not submitted. The body of the request may be unread,
/// so the response ends the connection.
pub(super) fn invalid_request(status: StatusCode, reason: String) -> ClientResponse {
    let mut response = with_body(status, Bytes::from(reason));
    close_connection(&mut response);
    response
}

/// Returns the response to a request that was submitted.
pub(super) fn from_final(response: FinalResponse) -> ClientResponse {
    match response {
        FinalResponse::Served(body) => Response::new(Full::new(body)),
        FinalResponse::Rejected { retry_after_ms } => too_many_requests(retry_after_ms),
        FinalResponse::Failed => empty(StatusCode::BAD_GATEWAY),
    }
}

/// Returns the response to a valid request that was not submitted, because client connections are scarce,
/// with advice on when to retry if there is any.
pub(super) fn overloaded(retry_after_ms: Millis) -> ClientResponse {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    advise_retry(&mut response, retry_after_ms);
    response
}

/// Makes hyper close the connection after this response, and announces that to the client.
pub(super) fn close_connection(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Returns the response to a submitted request that was rejected, with advice on when to retry if there is
/// any.
fn too_many_requests(retry_after_ms: Millis) -> ClientResponse {
    let mut response = empty(StatusCode::TOO_MANY_REQUESTS);
    advise_retry(&mut response, retry_after_ms);
    response
}

/// Adds the time in milliseconds after which the client should retry, unless it is 0.
fn advise_retry(response: &mut ClientResponse, retry_after_ms: Millis) {
    if retry_after_ms <= 0.0 {
        return;
    }
    if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0)) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
}

/// Returns a response with a status and a body.
fn with_body(status: StatusCode, body: Bytes) -> ClientResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
