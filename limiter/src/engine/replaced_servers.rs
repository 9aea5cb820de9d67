//! Ends servers whose address has been taken by a process that started later.
//!
//! Discovery may notice late that a server has gone, and announce another one at the same address before. A
//! process cannot listen at the address of another, so the one that started earlier has ended. Two servers
//! whose announced starts are equal cannot be told apart, and both stay.

use std::collections::HashMap;
use std::net::SocketAddr;

use limiter_core::{Endpoint, EndpointState, Millis, ServerId};

use super::endpoint_table::{EndpointTable, InstalledProcess};
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
    let replaced = replaced_by_update(update, installed, &mut latest);
    for listed in &mut update.endpoints {
        if is_replaced(listed, &latest) {
            listed.endpoint.state = EndpointState::Removed;
        }
    }
    update.endpoints.extend(replaced);
}

/// Returns the latest start at each address at which the update lists a process.
fn latest_starts(update: &EndpointUpdate) -> LatestStarts {
    let mut latest = LatestStarts::new();
    for listed in update.endpoints.iter().filter(|listed| has_process(listed)) {
        let start = latest.entry(listed.address).or_insert(listed.endpoint.started_at);
        *start = start.max(listed.endpoint.started_at);
    }
    latest
}

/// Returns the removals of the installed servers that processes on a list of changes have replaced. Records
/// the starts of all other installed servers at the same addresses.
fn replaced_by_update(
    update: &EndpointUpdate,
    installed: &EndpointTable,
    latest: &mut LatestStarts,
) -> Vec<ResolvedEndpoint> {
    if latest.is_empty() {
        return Vec::new();
    }
    let is_listed =
        |server: &ServerId| update.endpoints.iter().any(|listed| listed.endpoint.server == *server);
    let mut replaced = Vec::new();
    for process in installed.processes() {
        let Some(start) = latest.get_mut(&process.address) else { continue };
        if is_listed(process.server) {
            continue;
        }
        if process.started_at < *start {
            replaced.push(removal(process));
        }
        *start = start.max(process.started_at);
    }
    replaced
}

/// Returns the removal of an installed server.
fn removal(process: InstalledProcess) -> ResolvedEndpoint {
    let endpoint = Endpoint {
        server: process.server.clone(),
        zone: 0,
        cell: 0,
        state: EndpointState::Removed,
        weight: 0.0,
        started_at: process.started_at,
    };
    ResolvedEndpoint { endpoint, address: process.address }
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
