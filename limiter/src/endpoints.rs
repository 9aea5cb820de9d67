//! The endpoint list in discovery's JSON form, and its translation into endpoints with addresses.

use std::net::SocketAddr;

use limiter_core::{Endpoint, EndpointState, ServerId};
use serde::Deserialize;
use serde_json::Value;
use simulator_adapter::wire::Names;

/// A list of servers, or of changes to one, as discovery writes it.
#[derive(Deserialize, Clone)]
pub struct EndpointList {
    /// Number of the list; grows with each change.
    pub version: u64,
    #[serde(default)]
    full: bool,
    servers: Vec<Value>,
}

/// A server and where it listens.
#[derive(Clone)]
pub struct ResolvedEndpoint {
    /// What the decisions know of it.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A list of servers, or of changes to one.
#[derive(Clone)]
pub struct EndpointUpdate {
    /// These are all servers, not only changes.
    pub complete: bool,
    /// The servers.
    pub endpoints: Vec<ResolvedEndpoint>,
    /// Entries that could not be read and were left out.
    pub invalid_entries: usize,
}

impl EndpointList {
    /// The list with the zones' names resolved. An entry that cannot be read does not cost the others.
    pub fn resolve(&self, names: &Names) -> EndpointUpdate {
        let resolve = |value: &Value| resolve_entry(value, |zone| names.zone(zone).ok());
        let endpoints: Vec<ResolvedEndpoint> = self.servers.iter().filter_map(resolve).collect();
        let invalid_entries = self.servers.len() - endpoints.len();
        EndpointUpdate { complete: self.full, endpoints, invalid_entries }
    }
}

impl EndpointUpdate {
    /// The complete list that these changes make of an earlier one.
    pub fn applied_to(self, earlier: EndpointUpdate) -> EndpointUpdate {
        if self.complete {
            return self;
        }
        let is_changed = |server: &ServerId| self.endpoints.iter().any(|e| e.endpoint.server == *server);
        let unchanged = earlier.endpoints.into_iter().filter(|e| !is_changed(&e.endpoint.server));
        let mut endpoints: Vec<ResolvedEndpoint> = unchanged.collect();
        let present = |e: &ResolvedEndpoint| e.endpoint.state != EndpointState::Removed;
        endpoints.extend(self.endpoints.into_iter().filter(present));
        EndpointUpdate { complete: true, endpoints, invalid_entries: self.invalid_entries }
    }
}

/// Reads one server. A field that cannot be read counts as absent; without its id or state an entry says nothing, nor
/// does a serving one without an address. That a server leaves is taken in any case. Start times need no conversion, as
/// the clock of the decisions counts Unix time.
pub fn resolve_entry(value: &Value, zone: impl Fn(&str) -> Option<u32>) -> Option<ResolvedEndpoint> {
    let text = |name: &str| value.get(name).and_then(Value::as_str);
    let number = |name: &str| value.get(name).and_then(Value::as_f64);
    let cell = value.get("cell").and_then(Value::as_u64).and_then(|cell| u32::try_from(cell).ok());
    let state = match text("state")? {
        "active" => EndpointState::Serving,
        "left" => EndpointState::Removed,
        _ => EndpointState::Draining,
    };
    let address = match text("addr").and_then(|address| address.parse().ok()) {
        None if state != EndpointState::Serving => SocketAddr::from(([0, 0, 0, 0], 0)),
        address => address?,
    };
    let endpoint = Endpoint {
        server: text("id")?.into(),
        // A zone that the settings do not name is no limiter's own.
        zone: text("zone").and_then(zone).unwrap_or(u32::MAX),
        cell: cell.unwrap_or(0),
        state,
        weight: number("weight").unwrap_or(1.0),
        started_at: number("started_ms").unwrap_or(0.0),
    };
    Some(ResolvedEndpoint { endpoint, address })
}

#[cfg(test)]
mod tests;
