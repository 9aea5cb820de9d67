//! A client that closes its connection has gone: no attempt, first or further, may begin more than 0.1 s after. Each
//! test has a client leave before the event that would have its request forwarded.

mod stubs;

use std::collections::HashSet;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Mutex;
use std::time::Instant;

use stubs::*;

/// A late response to a request whose client has left must not reach the next one on the connection.
#[test]
fn a_late_response_to_a_disconnected_client_does_not_reach_other_clients() {
    let server = StubServer::new(|request, stream| {
        if request.body == "slow" {
            sleep_ms(300);
        }
        write_ok(stream, &request.body)
    });
    let limiter = LimiterProcess::in_front_of(&server);
    let leaving = limiter.send(&request_with_key("k1", "slow"));
    wait_for("the request to arrive", || server.num_received() == 1);
    drop(leaving);
    for n in 0..10 {
        let body = format!("fast{n}");
        let response = limiter.request(&request_with_key(&format!("f{n}"), &body));
        assert_eq!((response.status, response.body), (200, body));
        sleep_ms(50);
    }
}

/// A server appears, and the request that waited is not forwarded to it.
fn assert_nothing_is_forwarded(limiter: &LimiterProcess, case: &str) {
    let server = StubServer::responding_with("fine");
    limiter.discovery.send(&list_change(2, &[serving("s-1", &server)]));
    limiter.wait_until_ready();
    assert!(server.received_requests().is_empty(), "{case}: forwarded for nobody");
}

/// The end of a client that leaves reaches its waiting request whatever stands before it: bytes behind the request,
/// and more of them than are kept. Guards against forwarding what nobody waits for.
#[test]
fn a_disconnect_is_detected_after_unread_bytes() {
    for (num_bytes, is_half_close) in [(0, false), (12, false), (12, true), (20_000, false), (300_000, true)]
    {
        let (limiter, mut client) = start_with_queued_request();
        let behind = vec![b'x'; num_bytes];
        // In two parts: what comes first is read by those who look for a whole head alone.
        let (first, second) = behind.split_at(num_bytes / 2);
        client.write_all(first).expect("write");
        assert!(has_pending_request(&limiter));
        client.write_all(second).expect("write");
        if is_half_close {
            client.shutdown(Shutdown::Write).expect("half a close");
        } else {
            drop(client);
        }
        wait_until_disconnect_is_detected(&limiter);
        assert_nothing_is_forwarded(&limiter, &format!("{num_bytes} bytes behind"));
    }
}

/// A client with a response that it has not read: its close is a reset.
fn client_with_unread_response(limiter: &LimiterProcess) -> TcpStream {
    let client = limiter.send(READINESS_REQUEST);
    retry_on_interrupt(|| client.peek(&mut [0])).expect("a response that stays unread");
    client
}

#[test]
fn a_reset_by_the_client_is_detected() {
    let limiter = LimiterProcess::with_endpoints(&[], allow_long_pending_requests);
    let mut client = client_with_unread_response(&limiter);
    client.write_all(request_with_long_timeout("c-1").as_bytes()).expect("write");
    wait_for("the request to be taken", || has_pending_request(&limiter));
    drop(client);
    wait_until_disconnect_is_detected(&limiter);
    assert_nothing_is_forwarded(&limiter, "after a reset");
}

/// A quota owner's grant comes after the client has left. Guards against units spent and servers called for nobody.
#[test]
fn a_late_grant_forwards_nothing_for_a_disconnected_client() {
    let run = |behaviour| {
        let server = StubServer::responding_with("fine");
        let (limiter, owner) = start_with_quota_owner(&server, r#""Rate":0.001,"StoreSize":0.001"#);
        let client = limiter.send(&request_of_fleet_customer("c-1", CUSTOMER_OF_STUB_OWNER));
        let quota_request = owner.receive_quota_request();
        let status = race_client_with_event(&limiter, client, behaviour, || owner.send_grant(&quota_request));
        wait_for("the grant to be read", || {
            owner.send_grant(&quota_request);
            owner.receive().is_some_and(|message| message.is_grant_reply())
        });
        (status, shut_down_and_collect_ids(limiter, &[server]))
    };
    // A grant that a busy machine holds up until the limiter has given its owners up is another matter.
    wait_for("a grant in time", || {
        run(ClientBehaviour::StaysConnected) == (Some(200), vec!["c-1".to_string()])
    });
    for behaviour in [ClientBehaviour::DisconnectsBeforeEvent, ClientBehaviour::DisconnectsDuringStall] {
        assert_eq!(run(behaviour), (None, vec![]), "{behaviour:?}");
    }
}

/// The quota owners are silent, and their time runs out after the client has left: the even share then lets requests
/// through, as it does the next one.
#[test]
fn unresponsive_quota_owners_forward_nothing_for_a_disconnected_client() {
    let mut ids = None;
    wait_for("a request that still waits when the limiter is stopped", || {
        let server = StubServer::responding_with("fine");
        let (limiter, owner) = start_with_quota_owner(&server, r#""Rate":1000,"StoreSize":1000,"AtOnce":8"#);
        let client = limiter.send(&request_of_fleet_customer("c-1", CUSTOMER_OF_STUB_OWNER));
        owner.receive_quota_request();
        limiter.signal("STOP");
        sleep_ms(100);
        let waits = server.received_requests().is_empty();
        drop(client);
        // Longer than all owners together are waited for.
        sleep_ms(1200);
        limiter.signal("CONT");
        assert_eq!(limiter.request(&request_of_fleet_customer("c-2", "0000000000000001")).status, 200);
        ids = waits.then(|| shut_down_and_collect_ids(limiter, &[server]));
        waits
    });
    assert_eq!(ids.as_deref(), Some(&["c-2".to_string()][..]));
}

/// Asserts that the request c-1 had a retry if its client stayed, and none if it left; c-2 came after it.
fn assert_retried_only_if_client_stays(
    behaviour: ClientBehaviour,
    status: Option<u16>,
    ids: &[String],
    case: &str,
) {
    if behaviour == ClientBehaviour::StaysConnected {
        assert_eq!(status, Some(200), "{behaviour:?} {case}");
        assert_eq!(ids, ["c-1", "c-1", "c-2"], "{behaviour:?} {case}");
    } else {
        assert_eq!(status, None, "{behaviour:?} {case}");
        assert_eq!(ids, ["c-1", "c-2"], "{behaviour:?} {case}");
    }
}

/// An attempt ends without a response, by a reset or a close: where the client stays, there is a retry.
#[test]
fn a_failed_attempt_is_not_retried_for_a_disconnected_client() {
    for behaviour in [
        ClientBehaviour::StaysConnected,
        ClientBehaviour::DisconnectsBeforeEvent,
        ClientBehaviour::DisconnectsDuringStall,
    ] {
        for is_reset in [false, true] {
            let (gate, num_attempts) = (Gate::default(), AtomicUsize::new(0));
            let breaks_off_at = gate.clone();
            let respond = move |request: &HttpMessage, stream: &mut TcpStream| {
                if request.correlation_id() != "c-1" || num_attempts.fetch_add(1, SeqCst) > 0 {
                    return write_ok(stream, "fine");
                }
                breaks_off_at.wait_until_open();
                if is_reset {
                    reset_on_close(stream);
                }
                false
            };
            let InFlightRequest { servers, limiter, client } = InFlightRequest::start(
                2,
                respond,
                &request_with_long_timeout("c-1"),
                allow_long_pending_requests,
            );
            let status = race_client_with_event(&limiter, client, behaviour, || gate.open());
            assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
            let ids = shut_down_and_collect_ids(limiter, &servers);
            assert_retried_only_if_client_stays(behaviour, status, &ids, &format!("reset: {is_reset}"));
        }
    }
}

/// A server says nothing; after 0.4 of the latency objective its attempt is cancelled and retried at the other one,
/// as the next client's is, unless the client has left.
#[test]
fn a_timed_out_attempt_is_not_retried_for_a_disconnected_client() {
    for behaviour in [ClientBehaviour::DisconnectsBeforeEvent, ClientBehaviour::DisconnectsDuringStall] {
        let seen_ids = Mutex::new(HashSet::new());
        let respond = move |request: &HttpMessage, stream: &mut TcpStream| {
            if !seen_ids.lock().expect("lock").insert(request.correlation_id()) {
                return write_ok(stream, "fine");
            }
            ignore_until_closed(stream)
        };
        let alter = |configuration: Configuration| {
            configuration.with_latency_objective_ms(5000).with_rejecting_plan()
        };
        let InFlightRequest { servers, limiter, client } =
            InFlightRequest::start(2, respond, &request_with_long_timeout("c-1"), alter);
        // Where the limiter is stopped, until the attempt's time is up.
        let stall = if behaviour == ClientBehaviour::DisconnectsDuringStall { 2300 } else { 0 };
        race_client_with_event(&limiter, client, behaviour, || sleep_ms(stall));
        assert_eq!(
            limiter.request(&request_with_long_timeout("c-2")).status,
            200,
            "later than the first one's time"
        );
        assert_eq!(shut_down_and_collect_ids(limiter, &servers), ["c-1", "c-2", "c-2"], "{behaviour:?}");
    }
}

/// A rejected request is queued, as no server takes requests; one does again after its client has left.
#[test]
fn a_queued_request_is_not_forwarded_for_a_disconnected_client() {
    for behaviour in [
        ClientBehaviour::StaysConnected,
        ClientBehaviour::DisconnectsBeforeEvent,
        ClientBehaviour::DisconnectsDuringStall,
    ] {
        let (gate, num_attempts) = (Gate::default(), AtomicUsize::new(0));
        let rejects_at = gate.clone();
        let respond = move |_: &HttpMessage, stream: &mut TcpStream| {
            if num_attempts.fetch_add(1, SeqCst) > 0 {
                return write_ok(stream, "fine");
            }
            rejects_at.wait_until_open();
            write_rejection(stream)
        };
        let InFlightRequest { servers, limiter, client } = InFlightRequest::start(
            1,
            respond,
            &request_with_long_timeout("c-1"),
            allow_long_pending_requests,
        );
        let server = &servers[0];
        limiter.discovery.send(&list_change(2, &[draining_at("s-1", server.addr)]));
        limiter.wait_until_logged("state=draining");
        gate.open();
        wait_for("the connection to one that drains to be closed", || server.num_closed_connections() == 1);
        assert!(has_pending_request(&limiter), "it is queued");
        let server_returns = || limiter.discovery.send(&list_change(3, &[serving("s-1", server)]));
        let status = race_client_with_event(&limiter, client, behaviour, server_returns);
        limiter.wait_until_ready();
        assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
        let ids = shut_down_and_collect_ids(limiter, &servers);
        assert_retried_only_if_client_stays(behaviour, status, &ids, "");
    }
}

/// Two requests are pipelined on one connection, and its client leaves as the server rejects the first, or answers
/// it, in either order. Guards against another attempt, and against the second request being sent.
#[test]
fn a_pipelined_request_is_not_forwarded_for_a_disconnected_client() {
    for (behaviour, leaves_first) in [
        (ClientBehaviour::DisconnectsBeforeEvent, true),
        (ClientBehaviour::DisconnectsDuringStall, true),
        (ClientBehaviour::DisconnectsDuringStall, false),
    ] {
        for is_rejected in [true, false] {
            let (gate, response_written) = (Gate::default(), Gate::default());
            let (responds_at, written) = (gate.clone(), response_written.clone());
            let respond = move |request: &HttpMessage, stream: &mut TcpStream| {
                if request.correlation_id() != "c-1" || written.is_open() {
                    return write_ok(stream, "fine");
                }
                responds_at.wait_until_open();
                let is_open = (is_rejected && write_rejection(stream)) || write_ok(stream, "fine");
                written.open();
                is_open
            };
            let pipelined = request_with_long_timeout("c-1") + &request_with_long_timeout("c-1b");
            let InFlightRequest { servers, limiter, client } =
                InFlightRequest::start(1, respond, &pipelined, allow_long_pending_requests);
            let server_responds = || {
                gate.open();
                response_written.wait_until_open();
            };
            if leaves_first {
                race_client_with_event(&limiter, client, behaviour, server_responds);
            } else {
                limiter.signal("STOP");
                server_responds();
                race_client_with_event(&limiter, client, behaviour, || ());
            }
            assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
            let ids = shut_down_and_collect_ids(limiter, &servers);
            assert_eq!(ids, ["c-1", "c-2"], "{behaviour:?} {leaves_first} {is_rejected}");
        }
    }
}

/// A hundred clients that send a request and leave while the limiter is stopped.
#[derive(Debug)]
struct LeavingBurst {
    /// Length of the requests' bodies, if they have any.
    body: Option<usize>,
    /// Connections to the server that are at hand.
    num_kept_connections: usize,
}

impl LeavingBurst {
    fn request(&self, n: usize) -> String {
        match self.body {
            Some(length) => request_with_key(&format!("gone{n}"), &"x".repeat(length)),
            None => request_with_long_timeout(&format!("c-gone{n}")),
        }
    }

    /// A server that has had `num_kept_connections` requests at once, and the program in front of it.
    fn start(&self) -> (StubServer, LimiterProcess) {
        let (num_kept, num_warm) = (self.num_kept_connections, AtomicUsize::new(0));
        let server = StubServer::new(move |request, stream| {
            if request.correlation_id().starts_with("c-warm") {
                num_warm.fetch_add(1, SeqCst);
                wait_for("all connections to be in use", || num_warm.load(SeqCst) >= num_kept);
            }
            write_ok(stream, "fine")
        });
        let limiter = LimiterProcess::with_server(&server, allow_long_pending_requests);
        let mut clients: Vec<TcpStream> =
            (0..num_kept).map(|n| limiter.send(&request_with_long_timeout(&format!("c-warm{n}")))).collect();
        clients.iter_mut().for_each(|client| assert_eq!(read_response(client).status, 200));
        (server, limiter)
    }

    /// The ids of the requests that were forwarded though their clients have left.
    fn forwarded_ids(&self) -> Vec<String> {
        let (server, limiter) = self.start();
        let resetting: Vec<_> = (75..100).map(|n| (n, client_with_unread_response(&limiter))).collect();
        limiter.signal("STOP");
        let mut half_closed = Vec::new();
        for n in 0..75 {
            let behind =
                if n % 3 == 1 { request_with_long_timeout(&format!("c-gone{n}b")) } else { String::new() };
            let client = limiter.send(&(self.request(n) + &behind));
            if n % 3 != 2 {
                client.shutdown(Shutdown::Write).expect("half a close");
                half_closed.push(client);
            }
        }
        for (n, mut client) in resetting {
            client.write_all(self.request(n).as_bytes()).expect("write");
        }
        sleep_ms(200);
        limiter.signal("CONT");
        for mut client in half_closed {
            read_until_closed(&mut client, Instant::now());
        }
        assert_eq!(limiter.request(&request_with_long_timeout("c-2")).status, 200);
        let mut ids = shut_down_and_collect_ids(limiter, &[server]);
        ids.retain(|id| id.contains("gone"));
        ids
    }
}

/// The limiter finds whole requests with their ends behind them: closes, half closes, resets, with and without bytes
/// in between; with connections to the server at hand and without.
#[test]
fn a_burst_of_disconnecting_clients_forwards_nothing() {
    let bursts = [(None, 0), (None, 8), (Some(5), 0), (Some(5), 8), (Some(40_000), 8)];
    let forwarded: Vec<_> = bursts
        .map(|(body, num_kept_connections)| LeavingBurst { body, num_kept_connections })
        .map(|burst| (burst.forwarded_ids(), burst))
        .into();
    assert!(forwarded.iter().all(|(ids, _)| ids.is_empty()), "{forwarded:?}");
}
