//! Endpoint lists as discovery writes them.

use std::net::SocketAddr;

use super::StubServer;

/// An entry of an endpoint list: a server, its address and its state.
#[derive(Clone, Debug)]
pub struct Endpoint {
    id: &'static str,
    addr: SocketAddr,
    state: &'static str,
    started_ms: u64,
}

/// Returns the entry of a serving stub server.
pub fn serving(id: &'static str, server: &StubServer) -> Endpoint {
    serving_at(id, server.addr)
}

/// Returns the entry of a serving server at this address.
pub fn serving_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "active", started_ms: 0 }
}

/// Returns the entry of a draining server at this address.
pub fn draining_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "leaving", started_ms: 0 }
}

/// Returns the entry of a removed server, which had this address.
pub fn removed_at(id: &'static str, addr: SocketAddr) -> Endpoint {
    Endpoint { id, addr, state: "left", started_ms: 0 }
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
    /// Sets the time at which the process of the server started, in Unix milliseconds. By default, the server
    /// started long ago.
    pub fn started_at_ms(self, started_ms: u64) -> Endpoint {
        Endpoint { started_ms, ..self }
    }

    fn to_json(&self) -> String {
        let Endpoint { id, addr, state, started_ms } = self;
        let identity_fields = format!(r#""id":"{id}","addr":"{addr}","zone":"a","kind":"m","cell":0"#);
        let state_fields = format!(r#""state":"{state}","weight":1.0,"started_ms":{started_ms}"#);
        format!("{{{identity_fields},{state_fields}}}")
    }
}
