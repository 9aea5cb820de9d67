//! Stand-ins and helpers that the scripts of the second review share: the platform (starts, signals and ends
//! limiters), the discovery agent, servers, clients and the record of a run. Standard library only.
//!
//! Every stand-in listens on a loopback address and a free port. A stand-in does what the operators' pages
//! allow, and nothing else unless its case says so.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
    fn prctl(option: i32, ...) -> i32;
}
/// Option of `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Whether the program has got a signal that asks it to end.
static INTERRUPTED: AtomicBool = AtomicBool::new(false);

extern "C" fn on_signal(_: i32) {
    INTERRUPTED.store(true, Ordering::SeqCst);
}

/// Numbers of signals, the same on x86-64 and arm64 Linux.
pub const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of random numbers (splitmix64).
pub struct Random(pub u64);
impl Random {
    pub fn new(salt: u64) -> Random {
        Random(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64 ^ (salt << 48))
    }
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    /// A number from 0 up to, but not including, `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

/// The run of one case: its record, its temporary folder, and the processes that it has started.
#[derive(Clone)]
pub struct Case {
    inner: Arc<CaseInner>,
}

struct CaseInner {
    started: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    root: PathBuf,
    run_command: String,
    children: Mutex<Vec<i32>>,
    /// Whether the disruption of the case is made.
    pub trouble: bool,
}

impl Case {
    /// Begins the case whose folder is the first argument of the program. Ends the process with 2 after
    /// `limit`, so that no run lasts longer, and at a signal that asks it to end.
    pub fn begin(limit: Duration) -> Case {
        let case_folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
        let root = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| ".".into()));
        let record = File::create(case_folder.join("record.txt")).unwrap_or_else(|error| {
            println!("cannot run: record.txt: {error}");
            exit(2)
        });
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
        let run_command = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"").and_then(|rest| rest.strip_suffix('"')))
            .unwrap_or_default()
            .to_string();
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let case = Case {
            inner: Arc::new(CaseInner {
                started: Instant::now(),
                record: Mutex::new(record),
                folder,
                root,
                run_command,
                children: Mutex::default(),
                trouble,
            }),
        };
        if case.inner.run_command.is_empty() || fs::create_dir_all(&case.inner.folder).is_err() {
            case.cannot_run("no run command in deploy/balancer.toml, or no temporary folder");
        }
        case.note(&format!("disruption: {}", if trouble { "made" } else { "left out (TROUBLE=0)" }));
        for number in [SIGHUP, SIGINT, SIGTERM] {
            unsafe { signal(number, on_signal) };
        }
        let failing = case.clone();
        std::panic::set_hook(Box::new(move |info| {
            if thread::current().name() == Some("main") {
                failing.cannot_run(&format!("{info}"));
            }
        }));
        let watchdog = case.clone();
        thread::spawn(move || {
            let begin = Instant::now();
            while begin.elapsed() < limit && !INTERRUPTED.load(Ordering::SeqCst) {
                thread::sleep(ms(20));
            }
            let is_late = begin.elapsed() >= limit;
            watchdog.cannot_run(if is_late { "the run took too long" } else { "interrupted by a signal" });
        });
        case
    }

    pub fn trouble(&self) -> bool {
        self.inner.trouble
    }

    pub fn folder(&self) -> &Path {
        &self.inner.folder
    }

    /// Seconds since the start of the run.
    pub fn now_s(&self) -> f64 {
        self.inner.started.elapsed().as_secs_f64()
    }

    /// Writes a line with the time to the record.
    pub fn note(&self, line: &str) {
        let _ = writeln!(lock(&self.inner.record), "{:8.3} {line}", self.now_s());
    }

    /// Ends all processes of the case and removes its folder.
    fn clean_up(&self) {
        for pid in lock(&self.inner.children).drain(..) {
            unsafe { kill(pid, SIGKILL) };
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.inner.folder);
        }
    }

    pub fn cannot_run(&self, reason: &str) -> ! {
        self.note(&format!("cannot run: {reason}"));
        println!("cannot run: {reason}");
        self.clean_up();
        exit(2)
    }

    /// Ends the run with the verdict: 1 if there are breaks of the rule, otherwise 0.
    pub fn end(&self, rule: &str, breaks: &[String]) -> ! {
        for one in breaks.iter().take(20) {
            self.note(&format!("BREAK {one}"));
        }
        let verdict = if breaks.is_empty() {
            format!("rule held: {rule}")
        } else {
            format!("rule broken {} times: {rule}; first: {}", breaks.len(), breaks[0])
        };
        self.note(&verdict);
        println!("{verdict}");
        self.clean_up();
        exit(i32::from(!breaks.is_empty()))
    }
}

/// Returns a loopback address of this run, other than 127.0.0.1. Outgoing connections have 127.0.0.1 as their
/// own address, so none of them can take a port of this address while no limiter is bound to it.
fn own_address() -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (id >> 16) as u8 % 64, (id >> 8) as u8, (id as u8).clamp(1, 254)))
}

/// Returns an address with a free TCP port for a limiter, which binds it later.
pub fn free_tcp() -> SocketAddr {
    TcpListener::bind((own_address(), 0)).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Returns an address with a free UDP port for a limiter, which binds it later.
pub fn free_udp() -> SocketAddr {
    UdpSocket::bind((own_address(), 0)).and_then(|socket| socket.local_addr()).expect("a free port")
}

// ---------------------------------------------------------------------------------------------------------
// The platform.

/// Settings of a deployment, by default those of the example on the page of the wire: two limiters, the classes and
/// plans of the site, without a ceiling.
#[derive(Clone)]
pub struct Settings {
    pub limiters: usize,
    pub memory_mb: u32,
    pub sockets: u32,
    pub classes: String,
    pub plans: String,
    pub bounds: String,
    pub obligations: String,
    pub domain: String,
    pub dcs: String,
    pub zone: String,
    pub discovery: String,
}

impl Settings {
    pub fn usual(limiters: usize) -> Settings {
        Settings {
            limiters,
            memory_mb: 192,
            sockets: 1024,
            classes: r#"{"AimMs":1500.0,"DeadlineMs":6000.0,"Effect":"read_like","KeyScope":"all","LateWorth":0.0,"Name":"stock-check","Streaming":false,"WindowMs":5000.0,"Worth":2.0},{"AimMs":1000.0,"DeadlineMs":4000.0,"Effect":"non_idempotent","KeyScope":"all","LateWorth":0.2,"Name":"place-order","Streaming":false,"WindowMs":5000.0,"Worth":6.0}"#.into(),
            plans: r#"{"AtOnce":0,"CeilingSlack":0.0,"HardRate":0.0,"Name":"cellar","NeverOverDepth":0.0,"OverWorth":0.0,"OverrunCost":0.6,"Price":0.88,"Rate":1.9,"StoreSize":8.0},{"AtOnce":0,"CeilingSlack":0.0,"HardRate":0.0,"Name":"bin","NeverOverDepth":0.0,"OverWorth":0.0,"OverrunCost":0.5,"Price":1.2,"Rate":3.1,"StoreSize":15.0},{"AtOnce":0,"CeilingSlack":0.0,"HardRate":0.0,"Name":"bond","NeverOverDepth":0.0,"OverWorth":0.0,"OverrunCost":1.0,"Price":1.4,"Rate":15.0,"StoreSize":41.0}"#.into(),
            bounds: r#""Cancelling":true,"CpuUsPerRequest":0.0,"CpuUsPerS":691861,"DialTimeoutMs":250.0,"IdleCloseMs":15000.0,"MaxOpen":27674,"MaxRetryAfterMs":500.0,"MayTell":true,"MostTries":6,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":100"#.into(),
            obligations: r#""AnswerSlackMs":8.0,"AskWithinMs":10000.0,"ColdMs":14000.0,"DrainGraceMs":250.0,"FallMultiple":4.0,"StartCapacity":0.15,"TipAfterMs":2000.0"#.into(),
            domain: r#""CountFee":0.0,"CountWaitMs":0.0,"HasCounter":false,"MailPerS":100.0,"TruedUp":true,"UnitsTop":4,"UsePeriodMs":0.0"#.into(),
            dcs: r#""leith""#.into(),
            zone: "leith".into(),
            discovery: "automatic".into(),
        }
    }

    pub fn json(&self, position: usize) -> String {
        format!(
            r#"{{"Balancers":{},"Bounds":{{{}}},"Charges":{{"Peer":0.0087}},"Classes":[{}],"ClientHabits":{{"MarksRetry":true}},"Dcs":[{}],"Discovery":"{}","Domain":{{{}}},"Family":"gate","HostTypes":["standard","older-slow"],"Obligations":{{{}}},"Position":{position},"Report":{{"Names":["svc_ms","pending"],"Via":"pull"}},"RoundMs":2.0,"Tier":0,"Tiers":["order-servers"],"TiersOfService":[{}],"WeightSource":"nominal","Zone":"{}"}}"#,
            self.limiters, self.bounds, self.classes, self.dcs, self.discovery, self.domain, self.obligations,
            self.plans, self.zone
        )
    }
}

/// One limiter: its addresses stay the same over its restarts.
pub struct Limiter {
    case: Case,
    pub number: usize,
    pub address: SocketAddr,
    pub peer_listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub settings: Settings,
    pub discovery: SocketAddr,
    pub known: String,
    child: Option<Child>,
    starts: u32,
}

impl Limiter {
    pub fn new(
        case: &Case,
        number: usize,
        settings: &Settings,
        peers: &[SocketAddr],
        discovery: SocketAddr,
        known: String,
    ) -> Limiter {
        Limiter {
            case: case.clone(),
            number,
            address: free_tcp(),
            peer_listen: peers[number],
            peers: peers.to_vec(),
            settings: settings.clone(),
            discovery,
            known,
            child: None,
            starts: 0,
        }
    }

    pub fn write_config(&self) -> PathBuf {
        let path = self.case.folder().join(format!("n{}.json", self.number));
        let peers: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let text = format!(
            r#"{{"name":"n{}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{}","peers":[{}],"known":{},"settings":{}}}"#,
            self.number, self.address, self.discovery, Random::new(self.number as u64).next(),
            self.settings.memory_mb, self.settings.sockets, self.peer_listen, peers.join(","), self.known,
            self.settings.json(self.number)
        );
        let part = path.with_extension("part");
        fs::write(&part, text).and_then(|()| fs::rename(&part, &path)).expect("a configuration file");
        path
    }

    /// Starts the program with the command of the deploy file, as the platform does.
    pub fn start(&mut self) {
        let config = self.write_config();
        self.starts += 1;
        let tmp = self.case.folder().join(format!("tmp-n{}-{}", self.number, self.starts));
        fs::create_dir_all(&tmp).expect("a folder");
        let log = File::create(self.case.folder().join(format!("n{}-{}.log", self.number, self.starts))).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(&self.case.inner.run_command)
            .current_dir(&self.case.inner.root)
            .env("ROUTER_NAME", format!("n{}", self.number))
            .env("ROUTER_LISTEN", self.address.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.to_string())
            .env("ROUTER_CONFIG", config)
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0);
        // The limiter ends with the program of the case, also when that is killed outright. Limiters are
        // started by the main thread, which lives until the end.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| self.case.cannot_run(&format!("start: {error}")));
        lock(&self.case.inner.children).push(child.id() as i32);
        self.case.note(&format!("n{} started, process {}", self.number, child.id()));
        self.child = Some(child);
    }

    pub fn pid(&self) -> i32 {
        self.child.as_ref().map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        self.case.note(&format!("n{} gets signal {signal}", self.number));
        unsafe { kill(self.pid(), signal) };
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(format!("{status}"))
    }

    pub fn wait_end(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.wait();
            let pid = child.id() as i32;
            lock(&self.case.inner.children).retain(|one| *one != pid);
            self.case.note(&format!("n{} has ended", self.number));
        }
        self.child = None;
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        self.wait_end();
    }

    /// Waits until `GET /-/ready` answers 200, as the front does. The case cannot run if that takes longer
    /// than `limit`.
    pub fn wait_ready(&mut self, limit: Duration) {
        let begin = Instant::now();
        while begin.elapsed() < limit {
            if let Some(status) = self.ended() {
                self.case.cannot_run(&format!("n{} ended: {status}", self.number));
            }
            if self.is_ready() {
                self.case.note(&format!("n{} ready after {} ms", self.number, begin.elapsed().as_millis()));
                return;
            }
            thread::sleep(ms(10));
        }
        self.case.cannot_run(&format!("n{} not ready", self.number));
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.address, ms(500)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        if stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n").is_err() {
            return false;
        }
        Reader::new(stream).response().is_ok_and(|response| response.status == 200)
    }

    /// Kilobytes of the process by a field of /proc/PID/status.
    pub fn status_kb(&self, field: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        text.lines()
            .find_map(|line| line.strip_prefix(field)?.strip_prefix(':')?.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// HTTP/1.1.

/// A message that was read whole.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Header fields with names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Status of a response.
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
    pub fn id(&self) -> &str {
        self.header("x-correlation-id")
    }
    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads messages from a stream.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; an error at the end of the stream.
    pub fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 65536];
        let length = self.stream.read(&mut chunk)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(())
    }

    fn head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { line: lines.next().unwrap_or("").to_string(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
            }
        }
        Ok(message)
    }

    fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a request whole.
    pub fn request(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.body(length)?;
        Ok(message)
    }

    /// Reads a response whole. Responses of the limiter have a length.
    pub fn response(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.status = message.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = self.body(length)?;
        Ok(message)
    }
}

// ---------------------------------------------------------------------------------------------------------
// Discovery.

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Entry {
    pub fn new(id: &str, address: SocketAddr) -> Entry {
        Entry { id: id.into(), address, zone: "leith".into(), cell: 0, state: "active", started_ms: 0 }
    }
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"standard","cell":{},"state":"{}","weight":1.0,"started_ms":{}}}"#,
            self.id, self.address, self.zone, self.cell, self.state, self.started_ms
        )
    }
}

#[derive(Default)]
struct ListState {
    version: u64,
    /// The version with which the agent began.
    oldest: u64,
    entries: BTreeMap<String, Entry>,
    /// Version and entry of each change.
    changes: Vec<(u64, Entry)>,
    /// While silent, the agent answers nothing: it accepts connections and says nothing on them.
    silent: bool,
}

/// The agent of discovery.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: &[Entry]) -> Discovery {
        Discovery::start_at(41, entries)
    }

    /// Starts an agent whose list has this version. It knows no earlier changes, and answers a watch after an
    /// earlier version with the whole list.
    pub fn start_at(version: u64, entries: &[Entry]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut list = ListState { version, oldest: version, ..ListState::default() };
        for entry in entries {
            list.entries.insert(entry.id.clone(), entry.clone());
        }
        let discovery = Discovery {
            address: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(list), Condvar::new())),
        };
        let agent = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                thread::spawn(move || {
                    let _ = agent.serve(stream);
                });
            }
        });
        discovery
    }

    /// Changes one entry. A server that has left stays out of the whole list.
    pub fn set(&self, entry: Entry) {
        let (mutex, changed) = &*self.state;
        let mut list = lock(mutex);
        list.version += 1;
        let version = list.version;
        if entry.state == "left" {
            list.entries.remove(&entry.id);
        } else {
            list.entries.insert(entry.id.clone(), entry.clone());
        }
        list.changes.push((version, entry));
        changed.notify_all();
    }

    /// The agent falls silent (all open watches with it), or speaks again.
    pub fn set_silent(&self, silent: bool) {
        let (mutex, changed) = &*self.state;
        lock(mutex).silent = silent;
        changed.notify_all();
    }

    /// The whole list in discovery's form.
    pub fn full_json(&self) -> String {
        Self::full(&lock(&self.state.0))
    }

    fn full(list: &ListState) -> String {
        let entries: Vec<String> = list.entries.values().map(Entry::json).collect();
        format!(r#"{{"version":{},"full":true,"servers":[{}]}}"#, list.version, entries.join(","))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        let request = reader.request()?;
        let (mutex, changed) = &*self.state;
        let mut list = lock(mutex);
        while list.silent {
            list = changed.wait(list).unwrap();
        }
        let path = request.path().to_string();
        if !path.contains("watch=1") {
            let body = Self::full(&list);
            drop(list);
            return reader.stream.write_all(
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes(),
            );
        }
        let after = path.split("after=").nth(1).and_then(|text| text.parse::<u64>().ok());
        reader.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        // A version that this agent did not give, or none, gets the whole list.
        let first = match after {
            Some(after) if (list.oldest..=list.version).contains(&after) => Self::delta(&list, after),
            _ => Self::full(&list),
        };
        let mut told = list.version;
        write_chunk(&mut reader.stream, &format!("{first}\n"))?;
        let mut last = Instant::now();
        loop {
            if list.silent {
                list = changed.wait(list).unwrap();
                if !list.silent {
                    // A watch that fell silent is broken: it says nothing more.
                    drop(list);
                    thread::sleep(Duration::from_secs(600));
                    return Ok(());
                }
                continue;
            }
            if list.version > told {
                let delta = Self::delta(&list, told);
                told = list.version;
                write_chunk(&mut reader.stream, &format!("{delta}\n"))?;
                last = Instant::now();
            } else if last.elapsed() >= ms(2000) {
                write_chunk(&mut reader.stream, "\n")?;
                last = Instant::now();
            }
            let wait = ms(2000).saturating_sub(last.elapsed()).max(ms(1));
            list = changed.wait_timeout(list, wait).unwrap().0;
        }
    }

    fn delta(list: &ListState, after: u64) -> String {
        let mut latest: BTreeMap<&str, &Entry> = BTreeMap::new();
        for (version, entry) in &list.changes {
            if *version > after {
                latest.insert(&entry.id, entry);
            }
        }
        let entries: Vec<String> = latest.values().map(|entry| entry.json()).collect();
        format!(r#"{{"version":{},"full":false,"servers":[{}]}}"#, list.version, entries.join(","))
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---------------------------------------------------------------------------------------------------------
// Servers.

/// What reached a server: the time of its last byte, and the request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub id: String,
    pub path: String,
    pub time_left_s: f64,
}

/// The requests that reached any server.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Serves one connection of a server.
pub type ConnectionHandler = dyn Fn(&mut Reader, &str) -> io::Result<()> + Send + Sync;

/// Starts a server at a free port whose connections are served by `handler`, a thread each.
pub fn start_server(id: &str, handler: Arc<ConnectionHandler>) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let entry = Entry::new(id, listener.local_addr().expect("an address"));
    let name = id.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, name) = (handler.clone(), name.clone());
            thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let _ = handler(&mut Reader::new(stream), &name);
                })
                .expect("a thread");
        }
    });
    entry
}

/// Records the arrival of a request at a server.
pub fn record_arrival(arrivals: &Arrivals, server: &str, request: &Message) {
    lock(arrivals).push(Arrival {
        at: Instant::now(),
        server: server.into(),
        id: request.id().into(),
        path: request.path().into(),
        time_left_s: request.header("x-time-left").parse().unwrap_or(0.0),
    });
}

/// A handler of a sound server: every request is recorded, works for `work` and is answered with `body`.
pub fn sound_server(
    arrivals: &Arrivals,
    work: Duration,
    body: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
) -> Arc<ConnectionHandler> {
    let arrivals = arrivals.clone();
    Arc::new(move |reader: &mut Reader, name: &str| loop {
        let request = reader.request()?;
        if request.path() == "/-/healthy" || request.path() == "/-/load" {
            reader.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        record_arrival(&arrivals, name, &request);
        thread::sleep(work);
        write_ok(&mut reader.stream, &body(&request))?;
    })
}

/// Writes a good answer in one piece.
pub fn write_ok(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-True-Cost: 1\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

// ---------------------------------------------------------------------------------------------------------
// Clients.

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new correlation id.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: &'static str,
    pub customer: u64,
    pub plan: &'static str,
    pub id: String,
    pub time_left_s: f64,
    pub units: u32,
    pub spread: usize,
    pub first: usize,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(class: &'static str, customer: u64, time_left_s: f64) -> Request {
        Request {
            class,
            customer,
            plan: "bond",
            id: new_id(),
            time_left_s,
            units: 1,
            spread: 1,
            first: 0,
            body: Vec::new(),
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.class == "stock-check" { "GET" } else { "POST" };
        let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", self.body.len()) };
        let mut bytes = format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {}\r\nX-Tariff: {}\r\nX-Time-Left: {:.3}\r\n{length}X-Weight: units={},spread={},first={}\r\n\r\n",
            self.class, self.customer, self.id, self.plan, self.time_left_s, self.units, self.spread, self.first
        )
        .into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection and reads its answer, for `limit` at most.
pub fn ask(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(&request.bytes())?;
    Reader::new(stream).response()
}

/// A flag that threads share.
pub type Flag = Arc<AtomicBool>;

pub fn is_set(flag: &Flag) -> bool {
    flag.load(Ordering::SeqCst)
}
