//! Slow start: how many requests this limiter may send to one server that has just started.
//!
//! A server that has just started is cold: its capacity is a fraction of the full capacity, and grows
//! linearly to the full capacity until `slow_start_ms` after the start. A cold server fails if a load of
//! `overload_factor` times its current capacity lasts for `overload_ms`. The load of all limiters together
//! must stay below that, without messages between the limiters. Rendezvous hashing therefore selects a few
//! limiters for each start of a server, the warming set. Each member has a budget, a token bucket from which
//! it spends one token per request that it sends to the server. All other limiters send nothing to the server
//! until the slow start ends.
//!
//! The bound for all limiters together: let N be the number of requests in `overload_ms` that would overload
//! the server according to the settings (overload factor x current capacity x that time). The server is not
//! overloaded by up to N + 2 x sqrt(N) + 2 requests in that time or, for N below 30, by up to
//! N + 3 x sqrt(N) + 3. The square root allows for requests that arrive at random. The bound comes from the
//! requirements of the limiter (`docs/guarantees.md`, row "The load of all limiters on a cold server").

use super::start_times::StartTimes;
use crate::context::Context;
use crate::event::{Endpoint, Millis};
use crate::hashing::{endpoint_hash, rendezvous_rank};
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;

/// Shortest slow start in milliseconds. Prevents a division by 0: a setting of 0 means that there is no slow
/// start.
const MIN_SLOW_START_MS: Millis = 1.0;
/// Number of limiters that send to a server in slow start. The number is small because each of these limiters
/// may have accumulated the budget for one request and has to open a connection: hundreds of limiters at the
/// same moment could overload the server.
const WARMING_SET_SIZE: u32 = 12;
/// Fraction of the sustainable load of a cold server that all limiters together send to the server. The
/// sustainable load is computed from the guaranteed capacity, the overload factor and the throughput of warm
/// servers. The rest is a margin for requests that arrive at the same time.
const BUDGET_FRACTION: f64 = 0.75;
/// Number of requests that all limiters together may always send to a cold server per window: the time in
/// which an overload makes the server fail (`overload_ms`, at least [`MIN_OVERLOAD_MS`]). Applies even if the
/// throughput measured at warm servers is lower or 0. The minimum is less than 3, the constant part of the
/// bound N + 3 x sqrt(N) + 3 for small N (see the module): even a server with next to no capacity tolerates 3
/// requests. Without this minimum, the servers of a fleet that all start at once, or that start after a time
/// without requests, would receive no request before the end of their slow starts.
const MIN_REQUESTS_PER_WINDOW: f64 = 1.0;
/// Shortest overload in milliseconds that is assumed to make a cold server fail. Applies if the setting is
/// lower or 0.
const MIN_OVERLOAD_MS: Millis = 1000.0;
/// Largest number of requests that the budget of one server can accumulate at a limiter.
const BUDGET_CAPACITY: f64 = 1.0;

/// The slow start of a server.
#[derive(Debug)]
pub(super) struct SlowStart {
    /// Set while the server warms up.
    warming: Option<Warming>,
}

/// The state of a slow start that has not ended.
#[derive(Debug)]
struct Warming {
    /// Estimated start of the server on this limiter's clock. Never earlier than the true start.
    started_at: Millis,
    /// Requests that this limiter may send to the server, or `None` if the limiter does not belong to the
    /// warming set and sends nothing.
    budget: Option<TokenBucket>,
}

/// Returns the guaranteed fraction of a server's capacity after the elapsed fraction `progress` of its slow
/// start.
fn guaranteed_capacity_fraction(progress: f64, settings: &Settings) -> f64 {
    let cold = settings.cold_capacity_fraction;
    cold + (1.0 - cold) * progress.max(0.0)
}

/// Returns the number of limiters whose parts of a server's budget one member of the warming set spends: at
/// least 1, the member itself.
pub(super) fn limiters_per_member(settings: &Settings) -> f64 {
    (f64::from(settings.limiters) / f64::from(WARMING_SET_SIZE)).max(1.0)
}

/// Returns the minimum refill rate of one limiter's part of a cold server's budget, in requests per second.
fn min_rate(settings: &Settings) -> f64 {
    let window_s = settings.overload_ms.max(MIN_OVERLOAD_MS) / 1000.0;
    MIN_REQUESTS_PER_WINDOW / window_s / f64::from(settings.limiters)
}

/// Returns how long slow starts last, in milliseconds.
fn duration_ms(settings: &Settings) -> Millis {
    settings.slow_start_ms.max(MIN_SLOW_START_MS)
}

impl Warming {
    /// Returns the elapsed fraction of the slow start: 1 or more once its duration has passed.
    fn progress(&self, now: Millis, settings: &Settings) -> f64 {
        (now - self.started_at) / duration_ms(settings)
    }
}

impl SlowStart {
    /// Returns the slow start of a server that is not known to have started recently.
    pub(super) fn completed() -> Self {
        SlowStart { warming: None }
    }

    /// Returns whether the slow start is still in progress.
    pub(super) fn is_warming(&self) -> bool {
        self.warming.is_some()
    }

    /// Returns whether the server warms up and this limiter belongs to its warming set.
    pub(super) fn is_in_warming_set(&self) -> bool {
        self.warming.as_ref().is_some_and(|warming| warming.budget.is_some())
    }

    /// Returns the guaranteed fraction of the server's capacity, or `None` if the slow start has ended.
    pub(super) fn capacity_fraction(&self, now: Millis, settings: &Settings) -> Option<f64> {
        let progress = self.warming.as_ref()?.progress(now, settings);
        Some(guaranteed_capacity_fraction(progress, settings))
    }

    /// Returns whether slow start allows this limiter to send a request to the server.
    pub(super) fn allows_request(&self) -> bool {
        match &self.warming {
            Some(warming) => warming.budget.is_some_and(|budget| budget.level >= 1.0),
            None => true,
        }
    }

    /// Deducts from the budget a request that is sent to the server.
    pub(super) fn spend(&mut self) {
        let Some(warming) = &mut self.warming else { return };
        if let Some(budget) = &mut warming.budget {
            budget.level -= 1.0;
        }
    }

    /// Returns the time at which the slow start ends, or `None` if it has ended.
    pub(super) fn ends_at(&self, settings: &Settings) -> Option<Millis> {
        let warming = self.warming.as_ref()?;
        Some(warming.started_at + duration_ms(settings))
    }

    /// Begins a slow start for a server whose start is announced for the first time, unless the server
    /// started so long ago that it is warm, or is announced with a start time of 0.
    ///
    /// All limiters are notified of the start at about the same time. The budgets of the members of the
    /// warming set therefore begin with a random fraction of a request, so that their first requests do not
    /// arrive together. If the limiter itself may have started later than the server, its budget is empty at
    /// first: otherwise, each restart of the limiter would add another fraction.
    pub(super) fn begin_if_cold(
        &mut self,
        context: &mut Context,
        start_times: &StartTimes,
        endpoint: &Endpoint,
    ) {
        let settings = &context.settings;
        let min_age_ms = start_times.min_age_ms(context.now, endpoint.started_at);
        if endpoint.started_at <= 0.0 || min_age_ms >= settings.slow_start_ms {
            return;
        }
        let initial_level = if start_times.was_ever_connected() { context.rng.f64() } else { 0.0 };
        let rank = rendezvous_rank(endpoint_hash(endpoint), settings.position, settings.limiters);
        let is_in_warming_set = rank < WARMING_SET_SIZE as usize;
        let budget =
            if is_in_warming_set { Some(TokenBucket::new(initial_level, context.now)) } else { None };
        self.warming = Some(Warming { started_at: context.now - min_age_ms, budget });
    }

    /// Ends the slow start if its duration has passed. Otherwise, refills the budget for the time since the
    /// last refill.
    ///
    /// Refills must be frequent, not only when a request is sent: a limiter among hundreds sends requests so
    /// rarely that the measured throughput would have decayed by the next request.
    pub(super) fn refill(&mut self, now: Millis, warm_throughput: f64, settings: &Settings) {
        let Some(warming) = &mut self.warming else { return };
        let progress = warming.progress(now, settings);
        if progress >= 1.0 {
            self.warming = None;
            return;
        }
        let Some(budget) = &mut warming.budget else { return };
        let capacity_fraction = guaranteed_capacity_fraction(progress, settings);
        let measured_rate = warm_throughput * capacity_fraction * BUDGET_FRACTION * settings.overload_factor;
        let rate = measured_rate.max(min_rate(settings));
        budget.refill(now, rate * limiters_per_member(settings), BUDGET_CAPACITY);
    }
}
