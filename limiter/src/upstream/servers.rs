//! Provides connections to servers: pooled ones, and new ones within the limit.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limiter_core::{Millis, ServerId};

use super::connection::{ConnectError, PooledConnection};
use super::pool::ConnectionPool;
use crate::config::Config;
use crate::engine::Engine;
use crate::observability::labels::ServerConnectionOutcome;
use crate::observability::metrics::Metrics;
use crate::runtime::duration;

/// Shortest timeout of a connect, in milliseconds. A shorter timeout in the settings is raised to this value,
/// because every connect would fail with a timeout of 0.
const MIN_CONNECT_TIMEOUT_MS: Millis = 1.0;
/// Interval at which expired connections are closed. A connection that expires between two sweeps is not
/// reused.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The connections to all servers.
pub struct Servers {
    pool: RefCell<ConnectionPool>,
    connect_timeout_ms: Millis,
    /// Largest cost of a request, in quota units.
    max_request_units: f64,
}

impl Servers {
    /// Creates an empty pool with the bounds of this configuration.
    pub fn new(config: &Config) -> Rc<Servers> {
        Rc::new(Servers {
            pool: RefCell::new(ConnectionPool::new(
                config.max_server_connections,
                config.server_connection_idle_ms,
            )),
            connect_timeout_ms: config.settings.connect_timeout_ms.max(MIN_CONNECT_TIMEOUT_MS),
            max_request_units: config.max_request_units,
        })
    }

    /// Returns the largest cost of a request, in quota units.
    pub(super) fn max_request_units(&self) -> f64 {
        self.max_request_units
    }

    /// Returns an idle connection to a server, or opens a new one. Cancelling abandons the connect.
    ///
    /// # Errors
    /// [`ConnectError`] if no connection is idle and none can be opened.
    pub(super) async fn get_connection(
        &self,
        engine: &Engine,
        server: &ServerId,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        // The borrow of the pool ends with each statement: it must not be held across an await.
        let idle = self.pool.borrow_mut().take_idle(server);
        if let Some(connection) = idle {
            Metrics::count(&engine.metrics().server_connections, ServerConnectionOutcome::Reused);
            return Ok(connection);
        }
        let permit = self.pool.borrow_mut().acquire_permit().ok_or(ConnectError::NoPermit)?;
        let connect_timeout = duration::from_ms(self.connect_timeout_ms);
        let connected = PooledConnection::connect(address, connect_timeout, permit).await;
        let outcome = match &connected {
            Ok(_) => ServerConnectionOutcome::Established,
            Err(error) => error.connection_outcome(),
        };
        Metrics::count(&engine.metrics().server_connections, outcome);
        if let Err(error) = &connected {
            tracing::debug!(%server, %address, %error, "server connection failed");
        }
        connected
    }

    /// Returns a connection to the pool. Its last response has been read to the end.
    pub(super) fn put_idle(&self, server: &ServerId, connection: PooledConnection) {
        self.pool.borrow_mut().put_idle(server, connection);
    }

    /// Closes the idle connections to a server.
    pub(super) fn close_idle(&self, server: &ServerId) {
        self.pool.borrow_mut().close_idle(server);
    }
}

/// Closes idle connections that have expired, at intervals of [`SWEEP_INTERVAL`]. Never returns. Cancelling
/// only ends the sweeps.
pub async fn close_expired_connections(servers: Rc<Servers>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        servers.pool.borrow_mut().close_expired();
    }
}
