//! Case 8: clients send several requests at once. Bodies and answers have the longest length that the protocol
//! allows. A limiter must stay within its memory limit: over it, the platform kills the limiter.
#[path = "../stand-ins-2/kit.rs"]
mod kit;

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::*;

const DURATION: Duration = Duration::from_secs(20);
/// The lowest limit that the pages name, and a middle number of descriptors.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 512;
/// Client connections at one limiter: under the third of the descriptors that clients hold at most.
const CLIENTS: u64 = 140;
/// Requests that a client sends at once, and in the run without the disruption.
const AT_ONCE: u64 = 5;
const ONE_AT_A_TIME: u64 = 1;
/// Time in which the clients begin, and the pause of a client after its answers.
const RAMP_MS: u64 = 200;
const PAUSE_MS: u64 = 200;
/// The longest body that the protocol allows.
const BODY_BYTES: usize = 64 << 10;
const WORK: Duration = Duration::from_millis(250);

/// Memory of a process in kilobytes that is its own alone (no file, nothing shared).
fn own_kb(pid: i32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        text.lines().find_map(|line| line.strip_prefix(name)?.split_whitespace().next()?.parse().ok())
    };
    field("RssAnon:").unwrap_or(0)
}

fn main() {
    let case = Case::begin(ms(60_000));
    let arrivals: Arrivals = Arc::default();
    let at_once = if case.trouble() { AT_ONCE } else { ONE_AT_A_TIME };
    let servers: Vec<Entry> = (0..12)
        .map(|i| start_server(&format!("s-{i}"), sound_server(&arrivals, WORK, |_| vec![b'y'; BODY_BYTES])))
        .collect();
    let discovery = Discovery::start(&servers);
    let mut settings = Settings::usual(2);
    settings.memory_mb = MEMORY_MB;
    settings.sockets = SOCKETS;
    let peers = [free_udp(), free_udp()];
    let mut limiters: Vec<Limiter> = (0..2)
        .map(|i| Limiter::new(&case, i, &settings, &peers, discovery.address, discovery.full_json()))
        .collect();
    limiters.iter_mut().for_each(Limiter::start);
    limiters.iter_mut().for_each(|limiter| limiter.wait_ready(ms(10_000)));
    let address = limiters[0].address;

    let end = Instant::now() + DURATION;
    let counts: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    for client in 0..CLIENTS {
        let (case, counts) = (case.clone(), counts.clone());
        thread::spawn(move || {
            let mut random = Random::new(client);
            thread::sleep(ms(random.below(RAMP_MS)));
            let mut number = 0;
            while Instant::now() < end {
                let Ok(stream) = TcpStream::connect(address) else { continue };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(ms(5000)));
                let mut reader = Reader::new(stream);
                'connection: while Instant::now() < end {
                    let mut bytes = Vec::new();
                    for _ in 0..at_once {
                        number += 1;
                        let mut request = Request::new("place-order", client << 20 | number, 4.0);
                        request.spread = 2;
                        request.body = vec![b'x'; BODY_BYTES];
                        bytes.extend_from_slice(&request.bytes());
                    }
                    let last = number;
                    case.note(&format!("client {client} sends its requests {} to {last}", last + 1 - at_once));
                    let Ok(mut writer) = reader.stream.try_clone() else { break };
                    let writing = thread::spawn(move || writer.write_all(&bytes).is_ok());
                    let mut is_open = true;
                    for one in 0..at_once {
                        let Ok(answer) = reader.response() else {
                            is_open = false;
                            break;
                        };
                        let which = last + 1 - at_once + one;
                        case.note(&format!("client {client}: request {which} answered {}", answer.status));
                        *lock(&counts).entry(answer.status).or_insert(0) += 1;
                        is_open = !answer.closes();
                        if !is_open {
                            break;
                        }
                    }
                    if !is_open {
                        let _ = reader.stream.shutdown(std::net::Shutdown::Both);
                    }
                    let _ = writing.join();
                    thread::sleep(ms(PAUSE_MS));
                    if !is_open {
                        break 'connection;
                    }
                }
            }
        });
    }

    // The platform: kills a limiter that is over its limit. A megabyte is read as 2^20 bytes, and only the
    // process's own memory is counted; both are the reading that is kindest to the limiter.
    let limit_kb = u64::from(MEMORY_MB) << 10;
    let mut breaks = Vec::new();
    let mut peak_kb = 0;
    while Instant::now() < end && breaks.is_empty() {
        let own = own_kb(limiters[0].pid());
        peak_kb = peak_kb.max(own);
        if own > limit_kb {
            let resident = limiters[0].status_kb("VmRSS");
            let text = format!("n0 uses {own} kB of its own ({resident} kB with files); the limit is {limit_kb} kB");
            case.note(&text);
            breaks.push(format!("{text}: killed"));
            limiters[0].kill();
        } else if let Some(status) = limiters[0].ended() {
            breaks.push(format!("n0 ended: {status}"));
        }
        thread::sleep(ms(2));
    }
    let per_client = format!("{CLIENTS} clients, {at_once} requests at once, bodies and answers of {BODY_BYTES} bytes");
    case.note(&format!("{per_client}; peak {peak_kb} kB; answers by status {:?}", lock(&counts)));
    for arrival in lock(&arrivals).iter() {
        case.note(&format!("{} reached {} ({})", arrival.id, arrival.server, arrival.path));
    }
    case.note(&format!("{} requests reached servers", lock(&arrivals).len()));
    if breaks.is_empty() && !lock(&counts).contains_key(&200) {
        case.cannot_run("no request was served");
    }
    case.end("no limiter goes over its memory limit and is killed", &breaks)
}
