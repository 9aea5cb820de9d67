//! HTTP messages that stubs read and write.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

use super::retry_on_interrupt;

/// A response that rejects a request and states that the server has not executed the request.
const REJECTION: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// A request or a response that was received.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Status code of a response. 0 for a request.
    pub status: u16,
    /// First line and headers, including the empty line after them.
    pub head: String,
    /// Body, empty if the message has none.
    pub body: String,
}

impl HttpMessage {
    /// Returns the value of the first header with this name, without surrounding spaces, or `None` if there
    /// is no such header. The case of the name is ignored.
    pub fn header(&self, name: &str) -> Option<String> {
        let mut headers = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let (_, value) = headers.find(|(found_name, _)| found_name.eq_ignore_ascii_case(name))?;
        Some(value.trim().to_string())
    }

    /// Returns the correlation id of the request, or an empty text if the request has none.
    pub fn correlation_id(&self) -> String {
        self.header("x-correlation-id").unwrap_or_default()
    }
}

/// Reads one message from a connection and returns when the message is complete. Only a body whose length is
/// given by `Content-Length` is read.
///
/// # Errors
///
/// Returns the error of the connection. Returns an error of kind `UnexpectedEof` if the connection is closed
/// before the message is complete; if the head is incomplete, the error quotes the bytes that were received.
pub fn read_message(stream: &mut TcpStream) -> Result<HttpMessage> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if retry_on_interrupt(|| stream.read(&mut byte))? == 0 {
            return Err(closed_within_head(&head));
        }
        head.push(byte[0]);
    }
    let mut message =
        HttpMessage { head: String::from_utf8_lossy(&head).into_owned(), ..HttpMessage::default() };
    message.status = message.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(message)
}

fn closed_within_head(head: &[u8]) -> Error {
    let text = String::from_utf8_lossy(head);
    Error::new(ErrorKind::UnexpectedEof, format!("the connection was closed after {text:?}"))
}

/// Writes a response with status 200 and this body. Returns false if the connection is closed.
pub fn write_ok(stream: &mut TcpStream, body: &str) -> bool {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
}

/// Writes a response that rejects a request which the server has not executed. Returns false if the
/// connection is closed.
pub fn write_rejection(stream: &mut TcpStream) -> bool {
    stream.write_all(REJECTION).is_ok()
}
