//! Reads the entries of the endpoint list.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use limiter_core::{Endpoint, EndpointState, Millis};
use serde::de::{DeserializeOwned, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::Value;

use super::ResolvedEndpoint;

/// Address of a server whose entry has none. Only servers that accept no requests may have no address.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// Index of a zone that the settings do not name. No limiter is in this zone.
const FOREIGN_ZONE: u32 = u32::MAX;
/// Weight of a server whose entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Name of the state of a server that accepts requests.
const SERVING: &str = "active";
/// Name of the state of a server that has been removed. A server in any other state is draining.
const REMOVED: &str = "left";

/// An entry in discovery's JSON form. A field whose value has the wrong type is treated as absent.
#[derive(Deserialize, Clone)]
pub struct Entry {
    #[serde(default, deserialize_with = "lenient")]
    id: Option<String>,
    #[serde(default, deserialize_with = "lenient")]
    state: Option<String>,
    #[serde(rename = "addr", default, deserialize_with = "lenient")]
    address: Option<String>,
    #[serde(default, deserialize_with = "lenient")]
    zone: Option<String>,
    #[serde(default, deserialize_with = "lenient")]
    cell: Option<u32>,
    #[serde(default, deserialize_with = "lenient")]
    weight: Option<f64>,
    #[serde(rename = "started_ms", default, deserialize_with = "lenient")]
    started_at: Option<Millis>,
}

/// Deserializes the value of a field, or `None` if the value is not of the field's type.
fn lenient<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    let value = Value::deserialize(deserializer)?;
    Ok(serde_json::from_value(value).ok())
}

/// An entry that has been read; `None` if it is not an object.
pub type ReadEntry = Option<Entry>;

/// Reads the entries of a list one by one: the JSON values of a whole list would need several times the
/// memory of its entries.
///
/// # Errors
/// Those of the deserializer, if the list is not an array of JSON values.
pub fn read_all<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ReadEntry>, D::Error> {
    struct EntryVisitor;

    impl<'de> Visitor<'de> for EntryVisitor {
        type Value = Vec<ReadEntry>;

        fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
            formatter.write_str("an array of entries")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut values: A) -> Result<Vec<ReadEntry>, A::Error> {
            let mut entries = Vec::new();
            while let Some(value) = values.next_element::<Value>()? {
                entries.push(read(&value));
            }
            Ok(entries)
        }
    }

    deserializer.deserialize_seq(EntryVisitor)
}

/// Reads an entry.
fn read(value: &Value) -> ReadEntry {
    // serde would also accept an array that contains the fields in the order of their declaration.
    if !value.is_object() {
        return None;
    }
    Entry::deserialize(value).ok()
}

impl Entry {
    /// Returns the server of the entry. Returns `None` if the id or the state is missing, or if a serving
    /// server has no valid address. The id and the state are sufficient for the removal of a server, so that
    /// no other field can prevent it.
    pub fn resolve(&self, zone_index: impl Fn(&str) -> Option<u32>) -> Option<ResolvedEndpoint> {
        let state = parse_state(self.state.as_deref()?);
        let address = self.address.as_deref().and_then(|address| address.parse().ok());
        let address = match state {
            EndpointState::Serving => address?,
            _ => address.unwrap_or(NO_ADDRESS),
        };
        let endpoint = Endpoint {
            server: self.id.as_deref()?.into(),
            zone: self.zone.as_deref().and_then(zone_index).unwrap_or(FOREIGN_ZONE),
            cell: self.cell.unwrap_or(0),
            state,
            weight: self.weight.unwrap_or(DEFAULT_WEIGHT),
            started_at: self.started_at.unwrap_or(0.0),
        };
        Some(ResolvedEndpoint { endpoint, address })
    }
}

/// Returns the state with this name. An unknown state is treated as draining, so that no new request is sent
/// to the server.
fn parse_state(name: &str) -> EndpointState {
    match name {
        SERVING => EndpointState::Serving,
        REMOVED => EndpointState::Removed,
        _ => EndpointState::Draining,
    }
}

#[cfg(test)]
mod tests;
