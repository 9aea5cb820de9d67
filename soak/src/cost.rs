//! Measures the resources that one limiter needs with a long endpoint list: processor time, memory and file
//! descriptors.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Args;
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::time::sleep_until;

use crate::addresses::Addresses;
use crate::clients::Clients;
use crate::deployment::{Deployment, NUM_CELLS, ZONES};
use crate::discovery::{Discovery, EndpointState, ListedServer};
use crate::limiter_process::{LaunchOptions, LimiterProcess, Usage};
use crate::record::{Record, ServerRecord, SharedRecord};
use crate::server::{Server, ServerOptions};

/// Number of servers that run. Every server on the endpoint list is announced with the address of one of
/// them.
const NUM_RUNNING_SERVERS: usize = 12;
/// Kernel ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Seed of the deployment and of discovery.
const SEED: u64 = 1;
/// Seed of the clients.
const CLIENTS_SEED: u64 = 2;
/// Idle time after which a server closes a connection.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Latency of the servers.
const SERVER_LATENCY: Duration = Duration::from_millis(10);
/// Lowest rate of endpoint list changes per second.
const MIN_CHANGE_RATE_PER_S: f64 = 1e-3;
/// Distance in the endpoint list between two servers that change consecutively.
const CHANGE_STEP: usize = 7;

/// Options of a measurement.
#[derive(Args, Clone)]
pub struct CostOptions {
    /// Number of servers on the endpoint list.
    #[arg(long, default_value_t = 200)]
    servers: usize,
    /// Number of limiters in the settings, of which only one runs.
    #[arg(long, default_value_t = 300)]
    limiters: usize,
    /// Requests per second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Changes of the endpoint list per second.
    #[arg(long, default_value_t = 2.0)]
    changes: f64,
    /// Resets of all watches per second. Each new watch begins with the complete endpoint list; a rate of 0
    /// resets no watches.
    #[arg(long, default_value_t = 0.0)]
    resets: f64,
    /// Duration in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Path of the limiter program.
    #[arg(long, default_value = "target/release/limiter")]
    program: PathBuf,
}

/// Measures the resources of one limiter and prints them on one line.
///
/// # Errors
/// A simulated component cannot listen on its address, the program does not exist, or the folder cannot be
/// created or removed.
pub async fn measure(options: &CostOptions) -> std::io::Result<()> {
    let deployment = deployment(options);
    let addresses = Addresses::for_process();
    let record = Arc::new(SharedRecord::default());
    let discovery = Discovery::new(record.clone(), SEED);
    discovery.listen(0, addresses.discovery(0, 0))?;
    let list = ServerList { addresses: start_servers(&deployment, addresses, &record)? };
    for number in 0..options.servers {
        record.lock().servers.push(server_record(number));
        discovery.announce(list.entry(number));
    }
    let folder = std::env::temp_dir().join(format!("soak-cost-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let launch_options = launch_options(options, &deployment, addresses, &folder)?;
    let limiter = LimiterProcess::new(0, Arc::new(launch_options), discovery.clone(), record.clone());
    limiter.start(discovery.complete_list()).await;
    let clients = Clients::new(deployment, vec![limiter.clone()], record.clone());
    clients.set_disconnecting_per_mille(0);
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let load = tokio::spawn(clients.run(CLIENTS_SEED, until));
    let resets = tokio::spawn(reset_watches(discovery.clone(), options.resets, until));
    change_list(&discovery, &list, options, until).await;
    let _ = tokio::join!(load, resets);
    let usage = limiter.usage();
    limiter.terminate().await;
    print_result(options, &usage, &record.lock());
    std::fs::remove_dir_all(&folder)
}

/// Returns a deployment with one class and one plan, so that the load does not depend on the settings.
fn deployment(options: &CostOptions) -> Deployment {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut deployment = Deployment::draw(&mut rng, 1, options.servers);
    deployment.limiters = options.limiters;
    deployment.rate_per_s = options.rate;
    deployment.subscribes = false;
    deployment.clock_offset_s = 0;
    deployment.server_idle_timeout = SERVER_IDLE_TIMEOUT;
    deployment.classes.truncate(1);
    deployment.plans.truncate(1);
    deployment
}

fn launch_options(
    options: &CostOptions,
    deployment: &Deployment,
    addresses: Addresses,
    folder: &Path,
) -> std::io::Result<LaunchOptions> {
    Ok(LaunchOptions {
        program: options.program.canonicalize()?,
        folder: folder.to_path_buf(),
        log_level: "info",
        addresses,
        deployment: deployment.clone(),
        library: None,
        library_environment: Vec::new(),
    })
}

fn print_result(options: &CostOptions, usage: &Usage, record: &Record) {
    println!(
        "{} servers, {} limiters: {:.2} s of processor time, {} kB at most, {} descriptors, {} requests, {} attempts",
        options.servers,
        options.limiters,
        usage.ticks as f64 / TICKS_PER_S,
        usage.peak_memory_kb,
        usage.num_descriptors,
        record.requests.len(),
        record.attempts.len(),
    );
}

fn start_servers(
    deployment: &Deployment,
    addresses: Addresses,
    record: &Arc<SharedRecord>,
) -> std::io::Result<Vec<SocketAddr>> {
    let mut started = Vec::new();
    for address_index in 0..NUM_RUNNING_SERVERS {
        let address = addresses.server(address_index);
        let latency = SERVER_LATENCY;
        let options = ServerOptions { number: 0, address_index, address, latency, slow_start_since: None };
        Server::start(&options, deployment, record.clone())?;
        started.push(address);
    }
    Ok(started)
}

/// A long endpoint list, whose servers share the addresses of the running ones.
struct ServerList {
    addresses: Vec<SocketAddr>,
}

impl ServerList {
    fn entry(&self, number: usize) -> ListedServer {
        let address = self.addresses[number % self.addresses.len()];
        let ServerRecord { name, zone, cell, .. } = server_record(number);
        ListedServer::serving(number, name, address, zone, cell, false)
    }
}

fn server_record(number: usize) -> ServerRecord {
    ServerRecord {
        name: format!("s-{number:05}"),
        zone: number % ZONES.len(),
        cell: number as u32 % NUM_CELLS,
        started_at: None,
        withdrawn_at: None,
    }
}

/// Resets all watches at the given rate and makes each new watch begin with the complete endpoint list. Does
/// nothing if the rate is 0.
async fn reset_watches(discovery: Arc<Discovery>, per_s: f64, until: Instant) {
    if per_s <= 0.0 {
        return;
    }
    discovery.set_always_complete(true);
    let mut due = Instant::now();
    while due < until {
        due += Duration::from_secs_f64(1.0 / per_s);
        sleep_until(due.min(until).into()).await;
        discovery.reset_watches();
    }
}

/// Announces changes of the endpoint list at the rate of the options: in turn, that a server is draining, and
/// that the same server is serving again.
async fn change_list(discovery: &Discovery, list: &ServerList, options: &CostOptions, until: Instant) {
    let interval = Duration::from_secs_f64(1.0 / options.changes.max(MIN_CHANGE_RATE_PER_S));
    let mut due = Instant::now();
    let mut num_changes = 0;
    while due < until {
        due += interval;
        sleep_until(due.min(until).into()).await;
        let number = num_changes / 2 * CHANGE_STEP % options.servers;
        let is_draining = num_changes % 2 == 0;
        let state = if is_draining { EndpointState::Draining } else { EndpointState::Serving };
        discovery.announce(list.entry(number).with_state(state));
        num_changes += 1;
    }
}
