//! Invariants of limiters under arbitrary legal events, with a fixed seed, and properties of their state.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use limiter_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SERVERS: u32 = 5;
/// A response may come this long after its deadline.
const DEADLINE_TOLERANCE_MS: Millis = 16.0;
const STEP_MS: Millis = 4.0;
const MAX_MESSAGE_BYTES: usize = 256;

#[derive(Debug, Clone)]
enum Step {
    Submit { limiter: usize, class: usize, plan: usize, customer: CustomerId, units: u8, timeout_ms: u16 },
    EndAttempt { limiter: usize, pick: u16, outcome: u8 },
    Advance { ms: u16 },
    ChangeEndpoint { limiter: usize, n: u32, change: u8 },
    Restart { limiter: usize },
    Disconnect { limiter: usize, pick: u16 },
    ReceiveNoise { limiter: usize, from: u32, body: Vec<u8> },
}

fn step() -> impl Strategy<Value = Step> {
    let limiter = 0usize..LIMITERS as usize;
    prop_oneof![
        8 => (limiter.clone(), 0usize..3, 0usize..4, 0u64..3, 1u8..4, 5u16..3000).prop_map(
            |(limiter, class, plan, customer, units, timeout_ms)| {
                let customer = customer * 4 + plan as u64;
                Step::Submit { limiter, class, plan, customer, units, timeout_ms }
            }
        ),
        6 => (limiter.clone(), any::<u16>(), 0u8..7)
            .prop_map(|(limiter, pick, outcome)| Step::EndAttempt { limiter, pick, outcome }),
        4 => (0u16..600).prop_map(|ms| Step::Advance { ms }),
        1 => (limiter.clone(), 0u32..SERVERS, 0u8..4)
            .prop_map(|(limiter, n, change)| Step::ChangeEndpoint { limiter, n, change }),
        1 => limiter.clone().prop_map(|limiter| Step::Restart { limiter }),
        1 => (limiter.clone(), any::<u16>()).prop_map(|(limiter, pick)| Step::Disconnect { limiter, pick }),
        1 => (limiter, 0u32..4, prop::collection::vec(any::<u8>(), 0..40))
            .prop_map(|(limiter, from, body)| Step::ReceiveNoise { limiter, from, body }),
    ]
}

#[derive(Debug, Clone)]
struct OpenRequest {
    request: Request,
    deadline: Millis,
}

type AttemptId = (RequestId, u32);

/// The ceiling's true bucket of each customer, over all limiters.
type Ceilings = BTreeMap<CustomerId, ReferenceBucket>;

/// What one limiter owes, as an outside observer sees it.
#[derive(Default)]
struct Observer {
    open: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeSet<AttemptId>,
    num_attempts: BTreeMap<RequestId, u32>,
    in_flight: BTreeSet<RequestId>,
    /// When the first attempt was forwarded that may have run.
    may_have_run: BTreeMap<RequestId, Millis>,
    forwarded_at: BTreeMap<RequestId, Millis>,
    not_serving: BTreeSet<ServerId>,
    listed: BTreeSet<ServerId>,
}

impl Observer {
    fn check(
        &mut self,
        settings: &Settings,
        now: Millis,
        actions: &[Action],
        ceilings: &mut Ceilings,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Forward { id, server, .. } => {
                    self.check_forward(settings, now, *id, server, ceilings)?;
                }
                Action::Reject { id, .. } => {
                    let request = self.finish(*id)?;
                    if settings.classes[request.class].idempotency == Idempotency::NonIdempotent {
                        let may_have_run = self.may_have_run.contains_key(id) || self.in_flight.contains(id);
                        prop_assert!(!may_have_run, "non-idempotent, rejected though it may have run");
                    }
                }
                Action::Fail { id } => {
                    self.finish(*id)?;
                }
                Action::CancelAttempt { id, attempt } => {
                    prop_assert!(self.attempts.remove(&(*id, *attempt)), "no such attempt to cancel");
                    self.end_attempt(*id, Outcome::Cancelled);
                }
                Action::SendGossip { body, .. } => prop_assert!(body.len() <= MAX_MESSAGE_BYTES),
                _ => {}
            }
        }
        for (id, OpenRequest { deadline, .. }) in &self.open {
            prop_assert!(now <= deadline + DEADLINE_TOLERANCE_MS, "request {id} has no response in time");
        }
        Ok(())
    }

    fn check_forward(
        &mut self,
        settings: &Settings,
        now: Millis,
        id: RequestId,
        server: &ServerId,
        ceilings: &mut Ceilings,
    ) -> Result<(), TestCaseError> {
        let Some(OpenRequest { request, .. }) = self.open.get(&id) else {
            return Err(TestCaseError::fail(format!("forwarded a request that has ended: {id}")));
        };
        prop_assert!(!self.in_flight.contains(&id), "two attempts in flight");
        prop_assert!(!self.not_serving.contains(server), "forwarded to a draining or removed server");
        prop_assert!(self.listed.contains(server), "forwarded to an unlisted server");
        let num_attempts = self.num_attempts.entry(id).or_insert(0);
        prop_assert!(*num_attempts < settings.max_attempts);
        if *num_attempts == 0 {
            take_from_ceiling(settings, ceilings, request, now)?;
        }
        if let Some(since) = self.may_have_run.get(&id) {
            let class = &settings.classes[request.class];
            prop_assert!(class.idempotency != Idempotency::NonIdempotent, "non-idempotent, retried");
            prop_assert!(
                class.idempotency != Idempotency::WithKey || now - since <= class.dedup_window_ms,
                "with a key, retried after its dedup window"
            );
        }
        self.attempts.insert((id, *num_attempts));
        self.forwarded_at.insert(id, now);
        self.in_flight.insert(id);
        *num_attempts += 1;
        Ok(())
    }

    /// A request has its final response.
    fn finish(&mut self, id: RequestId) -> Result<Request, TestCaseError> {
        let open = self.open.remove(&id);
        let open = open.ok_or_else(|| TestCaseError::fail(format!("second final response for {id}")))?;
        Ok(open.request)
    }

    fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        self.in_flight.remove(&id);
        if !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            self.may_have_run.entry(id).or_insert(self.forwarded_at[&id]);
        }
        if outcome == Outcome::Ok {
            self.open.remove(&id);
        }
    }

    /// Removes an attempt that is in flight; `pick` chooses among them.
    fn pick_attempt(&mut self, pick: u16) -> Option<AttemptId> {
        let picked = nth_cyclic(self.attempts.iter().copied(), pick)?;
        self.attempts.remove(&picked);
        Some(picked)
    }

    fn change_server(&mut self, server: ServerId, state: EndpointState) {
        if state == EndpointState::Serving {
            self.not_serving.remove(&server);
        } else {
            self.not_serving.insert(server);
        }
    }
}

fn nth_cyclic<T>(items: impl ExactSizeIterator<Item = T>, pick: u16) -> Option<T> {
    let count = items.len();
    let mut items = items;
    if count == 0 {
        return None;
    }
    items.nth(usize::from(pick) % count)
}

fn take_from_ceiling(
    settings: &Settings,
    ceilings: &mut Ceilings,
    request: &Request,
    now: Millis,
) -> Result<(), TestCaseError> {
    let plan = &settings.plans[request.plan];
    if !plan.has_ceiling() {
        return Ok(());
    }
    let full = || ReferenceBucket::full_ceiling_of(plan, now);
    let level = ceilings.entry(request.customer).or_insert_with(full).take(request.cost_units, now);
    prop_assert!(level >= -plan.ceiling_slack - 1e-6, "ceiling overdrawn: {level}");
    Ok(())
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
];

/// The states that a change of a server leads to; the last one is a restart.
const CHANGED_STATES: [EndpointState; 4] =
    [EndpointState::Serving, EndpointState::Draining, EndpointState::Removed, EndpointState::Serving];
const CHANGE_RESTARTED: u8 = 3;

/// A limiter and its observer.
struct Observed {
    limiter: TestLimiter,
    observer: Observer,
}

/// Limiters whose every action is checked.
struct ObservedNetwork {
    settings: Settings,
    now: Millis,
    ceilings: Ceilings,
    limiters: Vec<Observed>,
    last_id: RequestId,
}

impl ObservedNetwork {
    fn new() -> Self {
        let mut settings = settings(0);
        settings.classes[WITH_KEY].dedup_window_ms = 700.0;
        // A ceiling small enough to be met often.
        let ceiling = &mut settings.plans[WITH_CEILING];
        (ceiling.ceiling_rate, ceiling.ceiling_burst, ceiling.ceiling_slack) = (3.0, 6.0, 1.0);
        let (now, ceilings) = (100_000.0, Ceilings::new());
        let mut network = ObservedNetwork { settings, now, ceilings, limiters: Vec::new(), last_id: 0 };
        network.limiters = (0..LIMITERS).map(|position| network.start(position)).collect();
        network
    }

    fn start(&self, position: u32) -> Observed {
        let settings = Settings { position, ..self.settings.clone() };
        let mut limiter = TestLimiter::new(settings.clone(), 0);
        // The control step of the limiter that is replaced here goes on beside that of its successor.
        limiter.limiter = Limiter::new(settings, u64::from(position), self.now).expect("valid settings");
        limiter.now = self.now;
        limiter.replace_endpoints((0..SERVERS).map(endpoint).collect());
        let observer = Observer { listed: (0..SERVERS).map(server).collect(), ..Observer::default() };
        Observed { limiter, observer }
    }

    /// Has a limiter do something and checks its actions.
    fn act(
        &mut self,
        limiter: usize,
        act: impl FnOnce(&mut TestLimiter) -> Vec<Action>,
    ) -> Result<Vec<Action>, TestCaseError> {
        let Observed { limiter, observer } = &mut self.limiters[limiter];
        let actions = act(limiter);
        observer.check(&self.settings, self.now, &actions, &mut self.ceilings)?;
        Ok(actions)
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Submit { limiter, class, plan, customer, units, timeout_ms } => {
                self.last_id += 1;
                let request = Request {
                    customer,
                    timeout_ms: f64::from(timeout_ms),
                    cost_units: f64::from(units),
                    first_member: 1,
                    ..request(self.last_id, class, plan)
                };
                let open = OpenRequest { request: request.clone(), deadline: self.now + request.timeout_ms };
                self.limiters[limiter].observer.open.insert(request.id, open);
                self.act(limiter, |limiter| limiter.submit(request))?;
            }
            Step::EndAttempt { limiter, pick, outcome } => {
                let observer = &mut self.limiters[limiter].observer;
                let Some((id, attempt)) = observer.pick_attempt(pick) else { return Ok(()) };
                let outcome = OUTCOMES[usize::from(outcome)];
                observer.end_attempt(id, outcome);
                self.act(limiter, |limiter| limiter.end_attempt(id, attempt, outcome, 30.0))?;
            }
            Step::Advance { ms } => self.advance(ms)?,
            Step::ChangeEndpoint { limiter, n, change } => {
                self.change_endpoint(limiter, n, change)?;
            }
            Step::Restart { limiter } => self.limiters[limiter] = self.start(limiter as u32),
            Step::Disconnect { limiter, pick } => {
                let open = &mut self.limiters[limiter].observer.open;
                let Some(id) = nth_cyclic(open.keys().copied(), pick) else { return Ok(()) };
                open.remove(&id);
                self.act(limiter, |limiter| limiter.handle(Event::ClientDisconnected { id }))?;
            }
            Step::ReceiveNoise { limiter, from, body } => {
                self.act(limiter, |limiter| limiter.receive_gossip(from, body))?;
            }
        }
        Ok(())
    }

    fn change_endpoint(&mut self, limiter: usize, n: u32, change: u8) -> Result<(), TestCaseError> {
        let state = CHANGED_STATES[usize::from(change)];
        self.limiters[limiter].observer.change_server(server(n), state);
        let started_at = if change == CHANGE_RESTARTED { self.now } else { 0.0 };
        let changed = Endpoint { state, started_at, ..endpoint(n) };
        self.act(limiter, |limiter| limiter.change_endpoints(vec![changed]))?;
        Ok(())
    }

    /// Lets time pass in short steps, so that each action is checked at its own time; gossip arrives at the end.
    fn advance(&mut self, ms: u16) -> Result<(), TestCaseError> {
        let mut gossip = Vec::new();
        for _ in 0..ms / STEP_MS as u16 {
            self.now += STEP_MS;
            for position in 0..self.limiters.len() {
                let actions = self.act(position, |limiter| limiter.advance(STEP_MS))?;
                gossip.extend(sent_gossip(actions).into_iter().map(|message| (position as u32, message)));
            }
        }
        for (from, SentGossip { to, body }) in gossip {
            self.act(to as usize, |limiter| limiter.receive_gossip(from, body))?;
        }
        Ok(())
    }
}

#[test]
fn the_invariants_hold_under_arbitrary_legal_events() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let all_steps = |steps: Vec<Step>| {
        let mut network = ObservedNetwork::new();
        steps.into_iter().try_for_each(|step| network.apply(step))
    };
    runner.run(&prop::collection::vec(step(), 1..150), all_steps).expect("an invariant is broken");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut limiter = TestLimiter::new(settings(0), 5);
        let mut actions = Vec::new();
        for id in 0..400 {
            let request = Request { customer: u64::from(id % 9), ..request(id, IDEMPOTENT, WITH_RATE) };
            actions.extend(limiter.submit(request));
            actions.extend(limiter.advance(7.0));
            let outcome = if id % 5 == 0 { Outcome::Error } else { Outcome::Ok };
            actions.extend(limiter.end_attempt(id, 0, outcome, 9.0));
        }
        actions
    };
    assert_eq!(run(), run());
}

#[test]
fn what_has_ended_is_forgotten() {
    let mut limiter = TestLimiter::new(settings(0), 3);
    let state_size = |limiter: &TestLimiter| format!("{:?}", limiter.limiter).len();
    for id in 0..300 {
        limiter.submit(Request { customer: u64::from(id), ..request(id, IDEMPOTENT, WITH_RATE) });
        limiter.respond(id, 5.0);
    }
    let full_size = state_size(&limiter);
    limiter.advance(120_000.0);
    let size = state_size(&limiter);
    assert!(size < full_size / 3, "{size} of {full_size}");
}
