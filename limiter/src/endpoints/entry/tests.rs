//! Tests of reading a single entry.

use super::*;

/// A field that is missing or has the wrong type must neither keep a removed server on the list nor exclude a
/// serving one.
#[test]
fn valid_fields_of_a_malformed_entry_are_used() {
    let read = |text: &str| {
        let entry = read(&serde_json::from_str(text).expect("JSON"))?;
        entry.resolve(|_| Some(1))
    };
    let serving = read(r#"{"id":"s","addr":"127.0.0.1:1","state":"active","weight":"x","started_ms":null}"#);
    let serving = serving.expect("an entry").endpoint;
    assert_eq!((serving.weight, serving.started_at, serving.state), (1.0, 0.0, EndpointState::Serving));
    let removed = read(r#"{"id":"s","state":"left"}"#).expect("an entry").endpoint;
    assert_eq!((removed.state, removed.zone), (EndpointState::Removed, u32::MAX));
    let draining = read(r#"{"id":"s","addr":7,"state":"leaving","cell":-1}"#).expect("an entry").endpoint;
    assert_eq!(draining.state, EndpointState::Draining);
    for text in ["7", "{}", r#"{"id":"s","state":"active","addr":"nowhere"}"#, r#"{"id":7,"state":"left"}"#] {
        assert!(read(text).is_none(), "{text}");
    }
}
