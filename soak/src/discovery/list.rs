//! The endpoint list: servers with their states and versions, and their JSON form in the discovery protocol.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use crate::deployment::ZONES;

/// The announced state of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Serving,
    /// The server completes the requests in flight and accepts no new ones.
    Draining,
    /// The server has been removed.
    Removed,
}

/// A server on the list.
#[derive(Debug, Clone)]
pub struct ListedServer {
    /// The number of the server in the record.
    pub number: usize,
    /// The server id.
    pub name: String,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// Index of the zone.
    pub zone: usize,
    /// The cell.
    pub cell: u32,
    /// The announced state.
    pub state: EndpointState,
    /// The last start in milliseconds of Unix time; 0 if the server started long before the run.
    pub started_ms: f64,
    /// The version of the list at which the server last changed.
    version: u64,
}

/// An event that discovery writes to a watch: the complete list or its changes.
pub struct WatchEvent {
    /// The event in its JSON form.
    pub object: Value,
    /// Numbers of the servers that are announced as draining or removed.
    pub withdrawn: Vec<usize>,
    /// Numbers of the servers that are announced as serving.
    pub serving: Vec<usize>,
}

/// All servers that have been announced, removed ones included.
#[derive(Default)]
pub struct EndpointList {
    version: u64,
    servers: Vec<ListedServer>,
}

impl EndpointList {
    /// Adds or replaces a server. Returns the new version of the list.
    pub fn put(&mut self, mut server: ListedServer) -> u64 {
        self.version += 1;
        server.version = self.version;
        self.servers.retain(|listed| listed.name != server.name);
        self.servers.push(server);
        self.version
    }

    /// Returns the server with this id.
    pub fn find(&self, name: &str) -> Option<ListedServer> {
        self.servers.iter().find(|server| server.name == name).cloned()
    }

    /// Returns the complete list, without removed servers, in its JSON form.
    pub fn complete_list(&self) -> Value {
        let present = self.servers.iter().filter(|server| server.state != EndpointState::Removed);
        let servers: Vec<Value> = present.map(ListedServer::to_json).collect();
        json!({"version": self.version, "full": true, "servers": servers})
    }

    /// Returns the event with all changes after a version, or with the complete list if no version is given.
    pub fn watch_event(&self, after: Option<u64>) -> WatchEvent {
        let mut changed = Vec::new();
        let mut withdrawn = Vec::new();
        let mut serving = Vec::new();
        for server in &self.servers {
            if after.is_some_and(|after| server.version <= after) {
                continue;
            }
            changed.push(server.to_json());
            match server.state {
                EndpointState::Serving => serving.push(server.number),
                EndpointState::Draining | EndpointState::Removed => withdrawn.push(server.number),
            }
        }
        let object = match after {
            None => self.complete_list(),
            Some(_) => json!({"version": self.version, "full": false, "servers": changed}),
        };
        WatchEvent { object, withdrawn, serving }
    }
}

impl ListedServer {
    /// Creates the entry of a serving server. The server starts now if `starts_now`, and otherwise started
    /// long before the run.
    pub fn serving(
        number: usize,
        name: String,
        address: SocketAddr,
        zone: usize,
        cell: u32,
        starts_now: bool,
    ) -> Self {
        let started_ms = if starts_now {
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as f64
        } else {
            0.0
        };
        ListedServer {
            number,
            name,
            address,
            zone,
            cell,
            state: EndpointState::Serving,
            started_ms,
            version: 0,
        }
    }

    /// Returns the entry with another state.
    pub fn with_state(self, state: EndpointState) -> Self {
        ListedServer { state, ..self }
    }

    fn to_json(&self) -> Value {
        let state = match self.state {
            EndpointState::Serving => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        };
        json!({
            "id": self.name, "addr": self.address.to_string(), "zone": ZONES[self.zone], "kind": "m",
            "cell": self.cell, "state": state, "weight": 1.0, "started_ms": self.started_ms,
        })
    }
}
