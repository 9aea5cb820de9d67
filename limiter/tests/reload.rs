//! Reloads of the configuration on SIGHUP.

mod stubs;

use stubs::*;

/// The configuration is changed to name another discovery. Guards against a SIGHUP that terminates the
/// process, and against changes that are lost while the limiter switches its watch: the limiter applies the
/// changes of the old discovery until the new one has announced its list. The versions of the new list are
/// unrelated to those of the old one, so the first watch request to the new discovery names no version.
#[test]
fn a_reload_switches_the_watch_and_loses_no_change() {
    let server_one = StubServer::responding_with("one");
    let server_two = StubServer::responding_with("two");
    let limiter = LimiterProcess::in_front_of(&server_one);
    let is_served_by = |body: &str| limiter.request(&idempotent_request()).body == body;
    let new_discovery = StubDiscovery::new(HEARTBEAT.to_string());
    let old_address = limiter.discovery.addr.to_string();
    let new_address = new_discovery.addr.to_string();
    limiter.reload(|configuration| configuration.replace(&old_address, &new_address));
    wait_for("the new watch", || new_discovery.num_opened_watches() == 1);
    let watch_requests = new_discovery.watch_request_heads();
    assert!(!watch_requests[0].contains("after="), "{watch_requests:?}");

    assert!(is_served_by("one"), "the old list must still be used");
    limiter
        .discovery
        .send(&list_change(7, &[draining_at("s-1", server_one.addr), serving("s-2", &server_two)]));
    wait_for("the change from the old discovery", || is_served_by("two"));

    new_discovery.send(&complete_list(3, &[serving("s-1", &server_one)]));
    limiter.wait_until_logged("endpoint changed server=s-1 ");
    wait_for("the new list", || is_served_by("one"));
    limiter.discovery.send(&complete_list(8, &[serving("s-2", &server_two)]));
    limiter.wait_until_logged("superseded by a newer source");
    assert!(is_served_by("one"), "the old discovery must no longer be used");

    new_discovery.close_watches();
    wait_for("the second watch on the new discovery", || new_discovery.num_opened_watches() == 2);
    let watch_requests = new_discovery.watch_request_heads();
    assert!(watch_requests[1].contains("after=3"), "{watch_requests:?}");
}

/// The configuration file is missing, or incomplete because it is being written, when SIGHUP arrives. The
/// limiter must retry until the file can be read and parsed, and apply the new configuration.
#[test]
fn a_reload_of_an_unreadable_configuration_is_retried() {
    let server_one = StubServer::responding_with("one");
    let server_two = StubServer::responding_with("two");
    for unreadable_text in [None, Some("{\"name\":\"n0\",")] {
        let limiter = LimiterProcess::in_front_of(&server_one);
        let new_discovery = StubDiscovery::new(complete_list(1, &[serving("s-1", &server_two)]));
        let old_address = limiter.discovery.addr.to_string();
        let new_address = new_discovery.addr.to_string();
        let old_text = limiter.replace_configuration(unreadable_text);
        limiter.signal("HUP");
        limiter.wait_until_logged("configuration reload failed");
        limiter.replace_configuration(Some(&old_text.replace(&old_address, &new_address)));
        wait_for("the new list", || limiter.request(&idempotent_request()).body == "two");
    }
}

/// A configuration file stays invalid. The limiter keeps its current configuration, serves requests, and
/// applies the changes that its discovery announces.
#[test]
fn an_invalid_configuration_changes_nothing() {
    let server = StubServer::responding_with("fine");
    let limiter = LimiterProcess::in_front_of(&server);
    limiter.reload(|configuration| configuration.replace_first("{", ""));
    limiter.wait_until_logged("keeping current configuration");
    assert_eq!(limiter.request(&idempotent_request()).status, 200);
    limiter.discovery.send(&list_change(2, &[draining_at("s-1", server.addr)]));
    wait_for("the change from discovery", || !limiter.is_ready());
}
