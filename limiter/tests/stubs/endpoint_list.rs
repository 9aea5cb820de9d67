//! Endpoint lists as discovery writes them.

use std::net::SocketAddr;

use super::StubServer;

/// An entry of an endpoint list: a server, its address and its state.
#[derive(Clone, Debug)]
pub struct Endpoint {
    id: &'static str,
    addr: SocketAddr,
    state: &'static str,
}

/// Returns the entry of a serving stub server.
pub fn serving(id: &'static str, server: &StubServer) -> Endpoint {
    serving_at(id, server.addr)
}

/// Returns the entry of a serving server at this address.
pub fn serving_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "active" }
}

/// Returns the entry of a draining server at this address.
pub fn draining_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "leaving" }
}

/// Returns the entry of a removed server, which had this address.
pub fn removed_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "left" }
}

/// Returns a complete list, with its line end. The limiter removes servers that are not on the list.
pub fn complete_list(version: u64, endpoints: &[Endpoint]) -> String {
    endpoint_list(version, true, endpoints)
}

/// Returns a list of changes, with its line end. Servers that are not on the list do not change.
pub fn list_change(version: u64, endpoints: &[Endpoint]) -> String {
    endpoint_list(version, false, endpoints)
}

fn endpoint_list(version: u64, is_complete: bool, endpoints: &[Endpoint]) -> String {
    let entries: Vec<String> = endpoints.iter().map(Endpoint::to_json).collect();
    let entries = entries.join(",");
    format!("{{\"version\":{version},\"full\":{is_complete},\"servers\":[{entries}]}}\n")
}

impl Endpoint {
    fn to_json(&self) -> String {
        let Endpoint { id, addr, state } = self;
        let identity_fields = format!(r#""id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0"#);
        let state_fields = format!(r#""state":"{state}","weight":1.0,"started_ms":0"#);
        format!("{{{identity_fields},{state_fields}}}")
    }
}
