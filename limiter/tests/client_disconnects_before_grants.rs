//! Quota requests after a disconnect: a request that waits for a quota owner is not forwarded more than 0.1 s
//! after its client has closed the connection, whether an owner grants the units or no owner replies.

mod stubs;

use stubs::*;

/// A quota owner grants the units of a request after the client has disconnected. Forwarding the request
/// would waste the units and the capacity of a server.
#[test]
fn a_late_grant_does_not_forward_the_request_of_a_disconnected_client() {
    // On a busy machine, the grant may arrive after the limiter has stopped waiting for its owners. Such a
    // run is repeated.
    wait_for("a grant in time", || {
        race_with_grant(ClientBehaviour::StaysConnected) == RaceOutcome::served(&["c-1"])
    });
    for behaviour in ClientBehaviour::DISCONNECTS {
        assert_eq!(race_with_grant(behaviour), RaceOutcome::disconnected(&[]), "{behaviour:?}");
    }
}

/// Races a client with this behaviour against a quota owner that grants the units of the client's request.
fn race_with_grant(behaviour: ClientBehaviour) -> RaceOutcome {
    let server = StubServer::responding_with("fine");
    // The limiter has too little quota to forward a request without a grant.
    let MemberWithQuotaOwner { limiter, quota_owner } =
        MemberWithQuotaOwner::start(&server, r#""Rate":0.001,"StoreSize":0.001"#);
    let client = limiter.send(&request_of_fleet_customer("c-1", CUSTOMER_OF_STUB_OWNER));
    let quota_request = quota_owner.receive_quota_request();
    let client_status = race_client_with_event(&limiter, client, behaviour, || {
        quota_owner.send_grant(&quota_request);
    });
    wait_for("the grant to be read", || {
        quota_owner.send_grant(&quota_request);
        quota_owner.receive().is_some_and(|message| message.is_grant_reply())
    });
    RaceOutcome { client_status, received_ids: shut_down_and_collect_ids(limiter, &[server]) }
}

/// No quota owner replies, and the limiter stops waiting for the owners after the client has disconnected.
/// From then on, the limiter admits requests against its even share of the quota: it must not admit the
/// request of the disconnected client, and it admits the next one.
#[test]
fn the_even_share_does_not_forward_the_request_of_a_disconnected_client() {
    let mut received_ids = None;
    // On a busy machine, the limiter may forward the request before it is stopped. Such a run is repeated.
    wait_for("a request that is pending when the limiter is stopped", || {
        received_ids = race_with_unresponsive_quota_owners();
        received_ids.is_some()
    });
    assert_eq!(received_ids, Some(vec!["c-2".to_string()]));
}

/// Runs a limiter whose client disconnects before the limiter has stopped waiting for its quota owners.
/// Returns the ids of the requests that the server received, or `None` if the client's request was forwarded
/// before the limiter was stopped.
fn race_with_unresponsive_quota_owners() -> Option<Vec<String>> {
    let server = StubServer::responding_with("fine");
    let MemberWithQuotaOwner { limiter, quota_owner } =
        MemberWithQuotaOwner::start(&server, r#""Rate":1000,"StoreSize":1000,"AtOnce":8"#);
    let client = limiter.send(&request_of_fleet_customer("c-1", CUSTOMER_OF_STUB_OWNER));
    quota_owner.receive_quota_request();
    limiter.signal("STOP");
    sleep_ms(100);
    let is_pending = server.received_requests().is_empty();
    drop(client);
    // Longer than the limiter waits for all of its quota owners together.
    sleep_ms(1200);
    limiter.signal("CONT");
    let next_request = request_of_fleet_customer("c-2", "0000000000000001");
    assert_eq!(limiter.request(&next_request).status, 200);
    if is_pending {
        Some(shut_down_and_collect_ids(limiter, &[server]))
    } else {
        None
    }
}
