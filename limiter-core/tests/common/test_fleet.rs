//! A fleet of limiters that share servers and customers, and whose messages are late and lost.

use std::collections::HashMap;

use limiter_core::*;

use super::{attempt_ended, endpoints_changed, server, settings_among, take_due, LimiterAction, TestNetwork};

/// Added to a request's id for each retry by its client: to the limiters a retry is a new request.
pub const CLIENT_RETRY_ID_STEP: RequestId = 1_000_000;
/// A client retries after this time and up to as much again by chance.
const CLIENT_BACKOFF_MS: Millis = 100.0;
const CLIENT_BACKOFF_JITTER_MS: Millis = 200.0;

/// Time until a server responds.
const SERVICE_TIME_MS: Millis = 100.0;
/// Time until a server rejects what is beyond its capacity.
const REJECTION_TIME_MS: Millis = 5.0;
/// Time over which a server counts what it has accepted.
const CAPACITY_WINDOW_MS: Millis = 1000.0;

/// Time passes in steps of this length.
const STEP_MS: Millis = 8.0;

/// An attempt as a limiter forwarded it.
pub struct ForwardedAttempt {
    pub at: Millis,
    pub id: RequestId,
    pub server: ServerId,
    /// The server was full.
    pub rejected: bool,
}

/// The response of a server that is still to come.
struct PendingResponse {
    due_at: Millis,
    limiter: usize,
    id: RequestId,
    attempt: u32,
    rejected: bool,
}

/// A client that was rejected and comes again.
struct ClientRetry {
    due_at: Millis,
    id: RequestId,
}

/// A fleet before servers that respond after a fixed time; it records what was forwarded to them.
pub struct TestFleet {
    pub network: TestNetwork,
    rng: fastrand::Rng,
    pending_responses: Vec<PendingResponse>,
    /// Requests a second that each server accepts; it rejects what is beyond.
    pub server_capacity_per_s: f64,
    last_id: RequestId,
    /// Most submissions of one request by its client, the first included, each at a member drawn anew.
    pub max_client_attempts: u32,
    client_retries: Vec<ClientRetry>,
    num_attempts: HashMap<RequestId, u32>,
    pub forwarded: Vec<ForwardedAttempt>,
}

impl TestFleet {
    pub fn new(limiters: u32, servers: u32, seed: u64) -> TestFleet {
        TestFleet::with_settings(limiters, servers, seed, |position| settings_among(limiters, position))
    }

    /// With settings of its own for each position.
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

    /// Has a limiter handle an event and servers and clients act on what it does.
    pub fn handle(&mut self, limiter: usize, event: Event) {
        let actions = self.network.handle(limiter, event);
        for action in actions {
            self.apply(limiter, action);
        }
    }

    fn apply(&mut self, limiter: usize, action: Action) {
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
        self.forwarded.push(ForwardedAttempt { at: now, id, server, rejected });
    }

    fn is_full(&self, server: &ServerId) -> bool {
        if self.server_capacity_per_s.is_infinite() {
            return false;
        }
        let now = self.network.now;
        let recent = self.forwarded.iter().rev().take_while(|attempt| now - attempt.at < CAPACITY_WINDOW_MS);
        let accepted = recent.filter(|attempt| !attempt.rejected && attempt.server == *server).count();
        accepted as f64 >= self.server_capacity_per_s
    }

    /// Discovery announces changed servers to all limiters.
    pub fn change_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        for limiter in 0..self.network.limiters.len() {
            self.handle(limiter, endpoints_changed(endpoints.clone()));
        }
    }

    /// Replaces a limiter by a new process; the responses to the old one are lost.
    pub fn restart(&mut self, limiter: usize, settings: Settings, servers: u32, seed: u64) {
        self.pending_responses.retain(|response| response.limiter != limiter);
        self.network.restart(limiter, settings, servers, seed);
    }

    /// Attempts forwarded from a moment on to the servers that `which` picks by number.
    pub fn num_forwarded_to(&self, from: Millis, which: impl Fn(u32) -> bool) -> usize {
        let servers: Vec<ServerId> = (0..200).filter(|n| which(*n)).map(server).collect();
        let counts = |attempt: &&ForwardedAttempt| attempt.at >= from && servers.contains(&attempt.server);
        self.forwarded.iter().filter(counts).count()
    }

    /// Requests of one unit arrive evenly spaced, each at a member drawn anew; returns how many were forwarded.
    pub fn run(&mut self, requests_per_s: f64, seconds: f64, request: impl Fn(RequestId) -> Request) -> u32 {
        let num_before = self.forwarded.len();
        let end = self.network.now + 1000.0 * seconds;
        let mut next_arrival = self.network.now;
        while self.network.now < end {
            while next_arrival <= self.network.now {
                next_arrival += 1000.0 / requests_per_s;
                self.last_id += 1;
                self.submit_at_any_member(request(self.last_id));
            }
            let now = self.network.now;
            for retry in take_due(&mut self.client_retries, |retry| retry.due_at <= now) {
                self.submit_at_any_member(request(retry.id));
            }
            for LimiterAction { limiter, action } in self.network.advance(STEP_MS) {
                self.apply(limiter, action);
            }
            self.deliver_due_responses();
        }
        (self.forwarded.len() - num_before) as u32
    }

    fn submit_at_any_member(&mut self, request: Request) {
        let member = request.first_member + self.rng.u32(0..request.member_count);
        let limiter = member as usize % self.network.limiters.len();
        self.handle(limiter, Event::RequestArrived(request));
    }

    fn deliver_due_responses(&mut self) {
        let now = self.network.now;
        for response in take_due(&mut self.pending_responses, |response| response.due_at <= now) {
            let PendingResponse { limiter, id, attempt, rejected, .. } = response;
            let outcome = if rejected { Outcome::Rejected } else { Outcome::Ok };
            self.handle(limiter, attempt_ended(id, attempt, outcome, SERVICE_TIME_MS));
        }
    }
}
