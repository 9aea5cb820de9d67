//! Reading of a body of bounded length, of a request or of a response.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Longest body taken in, of a request or of a response.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The connection failed before its end.
    #[error("the body broke off: {0}")]
    Incomplete(hyper::Error),
}

/// Reads a body to its end. One that announces more than [`MAX_BODY_BYTES`] is not waited for; what follows of one that
/// is too long is left in `body`.
///
/// # Errors
/// [`BodyError`] if it is too long or breaks off.
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
