//! Executes the attempts of the engine on pooled connections, and reports how each one ended.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limiter_core::{Millis, Outcome, ServerId};
use tokio::sync::oneshot;

use super::attempt::send_and_receive;
use super::connection::{ConnectError, PooledConnection};
use super::pool::ConnectionPool;
use crate::config::Config;
use crate::engine::{Engine, Upstream};
use crate::messages::attempt::{AttemptId, AttemptJob};
use crate::observability::labels::ServerConnectionOutcome;
use crate::observability::metrics::Metrics;
use crate::runtime::duration;

/// Shortest timeout of a connect, in milliseconds. A shorter timeout in the settings is raised to this value,
/// because every connect would fail with a timeout of 0.
const MIN_CONNECT_TIMEOUT_MS: Millis = 1.0;
/// Interval at which expired connections are closed. A connection that expires between two sweeps is not
/// reused.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Executes attempts at servers, on pooled connections.
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
}

impl Upstream for Rc<Servers> {
    fn start_attempt(&self, engine: &Rc<Engine>, job: AttemptJob, cancelled: oneshot::Receiver<Outcome>) {
        tokio::task::spawn_local(run_attempt(self.clone(), engine.clone(), job, cancelled));
    }

    fn close_idle(&self, server: &ServerId) {
        self.pool.borrow_mut().close_idle(server);
    }
}

/// Executes one attempt, and reports its end to the engine exactly once.
///
/// The engine cancels the attempt by sending the outcome to report through `cancelled`. If both a
/// cancellation and a response have arrived, the cancellation takes precedence, because the `select` is
/// biased. The `select` drops the attempt, and with it the connection, before the end is reported and the
/// engine may begin the next attempt: a request never has two attempts in flight. If the sender of
/// `cancelled` is dropped without an outcome, the attempt continues.
async fn run_attempt(
    servers: Rc<Servers>,
    engine: Rc<Engine>,
    job: AttemptJob,
    cancelled: oneshot::Receiver<Outcome>,
) {
    let result = tokio::select! {
        biased;
        Ok(outcome) = cancelled => outcome.into(),
        result = send_and_receive(&servers, &engine, &job) => {
            result.unwrap_or_else(|error| {
                let AttemptId { request, number: attempt } = job.id;
                let server = &job.server;
                tracing::debug!(request, attempt, %server, %error, "attempt failed without response");
                error.outcome().into()
            })
        }
    };
    engine.record_attempt_end(job.id, result);
}

/// Closes idle connections that have expired, at intervals of [`SWEEP_INTERVAL`]. Never returns. Cancelling
/// only ends the sweeps.
pub async fn close_expired_connections(servers: Rc<Servers>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        servers.pool.borrow_mut().close_expired();
    }
}
