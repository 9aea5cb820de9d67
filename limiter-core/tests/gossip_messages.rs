//! Gossip messages that come twice, late, malformed or from the wrong sender.

mod common;
use common::*;
use limiter_core::*;

/// The gossip message with which a member asks the owner of a quota for the units of a request.
struct QuotaRequest {
    from: u32,
    to: u32,
    body: Vec<u8>,
}

impl QuotaRequest {
    /// For the first request of the customer at the first limiter that does not own the quota.
    fn new(plan: usize) -> QuotaRequest {
        let mut requests = (0..LIMITERS).filter_map(|from| QuotaRequest::sent_by(from, plan));
        requests.next().expect("one of three is not the owner")
    }

    /// For the first request of the customer at this limiter, if it has to ask another.
    fn sent_by(from: u32, plan: usize) -> Option<QuotaRequest> {
        let actions = TestLimiter::new(settings(from), 3).submit(request(1, IDEMPOTENT, plan));
        let SentGossip { to, body } = sent_gossip(actions).into_iter().next()?;
        Some(QuotaRequest { from, to, body })
    }
}

/// Guards against a limiter that goes on after a stall and replies to a backlog of quota requests that nobody waits
/// for.
#[test]
fn quota_requests_that_waited_through_a_stall_get_no_reply() {
    let QuotaRequest { from, to, body } = QuotaRequest::new(WITH_RATE);
    let num_replies_after = |stall_ms: Millis| {
        let mut owner = TestLimiter::new(settings(to), 3);
        owner.advance(1000.0);
        owner.now += stall_ms;
        owner.receive_gossip(from, body.clone()).len()
    };
    assert_eq!(num_replies_after(50.0), 1);
    assert_eq!(num_replies_after(2000.0), 0);
}

#[test]
fn malformed_messages_and_messages_of_wrong_senders_change_nothing() {
    let QuotaRequest { from, to, body } = QuotaRequest::new(WITH_CEILING);
    let actions_on = |from: u32, body: Vec<u8>| TestLimiter::new(settings(to), 3).receive_gossip(from, body);
    assert_eq!(actions_on(from, body.clone()).len(), 1, "the quota request itself has a reply");
    for length in 0..body.len() {
        assert!(actions_on(from, body[..length].to_vec()).is_empty(), "truncated at {length}");
    }
    for at in 0..body.len() {
        let mut flipped = body.clone();
        flipped[at] ^= 1;
        assert!(actions_on(from, flipped).is_empty(), "flipped at {at}");
    }
    let too_long = [&body[..], &[0; 5]].concat();
    let unknown_sender = 9;
    for (from, body) in
        [(from, too_long), (unknown_sender, body.clone()), (to, body), (from, vec![0xfa; 40]), (from, vec![])]
    {
        assert!(actions_on(from, body).is_empty());
    }
}

#[test]
fn a_quota_request_that_comes_twice_is_debited_once() {
    let QuotaRequest { from, to, body } = QuotaRequest::new(WITH_RATE);
    let num_admitted_after = |copies: usize| {
        let mut owner = TestLimiter::new(settings(to), 3);
        for _ in 0..copies {
            owner.receive_gossip(from, body.clone());
            owner.advance(20.0);
        }
        (2..40).filter(|id| is_forwarded(&owner.submit(request(*id, IDEMPOTENT, WITH_RATE)))).count()
    };
    assert_eq!(num_admitted_after(1) + 1, num_admitted_after(0), "it is debited");
    assert_eq!(num_admitted_after(1), num_admitted_after(5));
}
