//! The timeouts and the bounds of the backoff of watch requests.

use std::time::Duration;

use limiter_core::Settings;

/// Time without a list or a keep-alive after which a watch times out. Discovery sends a keep-alive every 2 s.
/// Within 6 s after a watch fell silent, a limiter is expected to know the changes that the watch has missed.
/// This timeout leaves enough time for the longest initial backoff ([`SUBSCRIBED_MAX_INITIAL_BACKOFF`]) and a
/// response.
pub const MAX_SILENCE: Duration = Duration::from_millis(2500);

/// Response timeout where a local agent pushes lists, after which the next request is sent. The agent
/// responds immediately and at no cost, and a limiter is expected to know each change that the agent has
/// received. No time without a watch may therefore exceed 250 ms, the time for which the rules allow requests
/// to a draining server.
const PUSHED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Initial backoff where a local agent pushes lists.
const PUSHED_INITIAL_BACKOFF: Duration = Duration::from_millis(25);
/// Upper bound of every backoff where a local agent pushes lists. The sum with [`PUSHED_RESPONSE_TIMEOUT`] is
/// 250 ms.
const PUSHED_MAX_BACKOFF: Duration = Duration::from_millis(50);

/// Response timeout where limiters subscribe to lists, after which the backoff before the next request
/// begins.
const SUBSCRIBED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Lower limit of the initial backoff where limiters subscribe to lists. Applies to small fleets.
const SUBSCRIBED_MIN_INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Amount by which each limiter of a fleet raises the initial backoff. One discovery serves the whole fleet.
/// If all watches fail at once and the limiters reconnect in step, each request queues among requests that
/// have timed out, and no watch is ever opened.
const SUBSCRIBED_INITIAL_BACKOFF_PER_LIMITER: Duration = Duration::from_millis(20);
/// Upper limit of the initial backoff. [`MAX_SILENCE`] leaves enough time for this backoff.
const SUBSCRIBED_MAX_INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Lower limit of the maximum backoff where limiters subscribe to lists. Applies to small fleets.
const SUBSCRIBED_MIN_BACKOFF_CAP: Duration = Duration::from_secs(1);
/// Amount by which each limiter of a fleet raises the maximum backoff.
const SUBSCRIBED_BACKOFF_CAP_PER_LIMITER: Duration = Duration::from_millis(100);
/// Upper limit of the maximum backoff, and longest time from the start of a failed request to the start of
/// the next one. A limiter is expected to know a change at most 6 s after discovery has received it and can
/// be reached, regardless of earlier failures, so this limit leaves 2 s for the response. While all requests
/// of a fleet of n limiters fail immediately, the mean wait is three quarters of this limit, and the fleet
/// sends n / 3 requests a second.
const SUBSCRIBED_MAX_BACKOFF_CAP: Duration = Duration::from_secs(4);

/// The timeouts and the bounds of the backoff of watch requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPolicy {
    /// Longest time from the start of a request to the head of its response. A request that exceeds this time
    /// is slow: it stays in flight beside the next request.
    pub response_timeout: Duration,
    /// Upper bound of the backoff after a watch that announced a list or lasted long enough. Each failure in
    /// a row doubles the bound, from the first failure on.
    pub initial_backoff: Duration,
    /// Maximum backoff: the upper bound of every backoff, regardless of the number of failures.
    pub max_backoff: Duration,
    /// Whether the next request follows without a backoff after a request that timed out or a watch that fell
    /// silent.
    pub retry_immediately_after_timeout: bool,
}

impl WatchPolicy {
    /// Returns the policy for these settings.
    pub fn new(settings: &Settings) -> WatchPolicy {
        if settings.must_subscribe {
            WatchPolicy::subscribed(settings.limiters)
        } else {
            WatchPolicy::pushed()
        }
    }

    /// Returns the policy of a limiter to which a local agent pushes lists.
    fn pushed() -> WatchPolicy {
        WatchPolicy {
            response_timeout: PUSHED_RESPONSE_TIMEOUT,
            initial_backoff: PUSHED_INITIAL_BACKOFF,
            max_backoff: PUSHED_MAX_BACKOFF,
            retry_immediately_after_timeout: true,
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
            retry_immediately_after_timeout: false,
        }
    }
}

#[cfg(test)]
mod tests;
