//! A fleet of limiters that share servers and customers and whose messages are late and lost.

use std::collections::HashMap;

use limiter_core::*;

use super::*;

/// Added to a request's number for each further try.
pub const AGAIN: RequestId = 1_000_000;

/// A fleet before servers that answer after a fixed time, and its count of units sent on.
pub struct Fleet {
    pub net: Net,
    pub rng: fastrand::Rng,
    /// Answers under way: when, limiter, request, attempt; whether the server was full.
    pub answers: Vec<(Millis, usize, RequestId, u32, bool)>,
    /// Requests a second that a server can do; it turns away what is more.
    pub capacity: f64,
    pub next: RequestId,
    /// Tries of one request, the first included: a client that is refused comes again, at another member.
    pub tries: u32,
    pub again: Vec<(Millis, RequestId)>,
    pub sent: u32,
    /// Requests sent on, by number.
    pub sent_on: Vec<RequestId>,
    /// Attempts of each request.
    pub attempts: HashMap<RequestId, u32>,
    /// When, and to which server, something was sent on.
    pub sends: Vec<(Millis, ServerId)>,
    /// Those of them that were not turned away.
    pub taken: Vec<(Millis, ServerId)>,
}

impl Fleet {
    pub fn of(limiters: u32, servers: u32, seed: u64) -> Fleet {
        Fleet::with(limiters, servers, seed, |p| Settings { limiters, ..settings(p) })
    }

    /// With settings of its own for each position.
    pub fn with(limiters: u32, servers: u32, seed: u64, settings: impl Fn(u32) -> Settings) -> Fleet {
        let all = (0..limiters).map(settings).collect();
        let (net, rng) = (Net::new(all, servers, seed), fastrand::Rng::with_seed(seed));
        Fleet {
            net,
            rng,
            answers: Vec::new(),
            capacity: f64::INFINITY,
            next: 0,
            tries: 1,
            again: Vec::new(),
            sent: 0,
            sent_on: Vec::new(),
            attempts: HashMap::new(),
            sends: Vec::new(),
            taken: Vec::new(),
        }
    }

    pub fn take(&mut self, limiter: usize, actions: Vec<Action>) {
        for a in actions {
            if let Action::Reject { id, .. } = a {
                if id / AGAIN + 1 < self.tries {
                    self.again.push((self.net.now + 100.0 + 200.0 * self.rng.f64(), id + AGAIN));
                }
            }
            if let Action::Forward { id, server, .. } = a {
                self.sent += 1;
                self.sent_on.push(id);
                let now = self.net.now;
                let recent = self.taken.iter().rev().take_while(|(at, _)| now - at < 1000.0);
                let full = self.capacity.is_finite()
                    && recent.filter(|(_, to)| *to == server).count() as f64 >= self.capacity;
                self.sends.push((now, server.clone()));
                if !full {
                    self.taken.push((now, server));
                }
                let attempt = self.attempts.entry(id).or_default();
                self.answers.push((now + if full { 5.0 } else { 100.0 }, limiter, id, *attempt, full));
                *attempt += 1;
            }
        }
    }

    pub fn list(&mut self, entries: Vec<Endpoint>) {
        for limiter in 0..self.net.rigs.len() {
            let list = Event::EndpointsChanged { complete: false, endpoints: entries.clone().into() };
            let actions = self.net.give(limiter, list);
            self.take(limiter, actions);
        }
    }

    /// Sends to servers that `which` picks by number, from a moment on.
    pub fn sends_to(&self, from: Millis, which: impl Fn(u32) -> bool) -> usize {
        let names: Vec<ServerId> = (0..200).filter(|n| which(*n)).map(server).collect();
        self.sends.iter().filter(|(at, to)| *at >= from && names.contains(to)).count()
    }

    /// Requests of one unit, evenly spaced and each at a member drawn anew; units sent on.
    pub fn play(&mut self, per_s: f64, seconds: f64, request: impl Fn(RequestId) -> Request) -> u32 {
        let (before, end) = (self.sent, self.net.now + 1000.0 * seconds);
        let mut due = self.net.now;
        while self.net.now < end {
            while due <= self.net.now {
                due += 1000.0 / per_s;
                self.next += 1;
                let r = request(self.next);
                let at = (r.first_member + self.rng.u32(0..r.member_count)) % self.net.rigs.len() as u32;
                let actions = self.net.give(at as usize, Event::RequestArrived(r));
                self.take(at as usize, actions);
            }
            let now = self.net.now;
            let (due_again, later) = std::mem::take(&mut self.again).into_iter().partition(|a| a.0 <= now);
            self.again = later;
            let due_again: Vec<(Millis, RequestId)> = due_again;
            for (_, id) in due_again {
                let r = request(id);
                let at = (r.first_member + self.rng.u32(0..r.member_count)) % self.net.rigs.len() as u32;
                let actions = self.net.give(at as usize, Event::RequestArrived(r));
                self.take(at as usize, actions);
            }
            for (limiter, action) in self.net.pass(8.0) {
                self.take(limiter, vec![action]);
            }
            let now = self.net.now;
            let (over, open) = std::mem::take(&mut self.answers).into_iter().partition(|a| a.0 <= now);
            self.answers = open;
            let over: Vec<_> = over;
            for (_, limiter, id, attempt, full) in over {
                let outcome = if full { Outcome::Rejected } else { Outcome::Ok };
                let ended = Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    elapsed_ms: 100.0,
                    finished: !full,
                    actual_units: None,
                };
                let actions = self.net.give(limiter, ended);
                self.take(limiter, actions);
            }
        }
        self.sent - before
    }
}
