//! Service of one watch: the response to the request, the changes, keep-alives, and the faults of discovery.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch::Receiver;
use tokio::time::{sleep, timeout};

use super::list::WatchEvent;
use super::{Availability, Discovery};
use crate::http::{Connection, MessageKind};
use crate::net;
use crate::record::NotificationKey;

/// Interval of keep-alives on an open watch.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A keep-alive: a chunk with an empty line.
const KEEP_ALIVE: &[u8] = b"1\r\n\n\r\n";
/// Timeout of the request that opens a watch.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Head of every response.
const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Error: the limiter closed the connection, or a write failed.
struct ConnectionClosed;

/// The limiter that opened a watch.
#[derive(Debug, Clone, Copy)]
struct Watcher {
    limiter: usize,
    incarnation: usize,
}

impl Discovery {
    /// Serves a connection to one of a limiter's agents: reads one request, and serves the watch that the
    /// request opens until the watch ends.
    pub(super) async fn serve(self: Arc<Self>, limiter: usize, mut connection: Connection) {
        net::enable_reset_on_close(&connection.stream);
        let Ok(Ok(request)) = timeout(REQUEST_TIMEOUT, connection.read(MessageKind::Request)).await else {
            return;
        };
        let num_incarnations = self.record.lock().incarnations.get(&limiter).map_or(0, Vec::len);
        let watcher = Watcher { limiter, incarnation: num_incarnations.saturating_sub(1) };
        let mut availability = self.availability.subscribe();
        if refuses_after_silence(&mut availability).await {
            return;
        }
        let after = self.requested_version(&request.path);
        if self.delay(&mut connection).await.is_err() {
            return;
        }
        if connection.stream.write_all(RESPONSE_HEAD).await.is_ok() {
            // The watch ends in either case, and its connection is dropped.
            let _ = self.watch(watcher, after, connection).await;
        }
    }

    fn requested_version(&self, path: &str) -> Option<u64> {
        if self.always_complete.load(Ordering::SeqCst) {
            return None;
        }
        path.split("after=").nth(1)?.parse().ok()
    }

    /// Writes changes and keep-alives until the connection ends, watches are reset, or discovery refuses
    /// connections.
    async fn watch(
        &self,
        watcher: Watcher,
        mut after: Option<u64>,
        mut connection: Connection,
    ) -> Result<(), ConnectionClosed> {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ Instant::now().elapsed().as_nanos() as u64);
        let mut version = self.version.subscribe();
        let mut resets = self.resets.subscribe();
        let mut availability = self.availability.subscribe();
        resets.borrow_and_update();
        loop {
            if refuses_after_silence(&mut availability).await {
                return Ok(());
            }
            let current = *version.borrow_and_update();
            if after != Some(current) {
                self.delay(&mut connection).await?;
                let watch_event = self.list().watch_event(after);
                write_object(&mut connection, &watch_event.object, &mut rng).await?;
                self.record_notifications(watcher, &watch_event);
                after = Some(current);
                continue;
            }
            tokio::select! {
                _ = version.changed() => {}
                _ = resets.changed() => return Ok(()),
                _ = availability.changed() => {}
                () = connection.closed_by_peer() => return Err(ConnectionClosed),
                () = sleep(KEEP_ALIVE_INTERVAL) => write(&mut connection, KEEP_ALIVE).await?,
            }
        }
    }

    /// Waits for the current delay of discovery.
    async fn delay(&self, connection: &mut Connection) -> Result<(), ConnectionClosed> {
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        if !delay.is_zero() && timeout(delay, connection.closed_by_peer()).await.is_ok() {
            return Err(ConnectionClosed);
        }
        Ok(())
    }

    fn record_notifications(&self, watcher: Watcher, watch_event: &WatchEvent) {
        let Watcher { limiter, incarnation } = watcher;
        let key = |server| NotificationKey { limiter, incarnation, server };
        let mut record = self.record.lock();
        for server in &watch_event.withdrawn {
            record.withdrawal_notifications.entry(key(*server)).or_insert_with(Instant::now);
        }
        for server in &watch_event.serving {
            record.start_notifications.entry(key(*server)).or_insert_with(Instant::now);
        }
    }
}

/// Waits until discovery is no longer silent. Returns whether discovery refuses connections after the
/// silence.
async fn refuses_after_silence(availability: &mut Receiver<Availability>) -> bool {
    let current = availability.wait_for(|availability| *availability != Availability::Silent).await;
    current.is_ok_and(|availability| *availability == Availability::Refusing)
}

async fn write(connection: &mut Connection, bytes: &[u8]) -> Result<(), ConnectionClosed> {
    connection.stream.write_all(bytes).await.map_err(|_| ConnectionClosed)
}

/// Writes a JSON object in one or two chunks, on one line or indented.
async fn write_object(
    connection: &mut Connection,
    object: &Value,
    rng: &mut SmallRng,
) -> Result<(), ConnectionClosed> {
    let text = if rng.random_bool(0.5) { format!("{object}\n") } else { format!("{object:#}\n") };
    let split_at = if rng.random_bool(0.3) { rng.random_range(1..text.len()) } else { text.len() };
    let (first, second) = text.as_bytes().split_at(split_at);
    for part in [first, second] {
        if part.is_empty() {
            continue;
        }
        let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        write(connection, &chunk).await?;
    }
    Ok(())
}
