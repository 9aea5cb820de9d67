//! Limiters that exchange gossip, and whose every action is checked by an observer.

use limiter_core::*;
use proptest::prelude::*;

use crate::common::*;
use crate::observer::{Ceilings, Observer, SharedState};
use crate::steps::{EndpointChange, Step, SERVERS};

/// Step in milliseconds by which the clock advances. The step is short, so that each action is checked at
/// about the time at which it is made.
const STEP_MS: u16 = 4;
/// Time at which a run begins.
const START_MS: Millis = 100_000.0;
/// Duration in milliseconds that a step reports with the end of an attempt.
const ATTEMPT_MS: Millis = 30.0;

/// A limiter and its observer.
struct ObservedLimiter {
    limiter: TestLimiter,
    observer: Observer,
}

/// A gossip message that has been sent but not delivered yet.
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
        // The control-step timer of the limiter that is replaced here stays set. The new limiter starts its
        // own timer as well, so that its control steps are triggered by two timers.
        limiter.limiter = Limiter::new(settings, u64::from(position), self.now).expect("valid settings");
        limiter.now = self.now;
        limiter.replace_endpoints((0..SERVERS).map(endpoint).collect());
        ObservedLimiter { limiter, observer: Observer::new((0..SERVERS).map(server)) }
    }

    /// Calls a limiter and checks the actions that it returns.
    fn call_and_check(
        &mut self,
        limiter: usize,
        call: impl FnOnce(&mut TestLimiter) -> Vec<Action>,
    ) -> Result<Vec<Action>, TestCaseError> {
        let ObservedLimiter { limiter, observer } = &mut self.limiters[limiter];
        let actions = call(limiter);
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
            Step::ReceiveArbitraryBytes { limiter, from, body } => {
                self.call_and_check(limiter, |limiter| limiter.receive_gossip(from, body))?;
                Ok(())
            }
        }
    }

    fn submit(&mut self, limiter: usize, request: Request) -> Result<(), TestCaseError> {
        self.limiters[limiter].observer.record_submission(&request, self.now);
        self.call_and_check(limiter, |limiter| limiter.submit(request))?;
        Ok(())
    }

    fn end_attempt(&mut self, limiter: usize, pick: u16, outcome: Outcome) -> Result<(), TestCaseError> {
        let observer = &mut self.limiters[limiter].observer;
        let Some(ended) = observer.record_end_of_picked_attempt(pick, outcome) else { return Ok(()) };
        let end =
            |limiter: &mut TestLimiter| limiter.end_attempt(ended.request, ended.number, outcome, ATTEMPT_MS);
        self.call_and_check(limiter, end)?;
        Ok(())
    }

    fn disconnect(&mut self, limiter: usize, pick: u16) -> Result<(), TestCaseError> {
        let Some(id) = self.limiters[limiter].observer.record_disconnect(pick) else { return Ok(()) };
        self.call_and_check(limiter, |limiter| limiter.handle(Event::ClientDisconnected { id }))?;
        Ok(())
    }

    fn change_endpoint(
        &mut self,
        limiter: usize,
        n: u32,
        change: EndpointChange,
    ) -> Result<(), TestCaseError> {
        let state = change.state();
        self.limiters[limiter].observer.record_endpoint_state(server(n), state);
        let started_at = match change {
            EndpointChange::Restarted => self.now,
            EndpointChange::Serving | EndpointChange::Draining | EndpointChange::Removed => 0.0,
        };
        let changed = Endpoint { state, started_at, ..endpoint(n) };
        self.call_and_check(limiter, |limiter| limiter.change_endpoints(vec![changed]))?;
        Ok(())
    }

    /// Advances the clock in short steps. Gossip messages that are sent within this time arrive at its end.
    fn advance(&mut self, ms: u16) -> Result<(), TestCaseError> {
        let mut in_transit = Vec::new();
        for _ in 0..ms / STEP_MS {
            self.now += f64::from(STEP_MS);
            for position in 0..self.limiters.len() {
                let actions = self.call_and_check(position, |limiter| limiter.advance(f64::from(STEP_MS)))?;
                for message in sent_gossip(actions) {
                    in_transit.push(GossipInTransit { from: position as u32, message });
                }
            }
        }
        for GossipInTransit { from, message } in in_transit {
            let SentGossip { to, body } = message;
            self.call_and_check(to as usize, |limiter| limiter.receive_gossip(from, body))?;
        }
        Ok(())
    }
}
