//! The exchange of a request and its response on a connection.

use std::io;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use super::connections::PooledConnection;
use super::request::RequestSpec;
use super::{Clients, RESPONSE_GRACE};
use crate::http::{Connection, MessageKind, ReadError};
use crate::record::{ClientRequest, Outcome};

/// Fraction of the requests that are written in two parts with a pause between them.
const SLOW_WRITE_FRACTION: f64 = 0.03;

/// Whether a request reached the limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The limiter read the request or may have read it. The client does not send the request again.
    Delivered,
    /// The limiter did not read the request. The client may send the request again.
    NotDelivered,
}

/// A connection to a limiter, taken from the pool or newly opened.
pub struct LimiterConnection {
    /// The connection.
    pub connection: Connection,
    /// The limiter.
    pub limiter: usize,
    /// The incarnation of the limiter.
    pub incarnation: usize,
    /// Whether the connection has carried requests before.
    pub is_reused: bool,
}

impl Clients {
    /// Sends a request to a limiter, on an idle connection if there is one. If a reused connection ends
    /// before the limiter reads the request, sends it once more on a new connection.
    pub(super) async fn send(&self, request: &RequestSpec, limiter: usize, rng: &mut SmallRng) -> Delivery {
        if let Some(PooledConnection { connection, incarnation }) = self.take_idle_connection(limiter) {
            let limiter_connection = LimiterConnection { connection, limiter, incarnation, is_reused: true };
            if self.exchange(request, limiter_connection, rng).await == Delivery::Delivered {
                return Delivery::Delivered;
            }
        }
        let Some(connection) = self.connect(limiter).await else { return Delivery::NotDelivered };
        let incarnation = self.limiters[limiter].incarnation();
        let limiter_connection = LimiterConnection { connection, limiter, incarnation, is_reused: false };
        self.exchange(request, limiter_connection, rng).await;
        Delivery::Delivered
    }

    /// Writes a request and waits for the response, or disconnects before the response.
    async fn exchange(
        &self,
        request: &RequestSpec,
        mut limiter_connection: LimiterConnection,
        rng: &mut SmallRng,
    ) -> Delivery {
        let text = request.to_http(&self.deployment);
        let is_slow = rng.random_bool(SLOW_WRITE_FRACTION);
        if write(&mut limiter_connection.connection, &text, is_slow, rng).await.is_err() {
            // The limiter has not received the complete request, so there is no outcome to record. The
            // request is sent again only after a failure on a reused connection.
            return if limiter_connection.is_reused { Delivery::NotDelivered } else { Delivery::Delivered };
        }
        self.record_request(request, &limiter_connection, Instant::now());
        if rng.random_range(0..1000) < self.disconnecting_per_mille.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(rng.random_range(0..300))).await;
            drop(limiter_connection);
            self.record_outcome(request.id, Outcome::Disconnected);
            return Delivery::Delivered;
        }
        self.await_response(request, limiter_connection).await
    }

    async fn await_response(
        &self,
        request: &RequestSpec,
        mut limiter_connection: LimiterConnection,
    ) -> Delivery {
        let response = limiter_connection.connection.read(MessageKind::Response);
        match timeout(request.timeout + RESPONSE_GRACE, response).await {
            Ok(Ok(response)) => {
                self.record_outcome(request.id, request.outcome(&response));
                if response.header("connection") != Some("close") {
                    let LimiterConnection { connection, limiter, incarnation, .. } = limiter_connection;
                    self.return_to_pool(limiter, PooledConnection { connection, incarnation });
                }
            }
            Ok(Err(ReadError::Ended)) if limiter_connection.is_reused && !self.was_forwarded(request.id) => {
                self.remove_request(request.id);
                return Delivery::NotDelivered;
            }
            Ok(Err(_)) => self.record_outcome(request.id, Outcome::Closed),
            Err(_) => self.record_outcome(request.id, Outcome::TimedOut),
        }
        Delivery::Delivered
    }

    /// Records that a request was written completely.
    pub(super) fn record_request(
        &self,
        request: &RequestSpec,
        limiter_connection: &LimiterConnection,
        written_at: Instant,
    ) {
        let client_request = ClientRequest {
            limiter: limiter_connection.limiter,
            incarnation: limiter_connection.incarnation,
            class: request.class,
            plan: request.plan,
            customer: request.customer,
            units: request.units,
            written_at,
            timeout: request.timeout,
            is_on_reused_connection: limiter_connection.is_reused,
            outcome: None,
            ended_at: None,
        };
        self.record.lock().requests.insert(request.id, client_request);
    }
}

/// Writes a text, in two parts with a pause between them if `is_slow`.
async fn write(connection: &mut Connection, text: &str, is_slow: bool, rng: &mut SmallRng) -> io::Result<()> {
    let bytes = text.as_bytes();
    if !is_slow {
        return connection.stream.write_all(bytes).await;
    }
    let (first, second) = bytes.split_at(rng.random_range(1..bytes.len()));
    connection.stream.write_all(first).await?;
    sleep(Duration::from_millis(rng.random_range(1..60))).await;
    connection.stream.write_all(second).await
}
