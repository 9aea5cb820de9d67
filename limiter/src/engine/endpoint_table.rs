//! The installed endpoint list: the servers that discovery or the configuration lists, and their addresses.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use limiter_core::{Endpoint, EndpointState, Millis, ServerId};

use super::Upstream;
use crate::endpoints::{EndpointUpdate, ResolvedEndpoint};
use crate::observability::labels::state_name;

/// Highest number of changed servers that are logged for one update, so that a long list does not fill the
/// log queue.
const MAX_LOGGED_CHANGES: usize = 64;

/// One process of a server. A server that restarts is another process, also at the same address.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerProcess {
    /// The address on which the process listens.
    pub address: SocketAddr,
    /// When the process started, as announced in Unix milliseconds; 0 if that was long ago.
    pub started_at: Millis,
}

/// A server on the installed list.
#[derive(Clone, Copy)]
struct InstalledEndpoint {
    process: ServerProcess,
    is_serving: bool,
}

impl InstalledEndpoint {
    /// Returns whether the idle connections to this server must be closed once `new` has replaced this entry
    /// on the list. `None` stands for the removal of the server.
    ///
    /// This is the case if the server no longer serves, has another address, or has restarted. Idle
    /// connections to a process that has been replaced must not be used, even if they look alive. A
    /// connection with an attempt in flight is checked when the attempt ends.
    fn has_stale_connections_after(&self, new: Option<&InstalledEndpoint>) -> bool {
        !new.is_some_and(|new| new.is_serving && new.process == self.process)
    }
}

/// The servers on the installed list, by id.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: HashMap<ServerId, InstalledEndpoint>,
    /// Whether a list with a serving server was ever installed, from discovery or from the configuration.
    ever_had_serving: bool,
}

impl EndpointTable {
    /// Returns the process of a server, if the server is serving.
    pub fn serving_process(&self, server: &ServerId) -> Option<ServerProcess> {
        let installed = self.endpoints.get(server).filter(|installed| installed.is_serving)?;
        Some(installed.process)
    }

    /// Returns the processes of all installed servers, by the ids of the servers.
    pub fn processes(&self) -> impl Iterator<Item = (&ServerId, ServerProcess)> {
        self.endpoints.iter().map(|(server, installed)| (server, installed.process))
    }

    /// Returns whether any server is serving.
    pub fn any_serving(&self) -> bool {
        self.endpoints.values().any(|installed| installed.is_serving)
    }

    /// Returns whether a list with a serving server was ever installed, from discovery or from the
    /// configuration.
    pub fn ever_had_serving(&self) -> bool {
        self.ever_had_serving
    }

    /// Installs an update, logs the servers that have changed, and closes idle connections that must no
    /// longer be used.
    pub fn apply(&mut self, update: &EndpointUpdate, upstream: &dyn Upstream) {
        if update.complete {
            self.remove_unlisted(update, upstream);
        }
        let mut num_changed = 0;
        for listed in &update.endpoints {
            if self.apply_endpoint(listed, upstream) {
                num_changed += 1;
                if num_changed <= MAX_LOGGED_CHANGES {
                    log_change(listed);
                }
            }
        }
        if num_changed > MAX_LOGGED_CHANGES {
            tracing::info!(
                changed_endpoints = num_changed,
                logged_endpoints = MAX_LOGGED_CHANGES,
                "endpoint changes omitted from log"
            );
        }
    }

    /// Removes the servers that are missing from a complete list.
    fn remove_unlisted(&mut self, update: &EndpointUpdate, upstream: &dyn Upstream) {
        let listed: HashSet<&ServerId> =
            update.endpoints.iter().map(|resolved| &resolved.endpoint.server).collect();
        self.endpoints.retain(|server, _| {
            let is_listed = listed.contains(server);
            if !is_listed {
                upstream.close_idle(server);
            }
            is_listed
        });
    }

    /// Installs one server, and returns whether its address or state has changed.
    fn apply_endpoint(&mut self, listed: &ResolvedEndpoint, upstream: &dyn Upstream) -> bool {
        let server = &listed.endpoint.server;
        let new = installed_endpoint(&listed.endpoint, listed.address);
        self.ever_had_serving |= new.is_some_and(|new| new.is_serving);
        let old = match new {
            Some(new) => self.endpoints.insert(server.clone(), new),
            None => self.endpoints.remove(server),
        };
        if old.is_some_and(|old| old.has_stale_connections_after(new.as_ref())) {
            upstream.close_idle(server);
        }
        has_changed(old, new)
    }
}

/// Returns the entry of an announced server on the installed list, or `None` if the server has been removed.
fn installed_endpoint(endpoint: &Endpoint, address: SocketAddr) -> Option<InstalledEndpoint> {
    match endpoint.state {
        EndpointState::Removed => None,
        EndpointState::Serving | EndpointState::Draining => Some(InstalledEndpoint {
            process: ServerProcess { address, started_at: endpoint.started_at },
            is_serving: endpoint.state == EndpointState::Serving,
        }),
    }
}

/// Returns whether a server appeared, was removed, or changed its address or state.
fn has_changed(old: Option<InstalledEndpoint>, new: Option<InstalledEndpoint>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => {
            old.is_serving != new.is_serving || old.process.address != new.process.address
        }
        (None, None) => false,
        _ => true,
    }
}

fn log_change(listed: &ResolvedEndpoint) {
    let server = &listed.endpoint.server;
    let address = listed.address;
    let state = state_name(listed.endpoint.state);
    tracing::info!(%server, %address, %state, "endpoint changed");
}
