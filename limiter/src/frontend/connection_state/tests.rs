//! Tests of the connection state across pipelined requests.

use super::*;

/// hyper may start the next pipelined request before the response to the previous one is written. When that
/// response has been written, the connection must stay open for the next request.
#[test]
fn connection_stays_open_for_the_next_pipelined_request() {
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
