//! Limiters that exchange gossip, and whose every action is checked by an observer.

use limiter_core::*;
use proptest::prelude::*;

use crate::common::*;
use crate::observer::{Ceilings, Observer, SharedState};
use crate::steps::{EndpointChange, Step, SERVERS};

/// Time passes in steps of this length, so that each action is checked at the time at which it is made.
const STEP_MS: u16 = 4;
/// When a run begins.
const START_MS: Millis = 100_000.0;
/// How long an attempt took whose end a step reports.
const ATTEMPT_MS: Millis = 30.0;

/// A limiter and its observer.
struct ObservedLimiter {
    limiter: TestLimiter,
    observer: Observer,
}

/// A gossip message on its way.
struct GossipInTransit {
    from: u32,
    message: SentGossip,
}

/// Limiters whose every action is checked.
pub struct ObservedNetwork {
    settings: Settings,
    now: Millis,
    ceilings: Ceilings,
    limiters: Vec<ObservedLimiter>,
    last_id: RequestId,
}

impl ObservedNetwork {
    /// Starts all limiters. Their ceiling is small enough to be reached often.
    pub fn new() -> Self {
        let mut settings = settings(0);
        settings.classes[WITH_KEY].dedup_window_ms = 700.0;
        let plan = &mut settings.plans[WITH_CEILING];
        plan.ceiling_rate = 3.0;
        plan.ceiling_burst = 6.0;
        plan.ceiling_slack = 1.0;
        let mut network = ObservedNetwork {
            settings,
            now: START_MS,
            ceilings: Ceilings::new(),
            limiters: Vec::new(),
            last_id: 0,
        };
        network.limiters = (0..LIMITERS).map(|position| network.start(position)).collect();
        network
    }

    fn start(&self, position: u32) -> ObservedLimiter {
        let settings = Settings { position, ..self.settings.clone() };
        let mut limiter = TestLimiter::new(settings.clone(), 0);
        // The control step of the limiter that is replaced here continues beside that of its successor.
        limiter.limiter = Limiter::new(settings, u64::from(position), self.now).expect("valid settings");
        limiter.now = self.now;
        limiter.replace_endpoints((0..SERVERS).map(endpoint).collect());
        ObservedLimiter { limiter, observer: Observer::new((0..SERVERS).map(server)) }
    }

    /// Makes a limiter handle something, and checks its actions.
    fn act(
        &mut self,
        limiter: usize,
        act: impl FnOnce(&mut TestLimiter) -> Vec<Action>,
    ) -> Result<Vec<Action>, TestCaseError> {
        let ObservedLimiter { limiter, observer } = &mut self.limiters[limiter];
        let actions = act(limiter);
        let mut shared =
            SharedState { settings: &self.settings, now: self.now, ceilings: &mut self.ceilings };
        observer.check(&actions, &mut shared)?;
        Ok(actions)
    }

    /// Applies one step of the run.
    pub fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
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
                self.submit(limiter, request)
            }
            Step::EndAttempt { limiter, pick, outcome } => self.end_attempt(limiter, pick, outcome),
            Step::Advance { ms } => self.advance(ms),
            Step::ChangeEndpoint { limiter, n, change } => self.change_endpoint(limiter, n, change),
            Step::Restart { limiter } => {
                self.limiters[limiter] = self.start(limiter as u32);
                Ok(())
            }
            Step::Disconnect { limiter, pick } => self.disconnect(limiter, pick),
            Step::ReceiveNoise { limiter, from, body } => {
                self.act(limiter, |limiter| limiter.receive_gossip(from, body))?;
                Ok(())
            }
        }
    }

    fn submit(&mut self, limiter: usize, request: Request) -> Result<(), TestCaseError> {
        self.limiters[limiter].observer.submit(&request, self.now);
        self.act(limiter, |limiter| limiter.submit(request))?;
        Ok(())
    }

    fn end_attempt(&mut self, limiter: usize, pick: u16, outcome: Outcome) -> Result<(), TestCaseError> {
        let observer = &mut self.limiters[limiter].observer;
        let Some(ended) = observer.end_picked_attempt(pick, outcome) else { return Ok(()) };
        let end =
            |limiter: &mut TestLimiter| limiter.end_attempt(ended.request, ended.number, outcome, ATTEMPT_MS);
        self.act(limiter, end)?;
        Ok(())
    }

    fn disconnect(&mut self, limiter: usize, pick: u16) -> Result<(), TestCaseError> {
        let Some(id) = self.limiters[limiter].observer.disconnect(pick) else { return Ok(()) };
        self.act(limiter, |limiter| limiter.handle(Event::ClientDisconnected { id }))?;
        Ok(())
    }

    fn change_endpoint(
        &mut self,
        limiter: usize,
        n: u32,
        change: EndpointChange,
    ) -> Result<(), TestCaseError> {
        let state = change.state();
        self.limiters[limiter].observer.change_server(server(n), state);
        let started_at = match change {
            EndpointChange::Restarted => self.now,
            EndpointChange::Serving | EndpointChange::Draining | EndpointChange::Removed => 0.0,
        };
        let changed = Endpoint { state, started_at, ..endpoint(n) };
        self.act(limiter, |limiter| limiter.change_endpoints(vec![changed]))?;
        Ok(())
    }

    /// Advances the time in short steps. Gossip that is sent within this time arrives at its end.
    fn advance(&mut self, ms: u16) -> Result<(), TestCaseError> {
        let mut in_transit = Vec::new();
        for _ in 0..ms / STEP_MS {
            self.now += f64::from(STEP_MS);
            for position in 0..self.limiters.len() {
                let actions = self.act(position, |limiter| limiter.advance(f64::from(STEP_MS)))?;
                for message in sent_gossip(actions) {
                    in_transit.push(GossipInTransit { from: position as u32, message });
                }
            }
        }
        for GossipInTransit { from, message } in in_transit {
            let SentGossip { to, body } = message;
            self.act(to as usize, |limiter| limiter.receive_gossip(from, body))?;
        }
        Ok(())
    }
}
