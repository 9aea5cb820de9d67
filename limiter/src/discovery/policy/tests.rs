//! The bounds on the time without a watch.

use std::time::Duration;

use super::{WatchPolicy, MAX_SILENCE};
use crate::discovery::backoff::Backoff;
use crate::discovery::test_support::{fleet_settings, subscribed_policy};

/// The rules allow sends for 250 ms after the announcement that a server drains, and a change counts as
/// announced when the local agent has it, whether or not a watch is open. However large the fleet, no time
/// without a watch may be that long.
#[test]
fn an_agent_is_polled_again_immediately_whatever_the_fleet() {
    let policy = WatchPolicy::new(&fleet_settings());
    let mut backoff = Backoff::new(policy, 1);
    let longest = (0..50).map(|_| backoff.after_failure(Duration::ZERO)).max().unwrap_or_default();
    assert!(longest <= Duration::from_millis(50) && policy.retry_timeout_immediately, "{longest:?}");
    assert!(longest + policy.response_timeout <= Duration::from_millis(250), "{:?}", policy.response_timeout);
}

/// Silence has one bound, also where lists are subscribed to: 6 s after a watch fell silent, the changes that
/// it missed count as announced.
#[test]
fn a_silent_watch_is_reopened_in_time_in_a_fleet_of_hundreds() {
    let mut backoff = Backoff::new(subscribed_policy(300), 1);
    let longest = (0..50).map(|_| backoff.after_success()).max().unwrap_or_default();
    assert!(MAX_SILENCE + longest <= Duration::from_secs(5), "{longest:?}");
}

/// A change counts as announced 6 s after discovery had it and could be reached, whatever failed before: a
/// request that was refused at once, rejected after a wait, or never answered. From the beginning of one
/// request to that of the next it takes at most 4 s, so that 2 s are left for the response.
#[test]
fn a_change_is_received_in_time_whatever_failed_before() {
    for limiters in [4, 40, 300, 500] {
        let policy = subscribed_policy(limiters);
        for elapsed in [Duration::ZERO, Duration::from_secs(2), policy.response_timeout] {
            let mut backoff = Backoff::new(policy, 1);
            let longest = (0..200).map(|_| backoff.after_failure(elapsed)).max().unwrap_or_default();
            assert!(
                elapsed + longest <= Duration::from_secs(4),
                "{limiters} limiters: {elapsed:?} and {longest:?}"
            );
        }
    }
}
