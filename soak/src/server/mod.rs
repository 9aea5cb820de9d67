//! A simulated server, which accepts connections, responds to requests according to its behaviour, and
//! records every attempt.

mod accept;
mod respond;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{watch, Semaphore};

use crate::deployment::Deployment;
use crate::net;
use crate::record::SharedRecord;

/// Number of waiting requests per slot above which the server rejects further ones without executing them.
const MAX_WAITING_PER_SLOT: usize = 6;

/// How a server responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes each request in this latency, which is longer during slow start, and responds successfully.
    Serve(Duration),
    /// Reads requests but never responds.
    Unresponsive,
    /// Resets the connection after reading a request.
    Reset,
    /// Writes half of the response and resets the connection.
    PartialResponse,
    /// Responds successfully, and writes the same response again some milliseconds later.
    DuplicateResponse,
    /// Rejects each request without executing it, as a server at capacity does.
    Reject,
    /// Responds to each request with an error.
    Fail,
}

/// Whether connections reach a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Connections are established and carry bytes.
    Open,
    /// Established connections carry bytes; new connections are not established for now.
    AcceptsLate,
    /// No connection carries any bytes, and no new one is established. Connections that exist when the
    /// partition begins are reset when it ends.
    Partitioned,
}

/// How a server is started.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// The number of the server in the record.
    pub number: usize,
    /// Index of the server address on which the server listens.
    pub address_index: usize,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// Minimum latency of the server while it is warm.
    pub latency: Duration,
    /// When slow start began; `None` if the server starts warm.
    pub slow_start_since: Option<Instant>,
}

/// A running server.
pub struct Server {
    /// The number of the server in the record.
    pub number: usize,
    /// Index of the server address on which the server listens.
    pub address_index: usize,
    behaviour: Mutex<Behaviour>,
    usual_behaviour: Behaviour,
    reachability: watch::Sender<Reachability>,
    /// One permit for each request that the server can execute concurrently.
    slots: Semaphore,
    /// Number of waiting requests above which the server rejects further ones.
    max_waiting: usize,
    /// Number of requests that are waiting for a slot.
    num_waiting: AtomicUsize,
    /// When slow start began; `None` if the server started warm.
    slow_start_since: Option<Instant>,
    deployment: Deployment,
    is_stopped: AtomicBool,
    record: Arc<SharedRecord>,
}

impl Server {
    /// Starts a server that, once warm, has exactly the deployment's capacity, because limiters estimate the
    /// capacity of a server from its observed throughput.
    ///
    /// # Errors
    /// The server cannot listen on its address.
    pub fn start(
        options: &ServerOptions,
        deployment: &Deployment,
        record: Arc<SharedRecord>,
    ) -> std::io::Result<Arc<Server>> {
        let listener = net::listen(options.address)?;
        let busy_slots = deployment.capacity_per_s * options.latency.as_secs_f64();
        let num_slots = (busy_slots.ceil() as usize).max(1);
        let latency = Duration::from_secs_f64(num_slots as f64 / deployment.capacity_per_s);
        let usual_behaviour = Behaviour::Serve(latency);
        let server = Arc::new(Server {
            number: options.number,
            address_index: options.address_index,
            behaviour: Mutex::new(usual_behaviour),
            usual_behaviour,
            reachability: watch::Sender::new(Reachability::Open),
            slots: Semaphore::new(num_slots),
            max_waiting: MAX_WAITING_PER_SLOT * num_slots,
            num_waiting: AtomicUsize::new(0),
            slow_start_since: options.slow_start_since,
            deployment: deployment.clone(),
            is_stopped: AtomicBool::new(false),
            record,
        });
        tokio::spawn(server.clone().accept_connections(listener));
        Ok(server)
    }

    /// Sets whether connections reach the server.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.reachability.send_replace(reachability);
    }

    /// Stops the server with the effects of an ended process: connections are reset and new ones are refused.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    /// Sets the behaviour of the server; `None` restores the usual behaviour.
    pub fn set_behaviour(&self, behaviour: Option<Behaviour>) {
        let mut current = self.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
        *current = behaviour.unwrap_or(self.usual_behaviour);
    }

    fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
