//! Estimates how long ago servers started, from the start times that discovery announces.
//!
//! The clock of the announced start times and the wall clock of this host may differ by hours, because wall
//! clocks can be stepped. Only ages of hours are therefore derived from a comparison of the two. All other
//! ages are derived from the clock of the events, which never goes backward, and from differences between
//! announced start times.
//!
//! Every estimate is at most the true age, so that slow start never assumes more capacity than a server has.

use crate::event::{Endpoint, Millis};

/// Largest expected difference between two wall clocks in milliseconds: each may have been stepped by an
/// hour.
const MAX_CLOCK_ERROR_MS: Millis = 2.0 * 3_600_000.0;
/// Latest announced start time that estimates are based on, in Unix milliseconds (the year 2100). A later
/// time is an error in the announcement and would make all other servers appear old.
const MAX_STARTED_AT: Millis = 4_102_444_800_000.0;

/// Whether discovery notifies this limiter of changes as they happen.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DiscoveryState {
    /// Discovery has announced nothing to this process yet. An announced change may have happened at any
    /// time.
    NeverConnected,
    /// Discovery announces changes as they happen. A start that is announced now has just happened.
    Connected,
    /// Discovery failed at this time. The next announced change may have happened at any time since.
    DisconnectedSince(Millis),
}

/// What is known about the clock of the announced start times, and of the connection to discovery.
#[derive(Debug)]
pub(super) struct StartTimes {
    /// Bounds how long ago a start that is announced now can have happened.
    discovery: DiscoveryState,
    /// Lower bound of the clock of the announced start times minus this limiter's clock. The bound holds
    /// because a start lies in the past when it is announced.
    min_clock_offset_ms: Millis,
    /// Wall clock minus this limiter's clock at the start of this limiter, if the caller has passed the wall
    /// clock.
    wall_clock_offset_ms: Option<Millis>,
}

impl Default for StartTimes {
    fn default() -> Self {
        StartTimes {
            discovery: DiscoveryState::NeverConnected,
            min_clock_offset_ms: f64::NEG_INFINITY,
            wall_clock_offset_ms: None,
        }
    }
}

impl StartTimes {
    /// Records the reading of the wall clock at time `now`, in Unix milliseconds.
    pub(super) fn set_wall_clock(&mut self, now: Millis, unix_ms: Millis) {
        self.wall_clock_offset_ms = Some(unix_ms - now);
    }

    /// Records that discovery has answered: this limiter is notified of changes from now on.
    pub(super) fn record_connected(&mut self) {
        self.discovery = DiscoveryState::Connected;
    }

    /// Records that discovery has failed.
    pub(super) fn record_disconnected(&mut self, now: Millis) {
        if self.discovery == DiscoveryState::Connected {
            self.discovery = DiscoveryState::DisconnectedSince(now);
        }
    }

    /// Returns whether discovery has announced the endpoint list to this process, so that a server whose
    /// start is announced now was started after this limiter.
    pub(super) fn was_ever_connected(&self) -> bool {
        self.discovery != DiscoveryState::NeverConnected
    }

    /// Records the start times of an announcement. Must be called before [`StartTimes::min_age_ms`] is called
    /// for its servers.
    pub(super) fn record_announced(&mut self, now: Millis, endpoints: &[Endpoint]) {
        let mut latest_start: Millis = 0.0;
        for endpoint in endpoints {
            if (0.0..=MAX_STARTED_AT).contains(&endpoint.started_at) {
                latest_start = f64::max(latest_start, endpoint.started_at);
            }
        }
        if latest_start > 0.0 {
            self.min_clock_offset_ms = self.min_clock_offset_ms.max(latest_start - now);
        }
    }

    /// Returns the least possible age, in milliseconds, of a server whose start is announced now for the
    /// first time.
    pub(super) fn min_age_ms(&self, now: Millis, started_at: Millis) -> Millis {
        let age_ms = match self.discovery {
            DiscoveryState::NeverConnected => self.min_age_by_clocks_ms(now, started_at),
            DiscoveryState::Connected => 0.0,
            DiscoveryState::DisconnectedSince(disconnected_at) => {
                self.min_age_by_clocks_ms(now, started_at).min(now - disconnected_at)
            }
        };
        age_ms.max(0.0)
    }

    /// Returns the least possible age according to the latest announced start and to the wall clock: the
    /// larger of the two lower bounds.
    fn min_age_by_clocks_ms(&self, now: Millis, started_at: Millis) -> Millis {
        let by_latest_start = now + self.min_clock_offset_ms - started_at;
        let by_wall_clock = match self.wall_clock_offset_ms {
            Some(offset_ms) => now + offset_ms - MAX_CLOCK_ERROR_MS - started_at,
            None => 0.0,
        };
        by_latest_start.max(by_wall_clock)
    }
}
