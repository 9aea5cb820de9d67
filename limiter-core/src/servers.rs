//! Which server gets a request: the list, slow start of cold ones, health and choice. Part of the decisions.

use std::hash::Hasher;

use fnv::FnvHasher;

use crate::event::*;
use crate::message::Line;
use crate::settings::*;
use crate::state::*;

// Choice.
/// Limiters that use one warm server, and servers that a limiter uses at least: among fewer it learns sooner
/// which are slow, and what it has out there holds it back.
const USERS: f64 = 8.0;
const LEAST_CHOICES: f64 = 2.0;
/// Least size of a server that counts; factor on its expected time in another zone, a mild preference.
const LEAST_WEIGHT: f64 = 0.1;
const CROSS_ZONE: f64 = 1.05;
/// Factor on the time of one set aside or just tried, the last choice.
const LAST_TIMES: f64 = 1e6;
/// Answers of a server within the pace time at which its own latency weighs as much as the usual one.
const TRUST: f64 = 3.0;

// Slow start.
/// Milliseconds over which the pace of warm servers is measured, the guide for cold ones.
const PACE_MS: Millis = 5000.0;
/// Limiters that warm one cold server, its warming set: each may have saved up one send, so that hundreds
/// could push it over in one moment, and each would pay for a connection.
const WARMING: u32 = 12;
/// Share of what a cold server can stand, by the least capacity that the settings promise and what warm ones
/// are seen to do, that all limiters together send it. The rest is for sends that were saved up and come at
/// once.
const COLD_PART: f64 = 0.75;

// Servers that have left, from peers, where lists are asked for.
/// Milliseconds between two asks of one that discovery does not answer: some ten of them before the change
/// counts as told, each at another peer.
const PEER_ASK_MS: Millis = 500.0;
/// Milliseconds for which it is told that a server has left: longer than discovery fails a limiter while it
/// answers others; and most that are told, one message full.
const LEFT_KEPT_MS: Millis = 30_000.0;
const MOST_LEFT: usize = 48;

// Health.
/// Weight of the newest latency or error in a server's smoothed figures.
const NEWEST: f64 = 0.2;
/// Smoothed share of errors, and silent attempts in a row, at which a server is set aside.
const BAD_ERRORS: f64 = 0.4;
const BAD_SILENCES: u32 = 3;
/// First and longest time that a server is set aside, in milliseconds; it doubles in between.
const ASIDE_MS: (Millis, Millis) = (1000.0, 8000.0);
/// Milliseconds that a full server is passed over.
const FULL_MS: Millis = 100.0;

impl Limiter {
    pub(crate) fn on_servers(&mut self, whole: bool, entries: &[Endpoint], out: &mut Vec<Action>) {
        self.out_of_touch = false;
        let now = self.now;
        let named = |id: &ServerId| entries.iter().any(|e| e.server == *id);
        let mut left: Vec<u32> = Vec::new();
        if whole {
            self.servers.retain(|id, s| {
                let stays = named(id);
                left.extend((!stays).then_some(s.mark));
                stays
            });
        }
        for e in entries {
            if e.state == EndpointState::Removed {
                left.extend(self.servers.remove(&e.server).map(|s| s.mark));
                continue;
            }
            let cold = e.started_at > 0.0 && now - e.started_at < self.settings.slow_start_ms;
            let fresh = || Server::new(e.clone(), now, PACE_MS);
            let s = self.servers.entry(e.server.clone()).or_insert_with(fresh);
            if cold && s.cold_from.is_none_or(|from| from < e.started_at) {
                s.cold_from = Some(e.started_at);
                // All are told at once: those of the set start somewhere between none and one, so that they
                // come one after the other, and the others never get to one. One that has started since
                // begins with none: it may have spent its first send before.
                let begins = if self.born > e.started_at { 0.0 } else { self.rng.f64() };
                let warms = in_warming_set(e, self.settings.position, self.settings.limiters);
                let level = if warms { begins } else { f64::NEG_INFINITY };
                s.cold = Store { level, at: now };
            }
            s.entry = e.clone();
            s.mark = hash(e) as u32;
            left.extend((e.state == EndpointState::Draining).then_some(s.mark));
        }
        left.into_iter().for_each(|mark| self.note_left(mark));
        self.order = self.servers.keys().cloned().collect();
        self.pump(out);
    }

    /// Remembers that a server has left, once.
    fn note_left(&mut self, mark: u32) {
        let now = self.now;
        self.left.retain(|(at, m)| now - at < LEFT_KEPT_MS && *m != mark);
        self.left.push_back((now, mark));
        self.left.drain(..self.left.len().saturating_sub(MOST_LEFT));
    }

    /// A change counts as told some seconds after discovery had it, whoever that has answered: what discovery
    /// has told others in time is asked of them, one after the other, until it answers here.
    pub(crate) fn ask_who_left(&mut self, out: &mut Vec<Action>) {
        let (now, n) = (self.now, self.settings.limiters);
        if self.out_of_touch && self.settings.can_gossip && n > 1 && now - self.peer_asked >= PEER_ASK_MS {
            self.peer_asked = now;
            let peer = (self.settings.position + self.rng.u32(1..n)) % n;
            self.tell(peer, Line::LeftAsk, out);
        }
    }

    pub(crate) fn tell_who_left(&mut self, peer: u32, out: &mut Vec<Action>) {
        let now = self.now;
        let left = self.left.iter().filter(|(at, _)| now - at < LEFT_KEPT_MS);
        let lines: Vec<_> = left.map(|(_, mark)| (now, Line::Left(*mark))).collect();
        if !lines.is_empty() {
            self.outbox.push_back((peer, lines));
            self.send_mail(out);
        }
    }

    /// Nothing new goes to a server that has left by a peer's word, until discovery names it again. That one
    /// has come is not taken from a peer.
    pub(crate) fn on_left(&mut self, mark: u32) {
        let here = self.servers.values_mut().find(|s| s.mark == mark);
        if let Some(s) = here.filter(|s| s.entry.state == EndpointState::Serving) {
            s.entry.state = EndpointState::Draining;
            self.note_left(mark);
        }
    }

    /// The pace that guides slow start: what a warm server is seen to do, as the good answers of those that
    /// are in service. What is sent to others, or turned away, says nothing of it: with few warm ones left it
    /// came to many times what a server can do. With none left the last figure stands.
    pub(crate) fn set_pace(&mut self) {
        let Limiter { servers, settings, now, born, pace, .. } = self;
        let warm = |s: &&Server| s.cold_from.is_none() && s.entry.state == EndpointState::Serving;
        // Most servers of a large fleet have never answered here: their rate costs nothing.
        let rate = |s: &Server| if s.served.sum > 0.0 { s.served.rate(*now) } else { 0.0 };
        let (rates, warm) =
            servers.values().filter(warm).fold((0.0, 0u32), |(rates, n), s| (rates + rate(s), n + 1));
        if warm > 0 {
            // Over the time since the start: else cold servers wait for seconds on one that has just started.
            let seen = 1.0 - (-(*now - *born).max(PACE_MS / 10.0) / PACE_MS).exp();
            *pace = rates / seen / f64::from(warm);
        }
        servers.values_mut().for_each(|s| s.warm_up(*now, *pace, settings));
    }

    /// The server with the least expected time among some that may have the request.
    pub(crate) fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let Limiter { requests, servers, order, settings, rng, now, pace, usual, .. } = self;
        let request = requests.get(&id)?;
        // Golden ratio: limiters side by side, which share customers, start far apart, and all evenly.
        let start = ((f64::from(settings.position) * 0.618_034).fract() * order.len() as f64) as usize;
        let choices = (USERS * order.len() as f64 / f64::from(settings.limiters)).max(LEAST_CHOICES) as usize;
        let (mut best, mut seen): (Option<(f64, &ServerId)>, usize) = (None, 0);
        for at in (start..order.len()).chain(0..start) {
            let id = &order[at];
            let Some(s) = servers.get_mut(id) else { continue };
            // A cold one takes a request wherever it stands: what it may have goes unused otherwise.
            if seen >= choices && s.cold_from.is_none() {
                continue;
            }
            if !s.may_have(*now, *pace, settings) || !in_group(request, s, settings) {
                continue;
            }
            let last = *now < s.aside_until || request.last.as_ref() == Some(id);
            let factor = if last { LAST_TIMES } else { 1.0 + 0.1 * rng.f64() };
            let time = s.expected(*now, *usual, settings.zone) * factor;
            if best.is_none_or(|b| time < b.0) {
                best = Some((time, id));
            }
            seen += usize::from(!last && s.cold_from.is_none());
        }
        best.map(|b| b.1.clone())
    }
}

impl Server {
    /// Its own latency as far as its answers are enough to trust, else the usual one of all servers.
    pub(crate) fn latency(&self, now: Millis, usual: Millis) -> Millis {
        let trust = if self.latency > 0.0 { self.heard.value(now) } else { 0.0 };
        (self.latency * trust + usual * TRUST) / (trust + TRUST)
    }

    /// Time that one more request is expected to take there.
    fn expected(&self, now: Millis, usual: Millis, zone: u32) -> f64 {
        let latency = self.latency(now, usual).max(1.0);
        let cross = if self.entry.zone == zone { 1.0 } else { CROSS_ZONE };
        let load = f64::from(self.out + 1) / self.entry.weight.max(LEAST_WEIGHT);
        load * latency * cross * (1.0 + 4.0 * self.errors)
    }

    fn alive(&mut self, now: Millis) {
        self.silences = 0;
        self.last_answer = now;
        self.heard.add(now, 1.0);
    }

    pub(crate) fn note(&mut self, now: Millis, outcome: Outcome, took: Millis, cancelled: bool) {
        match outcome {
            Outcome::Ok => {
                self.alive(now);
                self.served.add(now, 1.0);
                self.errors *= 1.0 - NEWEST;
                if now >= self.aside_until {
                    self.aside_for = 0.0;
                }
                self.latency += if self.latency > 0.0 { NEWEST } else { 1.0 } * (took - self.latency);
            }
            Outcome::Error => {
                self.alive(now);
                self.errors += NEWEST * (1.0 - self.errors);
                if self.errors >= BAD_ERRORS {
                    self.errors = BAD_ERRORS / 2.0;
                    self.set_aside(now, EjectionReason::Errors);
                }
            }
            Outcome::Rejected => {
                self.alive(now);
                self.full_until = now + FULL_MS;
            }
            Outcome::Cancelled if !cancelled => {}
            Outcome::Cancelled | Outcome::TimedOut | Outcome::ConnectionLost | Outcome::ConnectFailed => {
                self.silent(now);
            }
            Outcome::NotSent => {}
        }
    }

    pub(crate) fn silent(&mut self, now: Millis) {
        self.silences += 1;
        if self.silences >= BAD_SILENCES {
            self.set_aside(now, EjectionReason::NoResponse);
        }
    }

    fn set_aside(&mut self, now: Millis, why: EjectionReason) {
        if now >= self.aside_until {
            self.aside_for = (self.aside_for * 2.0).clamp(ASIDE_MS.0, ASIDE_MS.1);
            self.aside_until = now + self.aside_for;
            self.aside_why = Some(why);
        }
    }

    /// Whether anything new may go there now: serving, not full, and within a cold one's part.
    fn may_have(&mut self, now: Millis, pace: f64, settings: &Settings) -> bool {
        let silent = self.silences >= BAD_SILENCES && self.out > 0;
        if self.entry.state != EndpointState::Serving || now < self.full_until || silent {
            return false;
        }
        self.warm_up(now, pace, settings);
        self.cold_from.is_none() || self.cold.level >= 1.0
    }

    /// Adds what a cold server may be sent meanwhile. Seen to often: a limiter of hundreds sends so seldom
    /// that its pace has faded by its next request, and would not tell of the time between.
    pub(crate) fn warm_up(&mut self, now: Millis, pace: f64, settings: &Settings) {
        let Some(from) = self.cold_from else { return };
        let age = (now - from) / settings.slow_start_ms.max(1.0);
        if age >= 1.0 {
            self.cold_from = None;
            return;
        }
        let share = settings.cold_capacity_fraction + (1.0 - settings.cold_capacity_fraction) * age.max(0.0);
        let each_for = (f64::from(settings.limiters) / f64::from(WARMING)).max(1.0);
        self.cold.fill(now, pace * share * COLD_PART * settings.overload_factor * each_for, 1.0);
    }
}

/// Whether this limiter is of the warming set of a server that has just started: the first of all by a hash.
/// Every limiter finds the same set, again after a start of its own, so that it has neither more members nor
/// others.
fn in_warming_set(server: &Endpoint, position: u32, limiters: u32) -> bool {
    let all = hash(server);
    let place = |p: u32| {
        let mut hasher = FnvHasher::with_key(all);
        hasher.write(&p.to_be_bytes());
        // Fibonacci hashing: the position came last, and has moved the low bits alone.
        (hasher.finish().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 8, p)
    };
    let own = place(position);
    (0..limiters).filter(|p| place(*p) < own).count() < WARMING as usize
}

/// Of a server's id and start, the same at every limiter.
fn hash(server: &Endpoint) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(server.server.as_bytes());
    hasher.write(&server.started_at.to_bits().to_be_bytes());
    hasher.finish()
}

/// A keyed request that may have run stays in the group of servers that drops its repeats.
fn in_group(request: &Open, server: &Server, settings: &Settings) -> bool {
    let class = &settings.classes[request.request.class];
    match (class.idempotency, request.may_have_run) {
        (Idempotency::WithKey, Some((_, zone, cell))) => match class.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => server.entry.zone == zone,
            DedupScope::Cell => server.entry.cell == cell,
        },
        _ => true,
    }
}
