//! Reads the body of a request, up to a maximum length.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::messages::body::{self, BodyError};

/// Number of bytes of an oversized body after which the limiter stops reading and discarding them. Until
/// this bound, the limiter reads on so that the client receives the response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Longest time for which a body that is too large is read and discarded. Together with
/// [`MAX_DISCARDED_BYTES`], this limits how much a client can make the limiter read to no purpose.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the body of a request is invalid. The message is the body of the response.
#[derive(Debug, thiserror::Error)]
pub enum RequestBodyError {
    /// The body is longer than [`body::MAX_BODY_BYTES`].
    #[error("the body is too large")]
    TooLarge,
    /// The client closed the connection before the end of the body.
    #[error("the body did not come whole")]
    Incomplete(#[source] hyper::Error),
    /// The body did not arrive within the time for a request.
    #[error("the body did not come in time")]
    TimedOut,
    /// A GET request has a body.
    #[error("a GET has no body")]
    UnexpectedWithGet,
}

impl RequestBodyError {
    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestBodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestBodyError::TimedOut => StatusCode::REQUEST_TIMEOUT,
            RequestBodyError::Incomplete(_) | RequestBodyError::UnexpectedWithGet => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads the complete body.
///
/// The caller limits the time by cancelling, which drops the body and leaves the rest of it unread. In this
/// case, the response must end the connection, as the response to every invalid request does.
///
/// # Errors
/// [`RequestBodyError::TooLarge`], after the client has had time to send the rest of the body, or
/// [`RequestBodyError::Incomplete`].
pub async fn read_body(mut body: Incoming) -> Result<Bytes, RequestBodyError> {
    match body::read_body(&mut body).await {
        Ok(received) => Ok(received),
        Err(BodyError::TooLong) => Err(discard_rest(body).await),
        Err(BodyError::Incomplete(error)) => Err(RequestBodyError::Incomplete(error)),
    }
}

/// Reads and discards the rest of a body that is too large, within the bounds on bytes and time. Closing the
/// socket while it has unread bytes would reset the connection, and the client could lose the response.
async fn discard_rest(body: Incoming) -> RequestBodyError {
    // The response is written whether or not the rest of the body arrives in time.
    let _ = timeout(DISCARD_TIMEOUT, read_and_drop(body)).await;
    RequestBodyError::TooLarge
}

/// Reads a body to its end, or until more than [`MAX_DISCARDED_BYTES`] have been read, and drops the bytes.
async fn read_and_drop(mut body: Incoming) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
