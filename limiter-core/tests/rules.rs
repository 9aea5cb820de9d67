//! What may be sent, repeated, closed or ended at a moment.

use limiter_core::rules::*;
use limiter_core::Idempotency;

const AT_REST: ClientConnectionFacts = ClientConnectionFacts {
    open_requests: 0,
    unwritten_for_ms: None,
    incomplete_for_ms: None,
    idle_ms: 0.0,
    is_shutting_down: false,
};

#[test]
fn a_connection_with_an_open_request_is_closed_only_if_its_response_is_not_read() {
    let open = ClientConnectionFacts { open_requests: 1, idle_ms: 60_000.0, ..AT_REST };
    assert!(!open.may_close() && !open.is_overdue() && !open.may_evict() && open.blocks_shutdown());
    let is_overdue = |unwritten_ms| {
        ClientConnectionFacts { unwritten_for_ms: Some(unwritten_ms), idle_ms: unwritten_ms, ..open }
            .is_overdue()
    };
    assert!(!is_overdue(9_900.0), "its client may still read");
    assert!(is_overdue(10_100.0), "not only after the 30 s of an idle connection");
}

#[test]
fn a_request_that_stays_incomplete_is_overdue_within_3_s() {
    let incomplete = |ms| ClientConnectionFacts { incomplete_for_ms: Some(ms), idle_ms: ms, ..AT_REST };
    assert!(!incomplete(1_900.0).is_overdue());
    assert!(incomplete(2_100.0).is_overdue() && !incomplete(2_100.0).blocks_shutdown());
}

const FIRST: AttemptFacts = AttemptFacts {
    has_attempt_in_flight: false,
    is_streaming: false,
    deadline_in_ms: 100.0,
    attempts: 0,
    max_attempts: 3,
    has_no_value: false,
    repeat: ExecutionFacts {
        idempotency: Idempotency::NonIdempotent,
        may_have_executed: false,
        dedup_ends_in_ms: f64::INFINITY,
    },
};

#[test]
fn an_attempt_is_refused_for_each_reason_alone() {
    assert_eq!(may_attempt(&FIRST), Ok(()));
    let executed = ExecutionFacts { may_have_executed: true, ..FIRST.repeat };
    let keyed = ExecutionFacts { idempotency: Idempotency::WithKey, dedup_ends_in_ms: 0.0, ..executed };
    for (facts, refusal) in [
        (AttemptFacts { has_attempt_in_flight: true, ..FIRST }, AttemptDenied::AnotherInFlight),
        (AttemptFacts { is_streaming: true, ..FIRST }, AttemptDenied::ResponseBegun),
        (AttemptFacts { deadline_in_ms: 0.0, ..FIRST }, AttemptDenied::DeadlinePassed),
        (AttemptFacts { attempts: 3, ..FIRST }, AttemptDenied::AttemptsExhausted),
        (AttemptFacts { has_no_value: true, ..FIRST }, AttemptDenied::NoValueLeft),
        (AttemptFacts { repeat: executed, ..FIRST }, AttemptDenied::MayHaveExecuted),
        (AttemptFacts { repeat: keyed, ..FIRST }, AttemptDenied::DedupWindowOver),
    ] {
        assert_eq!(may_attempt(&facts), Err(refusal));
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_has_gone_or_to_a_server_that_has() {
    let facts =
        SendFacts { is_client_waiting: true, is_serving: true, begin_within_ms: 0.0, deadline_in_ms: 1.0 };
    assert_eq!(may_send(&facts), Ok(()));
    assert_eq!(may_send(&SendFacts { is_client_waiting: false, ..facts }), Err(AttemptDenied::NotPending));
    assert_eq!(may_send(&SendFacts { is_serving: false, ..facts }), Err(AttemptDenied::NotServing));
    let too_late = SendFacts { begin_within_ms: -1.0, ..facts };
    assert_eq!(may_send(&too_late), Err(AttemptDenied::DedupWindowOver));
    assert_eq!(may_send(&SendFacts { deadline_in_ms: 0.0, ..facts }), Err(AttemptDenied::DeadlinePassed));
}

#[test]
fn a_process_ends_once_all_is_answered_or_after_far_too_long() {
    let ending =
        ShutdownFacts { signalled_for_ms: 900.0, closed_for_ms: Some(60.0), has_blocking_connection: false };
    assert!(may_exit(&ending));
    assert!(!may_exit(&ShutdownFacts { has_blocking_connection: true, ..ending }));
    assert!(!may_exit(&ShutdownFacts { closed_for_ms: None, ..ending }));
    assert!(!may_exit(&ShutdownFacts { closed_for_ms: Some(10.0), ..ending }));
    let stuck = ShutdownFacts { signalled_for_ms: 21_000.0, has_blocking_connection: true, ..ending };
    assert!(may_exit(&stuck));
}
