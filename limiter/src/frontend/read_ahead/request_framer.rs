//! Finds the end of each request in the bytes of a client.

use crate::frontend::limits::{MAX_HEADERS, MAX_HEAD_BYTES};

/// How much of the current request has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The head is incomplete.
    Head(HeadProgress),
    /// The head is complete, and the body is incomplete.
    Body {
        /// Number of missing bytes of the body, at least one.
        remaining: usize,
    },
    /// The request is complete.
    Complete,
    /// The end of the request cannot be found. hyper will reject the request and end the connection.
    Unknown,
}

/// How much of an incomplete head has been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeadProgress {
    /// Whether the request line has begun. Empty lines before the request line are ignored.
    has_begun: bool,
    /// Whether nothing but carriage returns has been seen of the current line.
    is_line_empty: bool,
}

/// Progress before the first byte of a request.
const REQUEST_START: Progress = Progress::Head(HeadProgress { has_begun: false, is_line_empty: true });

/// Returned when the end of a request's body cannot be found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the end of the body is unknown")]
struct UnknownBodyLength;

/// Finds the end of each request, so that hyper is given one request at a time and pipelined bytes are
/// detected.
///
/// The framer does not decide which requests are valid: hyper parses the same bytes.
pub struct RequestFramer {
    progress: Progress,
    /// The head of the current request as far as it has been seen, while it is incomplete. Empty otherwise,
    /// so that an idle connection occupies no memory for it.
    head: Vec<u8>,
}

impl RequestFramer {
    /// Creates a framer that expects the first byte of a request.
    pub fn new() -> RequestFramer {
        RequestFramer { progress: REQUEST_START, head: Vec::new() }
    }

    /// Returns whether the current request is complete.
    pub fn is_complete(&self) -> bool {
        self.progress == Progress::Complete
    }

    /// Begins the next request.
    pub fn begin_next(&mut self) {
        self.progress = REQUEST_START;
    }

    /// Processes the next bytes. Returns how many of them belong to the current request; any others are
    /// pipelined after the request.
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

    /// Processes the head up to its final empty line. Returns how many of the bytes belong to the head.
    fn advance_head(&mut self, bytes: &[u8], mut progress: HeadProgress) -> usize {
        for (index, byte) in bytes.iter().enumerate() {
            if *byte == b'\n' && progress.is_line_empty && progress.has_begun {
                self.progress = self.progress_after_head(&bytes[..=index]);
                return index + 1;
            }
            let is_line_end = matches!(byte, b'\r' | b'\n');
            progress.has_begun |= !is_line_end;
            progress.is_line_empty = *byte == b'\n' || (progress.is_line_empty && is_line_end);
        }
        self.progress = if self.head.len() + bytes.len() > MAX_HEAD_BYTES {
            self.head = Vec::new();
            Progress::Unknown
        } else {
            self.head.extend_from_slice(bytes);
            Progress::Head(progress)
        };
        bytes.len()
    }

    /// Returns the progress of a request whose head ends with `last_bytes`, and releases the stored part of
    /// the head.
    fn progress_after_head(&mut self, last_bytes: &[u8]) -> Progress {
        let mut head = std::mem::take(&mut self.head);
        let length = if head.is_empty() {
            body_length(last_bytes)
        } else {
            head.extend_from_slice(last_bytes);
            body_length(&head)
        };
        match length {
            Ok(length) => body_progress(length),
            Err(UnknownBodyLength) => Progress::Unknown,
        }
    }

    /// Processes the body. Returns how many of the bytes belong to the body.
    fn advance_body(&mut self, bytes: &[u8], remaining: usize) -> usize {
        let length = bytes.len().min(remaining);
        self.progress = body_progress(remaining - length);
        length
    }
}

/// Returns the progress of a request with a complete head, whose body lacks `remaining` bytes.
fn body_progress(remaining: usize) -> Progress {
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
            // All declared lengths must be equal.
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
