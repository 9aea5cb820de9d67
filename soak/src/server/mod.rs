//! A stand-in server: accepts connections, answers requests as its behaviour says, and records every attempt.

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

/// Requests that may wait for each slot; the server rejects further ones without executing them.
const MAX_WAITING_PER_SLOT: usize = 6;

/// What a server does with its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds to each request after this time.
    Serve(Duration),
    /// Reads requests and never responds.
    Unresponsive,
    /// Resets the connection after a request.
    Reset,
    /// Writes a part of the response and resets the connection.
    PartialResponse,
    /// Responds successfully, and writes the response once more some milliseconds later.
    DuplicateResponse,
    /// Rejects each request because the server is full.
    Reject,
    /// Responds with an error.
    Fail,
}

/// Whether connections reach a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Connections are established and carry bytes.
    Open,
    /// Established connections carry bytes; new connections are not established for now.
    AcceptsLate,
    /// No connection carries any byte, and no new one is established. Connections that are established at the
    /// beginning are reset at the end.
    Partitioned,
}

/// How a server is started.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// The number of the server in the record.
    pub number: usize,
    /// Which of the server addresses the server listens on.
    pub address_index: usize,
    /// The address.
    pub address: SocketAddr,
    /// Least time that a warm server takes for a request.
    pub latency: Duration,
    /// When the server started, if it starts cold.
    pub slow_start_since: Option<Instant>,
}

/// A running server.
pub struct Server {
    /// The number of the server in the record.
    pub number: usize,
    /// Which of the server addresses the server listens on.
    pub address_index: usize,
    behaviour: Mutex<Behaviour>,
    usual_behaviour: Behaviour,
    reachability: watch::Sender<Reachability>,
    /// Requests that are executed at the same time.
    slots: Semaphore,
    /// Requests that may wait for a slot.
    max_waiting: usize,
    /// Requests that are waiting for a slot.
    num_waiting: AtomicUsize,
    /// When the server started, if it started cold.
    slow_start_since: Option<Instant>,
    deployment: Deployment,
    is_stopped: AtomicBool,
    record: Arc<SharedRecord>,
}

impl Server {
    /// Starts a server that, once warm, serves exactly the deployment's capacity: limiters estimate the
    /// capacity of a server from what they see it serve.
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

    /// Changes whether connections reach the server.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.reachability.send_replace(reachability);
    }

    /// Ends the server as the end of a process would: connections are reset and new ones are refused.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::SeqCst)
    }

    /// Changes the behaviour of the server; `None` restores the usual one.
    pub fn set_behaviour(&self, behaviour: Option<Behaviour>) {
        let mut current = self.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
        *current = behaviour.unwrap_or(self.usual_behaviour);
    }

    fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
