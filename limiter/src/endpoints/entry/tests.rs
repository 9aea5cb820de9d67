//! Reading of single entries.

use super::*;

/// One figure that cannot be read must neither retain a removed server in the list nor exclude a good one.
#[test]
fn an_entry_is_read_as_far_as_possible() {
    let read = |text: &str| resolve(&serde_json::from_str(text).expect("JSON"), |_| Some(1));
    let known = read(r#"{"id":"s","addr":"127.0.0.1:1","state":"active","weight":"x","started_ms":null}"#);
    let known = known.expect("an entry").endpoint;
    assert_eq!((known.weight, known.started_at, known.state), (1.0, 0.0, EndpointState::Serving));
    let removed = read(r#"{"id":"s","state":"left"}"#).expect("an entry").endpoint;
    assert_eq!((removed.state, removed.zone), (EndpointState::Removed, u32::MAX));
    let draining = read(r#"{"id":"s","addr":7,"state":"leaving","cell":-1}"#).expect("an entry").endpoint;
    assert_eq!(draining.state, EndpointState::Draining);
    for text in ["7", "{}", r#"{"id":"s","state":"active","addr":"nowhere"}"#, r#"{"id":7,"state":"left"}"#] {
        assert!(read(text).is_none(), "{text}");
    }
}
