//! Responses of a server to the requests of one connection.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::{Behaviour, Server};
use crate::http::{Connection, Message, MessageKind};
use crate::net;
use crate::record::{Attempt, RequestId, SharedRecord};

/// Propagated deadline, in seconds, below which the server drops half of the requests without a response.
const SHORT_DEADLINE_S: f64 = 0.06;
/// Delay between a response and its duplicate.
const DUPLICATE_DELAY: Duration = Duration::from_millis(4);
/// Delay from which a duplicate response is omitted, because a limiter could not distinguish it from the
/// response to the next request.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(7);
/// Delay between a partial response and the reset of its connection.
const PARTIAL_RESPONSE_RESET_DELAY: Duration = Duration::from_millis(5);
/// The response of a server at capacity, which proves that the request was not executed.
const REJECTION: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
/// The response of a failing server.
const ERROR: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";

/// Whether a connection stays open after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    KeepOpen,
    Close,
}

impl Server {
    /// Serves the requests of a connection until either side closes it.
    pub(super) async fn serve(self: Arc<Self>, stream: TcpStream) {
        net::enable_reset_on_close(&stream);
        let mut connection = Connection::new(stream);
        let idle_timeout = self.deployment.server_idle_timeout;
        loop {
            let Ok(Ok(request)) = timeout(idle_timeout, connection.read(MessageKind::Request)).await else {
                net::disable_reset_on_close(&connection.stream);
                return;
            };
            let Some(attempt) = self.record_attempt(&request) else { return };
            let after = self.respond(&mut connection, &request, attempt).await;
            self.record.lock().attempts[attempt].ended_at = Some(Instant::now());
            if after == AfterResponse::Close {
                return;
            }
        }
    }

    /// Records an attempt. Returns the attempt's index in the record, or `None` if the request has no valid
    /// id.
    fn record_attempt(&self, request: &Message) -> Option<usize> {
        let now = Instant::now();
        let attempt = Attempt {
            request: request_id(request)?,
            server: self.number,
            first_byte_at: request.first_byte_at.unwrap_or(now),
            last_byte_at: now,
            propagated_deadline_s: request.header("x-time-left").and_then(|text| text.parse().ok()),
            ended_at: None,
            is_unprocessed: self.behaviour() == Behaviour::Reject,
        };
        let mut record = self.record.lock();
        record.attempts.push(attempt);
        Some(record.attempts.len() - 1)
    }

    async fn respond(&self, connection: &mut Connection, request: &Message, attempt: usize) -> AfterResponse {
        let correlation_id = request.header("x-correlation-id").unwrap_or_default();
        let body = format!("{correlation_id}:{}", self.number);
        let success = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if self.drops_request(attempt) {
            connection.closed_by_peer().await;
            return AfterResponse::Close;
        }
        match self.behaviour() {
            Behaviour::Serve(latency) => self.execute(connection, &success, attempt, latency).await,
            Behaviour::Unresponsive => {
                connection.closed_by_peer().await;
                AfterResponse::Close
            }
            Behaviour::Reset => AfterResponse::Close,
            Behaviour::PartialResponse => {
                let _ = connection.stream.write_all(&success.as_bytes()[..success.len() / 2]).await;
                sleep(PARTIAL_RESPONSE_RESET_DELAY).await;
                AfterResponse::Close
            }
            Behaviour::DuplicateResponse => respond_twice(connection, &success).await,
            Behaviour::Reject => write(connection, REJECTION).await,
            Behaviour::Fail => write(connection, ERROR).await,
        }
    }

    /// Returns whether the server drops a request because of a short deadline. Such a request is dropped if
    /// its attempt has an even index.
    fn drops_request(&self, attempt: usize) -> bool {
        let deadline_s = self.record.lock().attempts[attempt].propagated_deadline_s;
        let is_short = deadline_s.is_some_and(|deadline_s| deadline_s < SHORT_DEADLINE_S);
        is_short && attempt.is_multiple_of(2)
    }

    /// Executes a request and writes the response. Rejects the request if the server is at capacity, and
    /// cancels the execution if the limiter closes the connection.
    async fn execute(
        &self,
        connection: &mut Connection,
        success: &str,
        attempt: usize,
        latency: Duration,
    ) -> AfterResponse {
        if self.num_waiting.load(Ordering::SeqCst) > self.max_waiting {
            mark_unprocessed(&self.record, attempt);
            return write(connection, REJECTION).await;
        }
        tokio::select! {
            () = self.occupy_slot(latency) => {}
            () = connection.closed_by_peer() => return AfterResponse::Close,
        }
        write(connection, success).await
    }

    /// Waits for a slot, and occupies the slot for the latency of the server, which is longer during slow
    /// start. Cancellation frees the slot or ends the wait.
    async fn occupy_slot(&self, latency: Duration) {
        let waiting = CounterGuard::new(&self.num_waiting);
        let _slot = self.slots.acquire().await;
        drop(waiting);
        let fraction =
            self.slow_start_since.map_or(1.0, |since| self.deployment.capacity_fraction(since.elapsed()));
        sleep(latency.div_f64(fraction)).await;
    }
}

fn mark_unprocessed(record: &SharedRecord, attempt: usize) {
    record.lock().attempts[attempt].is_unprocessed = true;
}

async fn write(connection: &mut Connection, response: &str) -> AfterResponse {
    match connection.stream.write_all(response.as_bytes()).await {
        Ok(()) => AfterResponse::KeepOpen,
        Err(_) => AfterResponse::Close,
    }
}

async fn respond_twice(connection: &mut Connection, response: &str) -> AfterResponse {
    let _ = connection.stream.write_all(response.as_bytes()).await;
    let written_at = Instant::now();
    sleep(DUPLICATE_DELAY).await;
    if written_at.elapsed() >= MAX_DUPLICATE_DELAY {
        return AfterResponse::Close;
    }
    write(connection, response).await
}

/// Guard that increments a counter when created and decrements the counter when dropped.
struct CounterGuard<'a>(&'a AtomicUsize);

impl<'a> CounterGuard<'a> {
    fn new(counter: &'a AtomicUsize) -> CounterGuard<'a> {
        counter.fetch_add(1, Ordering::SeqCst);
        CounterGuard(counter)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the id of a request, parsed from its correlation id.
fn request_id(request: &Message) -> Option<RequestId> {
    request.header("x-correlation-id")?.strip_prefix("r-")?.parse().ok()
}
