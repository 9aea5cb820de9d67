//! The races at the end of a process. One that is stopped (SIGSTOP) stands for one without CPU: what comes meanwhile
//! waits in the kernel. On a slow machine a test may force less; its verdict is the same.

mod stubs;

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};

use stubs::*;

/// Longer than the 0.6 s for which requests are taken after SIGTERM, and all that follows when no more come.
const STALL_MS: u64 = 1100;

/// A process that takes requests after SIGTERM for as short as any, and its server. What it has taken it holds for as
/// long as it may: else a machine that stalls for a second by itself has requests rejected.
fn start() -> (StubServer, LimiterProcess) {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::with_server(&server, Configuration::with_long_latency_objective);
    (server, limiter)
}

/// Has the process stand still while `meanwhile` is done and past every moment of its end.
fn stall<T>(limiter: &LimiterProcess, meanwhile: impl FnOnce() -> T) -> T {
    limiter.signal("STOP");
    let result = meanwhile();
    sleep_ms(STALL_MS);
    limiter.signal("CONT");
    result
}

/// A keep-alive connection that has been used.
fn kept_connection(limiter: &LimiterProcess, id: &str) -> TcpStream {
    let mut client = limiter.connect();
    assert_eq!(send_and_receive(&mut client, &request_with_long_timeout(id)).status, 200);
    client
}

/// Whether a client could still write: if not, the end has begun before the stall, and there is nothing to force.
fn is_open(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("a socket");
    let is_open = client.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("a socket");
    is_open
}

fn write_request(client: &mut TcpStream, id: &str) -> std::io::Result<()> {
    client.write_all(request_with_long_timeout(id).as_bytes())
}

/// A new connection and a request on it; nothing if the listener is closed.
fn try_send(addr: SocketAddr, id: &str) -> Option<TcpStream> {
    let mut client = TcpStream::connect(addr).ok()?;
    write_request(&mut client, id).ok().map(|()| client)
}

/// The head of a complete response, or nothing if the connection ended before its first byte. A part of one is a
/// fault, and so is a connection that stays open and says nothing.
fn response_head(client: &mut TcpStream) -> Option<String> {
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out");
    match retry_on_interrupt(|| client.peek(&mut [0])) {
        Ok(length) if length > 0 => Some(read_response(client).head),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            panic!("silence")
        }
        _ => None,
    }
}

fn is_served(client: &mut TcpStream) -> bool {
    response_head(client).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Requests that come while the process stalls, on keep-alive connections, on one without any request so far, and on
/// one that waits to be accepted. Guards against an end that goes by the clock alone: all of its steps are due at
/// once then, and nobody reads what came. A keep-alive connection may be closed with its request unread; that one
/// comes again.
#[test]
fn requests_that_arrive_during_a_stall_at_shutdown_are_not_lost() {
    // Three times: now and then a process is stopped while it is not waiting for I/O, which forces less.
    for _ in 0..3 {
        let (server, mut limiter) = start();
        let mut resting = kept_connection(&limiter, "first");
        let mut silent = limiter.connect();
        limiter.signal("TERM");
        limiter.wait_until_logged("shutdown started");
        let new = stall(&limiter, || {
            is_open(&resting).then(|| {
                write_request(&mut resting, "resting").expect("write");
                write_request(&mut silent, "silent").expect("write");
                limiter.send(&request_with_long_timeout("new"))
            })
        });
        let Some(mut new) = new else { continue };
        assert!(is_served(&mut new), "the one that waited to be accepted");
        assert!(is_served(&mut silent), "the one whose first request it was");
        assert_eq!(usize::from(is_served(&mut resting)), server.num_received_with_id("resting"));
        let num_received = (server.num_received_with_id("new"), server.num_received_with_id("silent"));
        assert_eq!(num_received, (1, 1));
        assert_eq!(limiter.wait_for_exit_code(), Some(0));
    }
}

/// An accept queue that is all but full (it holds 128) at the end of a process. Guards against closing the listener
/// on connections that no event has announced yet, and against a return before those accepted last have been read.
#[test]
fn the_accept_queue_is_served_before_the_listener_closes() {
    let (server, mut limiter) = start();
    let resting = kept_connection(&limiter, "first");
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    let ids: Vec<String> = (0..120).map(|n| format!("q-{n}")).collect();
    let mut waiting: Vec<TcpStream> = stall(&limiter, || {
        let sent =
            ids.iter().filter(|_| is_open(&resting)).map(|id| limiter.send(&request_with_long_timeout(id)));
        sent.collect()
    });
    let heads: Vec<Option<String>> = waiting.iter_mut().map(response_head).collect();
    let num_lost = heads.iter().filter(|head| head.is_none()).count();
    assert_eq!(num_lost, 0, "lost of {}", heads.len());
    // A crowd may be rejected in part, and this class also after it was forwarded.
    for (id, head) in ids.iter().zip(heads.iter().flatten()) {
        if head.starts_with("HTTP/1.1 200") {
            assert!(server.num_received_with_id(id) > 0, "{id}: {head}");
        } else {
            assert!(head.starts_with("HTTP/1.1 429"), "{id}: {head}");
        }
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// Clients rest until their connections end, write a request in that moment, and send it once more on a new
/// connection. Guards against one that is lost the second time, or runs twice. A client that finds the listener
/// closed goes elsewhere.
#[test]
fn a_request_resent_at_shutdown_is_served_once() {
    let (server, mut limiter) = start();
    let ids: Vec<String> = (0..8).map(|n| format!("again-{n}")).collect();
    let mut resting: Vec<TcpStream> =
        ids.iter().map(|id| kept_connection(&limiter, &format!("before-{id}"))).collect();
    limiter.signal("TERM");
    for client in &mut resting {
        assert_eq!(response_head(client), None, "closed between requests");
    }
    let again: Vec<Option<TcpStream>> = stall(&limiter, || {
        let send_twice = |(client, id): (&mut TcpStream, &String)| {
            let _ = write_request(client, id);
            try_send(limiter.addr, id)
        };
        resting.iter_mut().zip(&ids).map(send_twice).collect()
    });
    for (client, id) in again.into_iter().zip(&ids) {
        let num_sent = usize::from(client.is_some());
        let num_served = usize::from(client.is_some_and(|mut client| is_served(&mut client)));
        assert_eq!((num_served, server.num_received_with_id(id)), (num_sent, num_sent), "{id}");
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}

/// What came of the requests on one connection, until it ended.
struct SentRequests {
    num_answered: usize,
    /// The one that was not answered, if the connection ended so.
    unanswered: Option<String>,
}

/// Sends one request after the other until the connection ends.
fn send_until_end(client: &mut TcpStream, client_number: usize) -> SentRequests {
    let mut num_answered = 0;
    loop {
        let id = format!("{client_number}-{num_answered}");
        let is_written = write_request(client, &id).is_ok();
        let Some(head) = response_head(client).filter(|_| is_written) else {
            return SentRequests { num_answered, unanswered: Some(id) };
        };
        num_answered += 1;
        if head.to_lowercase().contains("connection: close") {
            return SentRequests { num_answered, unanswered: None };
        }
    }
}

/// Clients go on sending on their keep-alive connections until these end, with a stall among it. Guards against a
/// request that is forwarded to a server and not answered: its client may send it again, and it runs twice.
#[test]
fn every_request_until_exit_is_answered_or_not_forwarded() {
    let (server, mut limiter) = start();
    let sending: Vec<_> = (0..8)
        .map(|number| {
            let mut client = kept_connection(&limiter, &format!("first-{number}"));
            std::thread::spawn(move || send_until_end(&mut client, number))
        })
        .collect();
    wait_for("traffic", || server.num_received() > 100);
    limiter.signal("TERM");
    limiter.wait_until_logged("shutdown started");
    stall(&limiter, || ());
    for client in sending {
        let SentRequests { num_answered, unanswered } = client.join().expect("complete responses");
        assert!(num_answered > 0);
        let num_forwarded = unanswered.map_or(0, |id| server.num_received_with_id(&id));
        assert_eq!(num_forwarded, 0, "forwarded and not answered");
    }
    assert_eq!(limiter.wait_for_exit_code(), Some(0));
}
