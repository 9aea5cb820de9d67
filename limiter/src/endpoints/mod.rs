//! The endpoint list in discovery's JSON form, and its conversion into endpoints with addresses.
//!
//! [`entry`] reads the entries of the list.

mod entry;

use std::collections::HashSet;
use std::net::SocketAddr;

use limiter_core::{Endpoint, EndpointState, ServerId};
use serde::Deserialize;
use simulator_adapter::NameIndex;

use entry::ReadEntry;

/// A complete endpoint list or the changes to one, in discovery's JSON form.
#[derive(Deserialize, Clone)]
pub struct EndpointList {
    /// Version of the list, which increases with each change.
    pub version: u64,
    #[serde(rename = "full", default)]
    complete: bool,
    #[serde(rename = "servers", deserialize_with = "entry::read_all")]
    entries: Vec<ReadEntry>,
}

/// A server and its address.
#[derive(Clone)]
pub struct ResolvedEndpoint {
    /// The server in the form that the core uses.
    pub endpoint: Endpoint,
    /// The address on which the server listens.
    pub address: SocketAddr,
}

/// A complete endpoint list or the changes to one, with entries that have been read.
#[derive(Clone)]
pub struct EndpointUpdate {
    /// Whether the update lists all servers. Otherwise, only those that have changed are listed.
    pub complete: bool,
    /// The listed servers.
    pub endpoints: Vec<ResolvedEndpoint>,
    /// Number of entries that could not be read. These are not among the listed servers.
    pub invalid_entries: usize,
}

impl EndpointList {
    /// Reads the entries of the list, and resolves the names of zones. An entry that cannot be read does not
    /// affect the others.
    pub fn resolve(&self, names: &NameIndex) -> EndpointUpdate {
        let zone_index = |zone: &str| names.zone(zone).ok();
        let mut endpoints = Vec::with_capacity(self.entries.len());
        let mut invalid_entries = 0;
        for entry in &self.entries {
            match entry.as_ref().and_then(|entry| entry.resolve(zone_index)) {
                Some(endpoint) => endpoints.push(endpoint),
                None => invalid_entries += 1,
            }
        }
        EndpointUpdate { complete: self.complete, endpoints, invalid_entries }
    }
}

impl EndpointUpdate {
    /// Returns the complete list that results from applying these changes to an earlier list. Servers that
    /// did not change come first. A complete update replaces the earlier list.
    pub fn applied_to(self, earlier: EndpointUpdate) -> EndpointUpdate {
        if self.complete {
            return self;
        }
        let changed: HashSet<ServerId> =
            self.endpoints.iter().map(|changed| changed.endpoint.server.clone()).collect();
        let mut endpoints = earlier.endpoints;
        endpoints.retain(|earlier| !changed.contains(&earlier.endpoint.server));
        for changed in self.endpoints {
            if changed.endpoint.state != EndpointState::Removed {
                endpoints.push(changed);
            }
        }
        EndpointUpdate { complete: true, endpoints, invalid_entries: self.invalid_entries }
    }
}
