//! How a process starts: which configurations it takes, how soon it is ready, which endpoint list counts at first,
//! and what it keeps for itself under a crowd.

mod stubs;

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream, UdpSocket};

use stubs::*;

const DISCOVERY_MODES: [&str; 2] = ["automatic", "subscribe"];

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    for (from, to) in [
        (r#""listen":"127.0.0.1:0""#, r#""listen":"nowhere""#),
        (r#""Balancers":1"#, r#""Balancers":0"#),
        (r#""Zone":"a""#, r#""Zone":"unheard""#),
        (r#""sockets":1024"#, r#""sockets":3"#),
        ("{", ""),
    ] {
        let FailedStart { exit_code, stderr } =
            LimiterProcess::fail_to_start(|configuration| configuration.replace_first(from, to));
        assert_eq!(exit_code, Some(1), "{stderr}");
        assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
        assert!(stderr.starts_with("limiter: "), "{stderr}");
    }
}

/// A time that is longer than any clock counts is as good as none.
#[test]
fn extreme_times_in_the_settings_do_not_crash_the_process() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        let bounds = r#""DialTimeoutMs":250"#;
        configuration.replace(bounds, r#""DialTimeoutMs":1e300,"IdleCloseMs":1e300"#)
    });
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
}

/// A limiter that was killed starts again under its address at once.
#[test]
fn a_killed_limiter_can_listen_on_its_address_again() {
    let server = StubServer::responding_with("fine");
    let first = LimiterProcess::in_front_of(&server);
    let addr = first.addr;
    let mut keep_alive = first.connect();
    assert_eq!(send_and_receive(&mut keep_alive, &idempotent_request()).status, 200);
    drop(first);
    let again = LimiterProcess::with_server(&server, |configuration| {
        configuration.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{addr}""#))
    });
    assert_eq!(again.addr, addr);
    assert_eq!(again.request(&idempotent_request()).status, 200);
}

fn unused_udp_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("bind")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("address")).collect()
}

/// How a configuration says where peers reach the program.
fn own_address(address: SocketAddr) -> String {
    format!("\"peer_listen\":\"{address}\"")
}

/// Starts with an endpoint list of an earlier time, while discovery takes calls and says nothing.
fn start_with_silent_discovery(alter: impl Fn(Configuration) -> Configuration) -> LimiterProcess {
    LimiterProcess::with_discovery(StubDiscovery::unresponsive(), alter, DEFAULT_DESCRIPTOR_LIMIT)
}

/// With an old list, an empty one, one that names nothing that takes requests, one that cannot be read and none at
/// all a new process is ready in time, and answers at once that it cannot serve, if it cannot.
#[test]
fn a_new_process_becomes_ready_while_discovery_is_silent() {
    let gone: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let old = complete_list(1, &[serving_at("s-1", gone)]);
    let draining = complete_list(1, &[draining_at("s-1", gone)]);
    for mode in DISCOVERY_MODES {
        std::thread::scope(|scope| {
            for known in [old.as_str(), EMPTY_ENDPOINT_LIST, &draining, "{\"servers\":7}", "null"] {
                scope.spawn(move || {
                    let limiter = start_with_silent_discovery(|configuration| {
                        configuration.with_configured_endpoints(known).with_discovery_mode(mode)
                    });
                    limiter.wait_until_ready();
                    assert_eq!(limiter.request(&idempotent_request()).status, 429, "{known}");
                });
            }
        });
    }
}

/// Nothing answers where discovery should be.
#[test]
fn a_new_process_becomes_ready_while_discovery_is_down() {
    for mode in DISCOVERY_MODES {
        let alter = |configuration: Configuration| configuration.with_discovery_mode(mode);
        let limiter =
            LimiterProcess::with_discovery(StubDiscovery::unreachable(), alter, DEFAULT_DESCRIPTOR_LIMIT);
        limiter.wait_until_ready();
        limiter.wait_until_logged("cannot connect");
    }
}

/// What discovery has counts as announced from a new process's first moment, and the list that it was given at its
/// start may be old: a request that comes before discovery has answered waits for it.
#[test]
fn nothing_is_forwarded_with_a_stale_list_before_discovery_has_answered() {
    let (one, two) = (StubServer::responding_with("one"), StubServer::responding_with("two"));
    let known = complete_list(1, &[serving("s-1", &one)]);
    // On a machine so slow that discovery has had its chance before it answers, it is done once more.
    for _ in 0..10 {
        let limiter = start_with_silent_discovery(|configuration| {
            configuration.with_long_latency_objective().with_configured_endpoints(&known)
        });
        let mut client = limiter.send(&idempotent_request());
        wait_for("the call", || limiter.discovery.num_watch_requests() > 0);
        let change = [draining_at("s-1", one.addr), serving("s-2", &two)];
        limiter.discovery.resume_with(&list_change(2, &change));
        let response = read_response(&mut client);
        if limiter.has_logged("using configured endpoint list") {
            continue;
        }
        assert_eq!((response.status, response.body.as_str()), (200, "two"));
        assert!(one.received_requests().is_empty(), "{} forwarded by the old list", one.num_received());
        return;
    }
    panic!("the list of the start counted before discovery could answer");
}

/// A discovery that says nothing at all costs a start little: then the list that was given counts.
#[test]
fn the_configured_list_is_used_while_discovery_is_silent() {
    let one = StubServer::responding_with("one");
    let known = complete_list(1, &[serving("s-1", &one)]);
    let limiter =
        start_with_silent_discovery(|configuration| configuration.with_configured_endpoints(&known));
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&idempotent_request()).body, "one");
}

/// Discovery told another limiter that a server drains, and has fallen silent: the agent of this one may have been told,
/// too. It asks the other one before it takes clients.
#[test]
fn a_new_process_polls_its_peers_for_tombstones_while_discovery_is_silent() {
    let (one, two) = (StubServer::responding_with("one"), StubServer::responding_with("two"));
    let list = complete_list(1, &[serving("s-1", &one), serving("s-2", &two)]);
    let addresses: Vec<SocketAddr> = unused_udp_addresses(2);
    let discovery = StubDiscovery::new(list.clone());
    let peer = LimiterProcess::with_discovery(
        discovery,
        |configuration| {
            let positioned = configuration.with_peers(&addresses);
            positioned.replace(&own_address(addresses[0]), &own_address(addresses[1])).with_position(1)
        },
        DEFAULT_DESCRIPTOR_LIMIT,
    );
    peer.wait_until_ready();
    peer.discovery.send(&list_change(2, &[draining_at("s-1", one.addr)]));
    peer.wait_until_logged("state=draining");
    let limiter = start_with_silent_discovery(|configuration| {
        configuration.with_long_latency_objective().with_configured_endpoints(&list).with_peers(&addresses)
    });
    limiter.wait_until_ready();
    for n in 0..20 {
        assert_eq!(limiter.request(&request_with_long_timeout(&format!("c-{n}"))).body, "two");
    }
    assert!(one.received_requests().is_empty(), "{} forwarded to a server that drains", one.num_received());
}

/// As many descriptors as the smallest configuration promises. Servers hang with an attempt on every connection that
/// may be open to them, and idle clients take every place there is, again and again, while discovery is down: its
/// call has a descriptor of its own, so that what it says at its return is in force, and so have the attempts that
/// follow.
#[test]
fn idle_clients_do_not_use_the_descriptors_of_discovery_and_attempts() {
    const DESCRIPTORS: u32 = 64;
    let hanging_server = StubServer::new(|_, stream| {
        wait_for("the end", || stream.peek(&mut [0]).is_ok_and(|length| length == 0));
        false
    });
    let good_server = StubServer::responding_with("fine");
    let known = complete_list(1, &[serving("s-1", &hanging_server)]);
    let alter = |configuration: Configuration| {
        let configuration = configuration.with_long_latency_objective();
        configuration.with_max_descriptors(DESCRIPTORS).with_configured_endpoints(&known)
    };
    let limiter = LimiterProcess::with_discovery(StubDiscovery::unresponsive(), alter, DESCRIPTORS);
    limiter.wait_until_logged("using configured endpoint list");
    let hanging: Vec<TcpStream> =
        (0..30).map(|n| limiter.send(&request_with_long_timeout(&format!("c-{n}")))).collect();
    wait_for("attempts on all connections", || hanging_server.num_received() >= 16);
    let (is_over, addr) = (Gate::default(), limiter.addr);
    let crowd_is_over = is_over.clone();
    let crowd = std::thread::spawn(move || {
        // A place that is taken from one is taken by the next, for as long as the test needs.
        let mut idle = VecDeque::new();
        while !crowd_is_over.is_open() {
            idle.extend(TcpStream::connect(addr));
            idle.drain(..idle.len().saturating_sub(200));
            sleep_ms(1);
        }
    });
    let num_calls = limiter.discovery.num_watch_requests();
    wait_for("more calls", || limiter.discovery.num_watch_requests() > num_calls + 5);
    let change = [draining_at("s-1", hanging_server.addr), serving("s-2", &good_server)];
    limiter.discovery.resume_with(&list_change(2, &change));
    limiter.wait_until_logged("endpoint changed server=s-2 ");
    assert!(!limiter.has_logged("open files"), "no call or attempt lacks a descriptor");
    drop(hanging);
    is_over.open();
    crowd.join().expect("the crowd");
    wait_for("service", || limiter.request(&idempotent_request_with_id("c-fine")).body == "fine");
}
