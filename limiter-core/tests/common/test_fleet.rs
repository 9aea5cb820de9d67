//! A fleet of limiters with servers and clients, on a network that delays and loses messages.

use std::collections::HashMap;

use limiter_core::*;

use super::{attempt_ended, endpoints_changed, server, settings_among, take_due, LimiterAction, TestNetwork};

/// Number that is added to the id of a request for each retry by its client. A retry has to have a new id,
/// because the limiters handle it as a new request.
pub const CLIENT_RETRY_ID_STEP: RequestId = 1_000_000;
/// Shortest backoff of a client before a retry.
const CLIENT_BACKOFF_MS: Millis = 100.0;
/// Upper bound of the random jitter that is added to the backoff.
const CLIENT_BACKOFF_JITTER_MS: Millis = 200.0;

/// Time after which a server responds.
const SERVICE_TIME_MS: Millis = 100.0;
/// Time after which a server at capacity rejects a request.
const REJECTION_TIME_MS: Millis = 5.0;
/// Window over which a server counts accepted requests to decide whether it is at capacity.
const CAPACITY_WINDOW_MS: Millis = 1000.0;

/// Step by which the clock of the fleet advances.
const STEP_MS: Millis = 8.0;

/// An attempt that a limiter forwarded.
pub struct ForwardedAttempt {
    pub forwarded_at: Millis,
    pub id: RequestId,
    pub server: ServerId,
    /// Whether the server was at capacity and rejected the attempt.
    pub rejected: bool,
}

/// A response that a server will send.
struct PendingResponse {
    due_at: Millis,
    limiter: usize,
    id: RequestId,
    attempt: u32,
    rejected: bool,
}

/// A retry that a rejected client will make.
struct ClientRetry {
    due_at: Millis,
    id: RequestId,
}

/// A fleet in front of servers that respond after a fixed time. The fleet records all forwarded attempts.
pub struct TestFleet {
    pub network: TestNetwork,
    rng: fastrand::Rng,
    pending_responses: Vec<PendingResponse>,
    /// Requests per second that each server accepts. Further requests are rejected.
    pub server_capacity_per_s: f64,
    last_id: RequestId,
    /// Largest number of times that a client submits one request, including the first time. Each submission
    /// goes to a random member.
    pub max_client_attempts: u32,
    client_retries: Vec<ClientRetry>,
    /// Number of attempts forwarded for each request.
    num_attempts: HashMap<RequestId, u32>,
    /// All attempts forwarded so far, in order.
    pub forwarded: Vec<ForwardedAttempt>,
}

impl TestFleet {
    /// Starts a fleet with the common settings in front of the first `servers` servers.
    pub fn new(limiters: u32, servers: u32, seed: u64) -> TestFleet {
        TestFleet::with_settings(limiters, servers, seed, |position| settings_among(limiters, position))
    }

    /// Starts a fleet with the settings that `settings` returns for each position.
    pub fn with_settings(
        limiters: u32,
        servers: u32,
        seed: u64,
        settings: impl Fn(u32) -> Settings,
    ) -> TestFleet {
        TestFleet {
            network: TestNetwork::with_settings((0..limiters).map(settings).collect(), servers, seed),
            rng: fastrand::Rng::with_seed(seed),
            pending_responses: Vec::new(),
            server_capacity_per_s: f64::INFINITY,
            last_id: 0,
            max_client_attempts: 1,
            client_retries: Vec::new(),
            num_attempts: HashMap::new(),
            forwarded: Vec::new(),
        }
    }

    /// Passes an event to a limiter, and simulates how servers and clients react to its actions.
    pub fn handle(&mut self, limiter: usize, event: Event) {
        let actions = self.network.handle(limiter, event);
        for action in actions {
            self.simulate_reaction(limiter, action);
        }
    }

    /// Simulates how a client or a server reacts to an action.
    fn simulate_reaction(&mut self, limiter: usize, action: Action) {
        match action {
            Action::Reject { id, .. } if id / CLIENT_RETRY_ID_STEP + 1 < self.max_client_attempts => {
                let backoff_ms = CLIENT_BACKOFF_MS + CLIENT_BACKOFF_JITTER_MS * self.rng.f64();
                let due_at = self.network.now + backoff_ms;
                self.client_retries.push(ClientRetry { due_at, id: id + CLIENT_RETRY_ID_STEP });
            }
            Action::Forward { id, server, .. } => self.receive_at_server(limiter, id, server),
            _ => {}
        }
    }

    /// Records a forwarded attempt and schedules the response of the server.
    fn receive_at_server(&mut self, limiter: usize, id: RequestId, server: ServerId) {
        let now = self.network.now;
        let rejected = self.is_full(&server);
        let due_at = now + if rejected { REJECTION_TIME_MS } else { SERVICE_TIME_MS };
        let num_attempts = self.num_attempts.entry(id).or_default();
        self.pending_responses.push(PendingResponse {
            due_at,
            limiter,
            id,
            attempt: *num_attempts,
            rejected,
        });
        *num_attempts += 1;
        self.forwarded.push(ForwardedAttempt { forwarded_at: now, id, server, rejected });
    }

    /// Returns whether a server has accepted as many requests as its capacity allows.
    fn is_full(&self, server: &ServerId) -> bool {
        if self.server_capacity_per_s.is_infinite() {
            return false;
        }
        let now = self.network.now;
        let recent =
            self.forwarded.iter().rev().take_while(|attempt| now - attempt.forwarded_at < CAPACITY_WINDOW_MS);
        let accepted = recent.filter(|attempt| !attempt.rejected && attempt.server == *server).count();
        accepted as f64 >= self.server_capacity_per_s
    }

    /// Announces changed servers to all limiters.
    pub fn change_endpoints(&mut self, endpoints: &[Endpoint]) {
        for limiter in 0..self.network.limiters.len() {
            self.handle(limiter, endpoints_changed(endpoints.to_vec()));
        }
    }

    /// Restarts a limiter. Outstanding responses to its old process are lost.
    pub fn restart(&mut self, limiter: usize, settings: Settings, servers: u32, seed: u64) {
        self.pending_responses.retain(|response| response.limiter != limiter);
        self.network.restart(limiter, settings, servers, seed);
    }

    /// Returns the number of attempts forwarded since a given time to those of the first 200 servers whose
    /// number `is_selected` accepts.
    pub fn num_forwarded_to(&self, since: Millis, is_selected: impl Fn(u32) -> bool) -> usize {
        let servers: Vec<ServerId> = (0..200).filter(|n| is_selected(*n)).map(server).collect();
        let is_counted =
            |attempt: &&ForwardedAttempt| attempt.forwarded_at >= since && servers.contains(&attempt.server);
        self.forwarded.iter().filter(is_counted).count()
    }

    /// Submits evenly spaced requests, each to a random member, and advances the clock. Returns the number of
    /// forwarded attempts.
    pub fn run(&mut self, requests_per_s: f64, seconds: f64, request: impl Fn(RequestId) -> Request) -> u32 {
        let num_before = self.forwarded.len();
        let end = self.network.now + 1000.0 * seconds;
        let mut next_arrival = self.network.now;
        while self.network.now < end {
            while next_arrival <= self.network.now {
                next_arrival += 1000.0 / requests_per_s;
                self.last_id += 1;
                self.submit_at_random_member(request(self.last_id));
            }
            let now = self.network.now;
            for retry in take_due(&mut self.client_retries, |retry| retry.due_at <= now) {
                self.submit_at_random_member(request(retry.id));
            }
            for LimiterAction { limiter, action } in self.network.advance(STEP_MS) {
                self.simulate_reaction(limiter, action);
            }
            self.deliver_due_responses();
        }
        (self.forwarded.len() - num_before) as u32
    }

    /// Submits a request to a random member of its customer's quota.
    fn submit_at_random_member(&mut self, request: Request) {
        let member = request.first_member + self.rng.u32(0..request.member_count);
        let limiter = member as usize % self.network.limiters.len();
        self.handle(limiter, Event::RequestArrived(request));
    }

    /// Reports to the limiters the ends of all attempts whose responses are due.
    fn deliver_due_responses(&mut self) {
        let now = self.network.now;
        for response in take_due(&mut self.pending_responses, |response| response.due_at <= now) {
            let PendingResponse { limiter, id, attempt, rejected, .. } = response;
            let outcome = if rejected { Outcome::Rejected } else { Outcome::Ok };
            self.handle(limiter, attempt_ended(id, attempt, outcome, SERVICE_TIME_MS));
        }
    }
}
