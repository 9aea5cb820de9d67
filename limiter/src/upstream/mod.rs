//! The servers, as the engine reaches them: attempts, and the pool of their connections.

mod attempt;
mod connection;
mod permit;
mod pool;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limiter_core::{Millis, Outcome, ServerId};
use tokio::sync::oneshot;

use crate::config::Config;
use crate::engine::{Engine, Upstream};
use crate::messages::attempt::{AttemptId, AttemptJob};
use crate::observability::labels::ServerConnectionOutcome;
use crate::observability::metrics::Metrics;
use crate::runtime::duration;
use attempt::send_and_receive;
use connection::{ConnectError, PooledConnection};
use pool::ConnectionPool;

/// Least time that a connect may take, whatever the settings say, in milliseconds.
const MIN_CONNECT_TIMEOUT_MS: Millis = 1.0;
/// How often idle connections are looked at. One that has expired between is not used.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Makes attempts at servers, on connections that it keeps.
pub struct Servers {
    pool: RefCell<ConnectionPool>,
    connect_timeout_ms: Millis,
    max_request_units: f64,
}

impl Servers {
    /// Servers reached under this configuration.
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

    /// A connection from the pool, or a new one. Dropping the future abandons the connect.
    async fn connection_to(
        &self,
        engine: &Engine,
        server: &ServerId,
        address: SocketAddr,
    ) -> Result<PooledConnection, ConnectError> {
        // The pool is never borrowed during a wait.
        let pooled = self.pool.borrow_mut().take_idle(server);
        if let Some(connection) = pooled {
            Metrics::count(&engine.metrics().server_connections, ServerConnectionOutcome::Reused);
            return Ok(connection);
        }
        let permit = self.pool.borrow_mut().reserve().ok_or(ConnectError::NoPermit)?;
        let connect_timeout = duration::from_ms(self.connect_timeout_ms);
        let connected = PooledConnection::connect(address, connect_timeout, permit).await;
        match &connected {
            Ok(_) => {
                Metrics::count(&engine.metrics().server_connections, ServerConnectionOutcome::Established);
            }
            Err(error) => {
                Metrics::count(&engine.metrics().server_connections, error.connection_outcome());
                tracing::debug!(%server, %address, %error, "server connection failed");
            }
        }
        connected
    }

    /// Keeps a connection whose last response was read to its end.
    fn keep_idle(&self, server: &ServerId, connection: PooledConnection) {
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

/// Makes one attempt and reports its end to the engine, exactly once.
///
/// A cancellation that has come is seen before a response that has come: the `select` is biased. The `select` drops the
/// attempt, and with it the connection, before the engine hears of the end and may begin the next attempt: a request
/// never has two attempts in flight. A `cancelled` whose sender is dropped yields no outcome, and the attempt goes on.
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
                tracing::debug!(request, attempt, server = %job.server, %error, "attempt failed without response");
                error.outcome().into()
            })
        }
    };
    engine.record_attempt_end(job.id, result);
}

/// Closes idle connections in time, forever.
pub async fn close_expired_connections(servers: Rc<Servers>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        servers.pool.borrow_mut().close_expired();
    }
}
