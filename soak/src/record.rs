//! Observations of clients, servers and the harness during a run: the input of the invariant checks.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Number that identifies a client's request.
pub type RequestId = u64;

/// Longest tolerated delay of the harness's own reads and writes, because its tasks share the machine with
/// the limiters. Every check of a measured time allows for this delay.
pub const MAX_HARNESS_DELAY: Duration = Duration::from_millis(40);

/// Outcome of a request for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The client received a complete response.
    Answered {
        /// The status code.
        status: u16,
        /// Whether the body is the one that a server produced for this request.
        has_expected_body: bool,
    },
    /// The limiter closed the connection without a complete response.
    Closed,
    /// No response had arrived when the client's timeout and the grace period after it had passed.
    TimedOut,
    /// The client disconnected before the response.
    Disconnected,
}

/// A request as its client sent it.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The limiter that received the request.
    pub limiter: usize,
    /// The incarnation of that limiter.
    pub incarnation: usize,
    /// Index of the request class.
    pub class: usize,
    /// Index of the plan.
    pub plan: usize,
    /// The customer id.
    pub customer: u64,
    /// Estimated cost in quota units.
    pub units: u32,
    /// When the last byte was written.
    pub written_at: Instant,
    /// How long the client waits for the response.
    pub timeout: Duration,
    /// Whether the connection had carried requests before.
    pub is_on_reused_connection: bool,
    /// The outcome, once the request has ended.
    pub outcome: Option<Outcome>,
    /// When the request ended; for a client that disconnected, when it closed the connection.
    pub ended_at: Option<Instant>,
}

/// An attempt as observed by its server.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The request that was forwarded.
    pub request: RequestId,
    /// The number of the server in [`Record::servers`].
    pub server: usize,
    /// When the first byte arrived.
    pub first_byte_at: Instant,
    /// When the last byte arrived.
    pub last_byte_at: Instant,
    /// The remaining time that the limiter propagated to the server, in seconds, if the attempt carried one.
    pub propagated_deadline_s: Option<f64>,
    /// When the response was written, or when the connection ended.
    pub ended_at: Option<Instant>,
    /// Whether the server proved to the limiter that it did not execute the request.
    pub is_unprocessed: bool,
}

/// One process of a limiter, from its start to its end.
#[derive(Debug, Clone)]
pub struct Incarnation {
    /// When the process was started.
    pub started_at: Instant,
    /// When the process first reported readiness.
    pub ready_at: Option<Instant>,
    /// When SIGTERM was sent.
    pub terminated_at: Option<Instant>,
    /// When SIGKILL was sent to the running process.
    pub killed_at: Option<Instant>,
    /// When the process ended.
    pub ended_at: Option<Instant>,
    /// The exit code; `None` if the process is running or was ended by a signal.
    pub exit_code: Option<i32>,
}

/// A server and the times of its announcements.
#[derive(Debug, Clone)]
pub struct ServerRecord {
    /// The server id in endpoint lists.
    pub name: String,
    /// Index of the zone.
    pub zone: usize,
    /// The cell.
    pub cell: u32,
    /// When the server started, if it started during the run and so with a slow start.
    pub started_at: Option<Instant>,
    /// When discovery first listed the server as draining or removed.
    pub withdrawn_at: Option<Instant>,
}

/// Key of a notification to one incarnation of a limiter about one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NotificationKey {
    /// The limiter.
    pub limiter: usize,
    /// The incarnation of the limiter.
    pub incarnation: usize,
    /// The number of the server.
    pub server: usize,
}

/// A period during which the task of a simulated server did not run. The limiter is not at fault for requests
/// that the server read late because of the stall.
#[derive(Debug, Clone, Copy)]
pub struct ServerStall {
    /// The number of the server.
    pub server: usize,
    /// When the last iteration of the accept loop before the stall ended.
    pub from: Instant,
    /// When the first iteration of the accept loop after the stall ended.
    pub to: Instant,
}

/// A period during which discovery was unavailable to all limiters.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    /// The beginning.
    pub from: Instant,
    /// The end.
    pub to: Instant,
}

/// A fault or another event that the harness caused, for the timeline of a report.
#[derive(Debug, Clone)]
pub struct FaultEvent {
    /// The time of the event.
    pub at: Instant,
    /// Description of the event.
    pub text: String,
}

/// Observations of a run.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests of clients.
    pub requests: BTreeMap<RequestId, ClientRequest>,
    /// Attempts in the order in which servers read them.
    pub attempts: Vec<Attempt>,
    /// The incarnations of each limiter.
    pub incarnations: HashMap<usize, Vec<Incarnation>>,
    /// Servers by number.
    pub servers: Vec<ServerRecord>,
    /// When discovery first wrote to a limiter that a server is draining or removed.
    pub withdrawal_notifications: HashMap<NotificationKey, Instant>,
    /// When discovery first wrote to a limiter that a server is serving.
    pub start_notifications: HashMap<NotificationKey, Instant>,
    /// Outages of discovery.
    pub outages: Vec<Outage>,
    /// Stalls of simulated servers.
    pub server_stalls: Vec<ServerStall>,
    /// Faults of limiter processes: crashes, failed starts, exceeded limits.
    pub process_faults: Vec<String>,
    /// Faults and other events that the harness caused.
    pub events: Vec<FaultEvent>,
}

/// A record to which all tasks of a run write.
#[derive(Debug, Default)]
pub struct SharedRecord(Mutex<Record>);

impl SharedRecord {
    /// Locks the record. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event that the harness causes now.
    pub fn record_event(&self, text: impl Into<String>) {
        self.lock().events.push(FaultEvent { at: Instant::now(), text: text.into() });
    }
}
