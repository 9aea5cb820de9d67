//! The installed endpoint list: the servers that discovery has announced, and their addresses.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use limiter_core::{Endpoint, EndpointState, Millis, ServerId};

use super::Upstream;
use crate::endpoints::{EndpointUpdate, ResolvedEndpoint};
use crate::observability::labels::state_name;

/// Highest number of changed servers that are logged for one update, so that a long list does not fill the
/// log queue.
const MAX_LOGGED_CHANGES: usize = 64;

/// What is known of a server that is on the list.
#[derive(Clone, Copy)]
struct KnownEndpoint {
    address: SocketAddr,
    is_serving: bool,
    started_at: Millis,
}

impl KnownEndpoint {
    /// Returns whether pooled connections to this server must be closed when `new` is announced, or when the
    /// server is removed: the server no longer serves, or another process listens. Connections to a process
    /// that has been replaced must not be used, even if they look alive.
    fn makes_connections_stale(&self, new: Option<&KnownEndpoint>) -> bool {
        !new.is_some_and(|new| {
            new.is_serving && new.address == self.address && new.started_at == self.started_at
        })
    }
}

/// The announced servers by id.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: HashMap<ServerId, KnownEndpoint>,
    /// Whether a serving server has ever been announced.
    ever_had_serving: bool,
}

impl EndpointTable {
    /// Returns the address of a server, if the server is serving.
    pub fn serving_address(&self, server: &ServerId) -> Option<SocketAddr> {
        let known = self.endpoints.get(server).filter(|known| known.is_serving)?;
        Some(known.address)
    }

    /// Returns whether any server is serving.
    pub fn any_serving(&self) -> bool {
        self.endpoints.values().any(|known| known.is_serving)
    }

    /// Returns whether a serving server has ever been announced.
    pub fn ever_had_serving(&self) -> bool {
        self.ever_had_serving
    }

    /// Installs an update, logs the servers that have changed, and closes idle connections that must not be
    /// used any more.
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

    /// Removes the servers that a complete list does not name.
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
        let new = known_endpoint(&listed.endpoint, listed.address);
        self.ever_had_serving |= new.is_some_and(|new| new.is_serving);
        let old = match new {
            Some(new) => self.endpoints.insert(server.clone(), new),
            None => self.endpoints.remove(server),
        };
        if old.is_some_and(|old| old.makes_connections_stale(new.as_ref())) {
            upstream.close_idle(server);
        }
        has_changed(old, new)
    }
}

/// Returns what is known of an announced server, or `None` if the server is withdrawn.
fn known_endpoint(endpoint: &Endpoint, address: SocketAddr) -> Option<KnownEndpoint> {
    match endpoint.state {
        EndpointState::Removed => None,
        EndpointState::Serving | EndpointState::Draining => Some(KnownEndpoint {
            address,
            is_serving: endpoint.state == EndpointState::Serving,
            started_at: endpoint.started_at,
        }),
    }
}

/// Returns whether a server appeared, was removed, or changed its address or state.
fn has_changed(old: Option<KnownEndpoint>, new: Option<KnownEndpoint>) -> bool {
    match (old, new) {
        (Some(old), Some(new)) => old.is_serving != new.is_serving || old.address != new.address,
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
