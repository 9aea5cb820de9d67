//! HTTP messages as they stand on a connection.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

use super::retry_on_interrupt;

/// A request or response as it came.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Of a response.
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl HttpMessage {
    pub fn header(&self, name: &str) -> Option<String> {
        let mut headers = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let (_, value) = headers.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
        Some(value.trim().to_string())
    }

    /// The id that the client gave the request.
    pub fn correlation_id(&self) -> String {
        self.header("x-correlation-id").unwrap_or_default()
    }
}

/// Reads one message of a connection; an error if the connection ends before it is complete, with what came until then.
pub fn read_message(stream: &mut TcpStream) -> Result<HttpMessage> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if retry_on_interrupt(|| stream.read(&mut byte))? == 0 {
            return Err(broken_off(&head));
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

fn broken_off(head: &[u8]) -> Error {
    let text = String::from_utf8_lossy(head);
    Error::new(ErrorKind::UnexpectedEof, format!("the connection has ended after {text:?}"))
}

/// Writes a good response; false if the connection has ended.
pub fn write_ok(stream: &mut TcpStream, body: &str) -> bool {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).is_ok()
}

/// A server's proof that it has not executed the request.
const REJECTION: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// Writes a rejection; false if the connection has ended.
pub fn write_rejection(stream: &mut TcpStream) -> bool {
    stream.write_all(REJECTION).is_ok()
}
