//! Hard ceilings: no ceiling is overdrawn by more than its slack, regardless of lost messages, stalls and
//! restarts, and ceilings do not stay unused.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use limiter_core::*;

#[test]
fn a_limiter_with_silent_peers_spends_at_most_its_even_share_of_a_ceiling() {
    let mut limiter = TestLimiter::new(settings(0), 5);
    limiter.advance(60_000.0);
    let mut units = 0.0;
    for id in 0..500 {
        let request = Request { cost_units: 2.0, ..request(id, IDEMPOTENT, WITH_CEILING) };
        units += 2.0 * forwarded_to(&limiter.submit(request)).len() as f64;
        limiter.respond(id, 5.0);
    }
    // A third of the ceiling of 60 units and of the slack of 3 units.
    assert!(units <= 21.0, "{units} units");
}

#[test]
fn a_ceiling_starts_fully_spent() {
    let mut limiter = TestLimiter::new(settings(0), 5);
    let mut units = 0;
    for id in 0..100 {
        units += forwarded_to(&limiter.submit(request(id, IDEMPOTENT, WITH_CEILING))).len();
    }
    assert!(units <= 1, "{units} units right after the start");
    limiter.advance(1000.0);
    for id in 100..200 {
        units += forwarded_to(&limiter.submit(request(id, IDEMPOTENT, WITH_CEILING))).len();
    }
    assert!((1..=5).contains(&units), "{units} units at 4 units per second");
}

/// Guards against rejections right after a start, when the ceilings are fully spent. A limiter is ready for
/// clients once its ceilings have filled, or as soon as gossip shows that peers already serve requests and
/// need its capacity.
#[test]
fn a_limiter_is_ready_once_its_ceilings_have_filled_or_peers_serve() {
    let mut network = TestNetwork::new(LIMITERS, 3, 5);
    let is_ready =
        |network: &TestNetwork, limiter: usize| network.limiters[limiter].limiter.is_ready(network.now);
    // The ceiling would fill in 5.75 s: grants of an earlier incarnation expire after 0.5 s, and 60 units and
    // a slack of 3 refill in 5.25 s at 12 units per second. But no limiter waits for more than 5 s.
    network.advance(4900.0);
    assert!(!is_ready(&network, 0));
    network.advance(200.0);
    assert!((0..network.limiters.len()).all(|limiter| is_ready(&network, limiter)));
    network.advance(3000.0);
    network.restart(1, settings(1), 3, 6);
    assert!(!is_ready(&network, 1), "the limiter must not be ready before gossip has arrived");
    for id in 0..20 {
        network.submit(0, Request { customer: u64::from(id), ..request(id, IDEMPOTENT, WITH_RATE) });
    }
    network.advance(100.0);
    assert!(is_ready(&network, 1), "the limiter must be ready because peers serve");
}

/// Size in bytes of the header of a gossip message. The lines follow the header.
const GOSSIP_HEADER_BYTES: usize = 8;
/// Size in bytes of a line with a grant reply.
const GRANT_REPLY_BYTES: usize = 26;
/// Kind of a line that grants units: the first byte of the line. The id of the request follows.
const KIND_GRANTED: u8 = 2;

/// Returns the ids of the requests to which an owner's messages grant units. The messages must contain grant
/// replies only.
fn granted_ids(messages: &[SentGossip]) -> impl Iterator<Item = RequestId> + '_ {
    let lines =
        messages.iter().flat_map(|message| message.body[GOSSIP_HEADER_BYTES..].chunks(GRANT_REPLY_BYTES));
    let grants = lines.filter(|line| line[0] == KIND_GRANTED);
    grants.map(|line| RequestId::from_be_bytes(line[1..5].try_into().expect("four bytes")))
}

/// Returns the position of the first owner of the customer's quota: the limiter that sends no quota request
/// to a peer.
fn first_owner() -> u32 {
    let asks_no_peer = |position: &u32| {
        let actions = TestLimiter::new(settings(*position), 3).submit(request(1, NON_IDEMPOTENT, WITH_RATE));
        sent_gossip(actions).is_empty()
    };
    (0..LIMITERS).find(asks_no_peer).expect("one of three is the first owner")
}

/// The first owner of a customer's quota and one other member, which exchange gossip without delay.
struct MemberAndOwner {
    member_position: u32,
    owner_position: u32,
    member: TestLimiter,
    owner: TestLimiter,
    /// Requests to which the owner has granted units.
    granted: BTreeSet<RequestId>,
    /// Requests whose units the member has spent from its even share. The owner replies to these requests
    /// with a grant too.
    spent_locally: BTreeSet<RequestId>,
}

impl MemberAndOwner {
    /// Starts both limiters and advances them by `uptime_ms`.
    fn with_uptime(uptime_ms: Millis) -> Self {
        let owner_position = first_owner();
        let member_position = (owner_position + 1) % LIMITERS;
        let mut member = TestLimiter::new(settings(member_position), 3);
        member.advance(uptime_ms);
        let mut owner = TestLimiter::new(settings(owner_position), 3);
        owner.advance(uptime_ms);
        MemberAndOwner {
            member_position,
            owner_position,
            member,
            owner,
            granted: BTreeSet::new(),
            spent_locally: BTreeSet::new(),
        }
    }

    /// Submits a request to the member, advances both limiters by 2 ms and exchanges their gossip.
    fn step(&mut self, id: RequestId) {
        let mut member_actions = self.member.submit(request(id, NON_IDEMPOTENT, WITH_CEILING));
        if is_forwarded(&member_actions) {
            self.spent_locally.insert(id);
        }
        member_actions.extend(self.member.advance(2.0));
        let mut owner_actions = self.owner.advance(2.0);
        for SentGossip { to, body } in sent_gossip(member_actions) {
            if to == self.owner_position {
                owner_actions.extend(self.owner.receive_gossip(self.member_position, body));
            }
        }
        let replies = sent_gossip(owner_actions);
        for reply in &replies {
            self.member.receive_gossip(self.owner_position, reply.body.clone());
        }
        self.granted.extend(granted_ids(&replies));
    }

    /// Advances the owner by 300 ms, so that it sends its queued messages, and records their grants.
    fn record_queued_grants(&mut self) {
        let replies = sent_gossip(self.owner.advance(300.0));
        self.granted.extend(granted_ids(&replies));
    }
}

/// Returns the units of a ceiling that its first owner grants within `ms` to one member that requests units
/// all the time, after both limiters have run for `uptime_ms`.
fn units_granted(uptime_ms: Millis, ms: u32) -> usize {
    let mut limiters = MemberAndOwner::with_uptime(uptime_ms);
    for id in 0..ms / 2 {
        limiters.step(id);
    }
    limiters.record_queued_grants();
    limiters.granted.difference(&limiters.spent_locally).count()
}

/// Guards against an owner that refills its bucket to the full capacity while grants are outstanding: units
/// that are spent late would add to the refilled units.
#[test]
fn outstanding_grants_lower_the_capacity_of_the_owner_bucket() {
    // The first owner holds 0.62 of the bucket of 60 units and of the slack of 3, which is 39 units.
    let units = units_granted(60_000.0, 460);
    assert!((30..=39).contains(&units), "{units} units granted");
}

/// Units that an earlier incarnation of the owner granted may still be spent for half a second.
#[test]
fn an_owner_grants_nothing_until_grants_of_its_earlier_incarnation_have_expired() {
    assert_eq!(units_granted(0.0, 480), 0);
    assert!(units_granted(0.0, 1500) > 0);
}

/// Number of limiters in an [`UnreliableNetwork`].
const UNRELIABLE_LIMITERS: u32 = 6;
/// Number of servers in an [`UnreliableNetwork`].
const UNRELIABLE_SERVERS: u32 = 4;
/// Number of customers in an [`UnreliableNetwork`].
const UNRELIABLE_CUSTOMERS: usize = 3;

/// Identifies a request at one limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SubmissionKey {
    limiter: usize,
    id: RequestId,
}

/// Six limiters that admit requests of three customers under a ceiling. Messages are lost, delayed and
/// reordered. Limiters restart, or stall and receive the complete backlog of messages afterwards.
struct UnreliableNetwork {
    network: TestNetwork,
    rng: fastrand::Rng,
    /// The ceiling of each customer over all limiters.
    ceilings: Vec<ReferenceBucket>,
    submitted: BTreeMap<SubmissionKey, Request>,
    /// Lowest level of any of these ceilings so far.
    lowest_level: f64,
    admitted_units: f64,
}

impl UnreliableNetwork {
    /// Draws the loss and the delay of messages from the seed.
    fn new(seed: u64) -> Self {
        let mut network = TestNetwork::new(UNRELIABLE_LIMITERS, UNRELIABLE_SERVERS, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        network.loss_probability = 0.3 * rng.f64();
        network.delay_ms = 1.0..[20.0, 200.0, 700.0][rng.usize(0..3)];
        let ceiling = ReferenceBucket::full_ceiling_of(&settings(0).plans[WITH_CEILING], network.now);
        UnreliableNetwork {
            network,
            rng,
            ceilings: vec![ceiling; UNRELIABLE_CUSTOMERS],
            submitted: BTreeMap::new(),
            lowest_level: f64::INFINITY,
            admitted_units: 0.0,
        }
    }

    /// Restarts or stalls a random limiter, or submits a request to it, and advances the clock.
    fn step(&mut self, id: RequestId) {
        let limiter = self.rng.usize(0..UNRELIABLE_LIMITERS as usize);
        let mut actions = Vec::new();
        match self.rng.u32(0..300) {
            0 => {
                let settings = settings_among(UNRELIABLE_LIMITERS, limiter as u32);
                self.network.restart(limiter, settings, UNRELIABLE_SERVERS, u64::from(id));
            }
            1..=4 => {
                self.network.stalled_until[limiter] = self.network.now + 3000.0 * self.rng.f64();
            }
            _ if self.network.now >= self.network.stalled_until[limiter] => {
                actions.extend(self.submit(limiter, id));
            }
            _ => {}
        }
        actions.extend(self.network.advance(if id % 500 < 300 { 4.0 } else { 20.0 }));
        self.debit_and_respond(actions);
    }

    /// Submits a request of one to three units by a random customer.
    fn submit(&mut self, limiter: usize, id: RequestId) -> Vec<LimiterAction> {
        let request = Request {
            customer: self.rng.u64(0..UNRELIABLE_CUSTOMERS as u64),
            cost_units: 1.0 + f64::from(self.rng.u32(0..3)),
            member_count: UNRELIABLE_LIMITERS,
            ..request(id, NON_IDEMPOTENT, WITH_CEILING)
        };
        self.submitted.insert(SubmissionKey { limiter, id }, request.clone());
        self.network.submit(limiter, request)
    }

    /// Takes the units of forwarded requests from the ceilings, and reports good responses.
    fn debit_and_respond(&mut self, actions: Vec<LimiterAction>) {
        for LimiterAction { limiter, action } in actions {
            let Action::Forward { id, .. } = action else { continue };
            let request = &self.submitted[&SubmissionKey { limiter, id }];
            let ceiling = &mut self.ceilings[request.customer as usize];
            let level = ceiling.take(request.cost_units, self.network.now);
            self.lowest_level = self.lowest_level.min(level);
            self.admitted_units += request.cost_units;
            self.network.respond(limiter, id, 5.0);
        }
    }
}

#[test]
fn ceilings_hold_despite_lost_and_delayed_messages_stalls_and_restarts() {
    const SEEDS: u64 = 60;
    let slack = settings(0).plans[WITH_CEILING].ceiling_slack;
    let mut total_units = 0.0;
    for seed in 0..SEEDS {
        let mut unreliable = UnreliableNetwork::new(seed);
        for id in 0..2500 {
            unreliable.step(id);
        }
        let lowest_level = unreliable.lowest_level;
        assert!(lowest_level >= -slack - 1e-6, "seed {seed}: overdrawn to {lowest_level} units");
        total_units += unreliable.admitted_units;
    }
    let mean_units = total_units / SEEDS as f64;
    // With 12 units per second for about 26 s and a full bucket of 60, three customers may spend about 1,100
    // units.
    assert!(mean_units > 300.0, "{mean_units} units admitted on average");
}
