//! The watch on the list of servers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use limiter_core::{Event, Settings};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at, Instant};

use crate::endpoints::EndpointList;
use crate::engine::Engine;

/// Keep-alives come every 2 s. What a silent watch misses counts as told 6 s after it fell silent: it is given up soon
/// enough for that, the longest wait of `ASKED` and an answer.
const SILENCE: Duration = Duration::from_millis(2500);
/// Longest list or change taken in.
const MOST_OBJECT: usize = 1 << 20;

/// How discovery is called.
#[derive(Clone, Copy)]
struct CallPolicy {
    /// Longest wait for the head of an answer.
    answer: Duration,
    /// Bounds of the wait after a call, the first time and at the longest.
    wait: (Duration, Duration),
    /// A call that was waited for in vain needs no further wait.
    at_once: bool,
}

/// Where lists are pushed, an agent on this machine answers at once and at no cost, and what it has counts as told:
/// no time without a watch may be longer than the rules allow sends to a server that drains, 250 ms.
const PUSHED: CallPolicy = CallPolicy {
    answer: Duration::from_millis(200),
    wait: (Duration::from_millis(25), Duration::from_millis(50)),
    at_once: true,
};
/// Where they are asked for: for a few limiters, and the parts of the waits for each limiter of a fleet. One
/// discovery serves all: when it drops or fails all at once and they come back in step, each call waits behind calls
/// that nobody waits for any more, and no watch is ever begun.
const ASKED: CallPolicy = CallPolicy {
    answer: Duration::from_millis(2500),
    wait: (Duration::from_millis(50), Duration::from_millis(1000)),
    at_once: false,
};
const ASKED_EACH: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(100));
/// The longest that these grow to: the first for the clock of `SILENCE`, the other for the clock of a change. That
/// counts as told 6 s after discovery had it and could be reached, whatever failed before: from the beginning of one
/// call to that of the next it takes no longer than this, which leaves 2 s for the answer. A fleet whose calls all
/// fail makes its number over three quarters of this a second.
const ASKED_MOST: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(4));

impl CallPolicy {
    fn of(settings: &Settings) -> CallPolicy {
        if !settings.must_subscribe {
            return PUSHED;
        }
        let first = ASKED.wait.0.max(ASKED_EACH.0 * settings.limiters).min(ASKED_MOST.0);
        let longest = ASKED.wait.1.max(ASKED_EACH.1 * settings.limiters).min(ASKED_MOST.1);
        CallPolicy { wait: (first, longest), ..ASKED }
    }
}

/// Where discovery is. A reload may name another place; each place is a source with a number of its own.
pub struct Sources {
    addr: Cell<SocketAddr>,
    newest: Cell<u32>,
    /// The newest that has told a list.
    told: Cell<u32>,
    turned: Notify,
}

impl Sources {
    /// One source, that has told nothing.
    pub fn new(addr: SocketAddr) -> Sources {
        Sources { addr: Cell::new(addr), newest: Cell::new(0), told: Cell::new(0), turned: Notify::new() }
    }

    /// Watches there from now on; false if that is so already.
    pub fn turn_to(&self, addr: SocketAddr) -> bool {
        let other = self.addr.replace(addr) != addr;
        if other {
            self.newest.set(self.newest.get() + 1);
            self.turned.notify_one();
        }
        other
    }
}

/// One source and how far its versions are known: those of another source say nothing here.
struct Source {
    addr: SocketAddr,
    number: u32,
    version: Option<u64>,
}

/// Watches for ever where the configuration says. After a reload the old watch goes on beside the new one
/// until that has told its list: what the old place tells meanwhile is not lost, and what it tells later is
/// not heard.
pub async fn watch(engine: Rc<Engine>, sources: Rc<Sources>) {
    let mut version = engine.config().known_endpoints.as_ref().map(|known| known.version);
    let mut newest = None;
    loop {
        let number = sources.newest.get();
        // A turn that came before the first watch has left its word behind: one source, one watch.
        if newest.replace(number) != Some(number) {
            let source = Source { addr: sources.addr.get(), number, version: version.take() };
            tokio::task::spawn_local(keep(engine.clone(), sources.clone(), source));
        }
        sources.turned.notified().await;
    }
}

/// Exponential backoff with jitter.
struct BackOff {
    policy: CallPolicy,
    wait: Duration,
    rng: fastrand::Rng,
}

impl BackOff {
    fn new(policy: CallPolicy, seed: u64) -> BackOff {
        BackOff { policy, wait: policy.wait.0, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The wait after a watch that told something, with full jitter; or after one that did not and took so long, with
    /// half of the wait for certain: what calls again too soon would only wait behind the others.
    fn next(&mut self, told: bool, took: Duration) -> Duration {
        let (first, longest) = self.policy.wait;
        if told {
            self.wait = first;
            return first.mul_f64(self.rng.f64());
        }
        self.wait = (self.wait * 2).min(longest);
        self.wait.min(longest.saturating_sub(took)).mul_f64(1.0 - 0.5 * self.rng.f64())
    }
}

/// Why a watch has ended.
#[derive(Debug, PartialEq)]
enum End {
    /// It told nothing for too long.
    Silent,
    /// What it told cannot be read.
    Bad(String),
    /// Anything else.
    Broken(String),
}

/// Keeps one source watched; a watch that ends, breaks or falls silent is begun anew from the last version,
/// unless there is a newer source by then.
async fn keep(engine: Rc<Engine>, sources: Rc<Sources>, mut source: Source) {
    let seed = engine.config().seed ^ u64::from(source.number);
    let policy = CallPolicy::of(&engine.config().settings);
    let mut back_off = BackOff::new(policy, seed);
    let mut last = None;
    loop {
        let (before, began) = (source.version, Instant::now());
        let (why, answered) = match call(policy, &source).await {
            Ok((_task, body)) => (read(&engine, &sources, body, &mut source).await, true),
            Err(why) => (why, false),
        };
        if sources.newest.get() != source.number {
            return engine.log(&format!("discovery: {why:?}; {} is no longer watched", source.addr));
        }
        engine.handle_event(Event::WatchFailed);
        let told = source.version != before;
        let again = matches!(why, End::Bad(_)) && !told;
        let took = began.elapsed();
        // A watch that fell silent has its own clock, whatever it told; one that broke soon is as good as none.
        let lived = answered && (why == End::Silent || took > policy.wait.1);
        let wait = back_off.next(told || lived, if answered { Duration::ZERO } else { took });
        let wait = if policy.at_once && why == End::Silent { Duration::ZERO } else { wait };
        // One that fails in the same way many times a second is told of once.
        if told || last.as_ref() != Some(&why) {
            engine.log(&format!("discovery: {why:?}; watching again"));
        }
        last = Some(why);
        tokio::time::sleep(wait).await;
        // What cannot be read from the last version on may be read whole.
        if again {
            source.version = None;
        }
    }
}

/// Calls for a watch; the connection's task ends with what is returned.
async fn call(policy: CallPolicy, source: &Source) -> Result<(Abort, Incoming), End> {
    let connect = async {
        let stream = TcpStream::connect(source.addr).await.map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let task = Abort(tokio::task::spawn_local(async move { drop(connection.await) }));
        let path = match source.version {
            Some(v) => format!("/api/targets?watch=1&after={v}"),
            None => "/api/targets?watch=1".to_string(),
        };
        let request = hyper::Request::get(path)
            .header("host", source.addr.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|e| e.to_string())?;
        let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
        if answer.status() != hyper::StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        Ok((task, answer.into_body()))
    };
    match timeout(policy.answer, connect).await {
        Ok(answer) => answer.map_err(End::Broken),
        Err(_) => Err(End::Silent),
    }
}

struct Abort(tokio::task::JoinHandle<()>);

impl Drop for Abort {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Reads what a watch tells. A keep-alive within a list that goes no further is no sign of life.
async fn read(engine: &Rc<Engine>, sources: &Sources, mut body: Incoming, source: &mut Source) -> End {
    let mut objects = Objects::default();
    let mut heard = false;
    let mut end = Instant::now() + SILENCE;
    loop {
        let frame = match timeout_at(end, body.frame()).await {
            Err(_) => return End::Silent,
            Ok(None) => return End::Broken("ended".to_string()),
            Ok(Some(Err(e))) => return End::Broken(e.to_string()),
            Ok(Some(Ok(frame))) => frame,
        };
        if sources.told.get() > source.number {
            return End::Broken("superseded by a newer source".to_string());
        }
        let Some(data) = frame.data_ref() else { continue };
        objects.push(data);
        loop {
            let list = match objects.next() {
                Ok(Some(object)) => {
                    serde_json::from_slice::<EndpointList>(&object).map_err(|e| e.to_string())
                }
                Ok(None) => break,
                Err(why) => Err(why.to_string()),
            };
            match list {
                Ok(list) => {
                    source.version = Some(list.version);
                    sources.told.set(source.number);
                    engine.update_endpoints(list.resolve(&engine.config().names));
                    end = Instant::now() + SILENCE;
                }
                // What it held is missing from now on: the watch begins anew where it was still whole.
                Err(why) => return End::Bad(why),
            }
        }
        if objects.between() {
            end = Instant::now() + SILENCE;
            // Nothing has changed: that is a word of discovery, too.
            if !std::mem::replace(&mut heard, true) {
                engine.handle_event(Event::EndpointsChanged { complete: false, endpoints: [].into() });
            }
        }
    }
}

/// Cuts a stream of JSON objects apart, however they are laid out and wherever their chunks end.
#[derive(Default)]
struct Objects {
    buffer: BytesMut,
    /// Bytes of the buffer that were looked at.
    seen: usize,
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// No object has begun that is not whole.
    fn between(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next whole object, if it has come.
    fn next(&mut self) -> Result<Option<BytesMut>, &'static str> {
        if self.depth == 0 {
            let blank = self.buffer.iter().take_while(|b| b.is_ascii_whitespace()).count();
            self.buffer.advance(blank);
            if self.buffer.first().is_some_and(|b| *b != b'{') {
                return Err("no object");
            }
        }
        while let Some(byte) = self.buffer.get(self.seen) {
            self.seen += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        return Ok(Some(self.buffer.split_to(std::mem::take(&mut self.seen))));
                    }
                }
                _ => {}
            }
        }
        if self.buffer.len() > MOST_OBJECT {
            return Err("object too long");
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;
