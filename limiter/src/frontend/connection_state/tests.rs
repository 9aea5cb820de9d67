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

/// A connection must be evictable while a body is incomplete, and not once the request has been read.
#[test]
fn a_request_is_incomplete_until_the_end_of_its_body() {
    let state = ConnectionState::new();
    state.record_head_received();
    let facts = state.facts(false);
    assert!(facts.is_receiving_body && facts.incomplete_for_ms.is_some());
    state.record_body_end();
    let facts = state.facts(false);
    assert!(!facts.is_receiving_body && facts.incomplete_for_ms.is_none());
}

/// A client that sends slowly must not lose its connection before one that has stopped.
#[test]
fn the_client_without_progress_for_longest_is_evicted_first() {
    let slow = ConnectionState::new();
    let stalled = ConnectionState::new();
    slow.record_bytes_read_by_hyper(Arrival::not_before(Instant::now().into_std()));
    assert!(stalled.eviction_rank() < slow.eviction_rank());
}
