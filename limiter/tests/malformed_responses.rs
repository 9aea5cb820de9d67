//! Answers that break off, never end or are too much, and clients that are slow: a part of an answer is never served,
//! never given to another request, and never proves that a request has not run.

#[path = "stubs/breaks.rs"]
mod breaks;
mod stubs;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

use breaks::*;
use stubs::*;

const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\nhalf";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
const HALF_LINE: &str = "HTTP/1.1 20";

/// A server breaks each answer off, at once or after a moment: the request may have run, so that a keyed one fails, its
/// retries carry its key, and there are no more than the settings allow. One that is safe ends as a refusal.
fn breaks_off(text: &'static str, reset: bool) {
    for moment in [0, 40] {
        let server = Stub::new(move |_, stream| {
            let _ = stream.write_all(text.as_bytes());
            // For a verdict it makes no difference: either way the answer has broken off.
            std::thread::sleep(Duration::from_millis(moment));
            if reset {
                end_by_reset(stream);
            }
            false
        });
        let node = Node::start(&[("s-1", &server, "active")]);
        assert_eq!(ask(&node, &post("book", "k", "", "x")).status, 502, "{text:?}");
        assert_keyed(&server);
        assert_eq!(ask(&node, &get("look", "")).status, 429, "{text:?}");
    }
}

/// A reset on the way is no end of an answer, least of all of one without length, which the end of its connection ends.
#[test]
fn an_answer_that_is_reset_is_not_served() {
    for text in [NO_LENGTH, LENGTH, CHUNKED] {
        breaks_off(text, true);
    }
}

/// A status line or a head that stops halfway says nothing of what ran, also where it began as a good one.
#[test]
fn half_a_head_is_no_answer() {
    for text in [HALF_LINE, "HTTP/1.1 200 OK\r\nContent-Le"] {
        breaks_off(text, false);
        breaks_off(text, true);
    }
}

/// The other side of it: a clean end is the end of an answer without length, and all of it is served.
#[test]
fn an_answer_without_length_that_ends_cleanly_is_served_whole() {
    for length in [0, 4, 50_000] {
        let body = "x".repeat(length);
        let text = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        let server = Stub::new(move |_, stream| {
            let (first, second) = text.split_at(text.len() - length / 2);
            let _ = stream.write_all(first.as_bytes());
            std::thread::sleep(Duration::from_millis(20));
            let _ = stream.write_all(second.as_bytes());
            false
        });
        let node = Node::start(&[("s-1", &server, "active")]);
        let answer = ask(&node, &post("book", "k", "", "x"));
        assert_eq!((answer.status, answer.body), (200, body));
        assert_eq!(server.seen().len(), 1);
    }
}

/// An answer that trickles and never ends is given up at the request's aim: one final answer, and the connections to the
/// server are closed.
#[test]
fn an_answer_that_never_ends_is_given_up() {
    let server = Stub::new(|seen, stream| {
        if seen.body == "fine" {
            return write_ok(stream, "fine");
        }
        let _ = stream.write_all(CHUNKED.as_bytes());
        while stream.write_all(b"4\r\nmore\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    });
    let node = Node::start(&[("s-1", &server, "active")]);
    assert_eq!(one_final_answer(&node, &post("book", "k", "", "x")), 502);
    assert_eq!(one_final_answer(&node, &get("look", "")), 429);
    assert_keyed(&server);
    // All but the one that may be kept.
    wait_for("the attempts to be closed", || server.closed_by_peer() + 1 >= server.connections());
}

/// Between two requests a server writes half a status line on a kept connection, which the next answer would be taken
/// to go on: the next request goes on another connection. One attempt each, as a retry would hide it.
#[test]
fn half_a_status_line_between_requests_spoils_a_kept_connection() {
    let spoilt = Arc::new(AtomicUsize::new(0));
    let count = spoilt.clone();
    let server = Stub::new(move |seen, stream| {
        write_ok(stream, &seen.body);
        // Long enough for the connection to have gone back to the pool.
        std::thread::sleep(Duration::from_millis(100));
        let fine = stream.write_all(HALF_LINE.as_bytes()).is_ok();
        count.fetch_add(1, SeqCst);
        fine
    });
    let one = |c: String| c.replace(r#""MostTries":3"#, r#""MostTries":1"#);
    let node = Node::with(&[("s-1", &server, "active")], one);
    for n in 1..=6 {
        let text = format!("body {n}");
        let mut client = TcpStream::connect(node.addr).expect("connect");
        client.write_all(post("book", &format!("k{n}"), "", &text).as_bytes()).expect("write");
        if n % 2 == 0 {
            node.signal("CONT");
        }
        let answer = read_answer(&mut client);
        assert_eq!((answer.status, answer.body), (200, text));
        assert_eq!((server.seen().len(), server.connections()), (n, n));
        if n % 2 == 1 {
            // It finds the half line and the next request at once.
            node.signal("STOP");
        }
        wait_for("the half line", || spoilt.load(SeqCst) == n);
    }
}

/// Servers that write without end, wherever they can: the connection ends, memory stays within a quarter of what the
/// configuration allows, and the next request is served.
#[test]
fn a_flood_is_cut_and_costs_little_memory() {
    let (head, many) = ("HTTP/1.1 200 OK\r\n", "x".repeat(1 << 16));
    for (begin, more) in [
        (format!("{head}Content-Length: 3000000000\r\n\r\n"), many.clone()),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\n"), format!("10000\r\n{many}\r\n")),
        (format!("{head}\r\n"), many.clone()),
        (head.to_string(), "X-More: more\r\n".repeat(4096)),
        (format!("{head}X-More: "), many),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(4096)),
    ] {
        let name = format!("{begin:?}");
        let server = Stub::new(move |seen, stream| {
            if seen.body == "fine" {
                return write_ok(stream, "fine");
            }
            let _ = stream.write_all(begin.as_bytes());
            while stream.write_all(more.as_bytes()).is_ok() {}
            false
        });
        let node = Node::start(&[("s-1", &server, "active")]);
        assert_eq!(one_final_answer(&node, &post("book", "k", "", "x")), 502, "{name}");
        assert_keyed(&server);
        let kb = most_memory(&node);
        assert!(kb < 48 << 10, "{kb} kB, {name}");
        // All but the one that may be kept.
        wait_for("the floods to be cut", || server.closed_by_peer() + 1 >= server.connections());
    }
}

/// A client whose request comes byte by byte, in less than the time that it has, is served, and those beside it are.
#[test]
fn a_slow_client_is_served_and_holds_up_nobody() {
    let server = Stub::new(|seen, stream| write_ok(stream, &seen.body));
    let node = Node::start(&[("s-1", &server, "active")]);
    let mut neighbour = TcpStream::connect(node.addr).expect("connect");
    for (request, body) in [(get("look", ""), ""), (post("book", "slow", "", "slow"), "slow")] {
        // One that a busy machine has made too slow is sent once more.
        wait_for("a request in time", || {
            let mut client = TcpStream::connect(node.addr).expect("connect");
            client.set_nodelay(true).expect("no delay");
            let (began, mut whole) = (Instant::now(), true);
            for (n, byte) in request.bytes().enumerate() {
                whole &= client.write_all(&[byte]).is_ok();
                std::thread::sleep(Duration::from_millis(2));
                if n % 40 == 20 {
                    assert_eq!(
                        exchange(&mut neighbour, &post("book", "beside", "", "beside")).body,
                        "beside"
                    );
                }
            }
            let in_time = whole && began.elapsed() < Duration::from_millis(1700);
            let answer = in_time.then(|| read_answer(&mut client));
            assert!(answer.as_ref().is_none_or(|a| (a.status, a.body.as_str()) == (200, body)), "{answer:?}");
            in_time
        });
    }
}
