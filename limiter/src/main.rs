//! The limiter: one program that puts the decisions of `limiter-core` on sockets. Start, signals, exit code.
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
use tokio::runtime::{Builder, LocalOptions};

use config::{Config, ConfigError};
use discovery::WatchTarget;
use engine::Engine;
use gossip::GossipSender;
use net::{through_shortage, DatagramSocket, Listener};
use observability::logging;
use runtime::signals::{SignalError, Signals};
use upstream::Servers;

/// Connections that may wait to be accepted, as far as the system allows. Beyond it the first packets of a connection
/// are dropped and sent again after 1 s: a process that stalls for a moment must not cost its clients that.
const ACCEPT_QUEUE: i32 = 1024;

/// Why the limiter could not start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("cannot start: {0}")]
    Runtime(io::Error),
    #[error(transparent)]
    Signal(#[from] SignalError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot listen on {address}: {error}")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("peer_listen {address}: {error}")]
    Gossip { address: SocketAddr, error: io::Error },
    #[error("no address: {0}")]
    LocalAddress(io::Error),
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

fn main() -> ExitCode {
    let build = || Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    let runtime = through_shortage(build);
    match runtime.map_err(StartError::Runtime).and_then(|runtime| runtime.block_on(run())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("limiter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until SIGTERM or SIGINT, then finishes what was accepted.
async fn run() -> Result<(), StartError> {
    // Before all else: until it is handled, a SIGHUP ends the program.
    let signals = Rc::new(Signals::install()?);
    let config = Config::from_environment()?;
    let _log = logging::start(config.name.clone());
    let address = config.listen;
    let listener = through_shortage(|| Listener::bind(address, ACCEPT_QUEUE))
        .map_err(|error| StartError::Listen { address, error })?;
    let gossip_socket = config.peer_listen.map(bind_gossip).transpose()?;
    let servers = Servers::new(&config);
    let watch_target = Rc::new(WatchTarget::new(config.discovery));
    let gossip = GossipSender::new(gossip_socket.clone(), config.peers.clone());
    let engine = Engine::new(config, Box::new(servers.clone()), Box::new(gossip))?;
    let address = listener.local_address().map_err(StartError::LocalAddress)?;
    tracing::info!(%address, "listening");
    if let Some(socket) = gossip_socket {
        tokio::task::spawn_local(gossip::receive(engine.clone(), socket));
    }
    tokio::task::spawn_local(engine.clone().run_timers());
    tokio::task::spawn_local(upstream::close_expired_connections(servers));
    tokio::task::spawn_local(discovery::run(engine.clone(), watch_target.clone()));
    tokio::task::spawn_local(engine.clone().fall_back_to_configured_endpoints());
    tokio::task::spawn_local(reload::reload_on_hangup(signals.clone(), watch_target));
    tokio::task::spawn_local(report_on_request(signals.clone(), engine.clone()));
    let passed_on = signals.clone();
    tokio::task::spawn_local(async move { passed_on.run().await });
    frontend::serve(&engine, listener, signals.stop_requested()).await;
    engine.finish_shutdown();
    Ok(())
}

/// Writes all counters to the log on each SIGUSR1.
async fn report_on_request(signals: Rc<Signals>, engine: Rc<Engine>) {
    loop {
        signals.report_requested().await;
        engine.log_counters();
    }
}

fn bind_gossip(address: SocketAddr) -> Result<Rc<DatagramSocket>, StartError> {
    let socket = through_shortage(|| DatagramSocket::bind(address))
        .map_err(|error| StartError::Gossip { address, error })?;
    Ok(Rc::new(socket))
}
