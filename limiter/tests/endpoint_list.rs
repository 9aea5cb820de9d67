//! The endpoint list as discovery announces it: followed at once, read however it is laid out, and asked for again
//! whenever a watch breaks.

mod stubs;

use stubs::*;

/// One of a fleet of hundreds.
fn in_a_large_fleet(configuration: Configuration) -> Configuration {
    configuration.with_limiters(300)
}

#[test]
fn a_limiter_is_ready_only_with_a_server_that_takes_requests() {
    let server = StubServer::responding("fine");
    let node = NodeProcess::without_servers();
    assert!(!node.is_ready());
    node.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    node.wait_ready();
    assert_eq!(node.request(&idempotent_request()).status, 200);
    node.discovery.send(&list_change(3, &[draining_at("s-1", server.addr)]));
    wait_for("unreadiness", || !node.is_ready());
}

/// Nothing new goes to a server that is draining or removed, and a restart under a new address is followed.
#[test]
fn changes_of_the_list_are_followed() {
    let (one, two) = (StubServer::responding("one"), StubServer::responding("two"));
    let node = NodeProcess::with_endpoints(&[serving("s-1", &one), serving("s-2", &two)], |c| c);
    let changes =
        [(draining_at("s-1", one.addr), "state=draining"), (removed_at("s-1", one.addr), "state=removed")];
    for (endpoint, logged) in changes {
        node.discovery.send(&list_change(2, &[endpoint]));
        node.wait_log(logged);
        let num_before = one.num_received();
        for _ in 0..20 {
            assert_eq!(node.request(&idempotent_request()).body, "two");
        }
        assert_eq!(one.num_received(), num_before, "{logged}");
    }
    let moved = StubServer::responding("moved");
    node.discovery.send(&list_change(4, &[serving("s-2", &moved)]));
    node.wait_log(&moved.addr.to_string());
    assert_eq!(node.request(&idempotent_request()).body, "moved");
}

/// Guards against lost changes: half lines are put together, a bad line and an ended watch begin a new one from the
/// last version that was complete, and one bad entry does not cost the others.
#[test]
fn half_lines_bad_lines_and_ended_watches_lose_no_change() {
    let one = StubServer::responding("one");
    let node = NodeProcess::without_servers();
    let change = list_change(7, &[serving("s-1", &one)]);
    let (first, second) = change.split_at(30);
    node.discovery.send(first);
    pause_ms(50);
    assert!(!node.is_ready());
    node.discovery.send(second);
    wait_for("the joined line", || node.is_ready());
    node.discovery.send("{\"version\":8,\n");
    wait_for("a new watch", || node.discovery.num_watches() == 2);
    let watches = node.discovery.watch_requests();
    assert!(watches[1].contains("after=7"), "{watches:?}");
    node.discovery.end_watches();
    wait_for("another watch", || node.discovery.num_watches() == 3);
    let with_bad_entry = r#"{"version":9,"full":false,"servers":[{"id":"s-3","addr":"nowhere"},{"id":"s-1","addr":"ADDR","state":"left"}]}"#;
    node.discovery.send(&format!("{}\n", with_bad_entry.replace("ADDR", &one.addr.to_string())));
    wait_for("the entry after the bad one", || !node.is_ready());
}

/// A watch that falls silent is broken, whatever its connection says.
#[test]
fn a_silent_watch_is_begun_anew() {
    let node = NodeProcess::without_servers();
    node.discovery.stop_heartbeats();
    wait_for("a new watch", || node.discovery.num_watches() >= 2);
}

/// Discovery is down, then returns and says that a server is draining: by then it is being called, or is within
/// moments. Guards against a backoff that grows with the fleet or the failures, to longer than requests may still be
/// forwarded.
#[test]
fn an_unresponsive_discovery_is_called_all_the_time() {
    let (one, two) = (StubServer::responding("one"), StubServer::responding("two"));
    let endpoints = [serving("s-1", &one), serving("s-2", &two)];
    let node = NodeProcess::with_endpoints(&endpoints, in_a_large_fleet);
    let num_before = node.discovery.num_calls();
    node.discovery.stop_responding();
    // Far more than fit into the time of the test where a call is waited for as long as a watch.
    wait_for("calls, one after the other", || node.discovery.num_calls() >= num_before + 12);
    node.discovery.resume_with(&list_change(2, &[draining_at("s-1", one.addr)]));
    node.wait_log("state=draining");
    let num_received = one.num_received();
    for _ in 0..10 {
        assert_eq!(node.request(&idempotent_request()).body, "two");
    }
    assert_eq!(one.num_received(), num_received, "nothing new");
}

/// A watch that is reset is begun anew at once, however large the fleet.
#[test]
fn reset_watches_are_begun_anew_at_once() {
    let node = NodeProcess::with_endpoints(&[], in_a_large_fleet);
    for n in 1..=12 {
        wait_for("the watch", || node.discovery.num_watches() >= n);
        node.discovery.end_watches();
    }
}

/// Lists are read however they are laid out, and wherever their chunks end.
#[test]
fn indented_lists_are_read() {
    let (one, two) = (StubServer::responding("one"), StubServer::responding("two"));
    let indent = |text: &str| text.replace(',', ",\n    ").replace('{', "{\n  ").replace('}', "\n}");
    let node = NodeProcess::without_servers();
    let list = indent(&complete_list(5, &[serving("s-1", &one), serving("s-2", &two)]));
    let (first, second) = list.split_at(list.len() / 2);
    node.discovery.send(first);
    node.discovery.send(second);
    node.wait_ready();
    let change = indent(&list_change(6, &[draining_at("s-2", two.addr)]));
    // Two at once: a change, a heartbeat, the next change.
    let next = indent(&list_change(7, &[removed_at("s-1", one.addr), serving("s-2", &two)]));
    node.discovery.send(&format!("{change}\n\n{next}"));
    node.wait_log("state=removed");
    assert_eq!(node.request(&idempotent_request()).body, "two");
    assert_eq!(node.discovery.num_calls(), 1, "one watch reads them all");
}

/// A change that cannot be read is asked for again, then the complete list is: it must not stand between the limiter
/// and all later ones.
#[test]
fn a_change_that_cannot_be_read_ends_in_the_complete_list() {
    let one = StubServer::responding("one");
    let node = NodeProcess::without_servers();
    node.discovery.send(&list_change(7, &[serving("s-1", &one)]));
    node.wait_ready();
    for (num_watches, asks_for_changes) in [(2, true), (3, false)] {
        node.discovery.send("{\"version\":8}\n");
        wait_for("a new watch", || node.discovery.num_watches() == num_watches);
        let watches = node.discovery.watch_requests();
        assert_eq!(watches[num_watches - 1].contains("after=7"), asks_for_changes, "{watches:?}");
    }
}

/// Discovery may be slow or crowded: an answer that takes longer than a call is waited for alone counts all the same.
#[test]
fn a_slow_discovery_is_heard() {
    for (mode, response_delay_ms) in [("automatic", 600), ("subscribe", 4000)] {
        let server = StubServer::responding("fine");
        let list = complete_list(1, &[serving("s-1", &server)]);
        let discovery = StubDiscovery::slow(list, response_delay_ms);
        let node =
            NodeProcess::with_discovery(discovery, |c| c.with_discovery_mode(mode), DEFAULT_DESCRIPTORS);
        node.wait_log("endpoint changed server=s-1 ");
        wait_for("service", || node.request(&idempotent_request()).body == "fine");
    }
}

/// A call that was not answered in time fails while the next ones are out: it ends alone.
#[test]
fn a_call_that_fails_late_harms_no_other() {
    let server = StubServer::responding("fine");
    let discovery = StubDiscovery::failing_late(complete_list(1, &[serving("s-1", &server)]), 300, 8);
    let node = NodeProcess::with_discovery(discovery, |c| c, DEFAULT_DESCRIPTORS);
    node.wait_log("endpoint changed server=s-1 ");
    wait_for("service", || node.request(&idempotent_request()).body == "fine");
}

/// The largest fleet has 3,200 servers, and twice as many are listed while all of them are replaced; lists may come
/// indented.
#[test]
fn the_indented_list_of_the_largest_fleet_is_read() {
    const SERVERS: usize = 6400;
    let server = StubServer::responding("fine");
    let entry = |n: usize| {
        let (state, address) = if n == 0 {
            ("active", server.addr.to_string())
        } else {
            ("leaving", format!("10.{}.{}.18:3000", 100 + n / 250, n % 250))
        };
        let fields = [
            format!("\"id\": \"s-{n:08x}\""),
            format!("\"addr\": \"{address}\""),
            "\"zone\": \"a\"".to_string(),
            "\"kind\": \"m2\"".to_string(),
            "\"cell\": 3".to_string(),
            format!("\"state\": \"{state}\""),
            "\"weight\": 1.0".to_string(),
            "\"started_ms\": 0.0".to_string(),
        ];
        format!("        {{\n            {}\n        }}", fields.join(",\n            "))
    };
    let entries: Vec<String> = (0..SERVERS).map(entry).collect();
    let list = format!(
        "{{\n    \"version\": 41,\n    \"full\": true,\n    \"servers\": [\n{}\n    ]\n}}\n",
        entries.join(",\n")
    );
    let node = NodeProcess::with_discovery(StubDiscovery::new(list), |c| c, DEFAULT_DESCRIPTORS);
    node.wait_log("endpoint changed server=s-00000000 ");
    node.wait_ready();
    assert_eq!(node.request(&idempotent_request()).body, "fine");
}
