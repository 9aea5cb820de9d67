//! The rules that decide whether something may be sent, executed again, closed or ended at this moment.

use limiter_core::rules::*;
use limiter_core::Idempotency;

/// The facts of a connection that is idle between two requests.
const IDLE: ClientConnectionFacts = ClientConnectionFacts {
    open_requests: 0,
    is_receiving_body: false,
    unwritten_for_ms: None,
    incomplete_for_ms: None,
    idle_ms: 0.0,
    is_shutting_down: false,
};

#[test]
fn a_connection_with_an_open_request_is_not_closed() {
    let open = ClientConnectionFacts { open_requests: 1, idle_ms: 60_000.0, ..IDLE };
    assert!(!open.may_close());
    assert!(!open.is_overdue());
    assert_eq!(open.eviction(), None);
    assert!(open.blocks_shutdown());
}

/// A client that stalls must not keep out other clients, wherever in a request it stops. Once the head has
/// been read, it needs a response.
#[test]
fn a_connection_may_be_evicted_after_a_request_has_been_arriving_for_100_ms() {
    let in_head = |ms| ClientConnectionFacts { incomplete_for_ms: Some(ms), idle_ms: 9_000.0, ..IDLE };
    let in_body = |ms| ClientConnectionFacts { open_requests: 1, is_receiving_body: true, ..in_head(ms) };
    assert_eq!(in_head(90.0).eviction(), None, "the request may be in transit");
    assert_eq!(in_body(90.0).eviction(), None, "the request may be in transit");
    assert_eq!(in_head(110.0).eviction(), Some(Eviction::Close));
    assert_eq!(in_body(110.0).eviction(), Some(Eviction::RejectRequest));
    let behind_an_unwritten_response = ClientConnectionFacts { open_requests: 2, ..in_body(110.0) };
    assert_eq!(behind_an_unwritten_response.eviction(), None);
}

/// A request that cannot be submitted must be rejected, because no other client can use its connection
/// before.
#[test]
fn a_request_is_submitted_while_few_connections_are_busy() {
    let submission = |busy_connections| SubmissionFacts { busy_connections, max_busy_connections: 42 };
    assert!(may_submit(submission(42)));
    assert!(!may_submit(submission(43)));
    let in_body = ClientConnectionFacts { open_requests: 1, is_receiving_body: true, ..IDLE };
    assert!(!IDLE.is_busy() && !in_body.is_busy());
    assert!(ClientConnectionFacts { is_receiving_body: false, ..in_body }.is_busy());
    assert!(ClientConnectionFacts { open_requests: 2, ..in_body }.is_busy());
}

#[test]
fn an_idle_connection_may_be_evicted_50_ms_after_its_response() {
    assert_eq!(ClientConnectionFacts { idle_ms: 40.0, ..IDLE }.eviction(), None);
    assert_eq!(ClientConnectionFacts { idle_ms: 60.0, ..IDLE }.eviction(), Some(Eviction::Close));
}

#[test]
fn a_connection_whose_response_is_not_read_is_overdue_after_10_s() {
    let unread_for = |unwritten_ms| ClientConnectionFacts {
        open_requests: 1,
        unwritten_for_ms: Some(unwritten_ms),
        idle_ms: unwritten_ms,
        ..IDLE
    };
    assert!(!unread_for(9_900.0).is_overdue(), "the client must have 10 s to read the response");
    assert!(
        unread_for(10_100.0).is_overdue(),
        "its limit must be 10 s, and not the 30 s of an idle connection"
    );
}

/// The check allows 2 s, because the connection has to be closed within 3 s and connections are checked at
/// intervals.
#[test]
fn a_request_that_stays_incomplete_is_overdue_after_2_s() {
    let incomplete_for = |ms| ClientConnectionFacts { incomplete_for_ms: Some(ms), idle_ms: ms, ..IDLE };
    assert!(!incomplete_for(1_900.0).is_overdue());
    assert!(incomplete_for(2_100.0).is_overdue());
    assert!(!incomplete_for(2_100.0).blocks_shutdown());
}

/// The facts of a request that may be attempted for the first time.
const FIRST_ATTEMPT: AttemptFacts = AttemptFacts {
    has_attempt_in_flight: false,
    is_streaming: false,
    deadline_in_ms: 100.0,
    attempts: 0,
    max_attempts: 3,
    has_no_value: false,
    execution: ExecutionFacts {
        idempotency: Idempotency::NonIdempotent,
        may_have_executed: false,
        dedup_ends_in_ms: f64::INFINITY,
    },
};

#[test]
fn an_attempt_is_denied_for_each_reason_alone() {
    assert_eq!(may_attempt(&FIRST_ATTEMPT), Ok(()));
    let executed = ExecutionFacts { may_have_executed: true, ..FIRST_ATTEMPT.execution };
    let keyed = ExecutionFacts { idempotency: Idempotency::WithKey, dedup_ends_in_ms: 0.0, ..executed };
    for (facts, denied) in [
        (AttemptFacts { has_attempt_in_flight: true, ..FIRST_ATTEMPT }, AttemptDenied::AnotherInFlight),
        (AttemptFacts { is_streaming: true, ..FIRST_ATTEMPT }, AttemptDenied::ResponseStarted),
        (AttemptFacts { deadline_in_ms: 0.0, ..FIRST_ATTEMPT }, AttemptDenied::DeadlinePassed),
        (AttemptFacts { attempts: 3, ..FIRST_ATTEMPT }, AttemptDenied::AttemptsExhausted),
        (AttemptFacts { has_no_value: true, ..FIRST_ATTEMPT }, AttemptDenied::NoValueLeft),
        (AttemptFacts { execution: executed, ..FIRST_ATTEMPT }, AttemptDenied::MayHaveExecuted),
        (AttemptFacts { execution: keyed, ..FIRST_ATTEMPT }, AttemptDenied::DedupWindowExpired),
    ] {
        assert_eq!(may_attempt(&facts), Err(denied));
    }
}

#[test]
fn sending_an_attempt_is_denied_for_each_reason_alone() {
    let facts =
        SendFacts { is_client_waiting: true, is_serving: true, begin_within_ms: 0.0, deadline_in_ms: 1.0 };
    assert_eq!(may_send(&facts), Ok(()));
    assert_eq!(may_send(&SendFacts { is_client_waiting: false, ..facts }), Err(AttemptDenied::NotPending));
    assert_eq!(may_send(&SendFacts { is_serving: false, ..facts }), Err(AttemptDenied::NotServing));
    let too_late = SendFacts { begin_within_ms: -1.0, ..facts };
    assert_eq!(may_send(&too_late), Err(AttemptDenied::DedupWindowExpired));
    assert_eq!(may_send(&SendFacts { deadline_in_ms: 0.0, ..facts }), Err(AttemptDenied::DeadlinePassed));
}

#[test]
fn a_process_exits_once_all_requests_are_answered_or_after_20_s() {
    let finished = ShutdownFacts {
        since_signal_ms: 900.0,
        since_listener_close_ms: Some(60.0),
        has_blocking_connection: false,
    };
    assert!(may_exit(&finished));
    assert!(!may_exit(&ShutdownFacts { has_blocking_connection: true, ..finished }));
    assert!(!may_exit(&ShutdownFacts { since_listener_close_ms: None, ..finished }));
    assert!(!may_exit(&ShutdownFacts { since_listener_close_ms: Some(10.0), ..finished }));
    let stuck = ShutdownFacts { since_signal_ms: 21_000.0, has_blocking_connection: true, ..finished };
    assert!(may_exit(&stuck));
}
