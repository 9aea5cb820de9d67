//! Reading of a request's body, of bounded length.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::messages::body::{self, BodyError};

/// Of a body that is too large, at most this much more is read, so that its sender sees the response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Longest time for which a body that is too large is read on.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request was rejected by its body. The message is the body of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestBodyError {
    /// It is longer than [`body::MAX_BODY_BYTES`].
    #[error("the body is too large")]
    TooLarge,
    /// The client closed the connection before its end.
    #[error("the body did not come whole")]
    Incomplete,
    /// It did not arrive within the time for a request.
    #[error("the body did not come in time")]
    TimedOut,
    /// A GET request has a body.
    #[error("a GET has no body")]
    UnexpectedWithGet,
}

impl RequestBodyError {
    /// The status of the response.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestBodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestBodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            RequestBodyError::Incomplete | RequestBodyError::UnexpectedWithGet => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads the complete body. The caller bounds the time by cancelling this, which drops the body: what follows of it is
/// unread, so the response has to end the connection, as that of every rejection does.
///
/// # Errors
/// [`RequestBodyError::TooLarge`], once the sender has had its chance to finish, or [`RequestBodyError::Incomplete`].
pub(super) async fn read_body(mut body: Incoming) -> Result<Bytes, RequestBodyError> {
    match body::read_body(&mut body).await {
        Ok(received) => Ok(received),
        Err(BodyError::TooLong) => Err(discard(body).await),
        Err(BodyError::Incomplete(_)) => Err(RequestBodyError::Incomplete),
    }
}

/// Reads on, within bounds, before a body is rejected as too large. Guards against a response lost in a reset, which
/// closing a socket with unread bytes would cause.
async fn discard(body: Incoming) -> RequestBodyError {
    let _ = timeout(DISCARD_TIMEOUT, read_and_drop(body)).await;
    RequestBodyError::TooLarge
}

async fn read_and_drop(mut body: Incoming) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
