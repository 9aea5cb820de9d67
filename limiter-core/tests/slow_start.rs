//! Slow start: what all limiters together forward to servers that have just started.

mod common;

use std::collections::VecDeque;

use common::*;
use limiter_core::*;

/// Number of servers before the release.
const SERVERS: u32 = 24;
/// Number that identifies the first server that starts during a test.
const FIRST_NEW_SERVER: u32 = 100;
/// Requests per second that a warm server can serve.
const CAPACITY_PER_S: f64 = 5.0;
/// Load before the release, as a fraction of the capacity of all servers.
const LOAD_BEFORE: f64 = 0.6;
/// Load between the release and the burst, as a fraction of the load before the release.
const LOAD_IN_PAUSE: f64 = 0.02;
/// Load of the burst after the release, as a multiple of the load before the release.
const LOAD_IN_BURST: f64 = 1.5;

fn settings_with_low_cold_capacity(limiters: u32, position: u32) -> Settings {
    Settings { cold_capacity_fraction: 0.15, ..settings_among(limiters, position) }
}

/// Returns the endpoint changes of a release: the first servers are draining, and as many new ones have
/// started.
fn replacement(num_replaced: u32, started: Millis) -> Vec<Endpoint> {
    let new_servers = FIRST_NEW_SERVER..FIRST_NEW_SERVER + num_replaced;
    (0..num_replaced).map(draining).chain(new_servers.map(|n| started_at(n, started))).collect()
}

/// The attempts at one server within a window of `overload_ms`, compared with the budget of the server.
struct OverloadWindow {
    num_attempts: usize,
    /// Attempts beyond the budget and beyond what is attributed to chance.
    excess: f64,
}

/// Returns the window in which the attempts at a cold server exceeded its budget the most. The budget of N
/// attempts follows from the capacity of the server at the beginning of the window. A server is not
/// overloaded by up to N + 2 x sqrt(N) + 2 attempts or, for N below 30, by up to N + 3 x sqrt(N) + 3; the
/// square root allows for attempts that arrive at random. N is at most 30 here, and this function uses the
/// smaller allowance, 2 x sqrt(N) + 2, for all N, which is stricter below 30.
fn worst_overload_window(fleet: &TestFleet, started: Millis) -> OverloadWindow {
    let settings = settings_with_low_cold_capacity(1, 0);
    let mut worst = OverloadWindow { num_attempts: 0, excess: f64::NEG_INFINITY };
    for n in FIRST_NEW_SERVER..FIRST_NEW_SERVER + SERVERS {
        let to_server = fleet.forwarded.iter().filter(|attempt| attempt.server == server(n));
        let times: Vec<Millis> = to_server.map(|attempt| attempt.forwarded_at).collect();
        for (first, at) in times.iter().enumerate() {
            let end = at + settings.overload_ms;
            let num_attempts = times[first..].iter().take_while(|time| **time < end).count();
            let budget = overload_budget(&settings, at - started);
            let excess = num_attempts as f64 - (budget + 2.0 * budget.sqrt() + 2.0);
            if excess > worst.excess {
                worst = OverloadWindow { num_attempts, excess };
            }
        }
    }
    worst
}

/// Returns the number of attempts within `overload_ms` that make a server fail, if the server started
/// `uptime_ms` ago.
fn overload_budget(settings: &Settings, uptime_ms: Millis) -> f64 {
    let progress = (uptime_ms / settings.slow_start_ms).min(1.0);
    let cold = settings.cold_capacity_fraction;
    let capacity_per_s = CAPACITY_PER_S * (cold + (1.0 - cold) * progress);
    settings.overload_factor * capacity_per_s * settings.overload_ms / 1000.0
}

/// A release that replaces servers.
struct Release {
    seed: u64,
    num_replaced: u32,
    /// Time in seconds between the release and the burst, with hardly any requests.
    pause_s: f64,
}

/// A fleet after a release and the burst that followed.
struct ReleasedFleet {
    fleet: TestFleet,
    /// When the new servers started.
    started: Millis,
}

impl Release {
    /// Replaces servers of a fleet and adds a burst of six seconds. In each of these seconds a tenth of the
    /// limiters restarts.
    fn run(&self, limiters: u32) -> ReleasedFleet {
        let settings = |position| settings_with_low_cold_capacity(limiters, position);
        let mut fleet = TestFleet::with_settings(limiters, SERVERS, self.seed, settings);
        fleet.server_capacity_per_s = CAPACITY_PER_S;
        let requests_per_s = LOAD_BEFORE * CAPACITY_PER_S * f64::from(SERVERS);
        let request = |id| request_of_uneven_load(id, limiters);
        fleet.run(requests_per_s, 6.0, request);
        let started = fleet.network.now;
        fleet.change_endpoints(&replacement(self.num_replaced, started));
        fleet.run(requests_per_s * LOAD_IN_PAUSE, self.pause_s, request);
        for second in 0..6 {
            fleet.run(requests_per_s * LOAD_IN_BURST, 1.0, request);
            for position in (0..limiters).filter(|position| position % 10 == second) {
                let seed = 1000 + u64::from(second * limiters + position);
                fleet.restart(position as usize, settings(position), SERVERS, seed);
                let endpoints = replacement(self.num_replaced, started);
                fleet.handle(position as usize, endpoints_changed(endpoints));
            }
        }
        ReleasedFleet { fleet, started }
    }
}

/// Returns a request of a load of which half arrives at a tenth of the limiters.
fn request_of_uneven_load(id: RequestId, limiters: u32) -> Request {
    let num_busy_limiters = (limiters / 10).max(1);
    let member_count = if id.is_multiple_of(2) { num_busy_limiters } else { limiters };
    Request { member_count, ..request(id, IDEMPOTENT, UNLIMITED) }
}

const RELEASES: [Release; 6] = [
    Release { seed: 1, num_replaced: 8, pause_s: 0.0 },
    Release { seed: 2, num_replaced: 16, pause_s: 0.0 },
    Release { seed: 3, num_replaced: 20, pause_s: 0.0 },
    Release { seed: 4, num_replaced: 22, pause_s: 0.0 },
    Release { seed: 5, num_replaced: 8, pause_s: 1.0 },
    Release { seed: 6, num_replaced: 20, pause_s: 1.0 },
];

#[test]
fn a_cold_server_is_not_overloaded_by_a_burst_after_a_release() {
    for limiters in [4, 20, 30, 100, 300] {
        for release in &RELEASES {
            let ReleasedFleet { fleet, started } = release.run(limiters);
            let OverloadWindow { num_attempts, excess } = worst_overload_window(&fleet, started);
            let total = fleet.num_forwarded_to(started, |n| n >= FIRST_NEW_SERVER);
            let case =
                format!("{limiters} limiters, seed {}: {num_attempts} attempts in a window", release.seed);
            println!("{case}, {excess:.1} beyond the budget; {total} in all");
            assert!(excess <= 0.0, "{case}, {excess:.1} beyond the budget");
        }
    }
}

/// Number of limiters in [`a_cold_server_is_not_overloaded_by_many_limiters`], where a single server starts.
const MANY_LIMITERS: u32 = 40;
/// Number of servers in that test.
const FEW_SERVERS: u32 = 8;
/// The warm server in that test whose attempts are counted.
const WARM_SERVER: u32 = 2;
/// The server in that test that starts.
const COLD_SERVER: u32 = 3;
/// Number of requests in that test, one every 4 ms.
const NUM_REQUESTS: RequestId = 3000;
/// Id of the request before which the server starts, so that six seconds remain.
const ID_AT_START: RequestId = 1500;
/// Window in which attempts at the server that has just started are counted, in milliseconds.
const ATTEMPT_WINDOW_MS: Millis = 400.0;

/// Counts the attempts that many limiters forward after a server has started.
#[derive(Default)]
struct AttemptCounter {
    num_attempts: u32,
    num_at_warm: u32,
    /// Times of the attempts at the started server within the current window.
    recent_at_cold: VecDeque<Millis>,
    /// Largest number of attempts at the started server in any window so far.
    worst_at_cold: u32,
}

impl AttemptCounter {
    fn record(&mut self, now: Millis, to: &ServerId) {
        self.num_attempts += 1;
        if *to == server(WARM_SERVER) {
            self.num_at_warm += 1;
        }
        if *to == server(COLD_SERVER) {
            self.recent_at_cold.push_back(now);
        }
    }

    /// Advances the window to the current time, and updates the largest number of attempts in a window.
    fn advance(&mut self, now: Millis) {
        while self.recent_at_cold.front().is_some_and(|at| now - at > ATTEMPT_WINDOW_MS) {
            self.recent_at_cold.pop_front();
        }
        self.worst_at_cold = self.worst_at_cold.max(self.recent_at_cold.len() as u32);
    }

    /// Returns the attempts per second at the warm server, or at half of an even share if that is more.
    fn warm_attempts_per_s(&self) -> f64 {
        let at_warm = self.num_at_warm.max(self.num_attempts / (2 * FEW_SERVERS));
        f64::from(at_warm) / 6.0
    }
}

/// Announces the start of a server to all limiters.
fn announce_start(network: &mut TestNetwork) {
    let restarted = started_at(COLD_SERVER, network.now);
    for limiter in 0..MANY_LIMITERS as usize {
        network.handle(limiter, endpoints_changed(vec![restarted.clone()]));
    }
}

/// Starts a server under load, and counts the attempts that limiters forward afterwards.
fn count_attempts_after_start(seed: u64) -> AttemptCounter {
    let mut network = TestNetwork::new(MANY_LIMITERS, FEW_SERVERS, seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut counter = AttemptCounter::default();
    for id in 0..NUM_REQUESTS {
        if id == ID_AT_START {
            announce_start(&mut network);
        }
        let limiter = rng.usize(0..MANY_LIMITERS as usize);
        let request = Request { customer: u64::from(id), ..request(id, IDEMPOTENT, UNLIMITED) };
        for LimiterAction { action, .. } in network.submit(limiter, request) {
            let Action::Forward { server: to, .. } = action else { continue };
            if id >= ID_AT_START {
                counter.record(network.now, &to);
            }
            network.respond(limiter, id, 20.0);
        }
        counter.advance(network.now);
        network.advance(4.0);
    }
    counter
}

/// Guards against attempts of many limiters, each of them harmless, that together overload a server that has
/// just started.
#[test]
fn a_cold_server_is_not_overloaded_by_many_limiters() {
    for seed in 0..5 {
        let counter = count_attempts_after_start(seed);
        let worst_at_cold = counter.worst_at_cold;
        let warm_attempts_per_s = counter.warm_attempts_per_s();
        // The cold server fails under three times a fifth of a warm server's capacity. That is more than the
        // load of a warm server in this test.
        assert!(
            f64::from(worst_at_cold) <= warm_attempts_per_s,
            "seed {seed}: {worst_at_cold} in the worst window, {warm_attempts_per_s}/s at a warm server"
        );
    }
}

/// Offsets in milliseconds between the clock of the announced start times and the clock of a limiter.
const CLOCK_OFFSETS_MS: [Millis; 7] = [0.0, -3.0e3, -1.0e4, -3.6e6, 3.0e3, 1.0e4, 3.6e6];

/// Start of the limiters on their own clock, late enough for all announced start times to be positive.
const START_MS: Millis = 1.0e8;

/// Number of requests that a limiter with three warm servers forwards to server 9, out of ten requests per
/// second.
struct ForwardedToCold {
    in_first_2_s: usize,
    in_30_s: usize,
}

/// Submits requests to a limiter to which server 9 has just been announced.
fn count_forwarded_to_cold(mut limiter: TestLimiter) -> ForwardedToCold {
    let mut forwarded = ForwardedToCold { in_first_2_s: 0, in_30_s: 0 };
    for id in 0..300 {
        let servers = forwarded_to(&limiter.submit(request(id, IDEMPOTENT, UNLIMITED)));
        let to_cold = servers.iter().filter(|to| **to == server(9)).count();
        forwarded.in_30_s += to_cold;
        forwarded.in_first_2_s += if id < 20 { to_cold } else { 0 };
        limiter.respond(id, 10.0);
        limiter.advance(100.0);
    }
    forwarded
}

/// Asserts that a server gets few requests at first and its full share once it is warm, and the same numbers
/// of requests at any offset between the clocks.
fn assert_same_slow_start_at_any_offset(forwarded: impl Fn(Millis) -> ForwardedToCold) {
    let without_offset = forwarded(0.0);
    let ForwardedToCold { in_first_2_s, in_30_s } = without_offset;
    assert!(in_first_2_s <= 3, "{in_first_2_s} requests to a cold server");
    assert!(in_30_s >= 40, "{in_30_s} requests to a server that is warm after 10 s");
    for offset_ms in CLOCK_OFFSETS_MS {
        let ForwardedToCold { in_first_2_s, in_30_s } = forwarded(offset_ms);
        assert_eq!(in_first_2_s, without_offset.in_first_2_s, "offset {offset_ms} ms");
        assert_eq!(in_30_s, without_offset.in_30_s, "offset {offset_ms} ms");
    }
}

/// A limiter that is running when the start of a server is announced measures the start on its own clock. A
/// stepped wall clock neither skips the slow start of the server nor prolongs it.
#[test]
fn a_running_limiter_measures_announced_starts_on_its_own_clock() {
    let forwarded = |offset_ms: Millis| {
        let mut limiter = TestLimiter::started_at(START_MS, settings_of_only_limiter(), 1, 3);
        limiter.advance(1000.0);
        let started = limiter.now - 500.0 + offset_ms;
        limiter.change_endpoints(vec![started_at(9, started)]);
        count_forwarded_to_cold(limiter)
    };
    assert_same_slow_start_at_any_offset(forwarded);
}

/// A new limiter cannot know how long ago the latest start on its first list was. The limiter assumes that
/// this start has just happened, regardless of the offset between the clocks, and that the other starts
/// happened earlier by the differences between the announced start times.
#[test]
fn a_new_limiter_measures_starts_from_the_latest_start_on_its_list() {
    let forwarded = |offset_ms: Millis| {
        let mut limiter = TestLimiter::without_endpoints(START_MS, settings_of_only_limiter());
        let latest = limiter.now - 500.0 + offset_ms;
        let warm = (0..3).map(|n| started_at(n, latest - 60_000.0));
        limiter.replace_endpoints(warm.chain([started_at(9, latest)]).collect());
        count_forwarded_to_cold(limiter)
    };
    assert_same_slow_start_at_any_offset(forwarded);
}

/// A release may replace all servers after an idle time in which no throughput was measured.
#[test]
fn servers_that_are_all_replaced_after_an_idle_time_get_some_requests() {
    let mut limiter = TestLimiter::started_at(START_MS, settings_of_only_limiter(), 1, 3);
    limiter.submit(request(1, IDEMPOTENT, UNLIMITED));
    limiter.respond(1, 10.0);
    limiter.advance(120_000.0);
    let started = limiter.now;
    limiter.replace_endpoints((10..13).map(|n| started_at(n, started)).collect());
    let mut forwarded = 0;
    for id in 10..110 {
        let actions = limiter.submit(request(id, IDEMPOTENT, UNLIMITED));
        forwarded += forwarded_to(&actions).len();
        limiter.respond(id, 10.0);
        forwarded += forwarded_to(&limiter.advance(50.0)).len();
    }
    // Let N be the number of requests in 2 s that would overload a cold server according to these settings.
    // For N below 30, the server is not overloaded by up to N + 3 x sqrt(N) + 3 requests: it tolerates at
    // least 3 in 2 s, regardless of its capacity.
    assert!(forwarded >= 5, "{forwarded} of 100 requests were forwarded in 5 s to three cold servers");
}

/// A new limiter assumes that the latest start on its first list has just happened, unless the wall clocks
/// prove that it happened hours ago: servers that all started three hours ago are warm.
#[test]
fn servers_that_started_hours_ago_are_warm_for_a_new_limiter() {
    const UNIX_MS: Millis = 1.8e12;
    const THREE_HOURS_MS: Millis = 3.0 * 3.6e6;
    let limiter = Limiter::new(settings_of_only_limiter(), 1, START_MS).expect("valid settings");
    let mut limiter = TestLimiter::of(limiter.with_wall_clock(UNIX_MS), START_MS);
    limiter.replace_endpoints((0..3).map(|n| started_at(n, UNIX_MS - THREE_HOURS_MS)).collect());
    let forwarded = (0..20).filter(|id| is_forwarded(&limiter.submit(request(*id, IDEMPOTENT, UNLIMITED))));
    assert_eq!(forwarded.count(), 20);
}
