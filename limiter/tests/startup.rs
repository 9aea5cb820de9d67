//! The start of a process: which configurations are rejected, when the process becomes ready, and which
//! endpoint list is used until discovery announces one.

mod stubs;

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::thread::JoinHandle;

use stubs::*;

const DISCOVERY_MODES: [&str; 2] = ["automatic", "subscribe"];

/// An edit that makes a valid configuration invalid.
struct InvalidEdit {
    from: &'static str,
    to: &'static str,
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    for InvalidEdit { from, to } in [
        InvalidEdit { from: r#""listen":"127.0.0.1:0""#, to: r#""listen":"nowhere""# },
        InvalidEdit { from: r#""Balancers":1"#, to: r#""Balancers":0"# },
        InvalidEdit { from: r#""Zone":"a""#, to: r#""Zone":"unknown""# },
        InvalidEdit { from: r#""sockets":1024"#, to: r#""sockets":3"# },
        InvalidEdit { from: "{", to: "" },
    ] {
        let FailedStart { exit_code, stderr } =
            LimiterProcess::fail_to_start(|configuration| configuration.replace_first(from, to));
        assert_eq!(exit_code, Some(1), "{stderr}");
        assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
        assert!(stderr.starts_with("limiter: "), "{stderr}");
    }
}

/// A time that is too long for any clock must have the effect of an unlimited time.
#[test]
fn extreme_times_in_the_settings_do_not_crash_the_process() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, |configuration| {
        let bounds = r#""DialTimeoutMs":250"#;
        configuration.replace(bounds, r#""DialTimeoutMs":1e300,"IdleCloseMs":1e300"#)
    });
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
}

/// A limiter is killed while a client is connected. A new process must be able to listen on the same address
/// immediately.
#[test]
fn a_new_process_can_listen_on_the_address_of_a_killed_one() {
    let server = StubServer::responding_with("fine");
    let killed_limiter = LimiterProcess::in_front_of(&server);
    let address = killed_limiter.addr;
    let mut client = killed_limiter.connect();
    assert_eq!(send_and_receive(&mut client, &idempotent_request()).status, 200);
    drop(killed_limiter);
    let new_limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{address}""#))
    });
    assert_eq!(new_limiter.addr, address);
    assert_eq!(new_limiter.request(&idempotent_request()).status, 200);
}

/// Starts the limiter while discovery accepts watch requests but does not respond.
fn start_with_silent_discovery(alter: impl Fn(Configuration) -> Configuration) -> LimiterProcess {
    LimiterProcess::with_discovery(StubDiscovery::unresponsive(), alter, DEFAULT_DESCRIPTOR_LIMIT)
}

/// A process becomes ready with each kind of configured list: one that may be stale, an empty one, one
/// without a serving server, one that cannot be parsed, and none. No server can be reached, so the process
/// rejects requests.
#[test]
fn a_new_process_becomes_ready_while_discovery_is_silent() {
    let unreachable_address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let stale = complete_list(1, &[serving_at("s-1", unreachable_address)]);
    let draining = complete_list(1, &[draining_at("s-1", unreachable_address)]);
    let configured_lists = [stale.as_str(), EMPTY_ENDPOINT_LIST, &draining, "{\"servers\":7}", "null"];
    for mode in DISCOVERY_MODES {
        std::thread::scope(|scope| {
            for configured_list in configured_lists {
                scope.spawn(move || {
                    let limiter = start_with_silent_discovery(|configuration| {
                        configuration.with_configured_endpoints(configured_list).with_discovery_mode(mode)
                    });
                    limiter.wait_until_ready();
                    assert_eq!(limiter.request(&idempotent_request()).status, 429, "{configured_list}");
                });
            }
        });
    }
}

/// Nothing listens at the address of discovery.
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

/// The configured list may be stale, and a new process must respect all changes that discovery has when the
/// process starts. A request that arrives before discovery responds must wait for the list of discovery, in
/// which the only configured server is draining.
#[test]
fn no_request_is_forwarded_with_a_stale_list_before_discovery_responds() {
    const MAX_ROUNDS: usize = 10;
    let stale_server = StubServer::responding_with("stale");
    let announced_server = StubServer::responding_with("announced");
    let configured_list = complete_list(1, &[serving("s-1", &stale_server)]);
    for _ in 0..MAX_ROUNDS {
        let limiter = start_with_silent_discovery(|configuration| {
            configuration.with_long_latency_objective().with_configured_endpoints(&configured_list)
        });
        let mut client = limiter.send(&idempotent_request());
        wait_for("the watch request", || limiter.discovery.num_watch_requests() > 0);
        let changes = [draining_at("s-1", stale_server.addr), serving("s-2", &announced_server)];
        limiter.discovery.resume_with(&list_change(2, &changes));
        let response = read_response(&mut client);
        if limiter.has_logged("using configured endpoint list") {
            // The machine was so slow that the limiter fell back to the configured list before discovery
            // responded.
            continue;
        }
        assert_eq!(response.status, 200);
        assert_eq!(response.body, "announced");
        let num_received = stale_server.num_received();
        assert_eq!(num_received, 0, "{num_received} requests were forwarded with the configured list");
        return;
    }
    panic!("in {MAX_ROUNDS} rounds the limiter fell back to the configured list before discovery responded");
}

/// A silent discovery delays the service of a new process only for a short time. After that, the limiter
/// falls back to the configured list.
#[test]
fn the_configured_list_is_used_while_discovery_is_silent() {
    let server = StubServer::responding_with("one");
    let configured_list = complete_list(1, &[serving("s-1", &server)]);
    let limiter = start_with_silent_discovery(|configuration| {
        configuration.with_configured_endpoints(&configured_list)
    });
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&idempotent_request()).body, "one");
}

/// Returns addresses that are free when the function returns.
fn unused_udp_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("a local address")).collect()
}

/// Returns the setting of the address at which a limiter receives gossip.
fn gossip_setting(address: SocketAddr) -> String {
    format!("\"peer_listen\":\"{address}\"")
}

/// Starts the second limiter of a fleet, in front of the servers of this list.
fn start_peer(addresses: &[SocketAddr], list: &str) -> LimiterProcess {
    let alter = |configuration: Configuration| {
        configuration
            .with_peers(addresses)
            .replace(&gossip_setting(addresses[0]), &gossip_setting(addresses[1]))
            .with_position(1)
    };
    LimiterProcess::with_discovery(StubDiscovery::new(list.to_string()), alter, DEFAULT_DESCRIPTOR_LIMIT)
}

/// Discovery has announced to a peer that a server is draining, and does not respond to a new process, whose
/// configured list still contains the server as serving. The new process must poll its peer before it becomes
/// ready, and must not use that server.
#[test]
fn a_new_process_polls_its_peers_for_tombstones_while_discovery_is_silent() {
    let draining_server = StubServer::responding_with("draining");
    let serving_server = StubServer::responding_with("serving");
    let list = complete_list(1, &[serving("s-1", &draining_server), serving("s-2", &serving_server)]);
    let addresses = unused_udp_addresses(2);
    let peer = start_peer(&addresses, &list);
    peer.wait_until_ready();
    peer.discovery.send(&list_change(2, &[draining_at("s-1", draining_server.addr)]));
    peer.wait_until_logged("state=draining");
    let limiter = start_with_silent_discovery(|configuration| {
        configuration.with_long_latency_objective().with_configured_endpoints(&list).with_peers(&addresses)
    });
    limiter.wait_until_ready();
    for number in 0..20 {
        let response = limiter.request(&request_with_long_timeout(&format!("c-{number}")));
        assert_eq!(response.body, "serving");
    }
    let num_received = draining_server.num_received();
    assert_eq!(num_received, 0, "{num_received} requests were forwarded to a draining server");
}

/// Opens idle connections, one every millisecond at most, until the gate opens. The newest 200 stay open, so
/// that the limiter is at its limit of client connections all the time: when it closes an idle connection,
/// the next one replaces it.
fn start_idle_clients(address: SocketAddr, stop: Gate) -> JoinHandle<()> {
    const MAX_OPEN: usize = 200;
    std::thread::spawn(move || {
        let mut idle_clients = VecDeque::new();
        while !stop.is_open() {
            if let Ok(client) = TcpStream::connect(address) {
                idle_clients.push_back(client);
            }
            if idle_clients.len() > MAX_OPEN {
                idle_clients.pop_front();
            }
            sleep_ms(1);
        }
    })
}

/// Starts a server that does not respond, and closes a connection only after the limiter has closed it.
fn start_unresponsive_server() -> StubServer {
    StubServer::new(|_, stream| {
        wait_for("the limiter to close the connection", || {
            stream.peek(&mut [0]).is_ok_and(|length| length == 0)
        });
        false
    })
}

/// The process has the smallest number of descriptors that a configuration may state. An unresponsive server
/// occupies every server connection, idle clients occupy every client connection, and discovery is down. The
/// process reserves descriptors for its watch requests: when discovery resumes, the list that it announces is
/// applied. Descriptors are left for attempts to the announced server, too.
#[test]
fn idle_clients_do_not_exhaust_the_descriptors_for_discovery_and_attempts() {
    // 16 reserved descriptors, and one for each of at least 48 connections.
    const DESCRIPTORS: u32 = 64;
    // A third of the 48 connections.
    const MAX_SERVER_CONNECTIONS: usize = 16;
    let unresponsive_server = start_unresponsive_server();
    let serving_server = StubServer::responding_with("fine");
    let configured_list = complete_list(1, &[serving("s-1", &unresponsive_server)]);
    let alter = |configuration: Configuration| {
        let configuration = configuration.with_long_latency_objective();
        configuration.with_max_descriptors(DESCRIPTORS).with_configured_endpoints(&configured_list)
    };
    let limiter = LimiterProcess::with_discovery(StubDiscovery::unresponsive(), alter, DESCRIPTORS);
    limiter.wait_until_logged("using configured endpoint list");
    let waiting_clients: Vec<TcpStream> =
        (0..30).map(|number| limiter.send(&request_with_long_timeout(&format!("c-{number}")))).collect();
    wait_for("attempts on all connections", || unresponsive_server.num_received() >= MAX_SERVER_CONNECTIONS);
    let stop_idle_clients = Gate::default();
    let idle_clients = start_idle_clients(limiter.addr, stop_idle_clients.clone());
    let num_watch_requests = limiter.discovery.num_watch_requests();
    wait_for("more watch requests", || limiter.discovery.num_watch_requests() > num_watch_requests + 5);
    let changes = [draining_at("s-1", unresponsive_server.addr), serving("s-2", &serving_server)];
    limiter.discovery.resume_with(&list_change(2, &changes));
    limiter.wait_until_logged("endpoint changed server=s-2 ");
    assert!(!limiter.has_logged("open files"), "a watch request or an attempt failed without a descriptor");
    drop(waiting_clients);
    stop_idle_clients.open();
    idle_clients.join().expect("the thread of the idle clients");
    wait_for("service", || limiter.request(&idempotent_request_with_id("c-fine")).body == "fine");
}
