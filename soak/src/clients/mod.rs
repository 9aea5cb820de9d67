//! Simulated clients: most behave normally, some disconnect early, write slowly, pipeline requests, stall or
//! stay idle.

mod connections;
mod exchange;
pub mod misbehaving;
mod pipeline;
mod request;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::{sleep, sleep_until};

use crate::deployment::Deployment;
use crate::limiter_process::LimiterProcess;
use crate::record::{Outcome, RequestId, SharedRecord};
use connections::PooledConnection;
use exchange::Delivery;
use request::RequestSpec;

/// Time after the client's timeout during which a response is useless to the client but no violation. A later
/// response is recorded as missing.
pub const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Usual per mille of the clients that disconnect before their response.
pub const DISCONNECTING_PER_MILLE: u64 = 50;
/// Fraction of the clients that pipeline requests.
const PIPELINING_FRACTION: f64 = 0.03;
/// Maximum number of attempts to deliver a request, each to a random member of the customer's quota.
const MAX_DELIVERY_ATTEMPTS: usize = 3;
/// Delay after a failed delivery.
const DELIVERY_RETRY_DELAY: Duration = Duration::from_millis(20);

/// All clients of a run.
pub struct Clients {
    deployment: Deployment,
    limiters: Vec<Arc<LimiterProcess>>,
    record: Arc<SharedRecord>,
    /// A pool of idle connections to each limiter.
    pools: Vec<Mutex<Vec<PooledConnection>>>,
    next_request_id: AtomicU64,
    /// Per mille of the clients that disconnect before their response.
    disconnecting_per_mille: AtomicU64,
    /// Multiple of the deployment's request rate.
    rate_factor: AtomicU64,
}

impl Clients {
    /// Creates the clients of these limiters.
    pub fn new(
        deployment: Deployment,
        limiters: Vec<Arc<LimiterProcess>>,
        record: Arc<SharedRecord>,
    ) -> Arc<Clients> {
        let pools = limiters.iter().map(|_| Mutex::default()).collect();
        Arc::new(Clients {
            deployment,
            limiters,
            record,
            pools,
            next_request_id: AtomicU64::new(1),
            disconnecting_per_mille: AtomicU64::new(DISCONNECTING_PER_MILLE),
            rate_factor: AtomicU64::new(1),
        })
    }

    /// Sets the per mille of the clients that disconnect before their response.
    pub fn set_disconnecting_per_mille(&self, per_mille: u64) {
        self.disconnecting_per_mille.store(per_mille, Ordering::SeqCst);
    }

    /// Sets the multiple of the deployment's request rate at which clients send requests.
    pub fn set_rate_factor(&self, factor: u64) {
        self.rate_factor.store(factor, Ordering::SeqCst);
    }

    /// Sends requests until the given time, with random gaps between them, at the current request rate. Does
    /// not wait for responses.
    pub async fn run(self: Arc<Self>, seed: u64, until: Instant) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut due = Instant::now();
        while due < until {
            let rate_per_s = self.deployment.rate_per_s * self.rate_factor.load(Ordering::SeqCst) as f64;
            due += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate_per_s);
            sleep_until(due.into()).await;
            let client_rng = SmallRng::seed_from_u64(rng.random());
            tokio::spawn(self.clone().run_client(client_rng));
        }
    }

    /// Sends one request to random members of the customer's quota until it is delivered, or several
    /// pipelined requests to one limiter.
    async fn run_client(self: Arc<Self>, mut rng: SmallRng) {
        let request = self.draw_request(&mut rng);
        if rng.random_bool(PIPELINING_FRACTION) {
            let requests = [request, self.draw_request(&mut rng), self.draw_request(&mut rng)];
            return self.send_pipelined(&requests).await;
        }
        for _ in 0..MAX_DELIVERY_ATTEMPTS {
            let member = rng.random_range(0..request.num_members);
            let limiter = (request.first_member + member) % self.limiters.len();
            if self.send(&request, limiter, &mut rng).await == Delivery::Delivered {
                return;
            }
            sleep(DELIVERY_RETRY_DELAY).await;
        }
    }

    /// Returns whether any server has received the request.
    fn was_forwarded(&self, id: RequestId) -> bool {
        self.record.lock().attempts.iter().rev().any(|attempt| attempt.request == id)
    }

    /// Removes a request from the record, because the limiter did not read the request.
    fn remove_request(&self, id: RequestId) {
        self.record.lock().requests.remove(&id);
    }

    fn record_outcome(&self, id: RequestId, outcome: Outcome) {
        if let Some(request) = self.record.lock().requests.get_mut(&id) {
            request.outcome = Some(outcome);
            request.ended_at = Some(Instant::now());
        }
    }

    /// Draws a request with a new id.
    fn draw_request(&self, rng: &mut SmallRng) -> RequestSpec {
        let id = self.next_request_id.fetch_add(1, Ordering::SeqCst);
        RequestSpec::draw(id, &self.deployment, self.limiters.len(), rng)
    }
}
