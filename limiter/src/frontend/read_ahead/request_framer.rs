//! Finds where requests end in the bytes of a client.

use bytes::BytesMut;

use crate::frontend::limits::{MAX_HEADERS, MAX_HEAD_BYTES};

/// How much of the present request has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The head is incomplete.
    Head(HeadProgress),
    /// The head is complete, and the body is not.
    Body {
        /// Number of bytes of the body that are missing, at least one.
        remaining: usize,
    },
    /// The request has been seen to its end.
    Complete,
    /// The end of the request cannot be found. hyper will reject the request and end the connection.
    Unknown,
}

/// How much of an incomplete head has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeadProgress {
    /// The request line has begun. Empty lines before it are ignored.
    has_begun: bool,
    /// Nothing but carriage returns has been seen of the present line.
    is_line_empty: bool,
}

/// Progress before the first byte of a request.
const BEGINNING: Progress = Progress::Head(HeadProgress { has_begun: false, is_line_empty: true });

/// The body of a request cannot be delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the end of the body is unknown")]
struct UnknownBodyLength;

/// Finds where requests end, so that hyper is given one at a time and pipelined bytes are noticed.
///
/// The framer does not decide which requests are valid: hyper parses the same bytes.
pub struct RequestFramer {
    progress: Progress,
    head: BytesMut,
}

impl RequestFramer {
    /// Creates a framer that has seen nothing.
    pub fn new() -> RequestFramer {
        RequestFramer { progress: BEGINNING, head: BytesMut::new() }
    }

    /// Returns whether the present request has been seen to its end.
    pub fn is_complete(&self) -> bool {
        self.progress == Progress::Complete
    }

    /// Begins the next request.
    pub fn begin_next(&mut self) {
        self.progress = BEGINNING;
        self.head.clear();
    }

    /// Follows the present request through the next bytes. Returns how many of them belong to it; any others
    /// are pipelined after it.
    pub fn advance(&mut self, bytes: &[u8]) -> usize {
        let mut length = 0;
        while length < bytes.len() {
            let rest = &bytes[length..];
            length += match self.progress {
                Progress::Head(progress) => self.advance_head(rest, progress),
                Progress::Body { remaining } => self.advance_body(rest, remaining),
                Progress::Complete => break,
                Progress::Unknown => rest.len(),
            };
        }
        length
    }

    /// Follows the head up to the empty line that ends it. Returns how many of the bytes belong to the head.
    fn advance_head(&mut self, bytes: &[u8], mut progress: HeadProgress) -> usize {
        for (index, byte) in bytes.iter().enumerate() {
            if *byte == b'\n' && progress.is_line_empty && progress.has_begun {
                self.head.extend_from_slice(&bytes[..=index]);
                self.progress = match body_length(&self.head) {
                    Ok(length) => progress_before_body(length),
                    Err(UnknownBodyLength) => Progress::Unknown,
                };
                return index + 1;
            }
            let is_line_end = matches!(byte, b'\r' | b'\n');
            progress.has_begun |= !is_line_end;
            progress.is_line_empty = *byte == b'\n' || (progress.is_line_empty && is_line_end);
        }
        self.head.extend_from_slice(bytes);
        let is_too_long = self.head.len() > MAX_HEAD_BYTES;
        self.progress = if is_too_long { Progress::Unknown } else { Progress::Head(progress) };
        bytes.len()
    }

    /// Follows the body. Returns how many of the bytes belong to it.
    fn advance_body(&mut self, bytes: &[u8], remaining: usize) -> usize {
        let length = bytes.len().min(remaining);
        self.progress = progress_before_body(remaining - length);
        length
    }
}

/// Returns the progress of a request whose body is short of `remaining` bytes.
fn progress_before_body(remaining: usize) -> Progress {
    if remaining > 0 {
        Progress::Body { remaining }
    } else {
        Progress::Complete
    }
}

/// Returns the length of the body that follows a complete head; 0 if the head declares none.
fn body_length(head: &[u8]) -> Result<usize, UnknownBodyLength> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let is_parsed = request.parse(head).is_ok_and(|status| status.is_complete());
    if !is_parsed {
        return Err(UnknownBodyLength);
    }
    let mut length = None;
    for header in request.headers.iter() {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(UnknownBodyLength);
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let value = parse_length(header.value).ok_or(UnknownBodyLength)?;
            // Repeated lengths must agree.
            if length.is_some_and(|length| length != value) {
                return Err(UnknownBodyLength);
            }
            length = Some(value);
        }
    }
    Ok(length.unwrap_or(0))
}

/// Parses the value of `Content-Length`.
fn parse_length(value: &[u8]) -> Option<usize> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
