//! Ends servers whose address has been taken by a process that started later.
//!
//! Discovery may notice late that a server has gone, and announce another one at the same address before. A
//! process cannot listen at the address of another, so the one that started earlier has ended. Two servers
//! whose announced starts are equal cannot be told apart, and both stay.

use std::collections::HashMap;
use std::net::SocketAddr;

use limiter_core::{Endpoint, EndpointState, Millis, ServerId};

use super::endpoint_table::{EndpointTable, ServerProcess};
use crate::endpoints::{EndpointUpdate, ResolvedEndpoint};

/// The latest start that is announced for each address, in Unix milliseconds.
type LatestStarts = HashMap<SocketAddr, Millis>;

/// Changes an update so that it ends all servers whose address has been taken: leaves them out of a complete
/// list, and adds their removal to a list of changes.
pub fn end_replaced_servers(update: &mut EndpointUpdate, installed: &EndpointTable) {
    let mut latest = latest_starts(update);
    if update.complete {
        update.endpoints.retain(|listed| !is_replaced(listed, &latest));
        return;
    }
    let unchanged = unchanged_servers(update, installed, &latest);
    for (_, process) in &unchanged {
        record_start(&mut latest, *process);
    }
    for listed in update.endpoints.iter_mut().filter(|listed| is_replaced(listed, &latest)) {
        listed.endpoint.state = EndpointState::Removed;
    }
    let replaced = unchanged.into_iter().filter(|(_, process)| process.started_at < latest[&process.address]);
    update.endpoints.extend(replaced.map(|(server, process)| removal(server, process)));
}

/// Returns the latest start at each address at which the update lists a process.
fn latest_starts(update: &EndpointUpdate) -> LatestStarts {
    let mut latest = LatestStarts::new();
    for listed in update.endpoints.iter().filter(|listed| has_process(listed)) {
        let ResolvedEndpoint { endpoint, address } = listed;
        record_start(&mut latest, ServerProcess { address: *address, started_at: endpoint.started_at });
    }
    latest
}

/// Records the start of a process, if none that started later is recorded for its address.
fn record_start(latest: &mut LatestStarts, process: ServerProcess) {
    let start = latest.entry(process.address).or_insert(process.started_at);
    *start = start.max(process.started_at);
}

/// Returns the installed servers that a list of changes does not name and whose addresses are among those of
/// `latest`.
fn unchanged_servers(
    changes: &EndpointUpdate,
    installed: &EndpointTable,
    latest: &LatestStarts,
) -> Vec<(ServerId, ServerProcess)> {
    if latest.is_empty() {
        return Vec::new();
    }
    let is_changed =
        |server: &ServerId| changes.endpoints.iter().any(|listed| listed.endpoint.server == *server);
    let at_addresses = installed.processes().filter(|(_, process)| latest.contains_key(&process.address));
    let unchanged = at_addresses.filter(|(server, _)| !is_changed(server));
    unchanged.map(|(server, process)| (server.clone(), process)).collect()
}

/// Returns the removal of an installed server.
fn removal(server: ServerId, process: ServerProcess) -> ResolvedEndpoint {
    let ServerProcess { address, started_at } = process;
    let state = EndpointState::Removed;
    let endpoint = Endpoint { server, zone: 0, cell: 0, state, weight: 0.0, started_at };
    ResolvedEndpoint { endpoint, address }
}

/// Returns whether a later process is announced at the address of a listed server.
fn is_replaced(listed: &ResolvedEndpoint, latest: &LatestStarts) -> bool {
    let latest_start = latest.get(&listed.address);
    has_process(listed) && latest_start.is_some_and(|start| listed.endpoint.started_at < *start)
}

/// Returns whether a listed server has a process that listens at its address.
fn has_process(listed: &ResolvedEndpoint) -> bool {
    listed.endpoint.state != EndpointState::Removed && listed.address.port() != 0
}

#[cfg(test)]
mod tests;
