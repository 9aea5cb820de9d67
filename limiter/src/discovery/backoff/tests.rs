//! The backoff of a single limiter, and the load of a reconnecting fleet on discovery.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Backoff;
use crate::discovery::test_support::subscribed_policy;

/// Returns the largest number of requests that a fleet sends within one second when discovery drops all
/// watches at once and rejects every later request immediately.
fn max_requests_in_a_second(limiters: u32) -> usize {
    let mut sent_at = Vec::new();
    for limiter in 0..limiters {
        let mut backoff = Backoff::new(subscribed_policy(limiters), u64::from(limiter));
        let mut at = backoff.after_success();
        while at < Duration::from_secs(20) {
            sent_at.push(at);
            at += backoff.after_failure(Duration::ZERO).max(Duration::from_millis(1));
        }
    }
    let second = Duration::from_secs(1);
    let count_from =
        |start: &Duration| sent_at.iter().filter(|at| **at >= *start && **at < *start + second).count();
    sent_at.iter().map(count_from).max().unwrap_or(0)
}

/// Guards against a discovery that stays overloaded because all limiters whose watches it dropped reconnect
/// at the same time.
#[test]
fn a_fleet_spreads_its_requests_after_all_watches_are_dropped() {
    let max_requests = max_requests_in_a_second(100);
    assert!(
        (10..=75).contains(&max_requests),
        "100 limiters whose watches were dropped at once sent {max_requests} requests in one second"
    );
}

#[test]
fn a_small_fleet_reconnects_quickly() {
    let mut backoff = Backoff::new(subscribed_policy(4), 1);
    assert!(backoff.after_success() <= Duration::from_millis(80));
    assert!((0..20).all(|_| backoff.after_failure(Duration::ZERO) <= Duration::from_secs(1)));
}

/// The worst case for one discovery: all watches are dropped at once, and every request is rejected
/// immediately.
#[test]
fn the_request_rate_of_hundreds_of_limiters_is_bounded() {
    for (limiters, bound) in [(300, 170), (500, 280)] {
        let max_requests = max_requests_in_a_second(limiters);
        assert!(max_requests <= bound, "{limiters} limiters sent {max_requests} requests in one second");
    }
}

/// After a failure the limiters of a fleet wait for different times, because half of each wait is random.
#[test]
fn retries_of_a_fleet_are_spread_over_time() {
    let waits: BTreeSet<Duration> = (0..300)
        .map(|seed| {
            let mut backoff = Backoff::new(subscribed_policy(300), seed);
            backoff.after_failure(Duration::from_secs(2))
        })
        .collect();
    let shortest = waits.first().copied().expect("a wait");
    let longest = waits.last().copied().expect("a wait");
    let spread = longest.saturating_sub(shortest);
    assert!(
        waits.len() > 250 && spread > Duration::from_millis(800),
        "{} different waits, spread over {spread:?}",
        waits.len()
    );
}
