//! Reads the body of a request or a response, up to a bounded length.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Longest body of a request or a response, in bytes. Bounds the memory of one request.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The connection failed before the end of the body.
    #[error("the body is incomplete: {0}")]
    Incomplete(hyper::Error),
}

/// Reads a body to its end.
///
/// A body whose declared length is above [`MAX_BODY_BYTES`] is not read at all. The rest of a body that turns
/// out to be too long stays unread in `body`.
///
/// # Errors
/// [`BodyError`] if the body is too long or incomplete.
pub async fn read_body(body: &mut Incoming) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong);
    }
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        if received.len() + data.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        received.extend_from_slice(data);
    }
    Ok(received.freeze())
}
