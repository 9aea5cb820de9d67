//! Clients: most behave, some disconnect early, write slowly, pipeline requests, stall or stay idle.

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

/// A response that arrives this long after the client's timeout has no value but counts as given; a later one
/// counts as missing.
pub const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Of a thousand clients, how many usually disconnect before their response.
pub const DISCONNECTING_PER_MILLE: u64 = 50;
/// Fraction of the clients that pipeline several requests.
const PIPELINING_FRACTION: f64 = 0.03;
/// Limiters that a client tries one after the other.
const MAX_CONNECT_ATTEMPTS: usize = 3;
/// Pause between two of these.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// All clients of a run.
pub struct Clients {
    deployment: Deployment,
    limiters: Vec<Arc<LimiterProcess>>,
    record: Arc<SharedRecord>,
    /// Idle connections to each limiter.
    pools: Vec<Mutex<Vec<PooledConnection>>>,
    next_request_id: AtomicU64,
    /// Of a thousand clients, how many disconnect before their response.
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

    /// Changes how many of a thousand clients disconnect before their response.
    pub fn set_disconnecting_per_mille(&self, per_mille: u64) {
        self.disconnecting_per_mille.store(per_mille, Ordering::SeqCst);
    }

    /// Changes the multiple of the deployment's rate at which requests are sent.
    pub fn set_rate_factor(&self, factor: u64) {
        self.rate_factor.store(factor, Ordering::SeqCst);
    }

    /// Sends requests at random times at the deployment's rate until the given time. Does not wait for
    /// responses.
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

    /// Sends one request, or several pipelined ones, to members of the customer's quota.
    async fn run_client(self: Arc<Self>, mut rng: SmallRng) {
        let request = self.draw_request(&mut rng);
        if rng.random_bool(PIPELINING_FRACTION) {
            let requests = [request, self.draw_request(&mut rng), self.draw_request(&mut rng)];
            return self.send_pipelined(&requests).await;
        }
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let member = rng.random_range(0..request.num_members);
            let limiter = (request.first_member + member) % self.limiters.len();
            if self.send(&request, limiter, &mut rng).await == Delivery::Delivered {
                return;
            }
            sleep(CONNECT_RETRY_DELAY).await;
        }
    }

    /// Returns whether any server has received a request.
    fn was_forwarded(&self, id: RequestId) -> bool {
        self.record.lock().attempts.iter().rev().any(|attempt| attempt.request == id)
    }

    /// Forgets a request that the limiter did not read.
    fn remove_request(&self, id: RequestId) {
        self.record.lock().requests.remove(&id);
    }

    fn record_outcome(&self, id: RequestId, outcome: Outcome) {
        if let Some(request) = self.record.lock().requests.get_mut(&id) {
            request.outcome = Some(outcome);
            request.ended_at = Some(Instant::now());
        }
    }

    /// Creates a request as [`RequestSpec`] describes it.
    fn draw_request(&self, rng: &mut SmallRng) -> RequestSpec {
        let id = self.next_request_id.fetch_add(1, Ordering::SeqCst);
        RequestSpec::draw(id, &self.deployment, self.limiters.len(), rng)
    }
}
