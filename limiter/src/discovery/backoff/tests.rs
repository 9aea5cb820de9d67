//! When limiters request a watch, one by one and as a fleet.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Backoff;
use crate::discovery::test_support::subscribed_policy;

/// Returns the largest number of requests of a fleet that fall into one second, when discovery drops all
/// watches at once and answers no request afterwards.
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

/// Guards against a discovery that the requests of the limiters which it has failed keep overloaded.
#[test]
fn a_fleet_spreads_its_requests_after_all_watches_were_dropped() {
    let max_requests = max_requests_in_a_second(100);
    assert!(
        (10..=75).contains(&max_requests),
        "{max_requests} requests in one second of 100 limiters that were dropped at once"
    );
}

#[test]
fn a_small_fleet_reconnects_soon() {
    let mut backoff = Backoff::new(subscribed_policy(4), 1);
    assert!(backoff.after_success() <= Duration::from_millis(80));
    assert!((0..20).all(|_| backoff.after_failure(Duration::ZERO) <= Duration::from_secs(1)));
}

/// The load on one discovery in the worst case: all watches are dropped at once, and every request is
/// rejected at once.
#[test]
fn the_requests_of_hundreds_of_limiters_are_bounded() {
    for (limiters, bound) in [(300, 170), (500, 280)] {
        let max_requests = max_requests_in_a_second(limiters);
        assert!(max_requests <= bound, "{max_requests} requests in one second of {limiters} limiters");
    }
}

/// After failures no two limiters of a fleet send requests in step: half of each wait is random.
#[test]
fn requests_after_failures_are_not_in_step() {
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
        "{} waits over {spread:?}",
        waits.len()
    );
}
