//! How soon a process that has just started is ready, and what it keeps for itself under a crowd.

mod stubs;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use stubs::*;

const NONE_KNOWN: &str = r#"{"version":1,"full":true,"servers":[]}"#;

/// Starts with a list of an earlier time, before an agent or a discovery that takes calls and says nothing.
fn ready_in_time(known: &str, mode: &str) -> Node {
    let alter = |c: String| c.replace(NONE_KNOWN, known).replace("automatic", mode);
    let node = Node::before(Discovery::held("\n".to_string()), alter, 1024);
    wait_for("readiness", || ready(&node) == 200);
    node
}

/// Discovery is silent: with an old list, an empty one, one that names nothing that takes work, one that cannot be read
/// and none at all a new process is ready in time, and answers at once that it cannot serve, if it cannot.
#[test]
fn a_new_process_is_ready_though_discovery_is_silent() {
    let gone: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let old = line(1, true, &[("s-1", gone, "active")]);
    let leaving = line(1, true, &[("s-1", gone, "leaving")]);
    for mode in ["automatic", "subscribe"] {
        std::thread::scope(|all| {
            for known in [old.trim_end(), NONE_KNOWN, leaving.trim_end(), "{\"servers\":7}", "null"] {
                all.spawn(move || {
                    let node = ready_in_time(known, mode);
                    assert_eq!(ask(&node, &get("look", "")).status, 429, "{known}");
                });
            }
        });
    }
}

/// Nothing answers where discovery should be.
#[test]
fn a_new_process_is_ready_though_discovery_is_down() {
    for mode in ["automatic", "subscribe"] {
        let discovery = Discovery::new(String::new());
        let there = format!("\"discovery\":\"{}\"", discovery.addr);
        let alter = |c: String| c.replace(&there, r#""discovery":"127.0.0.1:1""#).replace("automatic", mode);
        let node = Node::before(discovery, alter, 1024);
        wait_for("readiness", || ready(&node) == 200);
    }
}

/// As many descriptors as the smallest configuration promises. Servers hang with an attempt on every connection that may
/// be open to them, and idle clients take every place there is, again and again, while discovery is down: its call has a
/// descriptor of its own, so that what it says at its return is in force, and so have the attempts that follow.
#[test]
fn idle_clients_leave_discovery_and_attempts_their_descriptors() {
    let hangs = Stub::new(|_, stream| {
        wait_for("the end", || stream.peek(&mut [0]).is_ok_and(|n| n == 0));
        false
    });
    let fine = Stub::new(|_, stream| write_ok(stream, "fine"));
    let known = line(1, true, &[("s-1", hangs.addr, "active")]);
    let small = |c: String| {
        let patient = c.replace(r#""AimMs":1000"#, r#""AimMs":600000"#);
        patient.replace(r#""sockets":1024"#, r#""sockets":64"#).replace(NONE_KNOWN, known.trim_end())
    };
    let node = Node::before(Discovery::held("\n".to_string()), small, 64);
    node.wait_log("using the endpoint list of the configuration");
    let hang = |n: usize| {
        let mut client = TcpStream::connect(node.addr).expect("connect");
        let request = get("look", "").replace("c-1", &format!("c-{n}")).replace("Left: 3.0", "Left: 60");
        client.write_all(request.as_bytes()).expect("write");
        client
    };
    let hanging: Vec<TcpStream> = (0..30).map(hang).collect();
    wait_for("attempts on all connections", || hangs.seen().len() >= 16);
    let (over, addr) = (Arc::new(AtomicBool::new(false)), node.addr);
    let ended = over.clone();
    let crowd = std::thread::spawn(move || {
        // A place that is taken from one is taken by the next, for as long as the test needs.
        let mut idle = std::collections::VecDeque::new();
        while !ended.load(Ordering::SeqCst) {
            idle.extend(TcpStream::connect(addr));
            idle.drain(..idle.len().saturating_sub(200));
            std::thread::sleep(Duration::from_millis(1));
        }
    });
    let calls = node.discovery.calls();
    wait_for("more calls", || node.discovery.calls() > calls + 5);
    let change = [("s-1", hangs.addr, "leaving"), ("s-2", fine.addr, "active")];
    node.discovery.release(&line(2, false, &change));
    node.wait_log("server s-2");
    assert!(!node.logged("open files"), "no call or attempt wants for a descriptor");
    drop(hanging);
    over.store(true, Ordering::SeqCst);
    crowd.join().expect("the crowd");
    wait_for("service", || ask(&node, &get("look", "").replace("c-1", "c-fine")).body == "fine");
}
