//! Clients that hold connections open without completing a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use super::Clients;

/// Time within which a limiter has to close the connection of a stalled client.
const STALLED_CLIENT_TIMEOUT: Duration = Duration::from_millis(3300);
/// The beginning of a request that is never completed.
const INCOMPLETE_REQUEST: &[u8] = b"POST /once/0000000000000001 HTTP/1.1\r\nHost: x\r\nX-Ta";

/// Opens connections that send a part of a request and stay open. Records a process fault for each connection
/// that the limiter does not close in time.
pub fn open_stalled_connections(clients: &Arc<Clients>, limiter: usize, count: usize) {
    for _ in 0..count {
        tokio::spawn(open_stalled_connection(clients.clone(), limiter));
    }
}

async fn open_stalled_connection(clients: Arc<Clients>, limiter: usize) {
    let Some(mut connection) = clients.connect(limiter).await else { return };
    let stalled_at = Instant::now();
    let _ = connection.stream.write_all(INCOMPLETE_REQUEST).await;
    let is_closed = timeout(STALLED_CLIENT_TIMEOUT, connection.closed_by_peer()).await.is_ok();
    if !is_closed && clients.limiters[limiter].accepts_clients() {
        let waited = stalled_at.elapsed();
        let fault = format!("limiter {limiter}: a stalled client was not disconnected for {waited:?}");
        clients.record.lock().process_faults.push(fault);
    }
}

/// Opens connections that send nothing, and closes them after the given duration.
pub async fn hold_idle_connections(clients: &Clients, limiter: usize, count: usize, duration: Duration) {
    let mut connections = Vec::new();
    for _ in 0..count {
        connections.extend(clients.connect(limiter).await);
    }
    sleep(duration).await;
}
