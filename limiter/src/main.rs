//! The limiter: the program that connects the decisions of `limiter-core` to sockets.
//!
//! This file contains the startup, the wiring of the modules, and the exit code. The modules depend on each
//! other in one direction only:
//!
//! - [`frontend`], [`discovery`], [`upstream`] and [`gossip`] use the [`engine`], but not each other.
//! - The engine uses them through the traits in `engine/ports.rs` only.
//! - [`reload`] changes the address that [`discovery`] watches.
//! - All of them use [`config`], [`endpoints`], [`messages`], [`runtime`], [`observability`] and [`net`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod discovery;
mod endpoints;
mod engine;
mod frontend;
mod gossip;
mod messages;
mod net;
mod observability;
mod reload;
mod runtime;
mod upstream;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;

use limiter_core::SettingsError;
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};
use tokio::task::spawn_local;

use config::{Config, ConfigError};
use discovery::WatchTarget;
use engine::Engine;
use gossip::GossipSender;
use net::{retry_on_resource_exhaustion, DatagramSocket, Listener};
use observability::logging;
use runtime::signals::{SignalError, Signals};
use upstream::Servers;

/// Highest number of connections that wait to be accepted; the system may impose a lower limit. When the
/// queue is full, the first packets of a further connection are dropped, and retransmitted after 1 s. A short
/// stall of the process must not delay its clients by that second.
const ACCEPT_QUEUE_LENGTH: i32 = 1024;

/// Why the limiter could not start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("cannot start the async runtime: {0}")]
    Runtime(io::Error),
    #[error(transparent)]
    Signal(#[from] SignalError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("cannot bind peer_listen {address}: {error}")]
    Gossip { address: SocketAddr, error: io::Error },
    #[error("cannot determine the listening address: {0}")]
    LocalAddress(io::Error),
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

fn main() -> ExitCode {
    let result = start_runtime().and_then(|runtime| runtime.block_on(run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("limiter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start_runtime() -> Result<LocalRuntime, StartError> {
    let build = || Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    retry_on_resource_exhaustion(build).map_err(StartError::Runtime)
}

/// Serves until SIGTERM or SIGINT, and completes the accepted requests.
async fn run() -> Result<(), StartError> {
    // The signal handlers are installed first, because SIGHUP terminates a process that has no handler for
    // it.
    let signals = Rc::new(Signals::install()?);
    let config = Config::from_environment()?;
    let _log = logging::start(config.name.clone());
    let listener = listen(config.listen)?;
    let gossip_socket = config.peer_listen.map(bind_gossip).transpose()?;
    let servers = Servers::new(&config);
    let watch_target = Rc::new(WatchTarget::new(config.discovery));
    let gossip = GossipSender::new(gossip_socket.clone(), config.peers.clone());
    let engine = Engine::new(config, Box::new(servers.clone()), Box::new(gossip))?;
    let address = listener.local_address().map_err(StartError::LocalAddress)?;
    tracing::info!(%address, "listening");
    if let Some(socket) = gossip_socket {
        spawn_local(gossip::receive(engine.clone(), socket));
    }
    spawn_tasks(&engine, servers, watch_target, &signals);
    frontend::serve(&engine, listener, signals.shutdown_requested()).await;
    engine.finish_shutdown();
    Ok(())
}

/// Spawns the tasks that run for the lifetime of the process. The watch on discovery starts before the task
/// that reloads the configuration, so that the first source is always watched.
fn spawn_tasks(
    engine: &Rc<Engine>,
    servers: Rc<Servers>,
    watch_target: Rc<WatchTarget>,
    signals: &Rc<Signals>,
) {
    spawn_local(engine.clone().run_timers());
    spawn_local(upstream::close_expired_connections(servers));
    spawn_local(discovery::run(engine.clone(), watch_target.clone()));
    spawn_local(engine.clone().fall_back_to_configured_endpoints());
    spawn_local(reload::reload_on_hangup(signals.clone(), watch_target));
    spawn_local(log_counters_on_request(signals.clone(), engine.clone()));
    let signals = signals.clone();
    spawn_local(async move { signals.run().await });
}

/// Logs all counters on each SIGUSR1.
async fn log_counters_on_request(signals: Rc<Signals>, engine: Rc<Engine>) {
    loop {
        signals.counter_log_requested().await;
        engine.log_counters();
    }
}

fn listen(address: SocketAddr) -> Result<Listener, StartError> {
    retry_on_resource_exhaustion(|| Listener::bind(address, ACCEPT_QUEUE_LENGTH))
        .map_err(|error| StartError::Listen { address, error })
}

fn bind_gossip(address: SocketAddr) -> Result<Rc<DatagramSocket>, StartError> {
    let socket = retry_on_resource_exhaustion(|| DatagramSocket::bind(address))
        .map_err(|error| StartError::Gossip { address, error })?;
    Ok(Rc::new(socket))
}
