//! The servers that discovery has announced, and where they listen.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use limiter_core::{EndpointState, Millis, ServerId};

use super::Upstream;
use crate::endpoints::{EndpointUpdate, ResolvedEndpoint};
use crate::observability::labels::state_name;

/// Of a long list only so many changes are logged.
const MAX_LOGGED_CHANGES: usize = 64;

struct KnownEndpoint {
    address: SocketAddr,
    serving: bool,
    started_at: Millis,
}

/// The announced servers by id.
#[derive(Default)]
pub struct EndpointTable {
    endpoints: HashMap<ServerId, KnownEndpoint>,
    /// A server that takes requests has been announced at some time.
    ever_had_serving: bool,
}

impl EndpointTable {
    /// Where a server listens, if it takes requests.
    pub fn serving_address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.endpoints.get(server).filter(|known| known.serving).map(|known| known.address)
    }

    /// Whether any server takes requests.
    pub fn any_serving(&self) -> bool {
        self.endpoints.values().any(|known| known.serving)
    }

    /// Whether a server that takes requests has ever been announced.
    pub fn ever_had_serving(&self) -> bool {
        self.ever_had_serving
    }

    /// Takes an update in, logs what has changed, and closes idle connections that are of no more use.
    pub fn apply(&mut self, update: &EndpointUpdate, upstream: &dyn Upstream) {
        if update.complete {
            self.remove_unlisted(update, upstream);
        }
        let mut num_changed = 0;
        for listed in &update.endpoints {
            let changed = self.apply_one(listed, upstream);
            num_changed += usize::from(changed);
            if changed && num_changed <= MAX_LOGGED_CHANGES {
                let ResolvedEndpoint { endpoint, address } = listed;
                let server = &endpoint.server;
                let state = state_name(endpoint.state);
                tracing::info!(%server, %address, %state, "endpoint changed");
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

    fn remove_unlisted(&mut self, update: &EndpointUpdate, upstream: &dyn Upstream) {
        let listed: HashSet<&ServerId> = update.endpoints.iter().map(|e| &e.endpoint.server).collect();
        self.endpoints.retain(|server, _| {
            let listed = listed.contains(server);
            if !listed {
                upstream.close_idle(server);
            }
            listed
        });
    }

    /// Takes one server in; whether it has changed.
    fn apply_one(&mut self, listed: &ResolvedEndpoint, upstream: &dyn Upstream) -> bool {
        let ResolvedEndpoint { endpoint, address } = listed;
        let serving = endpoint.state == EndpointState::Serving;
        let removed = endpoint.state == EndpointState::Removed;
        self.ever_had_serving |= serving;
        let before = if removed {
            self.endpoints.remove(&endpoint.server)
        } else {
            let known = KnownEndpoint { address: *address, serving, started_at: endpoint.started_at };
            self.endpoints.insert(endpoint.server.clone(), known)
        };
        let changed = match &before {
            Some(before) => removed || before.serving != serving || before.address != *address,
            None => !removed,
        };
        // Connections to a process that has been restarted since are of no use, even where they look alive.
        let is_stale = |before: KnownEndpoint| {
            !serving || before.address != *address || before.started_at != endpoint.started_at
        };
        if before.is_some_and(is_stale) {
            upstream.close_idle(&endpoint.server);
        }
        changed
    }
}
