//! All components of a run: limiters, servers, discovery, the gossip network and clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::{SmallRng, StdRng};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::addresses::{Addresses, AGENTS_PER_LIMITER};
use crate::clients::Clients;
use crate::deployment::{Deployment, NUM_CELLS, ZONES};
use crate::discovery::{Discovery, ListedServer};
use crate::gossip::GossipNetwork;
use crate::limiter_process::{LaunchOptions, LimiterProcess};
use crate::record::{ServerRecord, SharedRecord};
use crate::server::{Server, ServerOptions};

/// Interval between two checks of the limiters' memory and file descriptors.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A restart begins only while the restarting limiters are fewer than all limiters divided by this number.
const RESTARTING_DIVISOR: usize = 3;
/// Interval at which the harness polls for the end of the last restart.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// All components of a run.
pub struct Harness {
    /// The deployment.
    pub deployment: Deployment,
    /// Observations of the run so far.
    pub record: Arc<SharedRecord>,
    /// The discovery service.
    pub discovery: Arc<Discovery>,
    /// The network between the limiters.
    pub gossip: Arc<GossipNetwork>,
    /// The limiters.
    pub limiters: Vec<Arc<LimiterProcess>>,
    /// The clients.
    pub clients: Arc<Clients>,
    addresses: Addresses,
    /// Numbers of the limiters that are being restarted.
    restarting: Mutex<Vec<usize>>,
    running_servers: Mutex<Vec<RunningServer>>,
    /// Number of server addresses used so far.
    num_used_server_addresses: AtomicUsize,
}

/// A server that is running and listed.
#[derive(Clone)]
pub struct RunningServer {
    /// The server id in endpoint lists.
    pub name: String,
    /// The server.
    pub server: Arc<Server>,
}

/// Properties that a server keeps when its process restarts.
#[derive(Debug, Clone)]
pub struct ServerIdentity {
    /// The server id in endpoint lists.
    pub name: String,
    /// Index of the server address on which the server listens.
    pub address_index: usize,
    /// Index of the zone.
    pub zone: usize,
    /// The cell.
    pub cell: u32,
}

impl Harness {
    /// Creates all components without starting a server or limiter.
    ///
    /// # Errors
    /// A simulated component cannot listen on its address.
    pub async fn new(
        options: LaunchOptions,
        record: Arc<SharedRecord>,
        seed: u64,
    ) -> std::io::Result<Arc<Harness>> {
        let deployment = options.deployment.clone();
        let addresses = options.addresses;
        let options = Arc::new(options);
        let discovery = Discovery::new(record.clone(), seed);
        for limiter in 0..deployment.limiters {
            for agent in 0..AGENTS_PER_LIMITER {
                discovery.listen(limiter, addresses.discovery(limiter, agent))?;
            }
        }
        let gossip = GossipNetwork::start(&deployment, addresses, record.clone(), seed).await?;
        let mut limiters = Vec::new();
        for number in 0..deployment.limiters {
            limiters.push(LimiterProcess::new(number, options.clone(), discovery.clone(), record.clone()));
        }
        let clients = Clients::new(deployment.clone(), limiters.clone(), record.clone());
        Ok(Arc::new(Harness {
            deployment,
            record,
            discovery,
            gossip,
            limiters,
            clients,
            addresses,
            restarting: Mutex::default(),
            running_servers: Mutex::default(),
            num_used_server_addresses: AtomicUsize::new(0),
        }))
    }

    /// Starts all servers and limiters, and waits until the limiters are ready.
    ///
    /// # Errors
    /// A server cannot listen on its address.
    pub async fn start(&self, rng: &mut StdRng) -> std::io::Result<()> {
        for _ in 0..self.deployment.servers {
            self.start_new_server(false, rng.random())?;
        }
        let configured_list = self.discovery.complete_list();
        let mut starts = JoinSet::new();
        for limiter in self.limiters.clone() {
            let configured_list = configured_list.clone();
            starts.spawn(async move { limiter.start(configured_list).await });
        }
        starts.join_all().await;
        Ok(())
    }

    /// Starts a server under a new name and address.
    ///
    /// # Errors
    /// The server cannot listen on its address.
    pub fn start_new_server(&self, has_slow_start: bool, seed: u64) -> std::io::Result<()> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let number = self.record.lock().servers.len();
        let zone = rng.random_range(0..ZONES.len());
        let cell = rng.random_range(0..NUM_CELLS);
        let address_index = self.num_used_server_addresses.fetch_add(1, Ordering::SeqCst);
        let identity = ServerIdentity { name: format!("s-{number:03}"), address_index, zone, cell };
        self.start_server(identity, has_slow_start, &mut rng)
    }

    /// Starts a server, with a slow start, under the name and address of a stopped one.
    ///
    /// # Errors
    /// The server cannot listen on its address.
    pub fn restart_server(&self, identity: ServerIdentity, seed: u64) -> std::io::Result<()> {
        self.start_server(identity, true, &mut SmallRng::seed_from_u64(seed))
    }

    fn start_server(
        &self,
        identity: ServerIdentity,
        has_slow_start: bool,
        rng: &mut SmallRng,
    ) -> std::io::Result<()> {
        let ServerIdentity { name, address_index, zone, cell } = identity;
        let number = self.record.lock().servers.len();
        let address: SocketAddr = self.addresses.server(address_index);
        let latency = Duration::from_millis(rng.random_range(4..60));
        let started_at = has_slow_start.then(Instant::now);
        let options = ServerOptions { number, address_index, address, latency, slow_start_since: started_at };
        let server = Server::start(&options, &self.deployment, self.record.clone())?;
        self.record.lock().servers.push(ServerRecord {
            name: name.clone(),
            zone,
            cell,
            started_at,
            withdrawn_at: None,
        });
        self.running_servers().push(RunningServer { name: name.clone(), server });
        self.discovery.announce(ListedServer::serving(number, name, address, zone, cell, has_slow_start));
        Ok(())
    }

    fn running_servers(&self) -> MutexGuard<'_, Vec<RunningServer>> {
        self.running_servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a random server from the running ones, unless at most two thirds of the initial number are
    /// running. The caller has to stop the server.
    pub fn take_server(&self, rng: &mut SmallRng) -> Option<RunningServer> {
        let mut servers = self.running_servers();
        if servers.len() * 3 <= self.deployment.servers * 2 {
            return None;
        }
        let index = rng.random_range(0..servers.len());
        Some(servers.swap_remove(index))
    }

    /// Chooses running servers at random: at least one, and at most a quarter of the initial number.
    pub fn choose_servers(&self, rng: &mut SmallRng) -> Vec<Arc<Server>> {
        let max_count = (self.deployment.servers / 4).max(1);
        let count = rng.random_range(1..=max_count);
        let servers = self.running_servers();
        servers.choose_multiple(rng, count).map(|running| running.server.clone()).collect()
    }

    /// Marks a limiter as restarting and returns true. Returns false without a change if the limiter does not
    /// accept clients, is already restarting, or too many others are restarting.
    pub fn try_begin_restart(&self, limiter: usize) -> bool {
        let mut restarting = self.restarting();
        let too_many = restarting.len() * RESTARTING_DIVISOR >= self.limiters.len();
        if too_many || restarting.contains(&limiter) || !self.limiters[limiter].accepts_clients() {
            return false;
        }
        restarting.push(limiter);
        true
    }

    /// Marks a limiter as no longer restarting.
    pub fn end_restart(&self, limiter: usize) {
        self.restarting().retain(|other| *other != limiter);
    }

    /// Waits until no limiter is restarting.
    pub async fn wait_for_restarts(&self) {
        while !self.restarting().is_empty() {
            sleep(RESTART_POLL_INTERVAL).await;
        }
    }

    fn restarting(&self) -> MutexGuard<'_, Vec<usize>> {
        self.restarting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Terminates all limiters concurrently, and waits until their processes have ended.
    pub async fn stop(&self) {
        let mut terminations = JoinSet::new();
        for limiter in self.limiters.clone() {
            terminations.spawn(async move { limiter.terminate().await });
        }
        terminations.join_all().await;
    }

    /// Periodically checks the memory and file descriptors of all limiters until the given time.
    pub async fn check_limits_until(self: Arc<Self>, until: Instant) {
        while Instant::now() < until {
            for limiter in &self.limiters {
                limiter.check_limits();
            }
            sleep(LIMIT_CHECK_INTERVAL).await;
        }
    }
}
