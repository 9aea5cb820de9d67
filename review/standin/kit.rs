//! Small stand-ins on loopback for the cases in this folder: discovery, servers, clients, and the start and end of
//! real limiters. Only the standard library is used. Each case includes this file as a module.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption of the case is on: `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    /// A number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The record of a run: lines with the time in seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be created");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let at = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }
    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A message that was read whole.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    /// The correlation id, or `-`.
    pub fn id(&self) -> String {
        self.header("X-Correlation-Id").unwrap_or("-").to_string()
    }
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection, with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads a message with a declared length. `None` at the end of the connection, on an error, or at `until`.
    pub fn read_message(&mut self, until: Option<Instant>) -> Option<Message> {
        let mut first_byte_at = if self.buffer.is_empty() { None } else { Some(Instant::now()) };
        loop {
            if let Some(message) = self.take_message(first_byte_at) {
                return Some(message);
            }
            let timeout = match until {
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return None;
                    }
                    Some(left)
                }
                None => None,
            };
            let _ = self.stream.set_read_timeout(timeout);
            let mut chunk = [0; 16384];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(length) => {
                    first_byte_at.get_or_insert_with(Instant::now);
                    self.buffer.extend_from_slice(&chunk[..length]);
                }
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    fn take_message(&mut self, first_byte_at: Option<Instant>) -> Option<Message> {
        let end = self.buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.buffer[..end]).to_string();
        let mut lines = head.split("\r\n");
        let start_line = lines.next()?.to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
            .collect();
        let length = headers
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .and_then(|(_, value)| value.parse::<usize>().ok())
            .unwrap_or(0);
        if self.buffer.len() < end + length {
            return None;
        }
        let body = self.buffer[end..end + length].to_vec();
        self.buffer.drain(..end + length);
        let now = Instant::now();
        Some(Message {
            start_line,
            headers,
            body,
            first_byte_at: first_byte_at.unwrap_or(now),
            last_byte_at: now,
        })
    }

    pub fn write(&mut self, data: &[u8]) -> bool {
        self.stream.write_all(data).is_ok()
    }

    /// Whether bytes or the end of the connection have arrived, without waiting.
    pub fn has_input(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let has_input = !matches!(self.stream.peek(&mut byte), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
        let _ = self.stream.set_nonblocking(false);
        has_input
    }

    /// Waits until the other side has closed the connection, or `limit` has passed. Returns whether it closed.
    pub fn wait_for_close(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let mut chunk = [0; 4096];
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return true,
            }
        }
    }
}

/// Accepts connections and serves each in a thread.
pub fn accept_loop(listener: TcpListener, serve: impl Fn(Connection) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// Serves a whole 200 answer.
pub fn ok_answer(body: &str, extra: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub const AT_CAPACITY: &str = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// An entry of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"leith\",\"kind\":\"standard\",\"cell\":0,\"state\":\"{}\",\"weight\":1.0,\"started_ms\":{}}}",
            self.id, self.address, self.state, self.started_ms
        )
    }
}

struct DiscoveryState {
    version: u64,
    entries: Vec<Entry>,
    /// The changes by version.
    changes: Vec<(u64, Entry)>,
}

/// Discovery's agent: answers watches with the whole list or the changes, and writes an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<DiscoveryState>,
    changed: Condvar,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(DiscoveryState { version: 1, entries, changes: Vec::new() }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let served = discovery.clone();
        accept_loop(listener, move |connection| served.serve(connection));
        discovery
    }

    /// Announces a change of one entry.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.entries.retain(|known| known.id != entry.id);
        if entry.state != "left" {
            state.entries.push(entry.clone());
        }
        self.record.line(&format!("discovery tells version {version}: {} {}", entry.id, entry.state));
        state.changes.push((version, entry));
        drop(state);
        self.changed.notify_all();
    }

    pub fn list_json(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.version, true, &state.entries)
    }

    fn serve(&self, mut connection: Connection) {
        let Some(request) = connection.read_message(None) else { return };
        let target = request.start_line.split(' ').nth(1).unwrap_or("").to_string();
        if !target.contains("watch=1") {
            let list = self.list_json();
            connection.write(ok_answer(&list, "").as_bytes());
            return;
        }
        let after = target.split("after=").nth(1).and_then(|text| text.parse::<u64>().ok());
        if !connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") {
            return;
        }
        let mut state = self.state.lock().unwrap();
        let mut told = state.version;
        let first = match after.filter(|after| *after <= state.version) {
            Some(after) => {
                let changes: Vec<Entry> = state
                    .changes
                    .iter()
                    .filter(|(version, _)| *version > after)
                    .map(|(_, e)| e.clone())
                    .collect();
                if changes.is_empty() {
                    String::new()
                } else {
                    list_json(state.version, false, &changes)
                }
            }
            None => list_json(state.version, true, &state.entries),
        };
        drop(state);
        if !write_chunk(&mut connection, &format!("{first}\n")) {
            return;
        }
        loop {
            state = self.state.lock().unwrap();
            if state.version == told {
                state = self.changed.wait_timeout(state, ms(2000)).unwrap().0;
            }
            let changes: Vec<Entry> =
                state.changes.iter().filter(|(version, _)| *version > told).map(|(_, e)| e.clone()).collect();
            told = state.version;
            drop(state);
            let text = if changes.is_empty() { String::new() } else { list_json(told, false, &changes) };
            if !write_chunk(&mut connection, &format!("{text}\n")) {
                return;
            }
        }
    }
}

fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", entries.join(","))
}

fn write_chunk(connection: &mut Connection, text: &str) -> bool {
    connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A port of 127.0.0.1 that is free for TCP and UDP now.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// What a deployment's limiters are told, beyond the defaults of leith-cellars in WIRE.
pub struct Site {
    pub limiters: usize,
    pub memory_mb: u32,
    pub sockets: u32,
    /// JSON of the classes.
    pub classes: String,
    /// JSON of the plans.
    pub plans: String,
}

/// The classes and plans of the example of leith-cellars in WIRE, with the aims and deadlines of the brief.
pub const LEITH_CLASSES: &str = r#"[{"AimMs":1500.0,"DeadlineMs":6000.0,"Effect":"read_like","KeyScope":"all","LateWorth":0.0,"Name":"stock-check","Streaming":false,"WindowMs":5000.0,"Worth":2.0},{"AimMs":1000.0,"DeadlineMs":4000.0,"Effect":"non_idempotent","KeyScope":"all","LateWorth":0.2,"Name":"place-order","Streaming":false,"WindowMs":5000.0,"Worth":6.0}]"#;
pub const LEITH_PLANS: &str = r#"[{"AtOnce":0,"CeilingSlack":0.0,"HardRate":0.0,"Name":"cellar","NeverOverDepth":0.0,"OverWorth":0.0,"OverrunCost":0.6,"Price":0.88,"Rate":1.9,"StoreSize":8.0},{"AtOnce":0,"CeilingSlack":0.0,"HardRate":0.0,"Name":"bin","NeverOverDepth":0.0,"OverWorth":0.0,"OverrunCost":0.5,"Price":1.2,"Rate":3.1,"StoreSize":15.0},{"AtOnce":0,"CeilingSlack":0.0,"HardRate":0.0,"Name":"bond","NeverOverDepth":0.0,"OverWorth":0.0,"OverrunCost":1.0,"Price":1.4,"Rate":15.0,"StoreSize":41.0}]"#;

impl Site {
    pub fn leith(limiters: usize) -> Site {
        Site {
            limiters,
            memory_mb: 192,
            sockets: 1024,
            classes: LEITH_CLASSES.into(),
            plans: LEITH_PLANS.into(),
        }
    }

    fn settings(&self, position: usize) -> String {
        format!(
            r#"{{"Balancers":{},"Bounds":{{"Cancelling":true,"CpuUsPerRequest":0.0,"CpuUsPerS":691861,"DialTimeoutMs":250.0,"IdleCloseMs":15000.0,"MaxOpen":27674,"MaxRetryAfterMs":500.0,"MayTell":true,"MostTries":6,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":100}},"Classes":{},"ClientHabits":{{"MarksRetry":true}},"Dcs":["leith"],"Discovery":"automatic","Domain":{{"CountFee":0.0,"CountWaitMs":0.0,"HasCounter":false,"MailPerS":100.0,"TruedUp":true,"UnitsTop":4,"UsePeriodMs":0.0}},"Family":"gate","HostTypes":["standard","older-slow"],"Obligations":{{"AnswerSlackMs":8.0,"AskWithinMs":10000.0,"ColdMs":14000.0,"DrainGraceMs":250.0,"FallMultiple":4.0,"StartCapacity":0.15,"TipAfterMs":2000.0}},"Position":{position},"Report":{{"Names":["svc_ms","pending"],"Via":"pull"}},"RoundMs":2.0,"ScoringMix":{{"Whole":0.45,"WorstClass":0.0,"WorstTenant":0.15,"WorstWindow":0.4}},"Tier":0,"Tiers":["order-servers"],"TiersOfService":{},"WeightSource":"nominal","Zone":"leith"}}"#,
            self.limiters, self.classes, self.plans
        )
    }
}

/// One limiter, started by the command `run` of the deploy file.
pub struct Limiter {
    pub name: String,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
    discovery: SocketAddr,
    limits: (u32, u32),
    settings: String,
    peer_listen: SocketAddr,
    peers: String,
    starts: u64,
}

impl Limiter {
    /// Prepares the limiters of a site. None is started.
    pub fn prepare(site: &Site, discovery: SocketAddr) -> Vec<Limiter> {
        let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP"));
        let peers: Vec<SocketAddr> = (0..site.limiters).map(|_| free_address()).collect();
        let peers_json: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        (0..site.limiters)
            .map(|position| Limiter {
                name: format!("n{position}"),
                address: free_address(),
                config: folder.join(format!("n{position}.json")),
                log: folder.join(format!("n{position}.log")),
                child: None,
                discovery,
                limits: (site.memory_mb, site.sockets),
                settings: site.settings(position),
                peer_listen: peers[position],
                peers: peers_json.join(","),
                starts: 0,
            })
            .collect()
    }

    /// Writes the configuration and starts the process.
    pub fn start(&mut self, known: &str, record: &Record) {
        self.starts += 1;
        let (memory_mb, sockets) = self.limits;
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"peer_listen":"{}","peers":[{}],"known":{known},"settings":{}}}"#,
            self.name,
            self.address,
            self.discovery,
            0x8c1f_30d2_7a5b_0000u64 + self.starts,
            self.peer_listen,
            self.peers,
            self.settings
        );
        std::fs::write(&self.config, text).expect("the configuration can be written");
        let log = File::options().create(true).append(true).open(&self.log).expect("the log can be created");
        let command = std::env::var("RUN_COMMAND").expect("RUN_COMMAND");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(std::env::var("ROOT").expect("ROOT"))
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.address.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the limiter can be started"));
        record.line(&format!("limiter {} started as process {}", self.name, self.pid()));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Waits until the limiter is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut connection) = Connection::connect(self.address, ms(500)) {
                connection
                    .write(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
                let answer = connection.read_message(Some(Instant::now() + ms(500)));
                if answer.is_some_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            thread::sleep(ms(50));
        }
        false
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// A value of `/proc/PID/status` in kB, such as `VmHWM`.
    pub fn status_kb(&self, key: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        text.lines()
            .find(|line| line.starts_with(key))
            .and_then(|line| line.split_whitespace().nth(1))
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A request as a client words it.
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub customer: u64,
    pub plan: &'static str,
    pub time_left_s: f64,
    pub weight: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.class == "stock-check" { "GET" } else { "POST" };
        let length =
            if method == "POST" { format!("Content-Length: {}\r\n", self.body.len()) } else { String::new() };
        let head = format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Tariff: {}\r\nX-Time-Left: {:.3}\r\n{length}X-Weight: {}\r\n\r\n",
            self.class, self.customer, self.id, self.plan, self.time_left_s, self.weight
        );
        let mut bytes = head.into_bytes();
        if method == "POST" {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

/// Runs `work` in threads until `stop` is set or the time has passed.
pub struct Stop(pub Arc<AtomicBool>);

impl Stop {
    pub fn new() -> Stop {
        Stop(Arc::new(AtomicBool::new(false)))
    }
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
    pub fn clone(&self) -> Stop {
        Stop(self.0.clone())
    }
}

/// Answers that servers made, by correlation id.
pub type MadeAnswers = Arc<Mutex<HashMap<String, Vec<Vec<u8>>>>>;
