//! The accept loop of a server, which also limits the reachability of the server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::{Reachability, Server};
use crate::net;
use crate::record::{ServerStall, MAX_HARNESS_DELAY};

/// Longest wait in one iteration of the accept loop. A later iteration shows that the harness stalled.
const MAX_ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// Timeout of the connection that fills the accept queue. If the connection is not established within this
/// time, another one already fills the queue.
const FILLER_TIMEOUT: Duration = Duration::from_millis(50);

impl Server {
    /// Accepts connections until the server is stopped. The connections are dropped at the end and thereby
    /// reset, as at the end of a process.
    pub(super) async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut last_iteration_at = Instant::now();
        while !self.is_stopped() {
            if *self.reachability.borrow() == Reachability::Open {
                if let Ok(Ok((stream, _))) = timeout(MAX_ACCEPT_WAIT, listener.accept()).await {
                    connections.spawn(self.clone().serve_while_reachable(stream));
                }
            } else {
                self.block_new_connections(&listener).await;
            }
            while connections.try_join_next().is_some() {}
            last_iteration_at = self.record_iteration(last_iteration_at);
        }
    }

    /// Records a stall if this iteration of the accept loop is late. Returns the current time.
    fn record_iteration(&self, last_iteration_at: Instant) -> Instant {
        let now = Instant::now();
        if now.duration_since(last_iteration_at) > MAX_ACCEPT_WAIT + MAX_HARNESS_DELAY {
            let stall = ServerStall { server: self.number, from: last_iteration_at, to: now };
            self.record.lock().server_stalls.push(stall);
        }
        now
    }

    /// Prevents new connections from being established until the server is open again or stopped: shortens
    /// the accept queue to the minimum that the system allows, and fills it with one connection.
    async fn block_new_connections(&self, listener: &TcpListener) {
        let mut reachability = self.reachability.subscribe();
        let Ok(address) = listener.local_addr() else { return };
        let _ = SockRef::from(listener).listen(0);
        let filler = timeout(FILLER_TIMEOUT, TcpStream::connect(address)).await;
        while *reachability.borrow_and_update() != Reachability::Open && !self.is_stopped() {
            let _ = timeout(MAX_ACCEPT_WAIT, reachability.changed()).await;
        }
        let _ = SockRef::from(listener).listen(net::ACCEPT_QUEUE_LENGTH);
        drop(filler);
    }

    /// Serves a connection until the connection ends or the server is partitioned. In a partition, the
    /// connection carries no bytes and is reset when the partition ends.
    async fn serve_while_reachable(self: Arc<Self>, stream: TcpStream) {
        let mut reachability = self.reachability.subscribe();
        // The duplicated descriptor keeps the socket open after `serve` is cancelled.
        let Ok(descriptor) = SockRef::from(&stream).try_clone() else { return };
        tokio::select! {
            () = self.clone().serve(stream) => return,
            _ = reachability.wait_for(|reachability| *reachability == Reachability::Partitioned) => {}
        }
        let _ = reachability.wait_for(|reachability| *reachability == Reachability::Open).await;
        let _ = descriptor.set_linger(Some(Duration::ZERO));
    }
}
