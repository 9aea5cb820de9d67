//! A client that closes its connection has gone: no attempt, first or further, may begin more than 0.1 s after. Each
//! test has a client leave before the moment that would send its request on.

#[path = "stubs/breaks.rs"]
mod breaks;
#[path = "stubs/leave.rs"]
mod leave;
#[path = "stubs/owner.rs"]
mod owner;
mod stubs;

use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Mutex;
use std::time::Duration;

use breaks::*;
use leave::*;
use owner::*;
use stubs::*;

/// A quota owner's grant comes after the client has left. Guards against units spent and servers asked for nobody.
#[test]
fn a_late_grant_of_a_quota_owner_sends_nothing() {
    let run = |how| {
        let server = Stub::new(|_, stream| write_ok(stream, "fine"));
        let (node, to, owner) = member(&server, r#""Rate":0.001,"StoreSize":0.001"#);
        let client = send(&node, &foreign("c-1", "00000000b4d65522"));
        let asked = receive(&owner).filter(|a| a[8] == 1).expect("a question");
        let tell = || assert!(owner.send_to(&grant(&asked), to).is_ok());
        let status = cross(&node, client, how, tell);
        wait_for("the grant to be read", || {
            tell();
            receive(&owner).is_some_and(|m| m[8] == 2 || m[8] == 3)
        });
        (status, all_sent(node, &[server]))
    };
    // A grant that a busy machine holds up until the limiter has given its owners up is another matter.
    wait_for("a grant in time", || run(Stays) == (Some(200), "c-1".to_string()));
    for how in [Noticed, Unseen] {
        assert_eq!(run(how), (None, String::new()), "{how:?}");
    }
}

/// The quota owners are silent, and their time runs out after the client has left: the even part then lets requests
/// through, as it does the next one.
#[test]
fn silent_quota_owners_send_nothing_for_a_client_that_has_left() {
    let mut sent = None;
    wait_for("a request that still waits when the limiter is stopped", || {
        let server = Stub::new(|_, stream| write_ok(stream, "fine"));
        let (node, _, owner) = member(&server, r#""Rate":1000,"StoreSize":1000,"AtOnce":8"#);
        let client = send(&node, &foreign("c-1", "00000000b4d65522"));
        receive(&owner).filter(|a| a[8] == 1).expect("a question");
        node.signal("STOP");
        std::thread::sleep(Duration::from_millis(100));
        let waits = server.seen().is_empty();
        drop(client);
        // Longer than all owners together are waited for.
        std::thread::sleep(Duration::from_millis(1200));
        node.signal("CONT");
        assert_eq!(ask(&node, &foreign("c-2", "0000000000000001")).status, 200);
        sent = waits.then(|| all_sent(node, &[server]));
        waits
    });
    assert_eq!(sent.as_deref(), Some("c-2"));
}

/// An attempt ends without an answer, by a reset or a close: where the client stays, there is a retry.
#[test]
fn a_broken_attempt_is_not_retried_for_a_client_that_has_left() {
    for (how, reset) in [Stays, Noticed, Unseen].into_iter().flat_map(|how| [(how, false), (how, true)]) {
        let (gate, first) = (Gate::default(), AtomicUsize::new(0));
        let held = gate.clone();
        let breaks_off = move |seen: &Message, stream: &mut TcpStream| {
            if id_of(seen) != "c-1" || first.fetch_add(1, SeqCst) > 0 {
                return write_ok(stream, "fine");
            }
            held.wait();
            if reset {
                end_by_reset(stream);
            }
            false
        };
        let (servers, node, client) = with_an_attempt(2, breaks_off, &request("c-1"), patient);
        let status = cross(&node, client, how, || gate.open());
        assert_eq!(ask(&node, &request("c-2")).status, 200);
        let expected = if how == Stays { (Some(200), "c-1 c-1 c-2") } else { (None, "c-1 c-2") };
        assert_eq!((status, all_sent(node, &servers).as_str()), expected, "{how:?} {reset}");
    }
}

/// A server says nothing; after 0.4 of the aim its attempt is called off and retried at the other one, as the next
/// client's is, unless the client has left.
#[test]
fn a_silent_server_is_not_retried_for_a_client_that_has_left() {
    for how in [Noticed, Unseen] {
        let firsts = Mutex::new(HashSet::new());
        let silent = move |seen: &Message, stream: &mut TcpStream| {
            if !firsts.lock().expect("lock").insert(id_of(seen)) {
                return write_ok(stream, "fine");
            }
            while stream.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
            false
        };
        let five = |c: String| patient(c).replace("600000", "5000");
        let (servers, node, client) = with_an_attempt(2, silent, &request("c-1"), five);
        // Where the limiter is stopped, until the attempt's time is up.
        let pause = Duration::from_millis(if how == Unseen { 2300 } else { 0 });
        cross(&node, client, how, || std::thread::sleep(pause));
        assert_eq!(ask(&node, &request("c-2")).status, 200, "later than the first one's time");
        assert_eq!(all_sent(node, &servers), "c-1 c-2 c-2", "{how:?}");
    }
}

const TURNED_AWAY: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// A request that was turned away is held, as no server takes work; there is room again after its client has left.
#[test]
fn a_held_request_is_not_sent_on_for_a_client_that_has_left() {
    for how in [Stays, Noticed, Unseen] {
        let (gate, first) = (Gate::default(), AtomicUsize::new(0));
        let held = gate.clone();
        let turns_away = move |_: &Message, stream: &mut TcpStream| {
            if first.fetch_add(1, SeqCst) > 0 {
                return write_ok(stream, "fine");
            }
            held.wait();
            stream.write_all(TURNED_AWAY).is_ok()
        };
        let (servers, node, client) = with_an_attempt(1, turns_away, &request("c-1"), patient);
        node.discovery.push(&line(2, false, &[("s-1", servers[0].addr, "leaving")]));
        node.wait_log("Draining");
        gate.open();
        wait_for("the connection to one that drains to be closed", || servers[0].closed_by_peer() == 1);
        assert!(is_open(&node), "it is held");
        let room = || node.discovery.push(&line(3, false, &[("s-1", servers[0].addr, "active")]));
        let status = cross(&node, client, how, room);
        wait_for("readiness", || ready(&node) == 200);
        assert_eq!(ask(&node, &request("c-2")).status, 200);
        let expected = if how == Stays { (Some(200), "c-1 c-1 c-2") } else { (None, "c-1 c-2") };
        assert_eq!((status, all_sent(node, &servers).as_str()), expected, "{how:?}");
    }
}

/// Two requests are pipelined on one connection, and its client leaves as the server turns the first away, or answers
/// it, in either order. Guards against another attempt, and against the second request being sent.
#[test]
fn a_pipelined_request_is_not_sent_for_a_client_that_has_left() {
    let orders = [(Noticed, true), (Unseen, true), (Unseen, false)];
    for (how, leaves_first) in orders {
        for turned_away in [true, false] {
            let (gate, told) = (Gate::default(), Gate::default());
            let (held, written) = (gate.clone(), told.clone());
            let answers = move |seen: &Message, stream: &mut TcpStream| {
                if id_of(seen) != "c-1" || written.is_open() {
                    return write_ok(stream, "fine");
                }
                held.wait();
                let away = turned_away && stream.write_all(TURNED_AWAY).is_ok();
                let fine = away || write_ok(stream, "fine");
                written.open();
                fine
            };
            let both = request("c-1") + &request("c-1b");
            let (servers, node, client) = with_an_attempt(1, answers, &both, patient);
            let answer = || {
                gate.open();
                told.wait();
            };
            if leaves_first {
                cross(&node, client, how, answer);
            } else {
                node.signal("STOP");
                answer();
                cross(&node, client, how, || ());
            }
            assert_eq!(ask(&node, &request("c-2")).status, 200);
            assert_eq!(all_sent(node, &servers), "c-1 c-2", "{how:?} {leaves_first} {turned_away}");
        }
    }
}

/// A hundred clients ask and leave while the limiter is stopped; what of theirs was sent on.
fn sent_of_a_burst(body: Option<usize>, kept: usize) -> String {
    let warm = AtomicUsize::new(0);
    let server = Stub::new(move |seen, stream| {
        if id_of(seen).starts_with("c-warm") {
            warm.fetch_add(1, SeqCst);
            wait_for("all connections to be in use", || warm.load(SeqCst) >= kept);
        }
        write_ok(stream, "fine")
    });
    let node = Node::with(&[("s-1", &server, "active")], patient);
    let mut users: Vec<_> = (0..kept).map(|n| send(&node, &request(&format!("c-warm{n}")))).collect();
    users.iter_mut().for_each(|client| assert_eq!(read_answer(client).status, 200));
    let text = |n: usize| match body {
        Some(length) => post("book", &format!("gone{n}"), "", &"x".repeat(length)),
        None => request(&format!("c-gone{n}")),
    };
    // Those that reset have something unread.
    let unread = |n: usize| {
        let client = send(&node, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        client.peek(&mut [0]).expect("an answer");
        (n, client)
    };
    let resetting: Vec<_> = (75..100).map(unread).collect();
    node.signal("STOP");
    let mut halves = Vec::new();
    for n in 0..75 {
        let behind = if n % 3 == 1 { request(&format!("c-gone{n}b")) } else { String::new() };
        let client = send(&node, &(text(n) + &behind));
        if n % 3 != 2 {
            client.shutdown(Shutdown::Write).expect("half a close");
            halves.push(client);
        }
    }
    for (n, mut client) in resetting {
        client.write_all(text(n).as_bytes()).expect("write");
    }
    std::thread::sleep(Duration::from_millis(200));
    node.signal("CONT");
    for mut client in halves {
        client.set_read_timeout(Some(Duration::from_secs(20))).expect("time-out");
        let ended = client.read_to_end(&mut Vec::new());
        assert!(!ended.is_err_and(|e| e.kind() == ErrorKind::WouldBlock), "not closed");
    }
    assert_eq!(ask(&node, &request("c-2")).status, 200);
    let sent = all_sent(node, &[server]);
    sent.split(' ').filter(|id| id.contains("gone")).collect::<Vec<_>>().join(" ")
}

/// The limiter finds whole requests with their ends behind them: closes, half closes, resets, with and without bytes in
/// between; with connections to the server at hand and without.
#[test]
fn a_burst_of_leaving_clients_sends_nothing() {
    let all = [(None, 0), (None, 8), (Some(5), 0), (Some(5), 8), (Some(40_000), 8)];
    let sent: Vec<_> = all.map(|(body, kept)| (body, kept, sent_of_a_burst(body, kept))).into();
    assert!(sent.iter().all(|s| s.2.is_empty()), "length of the body, kept connections, sent: {sent:?}");
}
