//! The endpoint list of discovery: lists are parsed regardless of their whitespace, and changes of the list
//! are applied. `discovery_watches.rs` tests the watches on which lists arrive.

mod stubs;

use std::net::SocketAddr;

use stubs::*;

/// A limiter has no serving server, then one, then none again. The limiter must report that it is ready only
/// while it has a serving server, because otherwise it could serve no request.
#[test]
fn a_limiter_is_ready_only_with_a_serving_server() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::without_servers();
    assert!(!limiter.is_ready());
    limiter.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    limiter.discovery.send(&list_change(3, &[draining_at("s-1", server.addr)]));
    wait_for("the limiter to be no longer ready", || !limiter.is_ready());
}

/// One of two servers drains and is removed, and the other one restarts at a new address. A draining or
/// removed server must receive no new requests, and requests must reach the new address.
#[test]
fn changes_of_the_endpoint_list_are_applied() {
    let server_one = StubServer::responding_with("one");
    let server_two = StubServer::responding_with("two");
    let endpoints = [serving("s-1", &server_one), serving("s-2", &server_two)];
    let limiter = LimiterProcess::with_endpoints(&endpoints, |configuration| configuration);

    limiter.discovery.send(&list_change(2, &[draining_at("s-1", server_one.addr)]));
    limiter.wait_until_logged("state=draining");
    server_one.assert_receives_nothing_during(|| limiter.assert_response_bodies("two", 20));

    limiter.discovery.send(&list_change(2, &[removed_at("s-1", server_one.addr)]));
    limiter.wait_until_logged("state=removed");
    server_one.assert_receives_nothing_during(|| limiter.assert_response_bodies("two", 20));

    let restarted_server = StubServer::responding_with("restarted");
    limiter.discovery.send(&list_change(4, &[serving("s-2", &restarted_server)]));
    limiter.wait_until_logged(&restarted_server.addr.to_string());
    assert_eq!(limiter.request(&idempotent_request()).body, "restarted");
}

/// A line arrives in two chunks, a line is invalid, a watch is closed, and a list contains an invalid entry.
/// The limiter joins the chunks, reopens the watch from the last complete version after an invalid line, and
/// applies the valid entries of a list, so that it misses no change.
#[test]
fn split_lines_invalid_lines_and_closed_watches_lose_no_change() {
    let server = StubServer::responding_with("one");
    let limiter = LimiterProcess::without_servers();
    let change = list_change(7, &[serving("s-1", &server)]);
    let (first_chunk, second_chunk) = change.split_at(30);
    limiter.discovery.send(first_chunk);
    sleep_ms(50);
    assert!(!limiter.is_ready());
    limiter.discovery.send(second_chunk);
    wait_for("the joined line to be applied", || limiter.is_ready());

    limiter.discovery.send("{\"version\":8,\n");
    wait_for("the second watch", || limiter.discovery.num_opened_watches() == 2);
    let heads = limiter.discovery.watch_request_heads();
    assert!(heads[1].contains("after=7"), "{heads:?}");

    limiter.discovery.close_watches();
    wait_for("the third watch", || limiter.discovery.num_opened_watches() == 3);
    limiter.discovery.send(&removal_after_invalid_entry(server.addr));
    wait_for("the entry after the invalid one to be applied", || !limiter.is_ready());
}

/// Returns a list whose first entry has an invalid address and whose second entry removes the server s-1.
fn removal_after_invalid_entry(addr: SocketAddr) -> String {
    let invalid_entry = r#"{"id":"s-3","addr":"nowhere"}"#;
    let removal = format!(r#"{{"id":"s-1","addr":"{addr}","state":"left"}}"#);
    format!("{{\"version\":9,\"full\":false,\"servers\":[{invalid_entry},{removal}]}}\n")
}

/// Discovery sends lists with line breaks and indentation, a list in two chunks, and two changes in one
/// chunk. The limiter parses all of them on one watch, because neither whitespace nor the boundaries of
/// chunks have a meaning.
#[test]
fn indented_lists_are_parsed() {
    let server_one = StubServer::responding_with("one");
    let server_two = StubServer::responding_with("two");
    let limiter = LimiterProcess::without_servers();
    let list = indent(&complete_list(5, &[serving("s-1", &server_one), serving("s-2", &server_two)]));
    let (first_chunk, second_chunk) = list.split_at(list.len() / 2);
    limiter.discovery.send(first_chunk);
    limiter.discovery.send(second_chunk);
    limiter.wait_until_ready();
    let first_change = indent(&list_change(6, &[draining_at("s-2", server_two.addr)]));
    let second_entries = [removed_at("s-1", server_one.addr), serving("s-2", &server_two)];
    let second_change = indent(&list_change(7, &second_entries));
    // One chunk contains a change, a heartbeat and the next change.
    limiter.discovery.send(&format!("{first_change}\n\n{second_change}"));
    limiter.wait_until_logged("state=removed");
    assert_eq!(limiter.request(&idempotent_request()).body, "two");
    assert_eq!(limiter.discovery.num_watch_requests(), 1, "a list was not parsed on the first watch");
}

/// Adds a line break and spaces after each comma and opening brace, and a line break before each closing
/// brace.
fn indent(list: &str) -> String {
    list.replace(',', ",\n    ").replace('{', "{\n  ").replace('}', "\n}")
}

/// Number of entries of the longest list. The largest fleet has 3,200 servers, and the list has twice as many
/// entries while all of them are being replaced.
const MAX_LISTED_SERVERS: usize = 6400;

/// Start of the process that replaces another one at its address, in Unix milliseconds.
const SUCCESSOR_STARTED_AT_MS: u64 = 1_000_000;

/// Guards against a process that is taken for one that has gone: a server with another id is announced at the
/// address of a server that is still listed. The later process has replaced the earlier one, whose id must
/// receive nothing from then on, in particular not while the successor drains.
#[test]
fn a_server_ends_when_a_later_one_is_announced_at_its_address() {
    for is_complete in [false, true] {
        let server = StubServer::responding_with("fine");
        let limiter = LimiterProcess::in_front_of(&server);
        let successor = serving("s-2", &server).started_at_ms(SUCCESSOR_STARTED_AT_MS);
        let draining = draining_at("s-2", server.addr).started_at_ms(SUCCESSOR_STARTED_AT_MS);
        if is_complete {
            let replaced = serving("s-1", &server);
            limiter.discovery.send(&complete_list(2, &[successor, replaced.clone()]));
            limiter.wait_until_logged("server=s-2");
            limiter.discovery.send(&complete_list(3, &[replaced, draining]));
        } else {
            limiter.discovery.send(&list_change(2, &[successor]));
            limiter.wait_until_logged("server=s-2");
            limiter.discovery.send(&list_change(3, &[draining]));
        }
        limiter.wait_until_logged("state=draining");
        server.assert_receives_nothing_during(|| {
            assert_eq!(limiter.request(&idempotent_request()).status, 429, "complete: {is_complete}");
        });
    }
}

/// Discovery sends the complete list of the largest fleet, indented, which is the largest text that the
/// limiter has to buffer.
#[test]
fn the_indented_list_of_the_largest_fleet_is_parsed() {
    let server = StubServer::responding_with("fine");
    let serving_address = server.addr.to_string();
    let mut entries = vec![indented_entry(0, &serving_address, "active")];
    for number in 1..MAX_LISTED_SERVERS {
        let address = format!("10.{}.{}.18:3000", 100 + number / 250, number % 250);
        entries.push(indented_entry(number, &address, "leaving"));
    }
    let list = format!(
        "{{\n    \"version\": 41,\n    \"full\": true,\n    \"servers\": [\n{}\n    ]\n}}\n",
        entries.join(",\n")
    );
    let limiter = LimiterProcess::with_discovery(
        StubDiscovery::new(list),
        |configuration| configuration,
        DEFAULT_DESCRIPTOR_LIMIT,
    );
    limiter.wait_until_logged("endpoint changed server=s-00000000 ");
    limiter.wait_until_ready();
    assert_eq!(limiter.request(&idempotent_request()).body, "fine");
}

/// Returns an entry of a list with each field on a line of its own.
fn indented_entry(number: usize, address: &str, state: &str) -> String {
    let fields = [
        format!("\"id\": \"s-{number:08x}\""),
        format!("\"addr\": \"{address}\""),
        "\"zone\": \"a\"".to_string(),
        "\"kind\": \"m2\"".to_string(),
        "\"cell\": 3".to_string(),
        format!("\"state\": \"{state}\""),
        "\"weight\": 1.0".to_string(),
        "\"started_ms\": 0.0".to_string(),
    ];
    format!("        {{\n            {}\n        }}", fields.join(",\n            "))
}
