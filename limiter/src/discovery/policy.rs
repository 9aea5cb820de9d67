//! How patiently discovery is called.

use std::time::Duration;

use limiter_core::Settings;

/// Keep-alives come every 2 s; a watch is given up after this time without one. What a silent watch misses counts as
/// announced 6 s after it fell silent: this leaves enough for the longest first backoff
/// ([`SUBSCRIBED_MAX_INITIAL_BACKOFF`]) and a response.
pub const MAX_SILENCE: Duration = Duration::from_millis(2500);

/// Longest wait for a response where lists are pushed. An agent on this machine answers at once and at no cost, and
/// what it has counts as announced: no time without a watch may be longer than the rules allow sends to a server that
/// drains, 250 ms.
const PUSHED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// First backoff where lists are pushed.
const PUSHED_INITIAL_BACKOFF: Duration = Duration::from_millis(25);
/// Longest backoff where lists are pushed: with [`PUSHED_RESPONSE_TIMEOUT`] 250 ms.
const PUSHED_MAX_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait for a response where lists are subscribed to.
const SUBSCRIBED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// First backoff where lists are subscribed to, for a few limiters.
const SUBSCRIBED_MIN_INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The first backoff's part for each limiter of a fleet. One discovery serves all: when it drops or fails all at once
/// and they come back in step, each call waits behind calls that nobody waits for any more, and no watch is ever begun.
const SUBSCRIBED_INITIAL_BACKOFF_PER_LIMITER: Duration = Duration::from_millis(20);
/// The longest that the first backoff grows to, for the clock of [`MAX_SILENCE`].
const SUBSCRIBED_MAX_INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Longest backoff where lists are subscribed to, for a few limiters.
const SUBSCRIBED_MIN_BACKOFF_CAP: Duration = Duration::from_millis(1000);
/// The longest backoff's part for each limiter of a fleet.
const SUBSCRIBED_BACKOFF_CAP_PER_LIMITER: Duration = Duration::from_millis(100);
/// The longest that the longest backoff grows to. A change counts as announced 6 s after discovery had it and could be
/// reached, whatever failed before: from the beginning of one call to that of the next it takes no longer than this,
/// which leaves 2 s for the response. Where all calls of a fleet of n limiters fail, the mean wait is three quarters of
/// this, so that they make n / 3 calls a second.
const SUBSCRIBED_MAX_BACKOFF_CAP: Duration = Duration::from_secs(4);

/// How discovery is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPolicy {
    /// Longest wait from the beginning of a call to the head of its response.
    pub response_timeout: Duration,
    /// Bound of the first backoff.
    pub initial_backoff: Duration,
    /// Bound of the backoff after many failures.
    pub max_backoff: Duration,
    /// After a timeout the call is repeated at once, without a backoff.
    pub retry_timeout_immediately: bool,
}

impl WatchPolicy {
    /// The policy under these settings.
    pub fn new(settings: &Settings) -> WatchPolicy {
        if settings.must_subscribe {
            WatchPolicy::subscribed(settings.limiters)
        } else {
            WatchPolicy::pushed()
        }
    }

    fn pushed() -> WatchPolicy {
        WatchPolicy {
            response_timeout: PUSHED_RESPONSE_TIMEOUT,
            initial_backoff: PUSHED_INITIAL_BACKOFF,
            max_backoff: PUSHED_MAX_BACKOFF,
            retry_timeout_immediately: true,
        }
    }

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
