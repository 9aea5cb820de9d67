//! Where two events cross: each test makes the bad order happen, with stubs that hold and release on command.

mod stubs;

use std::io::Write;
use std::net::TcpStream;

use stubs::*;

/// One of a fleet of hundreds.
fn in_a_fleet(config: String) -> String {
    config.replace(r#""Balancers":1"#, r#""Balancers":300"#)
}

/// A class that is held for as long as it takes.
fn patient(config: String) -> String {
    config.replace(r#""Name":"look","AimMs":1000"#, r#""Name":"look","AimMs":60000"#)
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
        if node.logged("the list of the start counts") {
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
    node.wait_log("Gone");
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
