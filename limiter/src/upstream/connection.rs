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

/// The half of a connection that accepts requests.
pub type RequestSender = SendRequest<Full<Bytes>>;

/// A connection, with the future that does its input and output. No task owns that future: it makes progress
/// only in [`PooledConnection::drive`], and dropping the connection closes the socket at once.
pub struct PooledConnection {
    sender: RequestSender,
    driver: Connection<TokioIo<Stream>, Full<Bytes>>,
    /// The driver has completed, and must not be polled again.
    is_closed: bool,
    /// Returned when the socket has been closed: fields are dropped in the order of their declaration.
    _permit: ConnectionPermit,
}

/// Why there is no connection to a server.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// As many connections are open as may be, and none of them is idle.
    #[error("no more connections may be open")]
    NoPermit,
    /// The descriptors, ports or memory of this host are exhausted.
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
        let handshake = http1::Builder::new().max_buf_size(MAX_BODY_BYTES).handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(ConnectError::Handshake)?;
        Ok(PooledConnection { sender, driver, is_closed: false, _permit: permit })
    }

    /// Returns whether the connection can carry a request. Polls the connection once, without waiting, so
    /// that anything the server has sent or closed by now is seen.
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
    /// it. If the connection ends early, the exchange continues until it has noticed that.
    ///
    /// Cancelling leaves the exchange incomplete: the connection must then be dropped, too.
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
