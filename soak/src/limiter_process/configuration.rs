//! Writes the configuration file of a limiter.

use std::fs;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::Ordering;
use std::time::Instant;

use serde_json::{json, Value};

use super::{LimiterProcess, MAX_DESCRIPTORS, MAX_MEMORY_MB};

impl LimiterProcess {
    /// Writes the configuration with the address of the current discovery agent. Returns the path of the
    /// file.
    pub(super) fn write_configuration(&self, configured_list: &Value) -> PathBuf {
        let addresses = self.options.addresses;
        let deployment = &self.options.deployment;
        let mut peers = Vec::new();
        for peer in 0..deployment.limiters {
            peers.push(addresses.gossip_proxy(peer).to_string());
        }
        let agent = self.agent.load(Ordering::SeqCst);
        let configuration = json!({
            "name": format!("n{}", self.number), "listen": self.address().to_string(),
            "discovery": addresses.discovery(self.number, agent).to_string(), "seed": format!("{:x}", random_seed()),
            "limits": {"cores": 1.0, "memory_mb": MAX_MEMORY_MB, "sockets": MAX_DESCRIPTORS},
            "peer_listen": addresses.gossip(self.number).to_string(), "peers": peers,
            "known": configured_list, "settings": deployment.settings(self.number),
        });
        let path = self.options.folder.join(format!("n{}.json", self.number));
        if let Err(error) = fs::write(&path, configuration.to_string()) {
            self.record_fault(&format!("the configuration cannot be written: {error}"));
        }
        path
    }
}

/// Returns a seed for the random draws of the limiter itself. The seed of a run does not reproduce those
/// draws.
fn random_seed() -> u64 {
    Instant::now().elapsed().as_nanos() as u64 ^ u64::from(process::id())
}
