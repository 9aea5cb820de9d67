//! The configuration: the JSON file that `ROUTER_CONFIG` names, and the environment variables that override
//! single values.
//!
//! | file | job |
//! | --- | --- |
//! | `file` | the JSON file as the platform writes it |
//! | `lookup` | lookup of values that may be in the environment or in the file |
//! | `limits` | bounds on connections, which follow from the platform's limits |
//! | `shutdown` | times of the graceful shutdown, which follow from the request classes |
//! | `site` | settings of the program that are not settings of the core |
//! | `error` | the errors of reading a configuration |

mod error;
mod file;
mod limits;
mod lookup;
mod shutdown;
mod site;

use std::io;
use std::net::SocketAddr;

use limiter_core::{Millis, Settings};
use serde_json::value::RawValue;
use simulator_adapter::{CoreSettings, NameIndex};

use crate::endpoints::EndpointList;
use crate::net::retry_on_resource_exhaustion;
pub use error::ConfigError;
use file::ConfigFile;
use limits::{ConnectionLimits, TooFewConnections};
use lookup::Lookup;
use shutdown::ShutdownTimes;
use site::SiteSettings;

/// Variable with the path of the configuration file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";
/// Variable that overrides `name` of the file.
const NAME_VARIABLE: &str = "ROUTER_NAME";
/// Variable that overrides `listen` of the file.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Variable that overrides `discovery` of the file, except during a reload.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// Fraction of a server's idle timeout after which the limiter closes a pooled connection. If a request were
/// written while the server closes the connection, the request would be lost to a reset.
const IDLE_FRACTION: f64 = 0.5;

/// The validated configuration of the program.
pub struct Config {
    /// Name of this limiter.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Highest number of open client connections.
    pub max_client_connections: usize,
    /// Highest number of client connections with a request that was submitted and whose response is not
    /// written.
    pub max_busy_client_connections: usize,
    /// Highest number of open connections to servers.
    pub max_server_connections: usize,
    /// Highest number of bytes that are read ahead for all clients together, beyond the amount that each
    /// connection may always hold.
    pub max_read_ahead_bytes: usize,
    /// Address on which this limiter receives gossip. Without an address, the limiter neither sends nor
    /// receives gossip.
    pub peer_listen: Option<SocketAddr>,
    /// Gossip addresses of all limiters by position, including this one.
    pub peers: Vec<SocketAddr>,
    /// The endpoint list of the configuration file, which may be stale.
    pub known_endpoints: Option<EndpointList>,
    /// Time in milliseconds after which an idle connection to a server is closed.
    pub server_connection_idle_ms: Millis,
    /// Time in milliseconds for which requests are accepted after SIGTERM.
    pub shutdown_accept_ms: Millis,
    /// Time in milliseconds after SIGTERM by which all accepted requests have received their final response.
    pub shutdown_response_ms: Millis,
    /// Highest number of quota units that one request may cost.
    pub max_request_units: f64,
    /// The settings of the core.
    pub settings: Settings,
    /// Names of classes, plans and zones.
    pub names: NameIndex,
}

impl Config {
    /// Reads the environment and the file at startup.
    ///
    /// # Errors
    /// [`ConfigError`] names the first value that is missing or cannot be used.
    pub fn from_environment() -> Result<Config, ConfigError> {
        Config::read(&environment_variable, |path| {
            retry_on_resource_exhaustion(|| std::fs::read_to_string(path))
        })
    }

    /// Reads the environment and the file again, once. `ROUTER_DISCOVERY` is ignored, so that the file can
    /// name another address of discovery; a file without an address of discovery is therefore an error here.
    ///
    /// # Errors
    /// [`ConfigError`] names the first value that is missing or cannot be used.
    pub fn reloaded() -> Result<Config, ConfigError> {
        let variable = |name: &str| environment_variable(name).filter(|_| name != DISCOVERY_VARIABLE);
        Config::read(&variable, |path| std::fs::read_to_string(path))
    }

    fn read(
        variable: &dyn Fn(&str) -> Option<String>,
        read_text: impl Fn(&str) -> io::Result<String>,
    ) -> Result<Config, ConfigError> {
        let path = variable(FILE_VARIABLE).ok_or(ConfigError::NoFile { variable: FILE_VARIABLE })?;
        let file = read_file(&path, read_text)?;
        Config::from_file(file, &Lookup { variable, path: &path })
    }

    /// Validates the values of the file and the variables that override them.
    fn from_file(file: ConfigFile, lookup: &Lookup) -> Result<Config, ConfigError> {
        let path = lookup.path;
        let name = lookup.find_value(NAME_VARIABLE, "name", file.name)?.value;
        let listen = lookup.find_value(LISTEN_VARIABLE, "listen", file.listen)?.parse_address()?;
        let discovery =
            lookup.find_value(DISCOVERY_VARIABLE, "discovery", file.discovery)?.parse_address()?;
        let seed = parse_seed(path, file.seed.as_deref())?;
        let site = SiteSettings::new(&file.settings);
        let server_connection_idle_ms = connection_idle_ms(path, site.server_idle_ms)?;
        let CoreSettings { settings, names } = file
            .settings
            .into_core()
            .map_err(|error| ConfigError::InvalidSettings { path: path.to_string(), error })?;
        let connections = connection_limits(path, file.limits)?;
        let shutdown = ShutdownTimes::new(site.max_deadline_ms, &settings.classes);
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            max_client_connections: connections.clients,
            max_busy_client_connections: connections.busy_clients,
            max_server_connections: connections.servers,
            max_read_ahead_bytes: connections.read_ahead_bytes,
            peer_listen: file.peer_listen,
            peers: file.peers,
            known_endpoints: file.known_endpoints.as_deref().and_then(parse_known_endpoints),
            server_connection_idle_ms,
            shutdown_accept_ms: shutdown.accept_ms,
            shutdown_response_ms: shutdown.response_ms,
            max_request_units: site.max_request_units,
            settings,
            names,
        })
    }
}

/// Returns the value of an environment variable. An empty variable is treated as absent.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file(path: &str, read_text: impl Fn(&str) -> io::Result<String>) -> Result<ConfigFile, ConfigError> {
    let unreadable = |error| ConfigError::Unreadable { path: path.to_string(), error };
    let malformed = |error| ConfigError::Malformed { path: path.to_string(), error };
    let text = read_text(path).map_err(unreadable)?;
    serde_json::from_str(&text).map_err(malformed)
}

/// Parses the hexadecimal seed of the file. Without a seed, the process id is used, so that processes differ.
fn parse_seed(path: &str, hex: Option<&str>) -> Result<u64, ConfigError> {
    let Some(hex) = hex else { return Ok(u64::from(std::process::id())) };
    let invalid = |_| ConfigError::InvalidSeed { path: path.to_string(), value: hex.to_string() };
    u64::from_str_radix(hex, 16).map_err(invalid)
}

/// Returns the time in milliseconds after which the limiter closes an idle connection to a server whose own
/// idle timeout is `server_idle_ms`.
fn connection_idle_ms(path: &str, server_idle_ms: Millis) -> Result<Millis, ConfigError> {
    if !server_idle_ms.is_finite() || server_idle_ms < 0.0 {
        return Err(ConfigError::InvalidIdleTime { path: path.to_string(), value: server_idle_ms });
    }
    Ok(server_idle_ms * IDLE_FRACTION)
}

fn connection_limits(path: &str, platform: file::PlatformLimits) -> Result<ConnectionLimits, ConfigError> {
    ConnectionLimits::new(platform).map_err(|TooFewConnections { available }| {
        ConfigError::TooFewConnections { path: path.to_string(), available }
    })
}

/// Parses the endpoint list of the configuration. An invalid list is ignored, because discovery announces the
/// complete list.
fn parse_known_endpoints(list: &RawValue) -> Option<EndpointList> {
    serde_json::from_str(list.get()).ok()
}
