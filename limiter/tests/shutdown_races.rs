//! Races during a graceful shutdown. A process that is stopped by SIGSTOP simulates one that gets no
//! processor time: what clients send during the stall waits in the kernel. On a slow machine, the race of a
//! test may not occur; the assertions hold in either case.

mod stubs;

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

use stubs::*;

/// How long the process stalls, in milliseconds. If no more requests arrive, all steps of the shutdown are
/// due within this time, including the end of the 0.6 s for which requests are accepted after SIGTERM.
const STALL_MS: u64 = 1100;

/// A server, and the limiter in front of it.
struct ServerAndLimiter {
    server: StubServer,
    limiter: LimiterProcess,
}

/// Starts a server and a limiter. The latency objective is 10 minutes, because with the default of 1 s
/// requests would be rejected on a machine that stalls for a second. With such a long objective, the limiter
/// accepts requests after SIGTERM for the shortest possible time, which is 0.6 s.
fn start_server_and_limiter() -> ServerAndLimiter {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    ServerAndLimiter { server, limiter }
}

/// Stops the process, calls `during_stall`, and continues the process when all steps of its shutdown are due.
fn stall<T>(limiter: &LimiterProcess, during_stall: impl FnOnce() -> T) -> T {
    limiter.signal("STOP");
    let result = during_stall();
    sleep_ms(STALL_MS);
    limiter.signal("CONT");
    result
}

/// Returns an idle keep-alive connection on which one request has been answered.
fn idle_connection(limiter: &LimiterProcess, id: &str) -> TcpStream {
    let mut client = limiter.connect();
    assert_eq!(send_and_receive(&mut client, &request_with_long_timeout(id)).status, 200);
    client
}

/// Returns whether an idle connection is still open. If the limiter has closed the connection before the
/// stall, the race cannot occur.
fn is_open(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("a socket");
    let is_open = client.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("a socket");
    is_open
}

fn write_request(client: &mut TcpStream, id: &str) -> std::io::Result<()> {
    client.write_all(request_with_long_timeout(id).as_bytes())
}

/// Sends a request on a new connection. Returns the connection, or `None` if the listener is closed.
fn try_send(address: SocketAddr, id: &str) -> Option<TcpStream> {
    let mut client = TcpStream::connect(address).ok()?;
    write_request(&mut client, id).ok()?;
    Some(client)
}

/// Returns the head of a complete response, or `None` if the connection ended before its first byte.
///
/// # Panics
///
/// Panics if the response is incomplete, or if the connection stays open without a response.
fn response_head(client: &mut TcpStream) -> Option<String> {
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a read timeout");
    match retry_on_interrupt(|| client.peek(&mut [0])) {
        Ok(length) if length > 0 => Some(read_response(client).head),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            panic!("neither a response nor a close in {WAIT_TIMEOUT:?}")
        }
        _ => None,
    }
}

/// Returns whether the response is successful.
fn is_served(client: &mut TcpStream) -> bool {
    response_head(client).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Requests arrive while the process stalls: on an idle keep-alive connection, on a connection without an
/// earlier request, and on a connection that waits to be accepted. Guards against a shutdown whose steps
/// depend on the clock alone: after the stall all of them are due immediately, so that the limiter would not
/// read the requests that have arrived. The limiter may close the keep-alive connection without reading its
/// request, because the client resends such a request.
#[test]
fn requests_that_arrive_during_a_stall_at_shutdown_are_not_lost() {
    // Three rounds, because the race does not occur if the process is stopped while it does not wait for I/O.
    for _ in 0..3 {
        let ServerAndLimiter { server, mut limiter } = start_server_and_limiter();
        let mut idle_client = idle_connection(&limiter, "first");
        let mut silent_client = limiter.connect();
        limiter.signal("TERM");
        limiter.wait_until_logged("shutdown started");
        let new_client = stall(&limiter, || {
            if !is_open(&idle_client) {
                return None;
            }
            write_request(&mut idle_client, "idle").expect("a written request");
            write_request(&mut silent_client, "silent").expect("a written request");
            Some(limiter.send(&request_with_long_timeout("new")))
        });
        let Some(mut new_client) = new_client else { continue };
        assert!(is_served(&mut new_client), "the connection that waited to be accepted must be served");
        assert!(is_served(&mut silent_client), "the connection without an earlier request must be served");
        let num_idle_served = usize::from(is_served(&mut idle_client));
        assert_eq!(num_idle_served, server.num_received_with_id("idle"));
        assert_eq!(server.num_received_with_id("new"), 1);
        assert_eq!(server.num_received_with_id("silent"), 1);
        assert_eq!(limiter.wait_for_exit_code(), Some(0));
    }
}

/// Sends one request after another, each on a new connection, until the listener is closed.
fn reconnect_until_refused(address: SocketAddr, client_number: usize) {
    let mut num_sent = 0;
    while let Some(mut client) = try_send(address, &format!("{client_number}-{num_sent}")) {
        // The listener may close while the connection waits to be accepted.
        let _ = response_head(&mut client);
        num_sent += 1;
    }
}

/// More clients than the limiter accepts connect again as soon as they are answered. Guards against a
/// shutdown that they prolong without limit, because the accept queue is never empty.
#[test]
fn clients_that_keep_connecting_do_not_prolong_the_shutdown() {
    const DESCRIPTORS: u32 = 100;
    const NUM_CLIENTS: usize = 100;
    let server = StubServer::responding_with("fine");
    let mut limiter = LimiterProcess::with_server(&server, |configuration| {
        configuration.with_long_latency_objective().with_max_descriptors(DESCRIPTORS)
    });
    let address = limiter.addr;
    let mut client_threads = Vec::new();
    for client_number in 0..NUM_CLIENTS {
        client_threads.push(std::thread::spawn(move || reconnect_until_refused(address, client_number)));
    }
    wait_for("traffic", || server.num_received() > NUM_CLIENTS);
    limiter.signal("TERM");
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
    for client_thread in client_threads {
        client_thread.join().expect("a client that is answered or refused");
    }
}

/// Two pipelined requests wait to be accepted while the process stalls. The first one is rejected at once,
/// and the limiter has not read the second one by then. Guards against a response that ends its connection
/// although another request has arrived.
#[test]
fn pipelined_requests_are_answered_during_shutdown_if_the_first_is_rejected_at_once() {
    for _ in 0..3 {
        let server = StubServer::responding_with("fine");
        let mut limiter = LimiterProcess::with_server(&server, |configuration| {
            configuration.with_long_latency_objective().with_rejecting_plan()
        });
        let idle_client = idle_connection(&limiter, "idle");
        limiter.signal("TERM");
        limiter.wait_until_logged("shutdown started");
        let rejected = |id| request_with_long_timeout(id).replace("basic", "refused");
        let requests = pad_to_one_read(&rejected("first")) + &rejected("second");
        let client = stall(&limiter, || is_open(&idle_client).then(|| limiter.send(&requests)));
        let Some(mut client) = client else { continue };
        for id in ["first", "second"] {
            let head = response_head(&mut client).unwrap_or_default();
            assert!(head.starts_with("HTTP/1.1 429"), "{id}: {head:?}");
        }
        assert_eq!(limiter.wait_for_exit_code(), Some(0));
    }
}

/// Connections nearly fill the accept queue (120 of 128) when the shutdown closes the listener. Guards
/// against closing the listener while its queue has connections of which the event loop has not been notified
/// yet, and against an exit before the requests on the connections that were accepted last have been read.
#[test]
fn the_accept_queue_is_served_before_the_listener_closes() {
    const NUM_CLIENTS: usize = 120;
    let ServerAndLimiter { server, mut limiter } = start_server_and_limiter();
    let idle_client = idle_connection(&limiter, "first");
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    let ids: Vec<String> = (0..NUM_CLIENTS).map(|number| format!("q-{number}")).collect();
    let mut clients = Vec::new();
    stall(&limiter, || {
        for id in &ids {
            if is_open(&idle_client) {
                clients.push(limiter.send(&request_with_long_timeout(id)));
            }
        }
    });
    let heads: Vec<Option<String>> = clients.iter_mut().map(response_head).collect();
    let num_lost = heads.iter().filter(|head| head.is_none()).count();
    assert_eq!(num_lost, 0, "requests without a response, of {}", heads.len());
    // Some of so many requests may be rejected, and an idempotent request may be rejected after an attempt.
    for (id, head) in ids.iter().zip(heads.iter().flatten()) {
        if head.starts_with("HTTP/1.1 200") {
            assert!(server.num_received_with_id(id) > 0, "{id}: {head}");
        } else {
            assert!(head.starts_with("HTTP/1.1 429"), "{id}: {head}");
        }
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// Clients wait until the limiter closes their idle connections, write a request at that moment, and resend
/// the request on a new connection. Guards against a resent request that is lost or executed twice. A client
/// that finds the listener closed would use another limiter.
#[test]
fn a_request_resent_at_shutdown_is_served_once() {
    const NUM_CLIENTS: usize = 8;
    let ServerAndLimiter { server, mut limiter } = start_server_and_limiter();
    let ids: Vec<String> = (0..NUM_CLIENTS).map(|number| format!("resent-{number}")).collect();
    let mut idle_clients: Vec<TcpStream> =
        ids.iter().map(|id| idle_connection(&limiter, &format!("before-{id}"))).collect();
    limiter.signal("TERM");
    for client in &mut idle_clients {
        assert_eq!(response_head(client), None, "the connection was not closed between two requests");
    }
    let mut resending_clients = Vec::new();
    stall(&limiter, || {
        for (idle_client, id) in idle_clients.iter_mut().zip(&ids) {
            // The write may fail, because the limiter has closed the connection.
            let _ = write_request(idle_client, id);
            resending_clients.push(try_send(limiter.addr, id));
        }
    });
    for (resending_client, id) in resending_clients.into_iter().zip(&ids) {
        let num_sent = usize::from(resending_client.is_some());
        let num_served = usize::from(resending_client.is_some_and(|mut client| is_served(&mut client)));
        assert_eq!(num_served, num_sent, "{id}");
        assert_eq!(server.num_received_with_id(id), num_sent, "{id}");
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// The outcome of the requests that were sent on one connection until its end.
struct SentRequests {
    num_answered: usize,
    /// Id of the last request, if the connection ended without a response to it.
    unanswered_id: Option<String>,
}

/// Sends one request after another until the connection ends.
fn send_until_closed(client: &mut TcpStream, client_number: usize) -> SentRequests {
    let mut num_answered = 0;
    loop {
        let id = format!("{client_number}-{num_answered}");
        let is_written = write_request(client, &id).is_ok();
        let Some(head) = response_head(client).filter(|_| is_written) else {
            return SentRequests { num_answered, unanswered_id: Some(id) };
        };
        num_answered += 1;
        if head.to_lowercase().contains("connection: close") {
            return SentRequests { num_answered, unanswered_id: None };
        }
    }
}

/// Clients send requests on their keep-alive connections until the limiter closes the connections, and the
/// process stalls during its shutdown. Guards against a request that is forwarded but not answered: its
/// client may resend the request, which would then be executed twice.
#[test]
fn every_request_until_exit_is_answered_or_not_forwarded() {
    const NUM_CLIENTS: usize = 8;
    let ServerAndLimiter { server, mut limiter } = start_server_and_limiter();
    let mut client_threads = Vec::new();
    for client_number in 0..NUM_CLIENTS {
        let mut client = idle_connection(&limiter, &format!("first-{client_number}"));
        client_threads.push(std::thread::spawn(move || send_until_closed(&mut client, client_number)));
    }
    wait_for("traffic", || server.num_received() > 100);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    stall(&limiter, || ());
    for client_thread in client_threads {
        let SentRequests { num_answered, unanswered_id } = client_thread.join().expect("complete responses");
        assert!(num_answered > 0);
        if let Some(id) = unanswered_id {
            assert_eq!(server.num_received_with_id(&id), 0, "{id} was forwarded and not answered");
        }
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}
