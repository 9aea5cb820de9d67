//! Sends one watch request.

use std::io;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;

use super::source::WatchSource;
use crate::net::Stream;

/// Path of a watch request. The body of the response is a list, followed by its changes for as long as the
/// watch lasts.
const WATCH_PATH: &str = "/api/targets?watch=1";

/// Why a request did not open a watch.
#[derive(Debug, thiserror::Error)]
pub enum WatchRequestError {
    /// No response arrived in time.
    #[error("no response in time")]
    TimedOut,
    /// No connection to discovery could be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection failed before the response arrived.
    #[error("the connection failed: {0}")]
    Http(#[from] hyper::Error),
    /// The address or the version cannot be written in a request.
    #[error("the request cannot be written: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// Discovery rejected the request.
    #[error("discovery answered {0}")]
    Status(StatusCode),
}

/// A watch that discovery has accepted. Dropping the stream closes the connection.
pub struct WatchStream {
    /// The body of the response: the list and its changes.
    pub body: Incoming,
    _connection: ConnectionTask,
}

/// A connection on which a request can be sent.
struct WatchConnection {
    sender: SendRequest<Empty<Bytes>>,
    task: ConnectionTask,
}

/// The task that drives a connection. Dropping this handle cancels the task, which closes the connection.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Requests a watch on a source, from the last version of its list that was read. Waits for the response
/// without a timeout. Cancelling closes the connection.
///
/// # Errors
/// [`WatchRequestError`], but never [`WatchRequestError::TimedOut`].
pub async fn send_watch_request(source: WatchSource) -> Result<WatchStream, WatchRequestError> {
    let mut connection = connect(&source).await?;
    let response = connection.sender.send_request(build_request(&source)?).await?;
    if response.status() != StatusCode::OK {
        return Err(WatchRequestError::Status(response.status()));
    }
    Ok(WatchStream { body: response.into_body(), _connection: connection.task })
}

/// Connects to a source. Cancelling closes the connection.
async fn connect(source: &WatchSource) -> Result<WatchConnection, WatchRequestError> {
    let stream = Stream::connect(source.address).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The result is dropped because the reader of the body sees how the connection ends.
    let task = tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(WatchConnection { sender, task: ConnectionTask(task) })
}

/// Builds a watch request for the versions after the last one that was read.
fn build_request(source: &WatchSource) -> hyper::http::Result<Request<Empty<Bytes>>> {
    let path = match source.version {
        Some(version) => format!("{WATCH_PATH}&after={version}"),
        None => WATCH_PATH.to_string(),
    };
    Request::get(path).header(HOST, source.address.to_string()).body(Empty::new())
}
