//! The state across pipelined requests.

use super::*;

/// hyper may start the next pipelined request before the response to the previous one is written. The end of
/// that response must not allow the connection to be closed while the next request is open.
#[test]
fn a_written_response_leaves_the_next_request_open() {
    let state = ConnectionState::new();
    state.record_head_received();
    state.record_response_ready();
    state.record_head_received();
    state.record_flush();
    assert!(!state.facts(false).may_close(), "the second request is open");
    state.record_response_ready();
    state.record_flush();
    assert!(state.facts(false).may_close(), "both are answered");
}
