//! HTTP requests of clients, and functions that read responses on the client's side of a connection.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::{read_message, retry_on_interrupt, HttpMessage, WAIT_TIMEOUT};

/// A request for the readiness of the limiter, which is answered with 200 or 503.
pub const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// Correlation id of a request, unless the test chooses another.
const DEFAULT_CORRELATION_ID: &str = "c-1";
/// Customer of a request, unless the test chooses another.
pub const DEFAULT_CUSTOMER: &str = "00000000b4d65521";

/// Returns a request without a body, of the request class `class`. `headers` is added to the head; each of
/// its headers ends with a line end.
pub fn request_of_class(class: &str, headers: &str) -> String {
    format!(
        "GET /{class}/{DEFAULT_CUSTOMER}?x=1 HTTP/1.1\r\n\
         Host: service.internal\r\n\
         X-Correlation-Id: {DEFAULT_CORRELATION_ID}\r\n\
         X-Tariff: basic\r\n\
         X-Time-Left: 3.0\r\n\
         X-Weight: units=1,spread=1,first=0\r\n\
         {headers}\r\n"
    )
}

/// Returns an idempotent request with the correlation id `c-1`. Its client waits 3 s.
pub fn idempotent_request() -> String {
    request_of_class("look", "")
}

/// Returns an idempotent request with this correlation id. Its client waits 3 s.
pub fn idempotent_request_with_id(id: &str) -> String {
    idempotent_request().replace(DEFAULT_CORRELATION_ID, id)
}

/// Returns an idempotent request whose client waits 60 s, which is longer than any test takes.
pub fn request_with_long_timeout(id: &str) -> String {
    idempotent_request().replace("Left: 3.0", "Left: 60").replace(DEFAULT_CORRELATION_ID, id)
}

/// Returns a request with an idempotency key and a body. The correlation id is `c-{key}`.
pub fn request_with_key(key: &str, body: &str) -> String {
    request_with_key_and_headers(key, "", body)
}

/// Returns a request with an idempotency key, a body and further headers, each of which ends with a line end.
/// The correlation id is `c-{key}`.
pub fn request_with_key_and_headers(key: &str, headers: &str, body: &str) -> String {
    let headers = format!("Idempotency-Key: {key}\r\nContent-Length: {}\r\n{headers}", body.len());
    let head = request_of_class("book", &headers).replacen("GET", "POST", 1);
    head.replace(DEFAULT_CORRELATION_ID, &format!("c-{key}")) + body
}

/// Adds a header to a request, so that the request is exactly as long as the first read of the limiter on a
/// new connection. Nothing of a request that follows is read together with it.
///
/// # Panics
///
/// Panics if the request is longer than that.
pub fn pad_to_one_read(request: &str) -> String {
    const FIRST_READ_BYTES: usize = 8192;
    const NEXT_HEADER: &str = "X-Tariff";
    let padding_header = |padding: &str| format!("X-Padding: {padding}\r\n{NEXT_HEADER}");
    let with_header = |padding: &str| request.replace(NEXT_HEADER, &padding_header(padding));
    let missing = FIRST_READ_BYTES.checked_sub(with_header("").len()).expect("a short request");
    with_header(&"x".repeat(missing))
}

/// Reads one response from a connection and returns when the response is complete.
///
/// # Panics
///
/// Panics if the connection is closed before the response is complete, or nothing is received for
/// [`WAIT_TIMEOUT`].
pub fn read_response(stream: &mut TcpStream) -> HttpMessage {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    read_message(stream).expect("a complete response")
}

/// Writes a request to a connection and returns its response.
///
/// # Panics
///
/// Panics if the request cannot be written, or if [`read_response`] panics.
pub fn send_and_receive(stream: &mut TcpStream, request: &str) -> HttpMessage {
    stream.write_all(request.as_bytes()).expect("a written request");
    read_response(stream)
}

/// A connection that the limiter has closed or reset.
pub struct ClosedConnection {
    /// All bytes that were received before the connection ended.
    pub received_text: String,
    /// Time from the start that the test passed to [`read_until_closed`] to the end of the connection.
    pub elapsed: Duration,
}

/// Reads from a connection and returns when the limiter has closed or reset it.
///
/// # Panics
///
/// Panics if nothing is received for [`WAIT_TIMEOUT`].
pub fn read_until_closed(stream: &mut TcpStream, started_at: Instant) -> ClosedConnection {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match retry_on_interrupt(|| stream.read(&mut buffer)) {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                panic!("nothing received for {WAIT_TIMEOUT:?}")
            }
            _ => break,
        }
    }
    ClosedConnection {
        received_text: String::from_utf8_lossy(&received).into_owned(),
        elapsed: started_at.elapsed(),
    }
}
