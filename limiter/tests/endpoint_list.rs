//! The endpoint list as discovery announces it: followed at once, read however it is laid out, and asked for again
//! whenever a watch breaks.

mod stubs;

use stubs::*;

/// One of a fleet of hundreds.
fn in_a_large_fleet(configuration: Configuration) -> Configuration {
    configuration.with_num_limiters(300)
}

#[test]
fn a_limiter_is_ready_only_with_a_serving_server() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::without_servers();
    assert!(!limiter.is_ready());
    limiter.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    limiter.discovery.send(&list_change(3, &[draining_at("s-1", server.addr)]));
    wait_for("unreadiness", || !limiter.is_ready());
}

/// Nothing new goes to a server that is draining or removed, and a restart under a new address is followed.
#[test]
fn changes_of_the_endpoint_list_are_applied() {
    let (one, two) = (StubServer::responding_with("one"), StubServer::responding_with("two"));
    let limiter = LimiterProcess::with_endpoints(&[serving("s-1", &one), serving("s-2", &two)], |c| c);
    let changes =
        [(draining_at("s-1", one.addr), "state=draining"), (removed_at("s-1", one.addr), "state=removed")];
    for (endpoint, logged) in changes {
        limiter.discovery.send(&list_change(2, &[endpoint]));
        limiter.wait_until_logged(logged);
        let num_before = one.num_received();
        for _ in 0..20 {
            assert_eq!(limiter.request(&idempotent_request()).body, "two");
        }
        assert_eq!(one.num_received(), num_before, "{logged}");
    }
    let moved = StubServer::responding_with("moved");
    limiter.discovery.send(&list_change(4, &[serving("s-2", &moved)]));
    limiter.wait_until_logged(&moved.addr.to_string());
    assert_eq!(limiter.request(&idempotent_request()).body, "moved");
}

/// Guards against lost changes: half lines are put together, a bad line and an ended watch begin a new one from the
/// last version that was complete, and one bad entry does not cost the others.
#[test]
fn incomplete_lines_invalid_lines_and_ended_watches_lose_no_change() {
    let one = StubServer::responding_with("one");
    let limiter = LimiterProcess::without_servers();
    let change = list_change(7, &[serving("s-1", &one)]);
    let (first, second) = change.split_at(30);
    limiter.discovery.send(first);
    sleep_ms(50);
    assert!(!limiter.is_ready());
    limiter.discovery.send(second);
    wait_for("the joined line", || limiter.is_ready());
    limiter.discovery.send("{\"version\":8,\n");
    wait_for("a new watch", || limiter.discovery.num_opened_watches() == 2);
    let watches = limiter.discovery.watch_request_heads();
    assert!(watches[1].contains("after=7"), "{watches:?}");
    limiter.discovery.close_watches();
    wait_for("another watch", || limiter.discovery.num_opened_watches() == 3);
    let with_bad_entry = r#"{"version":9,"full":false,"servers":[{"id":"s-3","addr":"nowhere"},{"id":"s-1","addr":"ADDR","state":"left"}]}"#;
    limiter.discovery.send(&format!("{}\n", with_bad_entry.replace("ADDR", &one.addr.to_string())));
    wait_for("the entry after the bad one", || !limiter.is_ready());
}

/// A watch that falls silent is broken, whatever its connection says.
#[test]
fn a_silent_watch_is_reopened() {
    let limiter = LimiterProcess::without_servers();
    limiter.discovery.stop_heartbeats();
    wait_for("a new watch", || limiter.discovery.num_opened_watches() >= 2);
}

/// Discovery is down, then returns and says that a server is draining: by then it is being called, or is within
/// moments. Guards against a backoff that grows with the fleet or the failures, to longer than requests may still be
/// forwarded.
#[test]
fn an_unresponsive_discovery_is_polled_continuously() {
    let (one, two) = (StubServer::responding_with("one"), StubServer::responding_with("two"));
    let endpoints = [serving("s-1", &one), serving("s-2", &two)];
    let limiter = LimiterProcess::with_endpoints(&endpoints, in_a_large_fleet);
    let num_before = limiter.discovery.num_watch_requests();
    limiter.discovery.stop_responding();
    // Far more than fit into the time of the test where a call is waited for as long as a watch.
    wait_for("calls, one after the other", || limiter.discovery.num_watch_requests() >= num_before + 12);
    limiter.discovery.resume_with(&list_change(2, &[draining_at("s-1", one.addr)]));
    limiter.wait_until_logged("state=draining");
    let num_received = one.num_received();
    for _ in 0..10 {
        assert_eq!(limiter.request(&idempotent_request()).body, "two");
    }
    assert_eq!(one.num_received(), num_received, "nothing new");
}

/// A watch that is reset is begun anew at once, however large the fleet.
#[test]
fn reset_watches_are_reopened_immediately() {
    let limiter = LimiterProcess::with_endpoints(&[], in_a_large_fleet);
    for n in 1..=12 {
        wait_for("the watch", || limiter.discovery.num_opened_watches() >= n);
        limiter.discovery.close_watches();
    }
}

/// Lists are read however they are laid out, and wherever their chunks end.
#[test]
fn indented_lists_are_parsed() {
    let (one, two) = (StubServer::responding_with("one"), StubServer::responding_with("two"));
    let indent = |text: &str| text.replace(',', ",\n    ").replace('{', "{\n  ").replace('}', "\n}");
    let limiter = LimiterProcess::without_servers();
    let list = indent(&complete_list(5, &[serving("s-1", &one), serving("s-2", &two)]));
    let (first, second) = list.split_at(list.len() / 2);
    limiter.discovery.send(first);
    limiter.discovery.send(second);
    limiter.wait_until_ready();
    let change = indent(&list_change(6, &[draining_at("s-2", two.addr)]));
    // Two at once: a change, a heartbeat, the next change.
    let next = indent(&list_change(7, &[removed_at("s-1", one.addr), serving("s-2", &two)]));
    limiter.discovery.send(&format!("{change}\n\n{next}"));
    limiter.wait_until_logged("state=removed");
    assert_eq!(limiter.request(&idempotent_request()).body, "two");
    assert_eq!(limiter.discovery.num_watch_requests(), 1, "one watch reads them all");
}

/// A change that cannot be read is asked for again, then the complete list is: it must not stand between the limiter
/// and all later ones.
#[test]
fn an_invalid_change_is_followed_by_the_complete_list() {
    let one = StubServer::responding_with("one");
    let limiter = LimiterProcess::without_servers();
    limiter.discovery.send(&list_change(7, &[serving("s-1", &one)]));
    limiter.wait_until_ready();
    for (num_watches, asks_for_changes) in [(2, true), (3, false)] {
        limiter.discovery.send("{\"version\":8}\n");
        wait_for("a new watch", || limiter.discovery.num_opened_watches() == num_watches);
        let watches = limiter.discovery.watch_request_heads();
        assert_eq!(watches[num_watches - 1].contains("after=7"), asks_for_changes, "{watches:?}");
    }
}

/// Discovery may be slow or crowded: an answer that takes longer than a call is waited for alone counts all the same.
#[test]
fn answers_of_a_slow_discovery_are_used() {
    for (mode, response_delay_ms) in [("automatic", 600), ("subscribe", 4000)] {
        let server = StubServer::responding_with("fine");
        let list = complete_list(1, &[serving("s-1", &server)]);
        let discovery = StubDiscovery::with_response_delay_ms(list, response_delay_ms);
        let limiter = LimiterProcess::with_discovery(
            discovery,
            |c| c.with_discovery_mode(mode),
            DEFAULT_DESCRIPTOR_LIMIT,
        );
        limiter.wait_until_logged("endpoint changed server=s-1 ");
        wait_for("service", || limiter.request(&idempotent_request()).body == "fine");
    }
}

/// A call that was not answered in time fails while the next ones are out: it ends alone.
#[test]
fn a_slow_watch_request_that_fails_does_not_affect_the_next_one() {
    let server = StubServer::responding_with("fine");
    let discovery = StubDiscovery::with_slow_failures(complete_list(1, &[serving("s-1", &server)]), 300, 8);
    let limiter = LimiterProcess::with_discovery(discovery, |c| c, DEFAULT_DESCRIPTOR_LIMIT);
    limiter.wait_until_logged("endpoint changed server=s-1 ");
    wait_for("service", || limiter.request(&idempotent_request()).body == "fine");
}

/// The largest fleet has 3,200 servers, and twice as many are listed while all of them are replaced; lists may come
/// indented.
#[test]
fn the_indented_list_of_the_largest_fleet_is_parsed() {
    const SERVERS: usize = 6400;
    let server = StubServer::responding_with("fine");
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
    let limiter = LimiterProcess::with_discovery(StubDiscovery::new(list), |c| c, DEFAULT_DESCRIPTOR_LIMIT);
    limiter.wait_until_logged("endpoint changed server=s-00000000 ");
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&idempotent_request()).body, "fine");
}
