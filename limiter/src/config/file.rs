//! The configuration file as the platform writes it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;
use simulator_adapter::InstanceSettings;

/// The JSON object in the file that `ROUTER_CONFIG` names. Unknown keys are ignored.
#[derive(Deserialize)]
pub struct ConfigFile {
    /// Name of this limiter.
    pub name: Option<String>,
    /// Address on which clients connect.
    pub listen: Option<String>,
    /// Address of discovery.
    pub discovery: Option<String>,
    /// Hexadecimal seed of the random numbers.
    pub seed: Option<String>,
    /// The platform's limits on this process.
    #[serde(default)]
    pub limits: PlatformLimits,
    /// Address on which this limiter receives gossip.
    pub peer_listen: Option<SocketAddr>,
    /// Gossip addresses of all limiters by position.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Gossip address that reaches all limiters. Parsed only to detect malformed values: gossip is sent to
    /// one peer at a time.
    #[serde(rename = "peers_all")]
    _peers_all: Option<SocketAddr>,
    /// The last endpoint list that this limiter knew. Kept as JSON text and parsed separately, because an
    /// invalid list must not make the rest of the file unusable.
    #[serde(rename = "known")]
    pub known_endpoints: Option<Box<RawValue>>,
    /// The settings of the core, in the JSON form that the simulator uses.
    pub settings: InstanceSettings,
}

/// The platform's limits, which bound the number of open connections.
#[derive(Deserialize, Clone, Copy)]
#[serde(default)]
pub struct PlatformLimits {
    /// Number of descriptors that the process may have open.
    pub sockets: usize,
    /// Memory in MB that the process may use.
    pub memory_mb: f64,
}

/// The limits that apply if the file names none.
impl Default for PlatformLimits {
    fn default() -> Self {
        PlatformLimits { sockets: 1024, memory_mb: 192.0 }
    }
}
