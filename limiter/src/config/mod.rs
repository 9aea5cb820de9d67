//! The configuration: the JSON file that `ROUTER_CONFIG` names, with single variables that override it.

mod error;
mod file;
mod limits;
mod shutdown;
mod site;

use std::io;
use std::net::SocketAddr;

use limiter_core::{Millis, Settings};
use simulator_adapter::NameIndex;

use crate::endpoints::EndpointList;
use crate::net::through_shortage;
pub use error::ConfigError;
use error::ValueOrigin;
use file::ConfigFile;
use limits::{ConnectionLimits, TooFewConnections};
use shutdown::ShutdownTimes;
use site::SiteSettings;

/// Names the file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// Stands above `name` of the file.
const NAME_VARIABLE: &str = "ROUTER_NAME";
/// Stands above `listen` of the file.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Stands above `discovery` of the file, at the start alone.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// Fraction of a server's idle time after which this side drops a connection: a request written to one that the
/// server closes at that moment would be lost as a reset.
const IDLE_FRACTION: f64 = 0.5;

/// The configuration in the program's terms.
pub struct Config {
    /// This limiter's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Most open connections of clients.
    pub max_client_connections: usize,
    /// Most open connections to servers.
    pub max_server_connections: usize,
    /// Most bytes that are read ahead of all clients together, beyond what each connection may hold.
    pub max_read_ahead_bytes: usize,
    /// Where gossip of other limiters arrives.
    pub peer_listen: Option<SocketAddr>,
    /// The limiters' gossip addresses by position, this limiter's among them.
    pub peers: Vec<SocketAddr>,
    /// The list of servers as it was last known; may be old.
    pub known_endpoints: Option<EndpointList>,
    /// Milliseconds after which an idle connection to a server is dropped.
    pub server_connection_idle_ms: Millis,
    /// For how long requests are accepted after SIGTERM.
    pub shutdown_accept_ms: Millis,
    /// How long after SIGTERM all of them are answered.
    pub shutdown_response_ms: Millis,
    /// Most units that one request may ask for.
    pub max_request_units: f64,
    /// The settings of the core.
    pub settings: Settings,
    /// Names of classes, plans and zones.
    pub names: NameIndex,
}

impl Config {
    /// Reads the environment and the file at a start.
    ///
    /// # Errors
    /// The first value that is missing or cannot be used.
    pub fn from_environment() -> Result<Config, ConfigError> {
        Config::read(&variable, |path| through_shortage(|| std::fs::read_to_string(path)))
    }

    /// Reads the file again. `ROUTER_DISCOVERY` tells of the start: only the file can name another address.
    ///
    /// # Errors
    /// As at a start.
    pub fn reloaded() -> Result<Config, ConfigError> {
        let variable = |name: &str| variable(name).filter(|_| name != DISCOVERY_VARIABLE);
        Config::read(&variable, |path| std::fs::read_to_string(path))
    }

    fn read(
        variable: &dyn Fn(&str) -> Option<String>,
        read_text: impl Fn(&str) -> io::Result<String>,
    ) -> Result<Config, ConfigError> {
        let path = variable(FILE_VARIABLE).ok_or(ConfigError::NoFile { variable: FILE_VARIABLE })?;
        let mut file = read_file(&path, read_text)?;
        let lookup = Lookup { variable, path: &path };
        let name = lookup.text(NAME_VARIABLE, "name", file.name.take())?.value;
        let listen = lookup.text(LISTEN_VARIABLE, "listen", file.listen.take())?.address()?;
        let discovery = lookup.text(DISCOVERY_VARIABLE, "discovery", file.discovery.take())?.address()?;
        let seed = seed(&path, file.seed.as_deref())?;
        let bounds = SiteSettings::new(&file.settings);
        let server_connection_idle_ms = idle_ms(&path, bounds.server_idle_ms)?;
        let (settings, names) = file
            .settings
            .into_core()
            .map_err(|error| ConfigError::InvalidSettings { path: path.clone(), error })?;
        let connections = ConnectionLimits::new(file.limits)
            .map_err(|TooFewConnections { available }| ConfigError::TooFewConnections { path, available })?;
        let shutdown = ShutdownTimes::new(bounds.max_deadline_ms, &settings.classes);
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            max_client_connections: connections.clients,
            max_server_connections: connections.servers,
            max_read_ahead_bytes: connections.read_ahead_bytes,
            peer_listen: file.peer_listen,
            peers: file.peers,
            known_endpoints: file.known_endpoints.and_then(readable_list),
            server_connection_idle_ms,
            shutdown_accept_ms: shutdown.accept_ms,
            shutdown_response_ms: shutdown.response_ms,
            max_request_units: bounds.max_request_units,
            settings,
            names,
        })
    }
}

/// A variable of the environment; an empty one counts as absent.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file(path: &str, read_text: impl Fn(&str) -> io::Result<String>) -> Result<ConfigFile, ConfigError> {
    let unreadable = |error| ConfigError::Unreadable { path: path.to_string(), error };
    let malformed = |error| ConfigError::Malformed { path: path.to_string(), error };
    let text = read_text(path).map_err(unreadable)?;
    serde_json::from_str(&text).map_err(malformed)
}

/// Finds values that may stand in the environment or in the file.
struct Lookup<'a> {
    variable: &'a dyn Fn(&str) -> Option<String>,
    path: &'a str,
}

/// A value and where it was found.
struct Found {
    value: String,
    origin: ValueOrigin,
}

impl Lookup<'_> {
    /// The variable's value, or else the file's under `key`.
    fn text(
        &self,
        variable: &'static str,
        key: &'static str,
        in_file: Option<String>,
    ) -> Result<Found, ConfigError> {
        if let Some(value) = (self.variable)(variable) {
            return Ok(Found { value, origin: ValueOrigin::Variable(variable) });
        }
        let path = self.path.to_string();
        match in_file {
            Some(value) => Ok(Found { value, origin: ValueOrigin::File { path, key } }),
            None => Err(ConfigError::Missing { variable, key, path }),
        }
    }
}

impl Found {
    fn address(self) -> Result<SocketAddr, ConfigError> {
        let Found { value, origin } = self;
        value.parse().map_err(|_| ConfigError::InvalidAddress { origin, value })
    }
}

/// The seed of the file, which is in hex; without one, processes differ by their ids.
fn seed(path: &str, hex: Option<&str>) -> Result<u64, ConfigError> {
    let Some(hex) = hex else { return Ok(u64::from(std::process::id())) };
    let invalid = |_| ConfigError::InvalidSeed { path: path.to_string(), value: hex.to_string() };
    u64::from_str_radix(hex, 16).map_err(invalid)
}

/// When this side drops an idle connection to a server that drops it after `server_idle_ms`.
fn idle_ms(path: &str, server_idle_ms: Millis) -> Result<Millis, ConfigError> {
    if !server_idle_ms.is_finite() || server_idle_ms < 0.0 {
        return Err(ConfigError::InvalidIdleTime { path: path.to_string(), value: server_idle_ms });
    }
    Ok(server_idle_ms * IDLE_FRACTION)
}

/// A list that cannot be read is as good as none: discovery announces the complete one.
fn readable_list(list: serde_json::Value) -> Option<EndpointList> {
    serde_json::from_value(list).ok()
}
