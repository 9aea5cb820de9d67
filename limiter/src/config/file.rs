//! The JSON file that the platform writes, as it is written.

use std::net::SocketAddr;

use serde::Deserialize;
use simulator_adapter::InstanceSettings;

/// The file that `ROUTER_CONFIG` names.
#[derive(Deserialize)]
pub struct ConfigFile {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub seed: Option<String>,
    #[serde(default)]
    pub limits: PlatformLimits,
    pub peer_listen: Option<SocketAddr>,
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Checked but unused: gossip goes to one peer at a time.
    #[serde(rename = "peers_all")]
    _peers_all: Option<SocketAddr>,
    /// An endpoint list; kept as plain JSON, as one that cannot be read must not cost the rest of the file.
    #[serde(rename = "known")]
    pub known_endpoints: Option<serde_json::Value>,
    pub settings: InstanceSettings,
}

/// The platform's limits that bear on the number of open connections.
#[derive(Deserialize, Clone, Copy)]
#[serde(default)]
pub struct PlatformLimits {
    /// Descriptors that the process may have open.
    pub sockets: usize,
    /// Memory that the process may use.
    pub memory_mb: f64,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        PlatformLimits { sockets: 1024, memory_mb: 192.0 }
    }
}
