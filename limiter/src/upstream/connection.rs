//! A connection to a server, and the exchanges on it.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use super::permit::ConnectionPermit;
use crate::messages::body::MAX_BODY_BYTES;
use crate::net::{is_local_failure, Stream};
use crate::observability::labels::ServerConnectionOutcome;

/// Largest number of bytes in one read of a response. hyper doubles its read buffer, which stays allocated
/// while the connection is idle, when a read fills the 8 KiB that it begins with.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// The half of a connection that accepts requests.
pub type RequestSender = SendRequest<Full<Bytes>>;

/// A connection, with the future that does its input and output. No task owns that future, which makes
/// progress only when [`PooledConnection::drive`] or [`PooledConnection::is_alive`] polls it. Dropping the
/// connection closes the socket at once.
pub struct PooledConnection {
    sender: RequestSender,
    driver: Connection<TokioIo<Stream>, Full<Bytes>>,
    /// Whether the driver has completed, and must not be polled again.
    is_closed: bool,
    /// Returned only after the socket is closed, because fields are dropped in the order of their
    /// declaration.
    _permit: ConnectionPermit,
}

/// Why there is no connection to a server.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The limit of open connections is reached, and none of them is idle.
    #[error("the limit of open connections is reached")]
    NoPermit,
    /// The descriptors, ports or memory of this host are exhausted, or the host has no route to the server.
    #[error("connect failed: {0}")]
    LocalResources(#[source] io::Error),
    /// The server's host refused the connection or cannot be reached.
    #[error("connect failed: {0}")]
    Unreachable(#[source] io::Error),
    /// The server's host did not answer in time.
    #[error("connect timed out")]
    TimedOut,
    /// The connection cannot be used for HTTP.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[source] hyper::Error),
}

impl ConnectError {
    /// Returns the outcome under which the failure is counted.
    pub fn connection_outcome(&self) -> ServerConnectionOutcome {
        match self {
            ConnectError::NoPermit => ServerConnectionOutcome::NoPermit,
            ConnectError::LocalResources(_) => ServerConnectionOutcome::NoLocalResources,
            ConnectError::Unreachable(_) => ServerConnectionOutcome::Unreachable,
            ConnectError::TimedOut => ServerConnectionOutcome::TimedOut,
            ConnectError::Handshake(_) => ServerConnectionOutcome::HandshakeFailed,
        }
    }
}

impl PooledConnection {
    /// Connects to a server. Cancelling abandons the connect and returns the permit.
    ///
    /// # Errors
    /// [`ConnectError`], but never [`ConnectError::NoPermit`].
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        permit: ConnectionPermit,
    ) -> Result<PooledConnection, ConnectError> {
        let stream = match timeout(connect_timeout, Stream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if is_local_failure(&error) => return Err(ConnectError::LocalResources(error)),
            Ok(Err(error)) => return Err(ConnectError::Unreachable(error)),
            Err(_) => return Err(ConnectError::TimedOut),
        };
        stream.set_nodelay();
        let stream = TokioIo::new(stream.with_max_read_bytes(MAX_READ_BYTES));
        let handshake = http1::Builder::new().max_buf_size(MAX_BODY_BYTES).handshake(stream);
        let (sender, driver) = handshake.await.map_err(ConnectError::Handshake)?;
        Ok(PooledConnection { sender, driver, is_closed: false, _permit: permit })
    }

    /// Returns whether the connection can carry a request. Polls the connection once, without waiting, so
    /// that data or a close from the server that has arrived by now is noticed.
    pub fn is_alive(&mut self) -> bool {
        if self.is_closed {
            return false;
        }
        let mut context = Context::from_waker(Waker::noop());
        self.is_closed = Pin::new(&mut self.driver).poll(&mut context).is_ready();
        !self.is_closed && self.sender.is_ready()
    }

    /// Runs an exchange while the connection does its input and output.
    ///
    /// The exchange is polled first, so that a complete response is returned even if the connection ends with
    /// it. If the connection ends early, the exchange continues until it has noticed the end of the
    /// connection.
    ///
    /// Cancelling leaves the exchange incomplete, so that the connection must be dropped as well.
    pub async fn drive<T>(&mut self, exchange: impl AsyncFnOnce(&mut RequestSender) -> T) -> T {
        let PooledConnection { sender, driver, is_closed, .. } = self;
        let exchange = exchange(sender);
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                biased;
                output = &mut exchange => return output,
                _ = &mut *driver, if !*is_closed => *is_closed = true,
            }
        }
    }
}
