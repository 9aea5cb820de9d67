//! Reads the body of a request or a response, up to a bounded length.

use bytes::Bytes;
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

/// Initial capacity for a body whose length is not declared, in bytes.
const INITIAL_CAPACITY: usize = 4 << 10;

/// Reads a body to its end.
///
/// A body whose declared length is above [`MAX_BODY_BYTES`] is not read at all. The rest of a body that turns
/// out to be too long stays unread in `body`.
///
/// A body with a declared length occupies that many bytes, and no body occupies more than [`MAX_BODY_BYTES`]:
/// the connection limits assume this.
///
/// # Errors
/// [`BodyError`] if the body is too long or incomplete.
pub async fn read_body(body: &mut Incoming) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong);
    }
    let mut received = Vec::new();
    if let Some(length) = body.size_hint().exact() {
        received.reserve_exact(length as usize);
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else { continue };
        let length = received.len() + data.len();
        if length > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        reserve_for_length(&mut received, length);
        received.extend_from_slice(data);
    }
    received.shrink_to_fit();
    Ok(Bytes::from(received))
}

/// Makes room for `length` bytes in total, at most [`MAX_BODY_BYTES`]. The capacity doubles up to that bound,
/// and never exceeds it.
fn reserve_for_length(received: &mut Vec<u8>, length: usize) {
    if length <= received.capacity() {
        return;
    }
    let doubled = (received.capacity() * 2).max(INITIAL_CAPACITY);
    let capacity = doubled.clamp(length, MAX_BODY_BYTES);
    received.reserve_exact(capacity - received.len());
}
