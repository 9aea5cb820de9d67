//! Bounds on the time without a watch.

use std::time::Duration;

use super::{WatchPolicy, MAX_SILENCE};
use crate::discovery::backoff::Backoff;
use crate::discovery::test_support::{fleet_settings, subscribed_policy};

/// The rules allow requests to a draining server for 250 ms after the announcement. Where a local agent
/// pushes lists, a change is announced as soon as the agent has received it, whether or not a watch is open.
/// The time without a watch must therefore not exceed 250 ms, regardless of the size of the fleet.
#[test]
fn requests_to_a_local_agent_are_retried_within_250_ms() {
    let policy = WatchPolicy::new(&fleet_settings());
    let mut backoff = Backoff::new(policy, 1);
    let longest = (0..50).map(|_| backoff.after_failure(Duration::ZERO)).max().unwrap_or_default();
    assert!(longest <= Duration::from_millis(50) && policy.retry_immediately_after_timeout, "{longest:?}");
    assert!(longest + policy.response_timeout <= Duration::from_millis(250), "{:?}", policy.response_timeout);
}

/// The bound on silence also applies where limiters subscribe to lists: within 6 s after a watch fell silent,
/// a limiter is expected to know the changes that the watch has missed.
#[test]
fn a_silent_watch_of_a_large_fleet_is_requested_again_within_5_s() {
    let mut backoff = Backoff::new(subscribed_policy(300), 1);
    let longest = (0..50).map(|_| backoff.after_success()).max().unwrap_or_default();
    assert!(MAX_SILENCE + longest <= Duration::from_secs(5), "{longest:?}");
}

/// A limiter is expected to know a change at most 6 s after discovery has received it and can be reached,
/// regardless of earlier failures: a request that was refused immediately, rejected after a wait, or never
/// answered. The next request starts at most 4 s after the start of the failed one, which leaves 2 s for the
/// response.
#[test]
fn requests_after_any_failure_are_at_most_4_s_apart() {
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
