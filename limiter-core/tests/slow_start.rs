//! Slow start: what all limiters together forward to servers that have just started.

mod common;

use std::collections::VecDeque;

use common::*;
use limiter_core::*;

/// Servers before the release.
const SERVERS: u32 = 24;
/// Number of the first server that starts during a test.
const FIRST_NEW_SERVER: u32 = 100;
/// Requests per second that a warm server can serve.
const CAPACITY_PER_S: f64 = 5.0;
/// Load before the release, as a fraction of the capacity of all servers.
const LOAD_BEFORE: f64 = 0.6;
/// Load between the release and the burst, as a fraction of the load before the release.
const LOAD_IN_PAUSE: f64 = 0.02;
/// Load of the burst after the release, as a multiple of the load before the release.
const LOAD_IN_BURST: f64 = 1.5;

fn settings_with_low_capacity(limiters: u32, position: u32) -> Settings {
    Settings { cold_capacity_fraction: 0.15, ..settings_among(limiters, position) }
}

/// Returns the changes of a release: the first servers are draining, and as many new ones have started.
fn replacement(num_replaced: u32, started: Millis) -> Vec<Endpoint> {
    let new_servers = FIRST_NEW_SERVER..FIRST_NEW_SERVER + num_replaced;
    (0..num_replaced).map(draining).chain(new_servers.map(|n| started_at(n, started))).collect()
}

/// Attempts at one server within a window of `overload_ms`, compared with the budget of the server.
struct Window {
    num_attempts: usize,
    /// Attempts beyond the budget and beyond what is attributed to chance.
    excess: f64,
}

/// Returns the window in which a cold server got the most attempts beyond its budget. The budget of N
/// attempts follows from the capacity of the server at the beginning of the window; 2 x root N + 2 more are
/// attributed to chance.
fn worst_window(fleet: &TestFleet, started: Millis) -> Window {
    let settings = settings_with_low_capacity(1, 0);
    let mut worst = Window { num_attempts: 0, excess: f64::NEG_INFINITY };
    for n in FIRST_NEW_SERVER..FIRST_NEW_SERVER + SERVERS {
        let to_server = fleet.forwarded.iter().filter(|attempt| attempt.server == server(n));
        let times: Vec<Millis> = to_server.map(|attempt| attempt.forwarded_at).collect();
        for (first, at) in times.iter().enumerate() {
            let end = at + settings.overload_ms;
            let num_attempts = times[first..].iter().take_while(|time| **time < end).count();
            let budget = overload_budget(&settings, at - started);
            let excess = num_attempts as f64 - (budget + 2.0 * budget.sqrt() + 2.0);
            if excess > worst.excess {
                worst = Window { num_attempts, excess };
            }
        }
    }
    worst
}

/// Returns the attempts within `overload_ms` at which a server fails that started `uptime_ms` ago.
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
    /// Time with hardly any requests between the release and the burst.
    pause_s: f64,
}

/// A fleet after a release and the burst that followed.
struct ReleasedFleet {
    fleet: TestFleet,
    /// When the new servers started.
    started: Millis,
}

impl Release {
    /// Replaces servers of a fleet. A burst of six seconds follows, in each of which a tenth of the limiters
    /// restarts.
    fn run(&self, limiters: u32) -> ReleasedFleet {
        let settings = |position| settings_with_low_capacity(limiters, position);
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
fn a_cold_server_is_not_overloaded_by_the_sum_of_all_limiters() {
    for limiters in [4, 20, 30, 100, 300] {
        for release in &RELEASES {
            let ReleasedFleet { fleet, started } = release.run(limiters);
            let Window { num_attempts, excess } = worst_window(&fleet, started);
            let total = fleet.num_forwarded_to(started, |n| n >= FIRST_NEW_SERVER);
            let case = format!("{limiters} limiters, seed {}: {num_attempts} in a window", release.seed);
            println!("{case}, {excess:.1} beyond the budget; {total} in all");
            assert!(excess <= 0.0, "{case}, {excess:.1} beyond the budget");
        }
    }
}

/// Limiters of the test with a single server that starts.
const MANY_LIMITERS: u32 = 40;
/// Servers of that test.
const FEW_SERVERS: u32 = 8;
/// A warm server of that test.
const WARM_SERVER: u32 = 2;
/// The server of that test that starts.
const COLD_SERVER: u32 = 3;
/// Requests of that test, one each 4 ms.
const NUM_REQUESTS: RequestId = 3000;
/// The server starts before this request, so that six seconds remain.
const ID_AT_START: RequestId = 1500;
/// Window in which attempts at the server that has just started are counted, in milliseconds.
const WINDOW_MS: Millis = 400.0;

/// Counts the attempts that many limiters forward after a server has started.
#[derive(Default)]
struct AttemptCounter {
    num_attempts: u32,
    num_at_warm: u32,
    /// Times of the attempts at the server that has started, within the present window.
    recent_at_cold: VecDeque<Millis>,
    /// Largest number of attempts at that server in a window.
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

    /// Moves the window to the present.
    fn advance(&mut self, now: Millis) {
        while self.recent_at_cold.front().is_some_and(|at| now - at > WINDOW_MS) {
            self.recent_at_cold.pop_front();
        }
        self.worst_at_cold = self.worst_at_cold.max(self.recent_at_cold.len() as u32);
    }

    /// Returns the attempts per second at a warm server: at least half of an even share.
    fn at_warm_per_s(&self) -> f64 {
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

/// Starts a server under load and counts the attempts after that.
fn attempts_after_a_start(seed: u64) -> AttemptCounter {
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

/// Guards against attempts of many limiters that are harmless each but together overload a server that has
/// just started.
#[test]
fn a_cold_server_is_not_overloaded_by_many_limiters() {
    for seed in 0..5 {
        let counter = attempts_after_a_start(seed);
        let worst_at_cold = counter.worst_at_cold;
        let at_warm_per_s = counter.at_warm_per_s();
        // The server fails at three times a fifth of a warm server's capacity, which is more than what a warm
        // server gets here.
        assert!(
            f64::from(worst_at_cold) <= at_warm_per_s,
            "seed {seed}: {worst_at_cold} in the worst window, a warm one gets {at_warm_per_s} a second"
        );
    }
}

/// Offsets between the clock of the announced start times and the clock of a limiter.
const CLOCK_OFFSETS_MS: [Millis; 7] = [0.0, -3.0e3, -1.0e4, -3.6e6, 3.0e3, 1.0e4, 3.6e6];

/// Start of the limiters on their own clock: so late that all announced start times are positive.
const START_MS: Millis = 1.0e8;

/// Requests that a limiter with three warm servers forwards to server 9 out of ten per second.
struct Forwarded {
    in_first_2_s: usize,
    in_30_s: usize,
}

/// Sends requests to a limiter to which server 9 has just been announced.
fn forwarded_to_cold(mut limiter: TestLimiter) -> Forwarded {
    let mut forwarded = Forwarded { in_first_2_s: 0, in_30_s: 0 };
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

/// Asserts that a server gets little at first and its full share once it is warm, at any offset between the
/// clocks.
fn assert_same_slow_start_at_any_offset(forwarded: impl Fn(Millis) -> Forwarded) {
    let without_offset = forwarded(0.0);
    let Forwarded { in_first_2_s, in_30_s } = without_offset;
    assert!(in_first_2_s <= 3, "{in_first_2_s} to a cold server");
    assert!(in_30_s >= 40, "{in_30_s} to a server that is warm after 10 s");
    for offset_ms in CLOCK_OFFSETS_MS {
        let Forwarded { in_first_2_s, in_30_s } = forwarded(offset_ms);
        assert_eq!(in_first_2_s, without_offset.in_first_2_s, "offset {offset_ms} ms");
        assert_eq!(in_30_s, without_offset.in_30_s, "offset {offset_ms} ms");
    }
}

/// A limiter that runs when the start of a server is announced dates the start by its own clock. A stepped
/// wall clock neither skips the slow start of the server nor prolongs it.
#[test]
fn a_start_that_is_announced_to_a_running_limiter_is_dated_by_its_own_clock() {
    let forwarded = |offset_ms: Millis| {
        let mut limiter = TestLimiter::started_at(START_MS, settings_of_only_limiter(), 1, 3);
        limiter.advance(1000.0);
        let started = limiter.now - 500.0 + offset_ms;
        limiter.change_endpoints(vec![started_at(9, started)]);
        forwarded_to_cold(limiter)
    };
    assert_same_slow_start_at_any_offset(forwarded);
}

/// A new limiter cannot tell how long ago the latest start on its first list was. The limiter dates that
/// start at the present, whatever its wall clock reads, and the other starts as much earlier as they are
/// announced to be.
#[test]
fn a_new_limiter_dates_starts_by_the_latest_one_on_its_list() {
    let forwarded = |offset_ms: Millis| {
        let mut limiter = TestLimiter::without_endpoints(START_MS, settings_of_only_limiter());
        let latest = limiter.now - 500.0 + offset_ms;
        let warm = (0..3).map(|n| started_at(n, latest - 60_000.0));
        limiter.replace_endpoints(warm.chain([started_at(9, latest)]).collect());
        forwarded_to_cold(limiter)
    };
    assert_same_slow_start_at_any_offset(forwarded);
}

/// A release may follow a quiet time, in which no throughput was measured, and may replace all servers.
#[test]
fn servers_that_are_all_replaced_after_a_quiet_time_get_some_requests() {
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
    // Whatever its capacity, a cold server tolerates three requests in 2 s by the settings: N + 3 root N + 3.
    assert!(forwarded >= 5, "{forwarded} of 100 requests were forwarded in 5 s to three cold servers");
}

/// The latest start on a new limiter's first list is dated at the present, unless the wall clocks prove it to
/// be hours old: a fleet that was started all at once three hours ago is warm.
#[test]
fn a_new_limiter_takes_servers_that_started_hours_ago_for_warm() {
    const UNIX_MS: Millis = 1.8e12;
    const THREE_HOURS_MS: Millis = 3.0 * 3.6e6;
    let limiter = Limiter::new(settings_of_only_limiter(), 1, START_MS).expect("valid settings");
    let mut limiter = TestLimiter::of(limiter.with_wall_clock(UNIX_MS), START_MS);
    limiter.replace_endpoints((0..3).map(|n| started_at(n, UNIX_MS - THREE_HOURS_MS)).collect());
    let forwarded = (0..20).filter(|id| is_forwarded(&limiter.submit(request(*id, IDEMPOTENT, UNLIMITED))));
    assert_eq!(forwarded.count(), 20);
}
