//! How often discovery is asked for a watch, and how long each answer is awaited.

use std::time::Duration;

use limiter_core::Settings;

/// Longest time between two signs of a watch that makes progress; discovery sends a keep-alive every 2 s. A
/// watch that is silent for longer times out. The changes that a silent watch misses count as announced 6 s
/// after the watch fell silent: this timeout leaves enough time for the longest first backoff
/// ([`SUBSCRIBED_MAX_INITIAL_BACKOFF`]) and a response.
pub const MAX_SILENCE: Duration = Duration::from_millis(2500);

/// Longest wait for a response where lists are pushed. A local agent answers at once and at no cost, and the
/// changes that the agent has count as announced. No time without a watch may be longer than the rules allow
/// sends to a draining server, 250 ms.
const PUSHED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Bound of the first backoff where lists are pushed.
const PUSHED_INITIAL_BACKOFF: Duration = Duration::from_millis(25);
/// Bound of every backoff where lists are pushed. Together with [`PUSHED_RESPONSE_TIMEOUT`] this makes 250
/// ms.
const PUSHED_MAX_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait for a response where lists are subscribed to.
const SUBSCRIBED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Least bound of the first backoff where lists are subscribed to, which applies to a few limiters.
const SUBSCRIBED_MIN_INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Part of the first backoff's bound for each limiter of a fleet. One discovery serves the whole fleet. When
/// it drops or fails all watches at once and the limiters reconnect in step, each request queues among
/// requests that have timed out, and no watch is ever opened.
const SUBSCRIBED_INITIAL_BACKOFF_PER_LIMITER: Duration = Duration::from_millis(20);
/// Largest bound of the first backoff, which [`MAX_SILENCE`] leaves time for.
const SUBSCRIBED_MAX_INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Least bound of every backoff where lists are subscribed to, which applies to a few limiters.
const SUBSCRIBED_MIN_BACKOFF_CAP: Duration = Duration::from_secs(1);
/// Part of every backoff's bound for each limiter of a fleet.
const SUBSCRIBED_BACKOFF_CAP_PER_LIMITER: Duration = Duration::from_millis(100);
/// Largest bound of every backoff. A change counts as announced 6 s after discovery had it and could be
/// reached, whatever failed before. From the beginning of one request to that of the next it takes no longer
/// than this, which leaves 2 s for the response. Where all requests of a fleet of n limiters fail, the mean
/// wait is three quarters of this, so that the fleet sends n / 3 requests a second.
const SUBSCRIBED_MAX_BACKOFF_CAP: Duration = Duration::from_secs(4);

/// How often discovery is asked for a watch, and how long each answer is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPolicy {
    /// Longest wait from the beginning of a request to the head of its response.
    pub response_timeout: Duration,
    /// Bound of the first backoff.
    pub initial_backoff: Duration,
    /// Bound of every backoff, after however many failures.
    pub max_backoff: Duration,
    /// A request that timed out, or a watch that fell silent, is followed by the next request without a
    /// backoff.
    pub retry_timeout_immediately: bool,
}

impl WatchPolicy {
    /// Returns the policy under these settings.
    pub fn new(settings: &Settings) -> WatchPolicy {
        if settings.must_subscribe {
            WatchPolicy::subscribed(settings.limiters)
        } else {
            WatchPolicy::pushed()
        }
    }

    /// Returns the policy where a local agent pushes lists.
    fn pushed() -> WatchPolicy {
        WatchPolicy {
            response_timeout: PUSHED_RESPONSE_TIMEOUT,
            initial_backoff: PUSHED_INITIAL_BACKOFF,
            max_backoff: PUSHED_MAX_BACKOFF,
            retry_timeout_immediately: true,
        }
    }

    /// Returns the policy of each limiter of a fleet that subscribes to the list of one discovery.
    fn subscribed(limiters: u32) -> WatchPolicy {
        let initial_backoff = SUBSCRIBED_INITIAL_BACKOFF_PER_LIMITER * limiters;
        let max_backoff = SUBSCRIBED_BACKOFF_CAP_PER_LIMITER * limiters;
        WatchPolicy {
            response_timeout: SUBSCRIBED_RESPONSE_TIMEOUT,
            initial_backoff: initial_backoff
                .clamp(SUBSCRIBED_MIN_INITIAL_BACKOFF, SUBSCRIBED_MAX_INITIAL_BACKOFF),
            max_backoff: max_backoff.clamp(SUBSCRIBED_MIN_BACKOFF_CAP, SUBSCRIBED_MAX_BACKOFF_CAP),
            retry_timeout_immediately: false,
        }
    }
}

#[cfg(test)]
mod tests;
