//! When discovery is called, by single limiters and by fleets, and the framing of what it announces.

use std::time::Duration;

use limiter_core::Settings;

use super::backoff::Backoff;
use super::framing::{ObjectFramer, MAX_OBJECT_BYTES};
use super::policy::{WatchPolicy, MAX_SILENCE};

/// The policy of one of so many limiters that subscribe to the list.
fn subscribed(limiters: u32) -> WatchPolicy {
    WatchPolicy::new(&Settings { must_subscribe: true, limiters, ..fleet_settings() })
}

fn fleet_settings() -> Settings {
    Settings {
        limiters: 300,
        position: 0,
        zone: 0,
        classes: Vec::new(),
        plans: Vec::new(),
        event_interval_ms: 1.0,
        max_attempts: 1,
        connect_timeout_ms: 250.0,
        can_gossip: false,
        can_cancel: true,
        can_send_retry_after: false,
        gossip_messages_per_s: 0.0,
        must_subscribe: false,
        cold_capacity_fraction: 0.2,
        slow_start_ms: 10_000.0,
        overload_factor: 3.0,
        overload_ms: 2000.0,
    }
}

/// The most calls of a fleet that fall into one second, when discovery drops all watches at once and then answers
/// nobody.
fn most_calls_in_a_second(limiters: u32) -> usize {
    let mut calls = Vec::new();
    for limiter in 0..limiters {
        let mut backoff = Backoff::new(subscribed(limiters), u64::from(limiter));
        let mut at = backoff.after_success();
        while at < Duration::from_secs(20) {
            calls.push(at);
            at += backoff.after_failure(Duration::ZERO).max(Duration::from_millis(1));
        }
    }
    let second = Duration::from_secs(1);
    let within = |from: &Duration| calls.iter().filter(|c| **c >= *from && **c < *from + second).count();
    calls.iter().map(within).max().unwrap_or(0)
}

/// Guards against a discovery that is kept overbooked by those it has failed.
#[test]
fn a_fleet_comes_back_to_discovery_spread_out() {
    let most = most_calls_in_a_second(100);
    assert!(
        (10..=75).contains(&most),
        "{most} calls in one second of 100 limiters that were dropped at once"
    );
}

#[test]
fn a_few_limiters_come_back_soon() {
    let mut backoff = Backoff::new(subscribed(4), 1);
    assert!(backoff.after_success() <= Duration::from_millis(80));
    assert!((0..20).all(|_| backoff.after_failure(Duration::ZERO) <= Duration::from_secs(1)));
}

/// The rules allow sends for 250 ms after the announcement that a server drains, and what the agent has counts as
/// announced whether or not a watch is open: however large the fleet, no time without one may be that long.
#[test]
fn an_agent_is_called_again_at_once_whatever_the_fleet() {
    let policy = WatchPolicy::new(&fleet_settings());
    let mut backoff = Backoff::new(policy, 1);
    let longest = (0..50).map(|_| backoff.after_failure(Duration::ZERO)).max().unwrap_or_default();
    assert!(longest <= Duration::from_millis(50) && policy.retry_timeout_immediately, "{longest:?}");
    assert!(longest + policy.response_timeout <= Duration::from_millis(250), "{:?}", policy.response_timeout);
}

/// One clock for silence: 6 s after a watch fell silent what it missed counts as announced, also where it is subscribed
/// to.
#[test]
fn a_silent_watch_is_begun_anew_in_time_in_a_fleet_of_hundreds() {
    let mut backoff = Backoff::new(subscribed(300), 1);
    let longest = (0..50).map(|_| backoff.after_success()).max().unwrap_or_default();
    assert!(MAX_SILENCE + longest <= Duration::from_millis(5000), "{longest:?}");
}

/// A change counts as announced 6 s after discovery had it and could be reached, whatever failed before: refused at
/// once, rejected after a wait, or never answered. From the beginning of a call to that of the next it takes at most 4
/// s, so that 2 s are left for the answer.
#[test]
fn a_change_is_heard_in_time_whatever_failed_before() {
    for limiters in [4, 40, 300, 500] {
        let policy = subscribed(limiters);
        for took in [Duration::ZERO, Duration::from_secs(2), policy.response_timeout] {
            let mut backoff = Backoff::new(policy, 1);
            let longest = (0..200).map(|_| backoff.after_failure(took)).max().unwrap_or_default();
            assert!(
                took + longest <= Duration::from_secs(4),
                "{limiters} limiters: {took:?} and {longest:?}"
            );
        }
    }
}

/// What one discovery gets at the worst: all watches drop at once, and then every call is refused at once.
#[test]
fn the_calls_of_hundreds_are_bounded() {
    for (limiters, bound) in [(300, 170), (500, 280)] {
        let most = most_calls_in_a_second(limiters);
        assert!(most <= bound, "{most} calls in one second of {limiters} limiters");
    }
}

/// After failures no two limiters of a fleet call in step: half of each wait is drawn.
#[test]
fn calls_after_failures_are_not_in_step() {
    let waits: std::collections::BTreeSet<Duration> = (0..300)
        .map(|seed| {
            let mut backoff = Backoff::new(subscribed(300), seed);
            backoff.after_failure(Duration::from_secs(2))
        })
        .collect();
    let spread = *waits.last().expect("some") - *waits.first().expect("some");
    assert!(
        waits.len() > 250 && spread > Duration::from_millis(800),
        "{} waits over {spread:?}",
        waits.len()
    );
}

fn cut(text: &str, chunk: usize) -> Vec<String> {
    let mut framer = ObjectFramer::default();
    let mut all = Vec::new();
    for part in text.as_bytes().chunks(chunk) {
        framer.push(part);
        while let Ok(Some(object)) = framer.next_object() {
            all.push(String::from_utf8_lossy(&object).into_owned());
        }
    }
    assert!(framer.is_between_objects() || framer.next_object().is_err(), "{text:?} leaves a part");
    all
}

#[test]
fn objects_are_cut_apart_however_they_are_laid_out() {
    let one = "{\n  \"version\": 4,\n  \"servers\": [\n    { \"id\": \"a}\\\"{[\" }\n  ]\n}";
    let text = format!("\n\n{one}\r\n\n{{\"version\":5,\"servers\":[]}}{one}\n");
    for chunk in [1, 2, 3, 7, text.len()] {
        assert_eq!(cut(&text, chunk), [one, "{\"version\":5,\"servers\":[]}", one], "chunks of {chunk}");
    }
    assert!(cut("null\n", 5).is_empty());
    let mut endless = ObjectFramer::default();
    endless.push(b"{");
    endless.push(&vec![b' '; MAX_OBJECT_BYTES]);
    assert!(endless.next_object().is_err());
}
