//! Graceful shutdown on SIGTERM: accepted requests are answered, connections stay usable while there is time, and the
//! process exits by its deadline even if servers hang.

mod stubs;

use std::io::{Read, Write};
use std::net::TcpStream;

use stubs::*;

#[test]
fn sigterm_finishes_pending_requests_and_exits_with_0() {
    let server = StubServer::new(|request, stream| {
        if request.body == "slow" {
            sleep_ms(600);
        }
        write_ok(stream, "done")
    });
    let mut limiter = LimiterProcess::in_front_of(&server);
    let mut idle = limiter.connect();
    assert_eq!(send_and_receive(&mut idle, &idempotent_request()).status, 200);
    let mut slow = limiter.send(&request_with_key("k1", "slow"));
    wait_for("the slow request to arrive", || server.num_received() == 2);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    assert_eq!(limiter.request(&idempotent_request()).status, 200, "new connections are still served");
    assert_eq!(send_and_receive(&mut idle, &idempotent_request()).status, 200, "and those that are kept");
    assert_eq!(
        retry_on_interrupt(|| idle.read(&mut [0; 16])).expect("a clean end"),
        0,
        "closed between requests"
    );
    assert_eq!(read_response(&mut slow).body, "done");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// After SIGTERM clients go on using the connections they have. Guards against closing these at once while there is
/// time: 3 s of deadline and 0.7 s before a SIGKILL, less the longest latency objective (1 s) and a little to spare.
#[test]
fn idle_connections_stay_open_after_sigterm_while_time_is_left() {
    let server = StubServer::responding_with("fine");
    let mut limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.replace(r#""AimMs":2500,"#, r#""AimMs":900,"DeadlineMs":8000,"#)
    });
    let mut kept = limiter.connect();
    assert_eq!(send_and_receive(&mut kept, &idempotent_request()).status, 200);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    // Requests are accepted for 2.4 s (3 s + 0.7 s - 0.3 s - 1 s): this is half of that.
    sleep_ms(1200);
    assert_eq!(send_and_receive(&mut kept, &idempotent_request()).status, 200);
    assert!(!limiter.is_ready());
    assert_eq!(
        retry_on_interrupt(|| kept.read(&mut [0; 16])).expect("a clean end"),
        0,
        "closed between requests"
    );
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// Guards against a restart held up by clients that connect and say nothing: what was taken is finished, no more.
#[test]
fn shutdown_does_not_wait_for_clients_without_requests() {
    let server = StubServer::responding_after_ms(900, "done");
    let mut limiter = LimiterProcess::in_front_of(&server);
    let addr = limiter.addr;
    let crowd = std::thread::spawn(move || {
        let mut held = Vec::new();
        // Until connections are refused, or for as long as an end would have to come by.
        for _ in 0..200 {
            let Ok(client) = TcpStream::connect(addr) else { return true };
            held.push(client);
            sleep_ms(50);
        }
        false
    });
    let mut slow = limiter.send(&request_with_key("k", "x"));
    wait_for("the request to arrive", || server.num_received() == 1);
    limiter.signal("TERM");
    assert_eq!(read_response(&mut slow).body, "done");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    assert!(crowd.join().expect("the crowd"), "it ended while they still came");
}

/// After SIGTERM there is a last moment for responses, whatever time a client has left: what an unresponsive server
/// has is answered by then, as is what comes later, and only then the process ends.
#[test]
fn all_requests_are_answered_during_shutdown_although_servers_are_unresponsive() {
    let server = StubServer::unresponsive();
    let mut limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration
            .replace(r#""KeyScope":"all","#, r#""KeyScope":"all","LateWorth":0.2,"DeadlineMs":400,"#)
            .replace(r#""LateWorth":0}"#, r#""LateWorth":0,"DeadlineMs":400}"#)
    });
    let request = |n: u32| request_with_key(&format!("k{n}"), "x").replace("Left: 3.0", "Left: 600");
    let mut clients: Vec<TcpStream> = (0..4).map(|n| limiter.send(&request(n))).collect();
    wait_for("the requests to arrive", || server.num_received() >= 4);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    clients.push(limiter.send(&request(9)));
    for client in &mut clients {
        assert_eq!(read_response(client).status, 502, "it may have run");
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// Checks in a row without a further request after which none is expected to come.
const STABLE_CHECKS: u32 = 30;

/// Waits until the server has received some requests and gets no more.
fn wait_no_more_received(server: &StubServer) -> usize {
    let (mut num_before, mut num_same) = (0, 0);
    wait_for("a response that cannot be written", || {
        let num_received = server.num_received();
        num_same = if num_received == num_before && num_received > 0 { num_same + 1 } else { 0 };
        num_before = num_received;
        num_same > STABLE_CHECKS
    });
    num_before
}

/// A response that its client reads slowly is not cut by the end of the process or its sweeps.
#[test]
fn shutdown_does_not_truncate_a_response_that_is_being_written() {
    const NUM_REQUESTS: usize = 300;
    let body: String = ('a'..='z').cycle().take(60_000).collect();
    let server = StubServer::responding_with(&body);
    let mut limiter = LimiterProcess::in_front_of(&server);
    let mut client = limiter.connect();
    // Pipelined requests, and none of their responses read: sooner or later one cannot be written.
    let request = |n| request_of_class("look", "X-A: b\r\n").replace("c-1", &format!("c-{n}"));
    let requests: String = (0..NUM_REQUESTS).map(request).collect();
    let mut writer = client.try_clone().expect("a clone");
    let writing = std::thread::spawn(move || drop(writer.write_all(requests.as_bytes())));
    assert!(wait_no_more_received(&server) < NUM_REQUESTS, "all were answered");
    limiter.signal("TERM");
    wait_for("the listener to close", || TcpStream::connect(limiter.addr).is_err());
    // Longer than any sweep of idle connections.
    sleep_ms(1500);
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out");
    let mut responses = Vec::new();
    let end = loop {
        match read_message(&mut client) {
            Ok(response) => responses.push(response),
            Err(error) => break error.to_string(),
        }
    };
    // Requests that were read and come to their turn too late are rejected.
    let is_whole = |r: &HttpMessage| if r.status == 200 { r.body == body } else { r.status == 429 };
    assert!(responses.iter().all(is_whole));
    assert_eq!(responses[0].status, 200);
    let last = responses.last().expect("responses");
    assert_eq!(last.header("connection").as_deref(), Some("close"));
    assert!(end.ends_with(r#"after """#), "the last response is cut: {end}");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    drop(client);
    writing.join().expect("the writer");
}

/// Requests that were read together with an open one are owed their answers, too: the connection ends with the last.
#[test]
fn pipelined_requests_are_answered_during_shutdown() {
    let gate = Gate::default();
    let opens = gate.clone();
    let server = StubServer::new(move |request, stream| {
        if request.correlation_id() == "first" {
            opens.wait_until_open();
        }
        write_ok(stream, "fine")
    });
    let mut limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    let requests: String = ["first", "second", "third"].map(idempotent_request_with_id).concat();
    let mut client = limiter.send(&requests);
    wait_for("the first request", || server.num_received() == 1);
    limiter.signal("TERM");
    limiter.wait_until_logged("SIGTERM");
    // Longer than the 0.6 s for which all is served as before.
    sleep_ms(800);
    gate.open();
    for id in ["first", "second", "third"] {
        assert_eq!(read_response(&mut client).status, 200, "{id}");
    }
    assert_eq!(read_until_closed(&mut client, std::time::Instant::now()).received_text, "");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}
