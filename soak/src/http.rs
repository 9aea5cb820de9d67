//! Reads HTTP/1.1 messages of bounded size from a connection.

use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum length of a message's head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 32;

/// A complete HTTP message.
#[derive(Debug, Default)]
pub struct Message {
    /// The path of a request.
    pub path: String,
    /// The status of a response.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When the first byte was read.
    pub first_byte_at: Option<Instant>,
}

impl Message {
    /// Returns the value of a header. The name must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }
}

/// The reason why no complete message could be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The connection ended before the first byte of a message.
    Ended,
    /// The connection ended within a message.
    Incomplete,
    /// The bytes are not an HTTP/1.1 message, or the head is too long.
    Malformed,
}

/// The expected kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A request.
    Request,
    /// A response.
    Response,
}

/// A connection with a buffer for the bytes that were read beyond the last message.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a socket from which nothing has been read yet.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Reads the next message. Cancellation loses no bytes: those that were read stay in the buffer.
    ///
    /// # Errors
    /// The connection ended before a complete message arrived, or its bytes are not a valid message.
    pub async fn read(&mut self, kind: MessageKind) -> Result<Message, ReadError> {
        let mut first_byte_at = (!self.buffer.is_empty()).then(Instant::now);
        loop {
            if let Some(ParsedHead { mut message, length: body_start }) = parse_head(&self.buffer, kind)? {
                let body_length = message.header("content-length").and_then(|text| text.parse().ok());
                let end = body_start + body_length.unwrap_or(0);
                while self.buffer.len() < end {
                    self.fill_buffer(ReadError::Incomplete).await?;
                }
                message.body = self.buffer[body_start..end].to_vec();
                message.first_byte_at = first_byte_at;
                self.buffer.drain(..end);
                return Ok(message);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadError::Malformed);
            }
            let end_error = if self.buffer.is_empty() { ReadError::Ended } else { ReadError::Incomplete };
            self.fill_buffer(end_error).await?;
            first_byte_at = first_byte_at.or_else(|| Some(Instant::now()));
        }
    }

    /// Reads more bytes into the buffer. Cancellation loses no bytes.
    ///
    /// # Errors
    /// `end_error` if the connection has ended.
    async fn fill_buffer(&mut self, end_error: ReadError) -> Result<(), ReadError> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(length) if length > 0 => Ok(()),
            _ => Err(end_error),
        }
    }

    /// Waits until the remote side closes the connection. Bytes that arrive meanwhile are buffered for the
    /// next read. Cancellation loses no bytes.
    pub async fn closed_by_peer(&mut self) {
        while self.fill_buffer(ReadError::Ended).await.is_ok() {}
    }
}

/// A parsed head, in a message that has no body yet.
struct ParsedHead {
    message: Message,
    /// Length of the head in bytes.
    length: usize,
}

/// Parses the head of a message. Returns `None` while the head is incomplete.
fn parse_head(bytes: &[u8], kind: MessageKind) -> Result<Option<ParsedHead>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut message = Message::default();
    let (status, headers) = match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let status = request.parse(bytes).map_err(|_| ReadError::Malformed)?;
            message.path = request.path.unwrap_or_default().to_string();
            (status, request.headers)
        }
        MessageKind::Response => {
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(bytes).map_err(|_| ReadError::Malformed)?;
            message.status = response.code.unwrap_or(0);
            (status, response.headers)
        }
    };
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    for header in headers.iter() {
        let value = String::from_utf8_lossy(header.value).trim().to_string();
        message.headers.push((header.name.to_ascii_lowercase(), value));
    }
    Ok(Some(ParsedHead { message, length }))
}
