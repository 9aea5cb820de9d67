//! Requests as clients write them, and their connections.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::{read_message, retry_on_interrupt, HttpMessage, WAIT_TIMEOUT};

pub const READINESS_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// The id of a request that is given no other.
const DEFAULT_ID: &str = "c-1";
/// The customer of a request that is given no other.
pub const DEFAULT_CUSTOMER: &str = "00000000b4d65521";

/// A request with further headers, each with its line end.
pub fn request_of_class(class: &str, headers: &str) -> String {
    format!(
        "GET /{class}/{DEFAULT_CUSTOMER}?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {DEFAULT_ID}\r\n\
         X-Tariff: basic\r\nX-Time-Left: 3.0\r\nX-Weight: units=1,spread=1,first=0\r\n{headers}\r\n"
    )
}

/// A request that may be executed any number of times.
pub fn idempotent_request() -> String {
    request_of_class("look", "")
}

/// An idempotent request with an id of its own.
pub fn idempotent_request_with_id(id: &str) -> String {
    idempotent_request().replace(DEFAULT_ID, id)
}

/// An idempotent request whose client waits for longer than any test takes.
pub fn request_with_long_timeout(id: &str) -> String {
    idempotent_request().replace("Left: 3.0", "Left: 60").replace(DEFAULT_ID, id)
}

/// A request with an idempotency key, from which its id follows.
pub fn request_with_key(key: &str, body: &str) -> String {
    request_with_key_and_headers(key, "", body)
}

pub fn request_with_key_and_headers(key: &str, headers: &str, body: &str) -> String {
    let headers = format!("Idempotency-Key: {key}\r\nContent-Length: {}\r\n{headers}", body.len());
    let head = request_of_class("book", &headers).replacen("GET", "POST", 1);
    head.replace(DEFAULT_ID, &format!("c-{key}")) + body
}

pub fn read_response(stream: &mut TcpStream) -> HttpMessage {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out");
    read_message(stream).expect("a complete response")
}

pub fn send_and_receive(stream: &mut TcpStream, request: &str) -> HttpMessage {
    stream.write_all(request.as_bytes()).expect("write");
    read_response(stream)
}

/// All that came on a connection until the other side closed or reset it.
pub struct ClosedConnection {
    pub received_text: String,
    pub elapsed: Duration,
}

/// Reads until the other side closes or resets the connection.
pub fn read_until_closed(stream: &mut TcpStream, began: Instant) -> ClosedConnection {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out");
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        match retry_on_interrupt(|| stream.read(&mut buffer)) {
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => panic!("not closed in {WAIT_TIMEOUT:?}"),
            _ => break,
        }
    }
    ClosedConnection {
        received_text: String::from_utf8_lossy(&received).into_owned(),
        elapsed: began.elapsed(),
    }
}
