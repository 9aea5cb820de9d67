//! Graceful shutdown on SIGTERM: accepted requests are answered, connections stay usable while there is time,
//! and the process exits by its deadline even if servers are unresponsive.

mod stubs;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use stubs::*;

/// Asserts that the limiter closes a connection gracefully after its last response, without another byte.
fn assert_closed_between_requests(client: &mut TcpStream) {
    let mut buffer = [0; 16];
    let length = retry_on_interrupt(|| client.read(&mut buffer)).expect("a graceful close");
    assert_eq!(length, 0, "the connection was not closed between two requests");
}

/// Guards against a SIGTERM that drops a pending request, or that closes connections immediately.
#[test]
fn sigterm_finishes_pending_requests_and_exits_with_0() {
    let server = StubServer::new(|request, stream| {
        if request.body == "slow" {
            sleep_ms(600);
        }
        write_ok(stream, "done")
    });
    let mut limiter = LimiterProcess::in_front_of(&server);
    let mut idle_client = limiter.connect();
    assert_eq!(send_and_receive(&mut idle_client, &idempotent_request()).status, 200);
    let mut slow_client = limiter.send(&request_with_key("k1", "slow"));
    wait_for("the slow request to arrive", || server.num_received() == 2);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    assert_eq!(limiter.request(&idempotent_request()).status, 200, "new connections must still be served");
    assert_eq!(
        send_and_receive(&mut idle_client, &idempotent_request()).status,
        200,
        "idle connections must still be served"
    );
    assert_closed_between_requests(&mut idle_client);
    assert_eq!(read_response(&mut slow_client).body, "done");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// Clients continue to use their connections after SIGTERM. Guards against closing the connections
/// immediately while there is time: requests are accepted for 2.4 s, which is the longest deadline (3 s) plus
/// the time from that deadline to SIGKILL (0.7 s), minus a margin (0.3 s) and the longest latency objective
/// (1 s).
#[test]
fn idle_connections_stay_open_after_sigterm_while_there_is_time() {
    let server = StubServer::responding_with("fine");
    let mut limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.replace(r#""AimMs":2500,"#, r#""AimMs":900,"DeadlineMs":8000,"#)
    });
    let mut idle_client = limiter.connect();
    assert_eq!(send_and_receive(&mut idle_client, &idempotent_request()).status, 200);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    // Half of the 2.4 s for which requests are accepted.
    sleep_ms(1200);
    assert_eq!(send_and_receive(&mut idle_client, &idempotent_request()).status, 200);
    assert!(!limiter.is_ready());
    assert_closed_between_requests(&mut idle_client);
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// Opens connections without requests until the listener refuses one, and returns true. Returns false if none
/// of 200 connections is refused, one every 50 ms; by then the process must have exited.
fn connect_until_refused(address: SocketAddr) -> bool {
    let mut clients = Vec::new();
    for _ in 0..200 {
        let Ok(client) = TcpStream::connect(address) else { return true };
        clients.push(client);
        sleep_ms(50);
    }
    false
}

/// Guards against a restart that is delayed by clients which connect and send nothing: only accepted requests
/// may delay the exit.
#[test]
fn shutdown_does_not_wait_for_clients_without_requests() {
    let server = StubServer::responding_after_ms(900, "done");
    let mut limiter = LimiterProcess::in_front_of(&server);
    let address = limiter.addr;
    let silent_clients = std::thread::spawn(move || connect_until_refused(address));
    let mut slow_client = limiter.send(&request_with_key("k", "x"));
    wait_for("the request to arrive", || server.num_received() == 1);
    limiter.signal("TERM");
    assert_eq!(read_response(&mut slow_client).body, "done");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    let is_refused = silent_clients.join().expect("the thread of the silent clients");
    assert!(is_refused, "the listener must close while clients continue to connect");
}

/// All responses are due at a fixed time after SIGTERM, regardless of how long the clients would wait.
/// Requests that an unresponsive server has received are answered by that time, including one that arrives
/// after SIGTERM, and the process exits after the last response.
#[test]
fn all_requests_are_answered_during_shutdown_although_servers_are_unresponsive() {
    let server = StubServer::unresponsive();
    let mut limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration
            .replace(r#""KeyScope":"all","#, r#""KeyScope":"all","LateWorth":0.2,"DeadlineMs":400,"#)
            .replace(r#""LateWorth":0}"#, r#""LateWorth":0,"DeadlineMs":400}"#)
    });
    let request =
        |number: u32| request_with_key(&format!("k{number}"), "x").replace("Left: 3.0", "Left: 600");
    let mut clients: Vec<TcpStream> = (0..4).map(|number| limiter.send(&request(number))).collect();
    wait_for("the requests to arrive", || server.num_received() >= 4);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    clients.push(limiter.send(&request(9)));
    for client in &mut clients {
        assert_eq!(read_response(client).status, 502, "a request that may have been executed must fail");
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// Number of consecutive checks without a new request after which no further request is expected.
const STABLE_CHECKS: u32 = 30;

/// Waits until the server has received at least one request and receives no more. Returns the number of
/// requests.
fn wait_until_no_more_received(server: &StubServer) -> usize {
    let mut last_num_received = 0;
    let mut num_stable_checks = 0;
    wait_for("the server to receive no more requests", || {
        let num_received = server.num_received();
        let is_stable = num_received == last_num_received && num_received > 0;
        num_stable_checks = if is_stable { num_stable_checks + 1 } else { 0 };
        last_num_received = num_received;
        num_stable_checks > STABLE_CHECKS
    });
    last_num_received
}

/// The responses that were received on a connection until its end.
struct ReceivedResponses {
    responses: Vec<HttpMessage>,
    /// The error of the last read, which quotes an incomplete response.
    final_error: String,
}

fn read_all_responses(client: &mut TcpStream) -> ReceivedResponses {
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    let mut responses = Vec::new();
    loop {
        match read_message(client) {
            Ok(response) => responses.push(response),
            Err(error) => return ReceivedResponses { responses, final_error: error.to_string() },
        }
    }
}

/// A client pipelines requests and reads no response until the shutdown has started, so that the limiter
/// cannot finish writing one of the responses. Neither the exit of the process nor the periodic check that
/// closes idle connections may truncate that response.
#[test]
fn shutdown_does_not_truncate_a_response_that_is_being_written() {
    const NUM_REQUESTS: usize = 300;
    let body: String = ('a'..='z').cycle().take(60_000).collect();
    let server = StubServer::responding_with(&body);
    let mut limiter = LimiterProcess::in_front_of(&server);
    let mut client = limiter.connect();
    let request = |number| request_of_class("look", "X-A: b\r\n").replace("c-1", &format!("c-{number}"));
    let requests: String = (0..NUM_REQUESTS).map(request).collect();
    let mut writer = client.try_clone().expect("a clone");
    // The write may fail, because the limiter closes the connection before it has read all requests.
    let writing = std::thread::spawn(move || drop(writer.write_all(requests.as_bytes())));
    assert!(wait_until_no_more_received(&server) < NUM_REQUESTS, "the server received all requests");
    limiter.signal("TERM");
    wait_for("the listener to close", || TcpStream::connect(limiter.addr).is_err());
    // Longer than the interval of the checks for idle connections.
    sleep_ms(1500);
    let ReceivedResponses { responses, final_error } = read_all_responses(&mut client);
    assert_eq!(responses[0].status, 200);
    for response in &responses {
        // The limiter rejects requests that it has read but cannot forward in time.
        let is_complete = response.status == 200 && response.body == body;
        assert!(is_complete || response.status == 429, "status {}", response.status);
    }
    let last_response = responses.last().expect("responses");
    assert_eq!(last_response.header("connection").as_deref(), Some("close"));
    assert!(final_error.ends_with(r#"after """#), "the last response was truncated: {final_error}");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    drop(client);
    writing.join().expect("the writer");
}

/// The limiter must also answer requests that it has read together with a pending request. It closes the
/// connection after the last response.
#[test]
fn pipelined_requests_are_answered_during_shutdown() {
    const IDS: [&str; 3] = ["first", "second", "third"];
    let gate = Gate::default();
    let gate_of_server = gate.clone();
    let server = StubServer::new(move |request, stream| {
        if request.correlation_id() == "first" {
            gate_of_server.wait_until_open();
        }
        write_ok(stream, "fine")
    });
    let mut limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    let requests: String = IDS.map(idempotent_request_with_id).concat();
    let mut client = limiter.send(&requests);
    wait_for("the first request", || server.num_received() == 1);
    limiter.signal("TERM");
    limiter.wait_until_logged("SIGTERM");
    // Longer than the 0.6 s for which requests are accepted after SIGTERM.
    sleep_ms(800);
    gate.open();
    for id in IDS {
        assert_eq!(read_response(&mut client).status, 200, "{id}");
    }
    assert_eq!(read_until_closed(&mut client, Instant::now()).received_text, "");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}
