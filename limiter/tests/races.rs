//! Where two events cross: each test makes the bad order happen, with stubs that hold and release on command.

mod stubs;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stubs::*;

/// One of a fleet of hundreds.
fn in_a_fleet(config: String) -> String {
    config.replace(r#""Balancers":1"#, r#""Balancers":300"#)
}

/// A class that is held for as long as it takes.
fn patient(config: String) -> String {
    config.replace(r#""Name":"look","AimMs":1000"#, r#""Name":"look","AimMs":600000"#)
}

/// A request whose client waits for longer than the test does.
fn long_get() -> String {
    get("look", "").replace("Left: 3.0", "Left: 60")
}

// ---- The list of servers ----

/// Discovery is down, then returns with the word that a server leaves: by then it is being called, or is within
/// moments. Guards against waits that grow with the fleet or the failures, longer than sends may go on.
#[test]
fn an_agent_that_is_silent_is_called_all_the_time() {
    let one = Stub::new(|_, stream| write_ok(stream, "one"));
    let two = Stub::new(|_, stream| write_ok(stream, "two"));
    let node = Node::with(&[("s-1", &one, "active"), ("s-2", &two, "active")], in_a_fleet);
    let before = node.discovery.calls();
    node.discovery.hold();
    // Far more than fit into the time of the test where a call is waited for as long as a watch.
    wait_for("calls, one after the other", || node.discovery.calls() >= before + 12);
    node.discovery.release(&line(2, false, &[("s-1", one.addr, "leaving")]));
    node.wait_log("Draining");
    let sent = one.seen().len();
    for _ in 0..10 {
        assert_eq!(ask(&node, &get("look", "")).body, "two");
    }
    assert_eq!(one.seen().len(), sent, "nothing new");
}

/// A watch that is reset is begun anew at once, however large the fleet.
#[test]
fn reset_watches_are_begun_anew_at_once() {
    let node = Node::with(&[], in_a_fleet);
    for n in 1..=12 {
        wait_for("the watch", || node.discovery.watches().len() >= n);
        node.discovery.end();
    }
}

/// What the agent has counts as told from a new process's first moment, and the list that it was given at its start
/// may be old: a request that comes before the agent has spoken waits for its word.
#[test]
fn nothing_is_sent_by_an_old_list_before_the_agent_has_spoken() {
    let one = Stub::new(|_, stream| write_ok(stream, "one"));
    let two = Stub::new(|_, stream| write_ok(stream, "two"));
    let known = line(1, true, &[("s-1", one.addr, "active")]);
    // On a machine so slow that the agent has had its chance before it is released, it is done once more.
    for _ in 0..10 {
        let discovery = Discovery::held("\n".to_string());
        let node = Node::before(
            discovery,
            |c| patient(c).replace(r#"{"version":1,"full":true,"servers":[]}"#, known.trim_end()),
            1024,
        );
        let mut client = TcpStream::connect(node.addr).expect("connect");
        client.write_all(get("look", "").as_bytes()).expect("write");
        wait_for("the call", || node.discovery.calls() > 0);
        node.discovery.release(&line(2, false, &[("s-1", one.addr, "leaving"), ("s-2", two.addr, "active")]));
        let answer = read_answer(&mut client);
        if node.logged("using the endpoint list of the configuration") {
            continue;
        }
        assert_eq!((answer.status, answer.body.as_str()), (200, "two"));
        assert!(one.seen().is_empty(), "{} sent by the old list", one.seen().len());
        return;
    }
    panic!("the list of the start counted before the agent could speak");
}

/// An agent that says nothing at all costs a start little: then the list that was given counts.
#[test]
fn the_list_of_the_start_counts_where_the_agent_is_silent() {
    let one = Stub::new(|_, stream| write_ok(stream, "one"));
    let known = line(1, true, &[("s-1", one.addr, "active")]);
    let alter = |c: String| c.replace(r#"{"version":1,"full":true,"servers":[]}"#, known.trim_end());
    let node = Node::before(Discovery::held("\n".to_string()), alter, 1024);
    wait_for("readiness", || ready(&node) == 200);
    assert_eq!(ask(&node, &get("look", "")).body, "one");
}

/// Lists are read however they are laid out, and wherever their chunks end.
#[test]
fn indented_lists_are_read() {
    let one = Stub::new(|_, stream| write_ok(stream, "one"));
    let two = Stub::new(|_, stream| write_ok(stream, "two"));
    let indent = |text: &str| text.replace(',', ",\n    ").replace('{', "{\n  ").replace('}', "\n}");
    let node = Node::start(&[]);
    let news = indent(&line(5, true, &[("s-1", one.addr, "active"), ("s-2", two.addr, "active")]));
    let (first, second) = news.split_at(news.len() / 2);
    node.discovery.push(first);
    node.discovery.push(second);
    wait_for("readiness", || ready(&node) == 200);
    let change = indent(&line(6, false, &[("s-2", two.addr, "leaving")]));
    // Two at once: a change, a beat, the next change.
    let back = indent(&line(7, false, &[("s-1", one.addr, "left"), ("s-2", two.addr, "active")]));
    node.discovery.push(&format!("{change}\n\n{back}"));
    node.wait_log("Removed");
    assert_eq!(ask(&node, &get("look", "")).body, "two");
    assert_eq!(node.discovery.calls(), 1, "one watch reads them all");
}

/// A change that cannot be read is asked for again, then the whole list is: it must not stand between the limiter and
/// all later ones.
#[test]
fn a_change_that_cannot_be_read_ends_in_the_whole_list() {
    let one = Stub::new(|_, stream| write_ok(stream, "one"));
    let node = Node::start(&[]);
    node.discovery.push(&line(7, false, &[("s-1", one.addr, "active")]));
    wait_for("readiness", || ready(&node) == 200);
    for (watches, after) in [(2, true), (3, false)] {
        node.discovery.push("{\"version\":8}\n");
        wait_for("a new watch", || node.discovery.watches().len() == watches);
        let heads = node.discovery.watches();
        assert_eq!(heads[watches - 1].contains("after=7"), after, "{heads:?}");
    }
}

// ---- Clients that leave ----

/// A request that waits, as no server is there, and its client.
fn waiting(node: &Node) -> TcpStream {
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all(long_get().as_bytes()).expect("write");
    wait_for("the request to be taken", || is_open(node));
    client
}

/// Whether a request with the usual id is open: only then is another one turned away for it.
fn is_open(node: &Node) -> bool {
    ask(node, &get("look", "").replace("X-Time-Left: 3.0", "X-Time-Left: 0.0")).status == 409
}

/// The end of a client that leaves reaches its waiting request whatever stands before it: bytes behind the request, and
/// more of them than are kept. Guards against sending on what nobody waits for.
#[test]
fn a_client_that_leaves_is_noticed_behind_what_it_sent() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    for (behind, half) in [(0, false), (12, false), (12, true), (20_000, false), (300_000, true)] {
        let node = Node::with(&[], patient);
        let mut client = waiting(&node);
        let more = vec![b'x'; behind];
        // In two parts: what comes first is read by those who look for a whole head alone.
        let (first, second) = more.split_at(behind / 2);
        client.write_all(first).expect("write");
        assert!(is_open(&node));
        client.write_all(second).expect("write");
        if half {
            client.shutdown(Shutdown::Write).expect("half a close");
        } else {
            drop(client);
        }
        wait_for("the end to be noticed", || !is_open(&node));
        node.discovery.push(&line(2, false, &[("s-1", server.addr, "active")]));
        wait_for("readiness", || ready(&node) == 200);
        assert!(server.seen().is_empty(), "{behind} bytes behind: sent on for nobody");
    }
}

/// As above, with a reset: what the client has not read makes its close one.
#[test]
fn a_client_that_resets_is_noticed() {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let node = Node::with(&[], patient);
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("write");
    let mut byte = [0];
    client.peek(&mut byte).expect("an answer that stays unread");
    client.write_all(long_get().as_bytes()).expect("write");
    wait_for("the request to be taken", || is_open(&node));
    drop(client);
    wait_for("the reset to be noticed", || !is_open(&node));
    node.discovery.push(&line(2, false, &[("s-1", server.addr, "active")]));
    wait_for("readiness", || ready(&node) == 200);
    assert!(server.seen().is_empty());
}

/// What comes behind an open request is the next one: read ahead, it is neither lost nor reordered.
#[test]
fn requests_behind_an_open_one_are_answered_in_their_order() {
    let server = Stub::new(|seen, stream| {
        let body = seen.body.clone();
        write_ok(stream, &body)
    });
    let node = Node::with(&[], patient);
    let mut client = waiting(&node);
    for n in 0..20 {
        client.write_all(post("book", &format!("k{n}"), "", &format!("body {n}")).as_bytes()).expect("write");
    }
    node.discovery.push(&line(2, false, &[("s-1", server.addr, "active")]));
    assert_eq!(read_answer(&mut client).status, 200);
    for n in 0..20 {
        assert_eq!(read_answer(&mut client).body, format!("body {n}"));
    }
}

// ---- Servers ----

/// A server whose connections do not come up: its queue is full until it is let go.
struct Full {
    addr: SocketAddr,
    listener: TcpListener,
    fill: Vec<TcpStream>,
}

impl Full {
    fn new() -> Full {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bind");
            socket.listen(1).expect("listen").into_std().expect("a listener")
        });
        listener.set_nonblocking(false).expect("blocking");
        let addr = listener.local_addr().expect("address");
        let mut fill = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
            fill.push(stream);
        }
        Full { addr, listener, fill }
    }

    /// Lets connections come up, and answers. For each, whether its first word was a request or its end.
    fn release(self) -> Arc<Mutex<Vec<bool>>> {
        let first = Arc::new(Mutex::new(Vec::new()));
        let all = first.clone();
        drop(self.fill);
        std::thread::spawn(move || {
            for stream in self.listener.incoming() {
                let (Ok(mut stream), all) = (stream, all.clone()) else { continue };
                std::thread::spawn(move || {
                    let mut some = [0; 4096];
                    let asks = |n: std::io::Result<usize>| n.is_ok_and(|n| n > 0);
                    let mut asked = asks(stream.read(&mut some));
                    all.lock().expect("lock").push(asked);
                    while asked {
                        write_ok(&mut stream, "late");
                        asked = asks(stream.read(&mut some));
                    }
                });
            }
        });
        first
    }
}

/// Time enough for a connection to come up late: the first bytes of it are sent again after 1 s, 2 s, 4 s.
fn long_dial(config: String) -> String {
    patient(config).replace(r#""DialTimeoutMs":250"#, r#""DialTimeoutMs":15000"#)
}

fn node_before(server: SocketAddr) -> Node {
    node_before_with(server, |config| config)
}

fn node_before_with(server: SocketAddr, alter: impl Fn(String) -> String) -> Node {
    let node = Node::with(&[], |config| alter(long_dial(config)));
    node.discovery.push(&line(2, false, &[("s-1", server, "active")]));
    wait_for("readiness", || ready(&node) == 200);
    node
}

/// A connection that comes up after its server began to drain carries nothing.
#[test]
fn a_connection_that_comes_up_after_a_drain_carries_nothing() {
    let full = Full::new();
    let other = Stub::new(|_, stream| write_ok(stream, "other"));
    let node = node_before(full.addr);
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all(long_get().as_bytes()).expect("write");
    wait_for("the request to be taken", || is_open(&node));
    let changes = [("s-1", full.addr, "leaving"), ("s-2", other.addr, "active")];
    node.discovery.push(&line(3, false, &changes));
    node.wait_log("Draining");
    let others = full.fill.len();
    let first = full.release();
    assert_eq!(read_answer(&mut client).body, "other");
    wait_for("the late connection", || first.lock().expect("lock").len() == others + 1);
    assert!(!first.lock().expect("lock").contains(&true));
}

/// A connection that comes up after the client has left carries nothing either. Where attempts may be called off, it is
/// given up with the client: none comes up.
#[test]
fn a_connection_that_comes_up_after_its_client_has_left_carries_nothing() {
    late_for_a_client_that_has_left("false", 2);
    late_for_a_client_that_has_left("true", 1);
}

/// How many connections come up, the next client's among them; the requests that they carry are counted once the program
/// has ended.
fn late_for_a_client_that_has_left(cancelling: &str, connections: usize) {
    let full = Full::new();
    let cancelling = format!("\"Cancelling\":{cancelling}");
    let mut node = node_before_with(full.addr, |c| c.replace("\"Cancelling\":true", &cancelling));
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all(long_get().as_bytes()).expect("write");
    wait_for("the request to be taken", || is_open(&node));
    drop(client);
    wait_for("the end to be noticed", || !is_open(&node));
    let others = full.fill.len();
    let first = full.release();
    let next = ask(&node, &long_get().replace("c-1", "c-2"));
    assert_eq!((next.status, next.body.as_str()), (200, "late"));
    wait_for("the connections", || first.lock().expect("lock").len() == others + connections);
    node.signal("TERM");
    assert_eq!(node.exit_code(), Some(0));
    let first = first.lock().expect("lock");
    assert_eq!(first.iter().filter(|asked| **asked).count(), 1, "the second one alone");
    assert_eq!(first.len(), others + connections, "no other has come up");
}

/// A keyed request may have run, and the connection for its retry comes up after the window in which servers drop
/// repeats: it carries nothing, and the client is told of no more than a failure.
#[test]
fn a_connection_that_comes_up_after_the_window_of_repeats_carries_nothing() {
    let (full, gate) = (Full::new(), Arc::new(Mutex::new(())));
    let closed = gate.clone();
    let breaks_off = Stub::new(move |_, _| closed.lock().is_err());
    let held = gate.lock().expect("lock");
    let node = Node::with(&[("s-1", &breaks_off, "active")], |c| {
        long_dial(c)
            .replace(r#""AimMs":2500"#, r#""AimMs":600000"#)
            .replace(r#""WindowMs":8000"#, r#""WindowMs":1000"#)
    });
    let mut client = TcpStream::connect(node.addr).expect("connect");
    let request = post("book", "k", "", "x").replace("Left: 3.0", "Left: 60");
    client.write_all(request.as_bytes()).expect("write");
    wait_for("the first attempt", || breaks_off.seen().len() == 1);
    node.discovery.push(&line(2, false, &[("s-2", full.addr, "active")]));
    node.wait_log("server s-2");
    drop(held);
    wait_for("the first attempt to break off", || breaks_off.closed_by_peer() == 1);
    // The window counts from before the first attempt was seen.
    std::thread::sleep(Duration::from_millis(1200));
    let others = full.fill.len();
    let first = full.release();
    assert_eq!(read_answer(&mut client).status, 502);
    wait_for("the late connection", || first.lock().expect("lock").len() == others + 1);
    assert!(!first.lock().expect("lock").contains(&true), "sent again after the window");
}

// ---- The end of a process ----

/// A server that takes requests and says nothing.
fn hanging() -> Stub {
    Stub::new(|_, stream| {
        let mut rest = [0; 64];
        while stream.read(&mut rest).is_ok_and(|n| n > 0) {}
        false
    })
}

/// After SIGTERM there is a last moment for answers, whatever time a client has left: what a server that hangs holds is
/// answered by then, as is what comes later, and only then the process ends.
#[test]
fn all_is_answered_before_the_end_though_servers_hang() {
    let server = hanging();
    let mut node = Node::with(&[("s-1", &server, "active")], |c| {
        let late = r#""LateWorth":0.2,"DeadlineMs":400,"#;
        c.replace(r#""KeyScope":"all","#, &format!(r#""KeyScope":"all",{late}"#))
            .replace(r#""LateWorth":0}"#, r#""LateWorth":0,"DeadlineMs":400}"#)
    });
    let long = |n: u32| post("book", &format!("k{n}"), "", "x").replace("Left: 3.0", "Left: 600");
    let mut clients: Vec<TcpStream> = (0..4)
        .map(|n| {
            let mut client = TcpStream::connect(node.addr).expect("connect");
            client.write_all(long(n).as_bytes()).expect("write");
            client
        })
        .collect();
    wait_for("the requests to arrive", || server.seen().len() >= 4);
    node.signal("TERM");
    node.wait_log("shutting down");
    let mut late = TcpStream::connect(node.addr).expect("connect");
    late.write_all(long(9).as_bytes()).expect("write");
    clients.push(late);
    for client in &mut clients {
        assert_eq!(read_answer(client).status, 502, "it may have run");
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// An answer that its client reads slowly is not cut by the end of the process or its sweeps.
#[test]
fn an_answer_that_is_being_written_is_not_cut() {
    let body: String = ('a'..='z').cycle().take(60_000).collect();
    let text = body.clone();
    let server = Stub::new(move |_, stream| write_ok(stream, &text));
    let mut node = Node::start(&[("s-1", &server, "active")]);
    let mut client = TcpStream::connect(node.addr).expect("connect");
    // Requests one behind the other, and none of their answers read: sooner or later one cannot be written.
    let all: String = (0..300).map(|n| get("look", "X-A: b\r\n").replace("c-1", &format!("c-{n}"))).collect();
    let mut writer = client.try_clone().expect("a clone");
    let writing = std::thread::spawn(move || drop(writer.write_all(all.as_bytes())));
    let (mut before, mut same) = (0, 0);
    wait_for("an answer that cannot be written", || {
        let seen = server.seen().len();
        same = if seen == before && seen > 0 { same + 1 } else { 0 };
        before = seen;
        same > 30
    });
    assert!(before < 300, "all were answered");
    node.signal("TERM");
    wait_for("the end to refuse connections", || TcpStream::connect(node.addr).is_err());
    // Longer than any sweep of idle connections.
    std::thread::sleep(Duration::from_millis(1500));
    client.set_read_timeout(Some(Duration::from_secs(20))).expect("time-out");
    let mut text = Vec::new();
    let _ = client.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text);
    assert!(text.ends_with(&body), "the last answer of {} bytes is cut", text.len());
    assert_eq!(node.exit_code(), Some(0));
    drop(client);
    writing.join().expect("the writer");
}
