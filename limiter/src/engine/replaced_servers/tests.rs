//! Tests of the servers whose address another process has taken.

use limiter_core::Outcome;
use tokio::sync::oneshot;

use super::*;
use crate::engine::{Engine, Upstream};
use crate::messages::attempt::AttemptJob;

/// An upstream without connections.
struct NoUpstream;

impl Upstream for NoUpstream {
    fn start_attempt(
        &self,
        _engine: &std::rc::Rc<Engine>,
        _job: AttemptJob,
        _cancelled: oneshot::Receiver<Outcome>,
    ) {
    }

    fn close_idle(&self, _server: &ServerId) {}
}

/// Returns a server that is listed at a port of this host.
fn listed(server: &str, state: EndpointState, port: u16, started_at: Millis) -> ResolvedEndpoint {
    let endpoint = Endpoint { server: server.into(), zone: 0, cell: 0, state, weight: 1.0, started_at };
    ResolvedEndpoint { endpoint, address: SocketAddr::from(([127, 0, 0, 1], port)) }
}

fn serving(server: &str, port: u16, started_at: Millis) -> ResolvedEndpoint {
    listed(server, EndpointState::Serving, port, started_at)
}

fn changes(endpoints: &[ResolvedEndpoint]) -> EndpointUpdate {
    EndpointUpdate { complete: false, endpoints: endpoints.to_vec(), invalid_entries: 0 }
}

/// Applies an update to a table with these servers. Returns the ids of the servers that the update lists
/// afterwards, those that it removes with a minus sign.
fn apply(installed: &[ResolvedEndpoint], mut update: EndpointUpdate) -> Vec<String> {
    let mut table = EndpointTable::default();
    table.apply(&changes(installed), &NoUpstream);
    end_replaced_servers(&mut update, &table);
    let id = |listed: &ResolvedEndpoint| match listed.endpoint.state {
        EndpointState::Removed => format!("-{}", listed.endpoint.server),
        EndpointState::Serving | EndpointState::Draining => listed.endpoint.server.to_string(),
    };
    update.endpoints.iter().map(id).collect()
}

#[test]
fn a_later_process_ends_an_installed_server_at_its_address() {
    let installed = [serving("a", 1, 0.0), serving("b", 2, 0.0)];
    assert_eq!(apply(&installed, changes(&[serving("c", 1, 5.0)])), ["c", "-a"]);
    let draining = listed("c", EndpointState::Draining, 1, 5.0);
    assert_eq!(apply(&installed, changes(&[draining])), ["c", "-a"]);
}

#[test]
fn an_earlier_process_does_not_return_to_an_address() {
    let installed = [serving("c", 1, 5.0)];
    assert_eq!(apply(&installed, changes(&[serving("a", 1, 0.0)])), ["-a"]);
}

#[test]
fn of_listed_servers_with_one_address_the_latest_stays() {
    let all = [serving("a", 1, 0.0), serving("c", 1, 5.0), serving("b", 1, 3.0), serving("d", 2, 0.0)];
    assert_eq!(apply(&[], changes(&all)), ["-a", "c", "-b", "d"]);
    assert_eq!(apply(&[], EndpointUpdate { complete: true, ..changes(&all) }), ["c", "d"]);
}

/// What discovery says last about a server counts, and not what it said before.
#[test]
fn a_server_that_moves_away_is_not_ended() {
    let installed = [serving("a", 1, 0.0)];
    assert_eq!(apply(&installed, changes(&[serving("a", 2, 0.0), serving("c", 1, 5.0)])), ["a", "c"]);
    // A restart of the server itself.
    assert_eq!(apply(&installed, changes(&[serving("a", 1, 5.0)])), ["a"]);
}

#[test]
fn servers_that_cannot_be_told_apart_stay() {
    let installed = [serving("a", 1, 0.0)];
    assert_eq!(apply(&installed, changes(&[serving("c", 1, 0.0)])), ["c"]);
    let without_address = [
        listed("b", EndpointState::Draining, 0, 1.0),
        listed("c", EndpointState::Draining, 0, 2.0),
        listed("d", EndpointState::Removed, 1, 9.0),
    ];
    assert_eq!(apply(&installed, changes(&without_address)), ["b", "c", "-d"]);
}
