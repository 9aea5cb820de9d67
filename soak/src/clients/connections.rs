//! Connections of clients: new ones, and a pool of idle ones for each limiter.

use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Clients;
use crate::http::Connection;

/// Time after SIGTERM during which clients still open connections to a limiter.
const CONNECT_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An idle connection to a limiter.
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// The incarnation of the limiter that accepted the connection.
    pub incarnation: usize,
}

impl Clients {
    /// Takes the idle connection to a limiter that was returned to the pool last.
    pub(super) fn take_idle_connection(&self, limiter: usize) -> Option<PooledConnection> {
        self.pools[limiter].lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    /// Returns an idle connection to the pool.
    pub(super) fn return_to_pool(&self, limiter: usize, pooled: PooledConnection) {
        self.pools[limiter].lock().unwrap_or_else(PoisonError::into_inner).push(pooled);
    }

    /// Opens a connection, if the limiter accepts clients or has only just received SIGTERM.
    pub(super) async fn connect(&self, limiter: usize) -> Option<Connection> {
        let limiter = &self.limiters[limiter];
        let is_terminating =
            limiter.terminated_at().is_some_and(|at| at.elapsed() < CONNECT_TIME_AFTER_SIGTERM);
        if !limiter.accepts_clients() && !is_terminating {
            return None;
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(limiter.address())).await.ok()?.ok()?;
        Some(Connection::new(stream))
    }
}
