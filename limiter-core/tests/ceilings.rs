//! Hard ceilings: never overdrawn beyond their slack, whatever the network and the limiters do, and used for the most
//! part.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use limiter_core::*;

#[test]
fn a_limiter_alone_spends_only_its_even_share_of_a_ceiling() {
    let mut limiter = TestLimiter::new(settings(0), 5);
    limiter.advance(60_000.0);
    let mut units = 0.0;
    for id in 0..500 {
        let request = Request { cost_units: 2.0, ..request(id, IDEMPOTENT, WITH_CEILING) };
        units += 2.0 * forwarded_to(&limiter.submit(request)).len() as f64;
        limiter.respond(id, 5.0);
    }
    // A third of 60 units and of 3 units of slack.
    assert!(units <= 21.0, "{units}");
}

#[test]
fn a_ceiling_starts_as_if_spent() {
    let mut limiter = TestLimiter::new(settings(0), 5);
    let mut units = 0;
    for id in 0..100 {
        units += forwarded_to(&limiter.submit(request(id, IDEMPOTENT, WITH_CEILING))).len();
    }
    assert!(units <= 1, "{units}");
    limiter.advance(1000.0);
    for id in 100..200 {
        units += forwarded_to(&limiter.submit(request(id, IDEMPOTENT, WITH_CEILING))).len();
    }
    assert!((1..=5).contains(&units), "4 units a second: {units}");
}

/// Guards against the rejections of a start: a ceiling starts as if spent, so that a limiter is ready for clients
/// once it has filled, or at once where others serve already and a limiter less would be missed.
#[test]
fn a_limiter_is_ready_once_its_ceilings_have_filled_or_others_serve() {
    let mut network = TestNetwork::new(LIMITERS, 3, 5);
    let is_ready =
        |network: &TestNetwork, limiter: usize| network.limiters[limiter].limiter.is_ready(network.now);
    // 60 units and a slack of 3 at 12 a second would take 5.75 s.
    network.advance(4900.0);
    assert!(!is_ready(&network, 0));
    network.advance(200.0);
    assert!((0..network.limiters.len()).all(|limiter| is_ready(&network, limiter)));
    network.advance(3000.0);
    network.restart(1, settings(1), 3, 6);
    assert!(!is_ready(&network, 1), "no gossip from anyone yet");
    for id in 0..20 {
        network.submit(0, Request { customer: u64::from(id), ..request(id, IDEMPOTENT, WITH_RATE) });
    }
    network.advance(100.0);
    assert!(is_ready(&network, 1), "others serve");
}

/// Layout of a gossip message that holds grant replies only; its lines follow a header.
const GOSSIP_HEADER_BYTES: usize = 8;
const GRANT_REPLY_BYTES: usize = 26;
/// First byte of a line that grants units; the id of the request follows.
const KIND_GRANTED: u8 = 2;

/// The requests to which an owner's messages grant units.
fn granted_ids(messages: &[SentGossip]) -> impl Iterator<Item = RequestId> + '_ {
    let lines =
        messages.iter().flat_map(|message| message.body[GOSSIP_HEADER_BYTES..].chunks(GRANT_REPLY_BYTES));
    let grants = lines.filter(|line| line[0] == KIND_GRANTED);
    grants.map(|line| RequestId::from_be_bytes(line[1..5].try_into().expect("four bytes")))
}

/// The limiter that is asked first for the customer's units: the one that asks no other.
fn first_owner() -> u32 {
    let asks_nobody = |position: &u32| {
        let actions = TestLimiter::new(settings(*position), 3).submit(request(1, NON_IDEMPOTENT, WITH_RATE));
        sent_gossip(actions).is_empty()
    };
    (0..LIMITERS).find(asks_nobody).expect("one of three is the first owner")
}

/// Units of a ceiling that its first owner grants within `ms` to one member that asks all the time, the two having
/// run for `uptime_ms` before.
fn units_granted(uptime_ms: Millis, ms: u32) -> usize {
    let started_before = |position| {
        let mut limiter = TestLimiter::new(settings(position), 3);
        limiter.advance(uptime_ms);
        limiter
    };
    let owner_position = first_owner();
    let member_position = (owner_position + 1) % LIMITERS;
    let (mut member, mut owner) = (started_before(member_position), started_before(owner_position));
    let mut granted = BTreeSet::new();
    // What the member spends of its own share is reported to the owner, not granted by it.
    let mut spent_locally = BTreeSet::new();
    for id in 0..ms / 2 {
        let mut member_actions = member.submit(request(id, NON_IDEMPOTENT, WITH_CEILING));
        if is_forwarded(&member_actions) {
            spent_locally.insert(id);
        }
        member_actions.extend(member.advance(2.0));
        let mut owner_actions = owner.advance(2.0);
        for SentGossip { to, body } in sent_gossip(member_actions) {
            if to == owner_position {
                owner_actions.extend(owner.receive_gossip(member_position, body));
            }
        }
        let replies = sent_gossip(owner_actions);
        for reply in &replies {
            member.receive_gossip(owner_position, reply.body.clone());
        }
        granted.extend(granted_ids(&replies));
    }
    granted.extend(granted_ids(&sent_gossip(owner.advance(300.0))));
    granted.difference(&spent_locally).count()
}

/// Outstanding grants count against the depth of the owner's bucket: spent late, they would come on top of what has
/// been refilled.
#[test]
fn outstanding_grants_leave_less_room_to_refill() {
    // 0.62 of a bucket of 60 and of a slack of 3.
    let units = units_granted(60_000.0, 460);
    assert!((30..=39).contains(&units), "{units}");
}

/// What an owner granted before its restart may still be spent for half a second.
#[test]
fn an_owner_that_has_just_started_grants_nothing_until_its_old_grants_have_expired() {
    assert_eq!(units_granted(0.0, 480), 0);
    assert!(units_granted(0.0, 1500) > 0);
}

const UNRELIABLE_LIMITERS: u32 = 6;
const UNRELIABLE_SERVERS: u32 = 4;
const UNRELIABLE_CUSTOMERS: usize = 3;

/// Six limiters admit requests of three customers under a ceiling. Messages are lost, late and out of order; limiters
/// stall, restart and get all their backlog at once.
struct UnreliableNetwork {
    network: TestNetwork,
    rng: fastrand::Rng,
    ceilings: Vec<ReferenceBucket>,
    submitted: BTreeMap<(usize, RequestId), Request>,
    lowest_level: f64,
    admitted_units: f64,
}

impl UnreliableNetwork {
    fn new(seed: u64) -> Self {
        let mut network = TestNetwork::new(UNRELIABLE_LIMITERS, UNRELIABLE_SERVERS, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        network.loss = 0.3 * rng.f64();
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

    /// A limiter drawn by chance restarts, stalls or gets a request; then some time passes.
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
        self.account_for(actions);
    }

    fn submit(&mut self, limiter: usize, id: RequestId) -> Vec<LimiterAction> {
        let request = Request {
            customer: self.rng.u64(0..UNRELIABLE_CUSTOMERS as u64),
            cost_units: 1.0 + f64::from(self.rng.u32(0..3)),
            member_count: UNRELIABLE_LIMITERS,
            ..request(id, NON_IDEMPOTENT, WITH_CEILING)
        };
        self.submitted.insert((limiter, id), request.clone());
        self.network.submit(limiter, request)
    }

    /// Takes what was forwarded off the true ceilings; it has a good response.
    fn account_for(&mut self, actions: Vec<LimiterAction>) {
        for LimiterAction { limiter, action } in actions {
            let Action::Forward { id, .. } = action else { continue };
            let request = &self.submitted[&(limiter, id)];
            let ceiling = &mut self.ceilings[request.customer as usize];
            let level = ceiling.take(request.cost_units, self.network.now);
            self.lowest_level = self.lowest_level.min(level);
            self.admitted_units += request.cost_units;
            self.network.respond(limiter, id, 5.0);
        }
    }
}

#[test]
fn ceilings_hold_over_lossy_late_links_with_stalls_and_restarts() {
    const SEEDS: u64 = 60;
    let slack = settings(0).plans[WITH_CEILING].ceiling_slack;
    let mut total_units = 0.0;
    for seed in 0..SEEDS {
        let mut unreliable = UnreliableNetwork::new(seed);
        for id in 0..2500 {
            unreliable.step(id);
        }
        let lowest_level = unreliable.lowest_level;
        assert!(lowest_level >= -slack - 1e-6, "seed {seed}: {lowest_level}");
        total_units += unreliable.admitted_units;
    }
    let mean_units = total_units / SEEDS as f64;
    // Most of the ceiling is used: three customers at 12 units a second for some 26 s, and their buckets.
    assert!(mean_units > 300.0, "{mean_units}");
}
