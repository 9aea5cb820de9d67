//! The races at the end of a process, and one at its start. One that is stopped (SIGSTOP) stands for one without CPU: what
//! comes meanwhile waits in the kernel. On a slow machine a test may force less; its verdict is the same.

mod stubs;

use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::process::{Child, Command};
use std::time::Duration;

use stubs::*;

/// Longer than the 0.6 s for which requests are taken after SIGTERM, and all that follows when nobody asks any more.
const STALL: Duration = Duration::from_millis(1100);

/// A process that takes requests after SIGTERM for as short as any, and its server. What it has taken it holds for as
/// long as it may: else a machine that stalls for a second by itself has requests refused.
fn short() -> (Stub, Node) {
    let server = Stub::new(|_, stream| write_ok(stream, "fine"));
    let aim = |c: String| c.replace(r#""AimMs":1000"#, r#""AimMs":600000"#);
    let node = Node::with(&[("s-1", &server, "active")], aim);
    (server, node)
}

/// Has the process stand still while `meanwhile` is done and past every moment of its end.
fn stalled<T>(node: &Node, meanwhile: impl FnOnce() -> T) -> T {
    node.signal("STOP");
    let done = meanwhile();
    std::thread::sleep(STALL);
    node.signal("CONT");
    done
}

fn named(id: &str) -> String {
    get("look", "").replace("c-1", id).replace("Left: 3.0", "Left: 60")
}

/// How often a request came to the server.
fn times(server: &Stub, id: &str) -> usize {
    server.seen().iter().filter(|m| m.header("x-correlation-id").as_deref() == Some(id)).count()
}

/// A keep-alive connection that has been used.
fn kept(node: &Node, id: &str) -> TcpStream {
    let mut client = TcpStream::connect(node.addr).expect("connect");
    assert_eq!(exchange(&mut client, &named(id)).status, 200);
    client
}

/// Whether a client could still write: if not, the end has begun before the stall, and there is nothing to force.
fn is_open(client: &TcpStream) -> bool {
    client.set_nonblocking(true).expect("a socket");
    let open = client.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    client.set_nonblocking(false).expect("a socket");
    open
}

/// A new connection and a request on it.
fn asking(addr: SocketAddr, id: &str) -> TcpStream {
    let mut client = TcpStream::connect(addr).expect("connect");
    client.write_all(named(id).as_bytes()).expect("write");
    client
}

/// The head of a whole answer, or nothing if the connection ended before its first byte. A part of one is a fault, and
/// so is a connection that stays open and says nothing.
fn answer(client: &mut TcpStream) -> Option<String> {
    client.set_read_timeout(Some(Duration::from_secs(20))).expect("time-out");
    match client.peek(&mut [0]) {
        Ok(n) if n > 0 => Some(read_answer(client).head),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => panic!("silence"),
        _ => None,
    }
}

fn served(client: &mut TcpStream) -> bool {
    answer(client).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Requests that come while the process stalls, on keep-alive connections, on one that has not asked yet, and on one
/// that waits to be accepted. Guards against an end that goes by the clock alone: all of its steps are due at once then,
/// and nobody reads what came. A keep-alive connection may be closed with its request unread; that one comes again.
#[test]
fn requests_that_come_in_a_stall_across_the_end_are_not_lost() {
    // Three times: now and then a process is stopped while it is not waiting for I/O, which forces less.
    for _ in 0..3 {
        let (server, mut node) = short();
        let mut resting = kept(&node, "first");
        let mut silent = TcpStream::connect(node.addr).expect("connect");
        node.signal("TERM");
        node.wait_log("shutting down");
        let new = stalled(&node, || {
            is_open(&resting).then(|| {
                resting.write_all(named("resting").as_bytes()).expect("write");
                silent.write_all(named("silent").as_bytes()).expect("write");
                asking(node.addr, "new")
            })
        });
        let Some(mut new) = new else { continue };
        assert!(served(&mut new), "the one that waited to be accepted");
        assert!(served(&mut silent), "the one whose first request it was");
        assert_eq!(usize::from(served(&mut resting)), times(&server, "resting"));
        assert_eq!((times(&server, "new"), times(&server, "silent")), (1, 1));
        assert_eq!(node.exit_code(), Some(0));
    }
}

/// An accept queue that is all but full (it holds 128) at the end of a process. Guards against closing the listener on
/// connections that no event has told of yet, and against a return before those accepted last have been read.
#[test]
fn the_accept_queue_is_served_before_the_listener_closes() {
    let (server, mut node) = short();
    let resting = kept(&node, "first");
    node.signal("TERM");
    node.wait_log("shutting down");
    let ids: Vec<String> = (0..120).map(|n| format!("q-{n}")).collect();
    let mut waiting: Vec<TcpStream> =
        stalled(&node, || ids.iter().filter(|_| is_open(&resting)).map(|id| asking(node.addr, id)).collect());
    let heads: Vec<Option<String>> = waiting.iter_mut().map(answer).collect();
    assert_eq!(heads.iter().filter(|head| head.is_none()).count(), 0, "lost of {}", heads.len());
    // A crowd may be turned away in part, and this class also after it was sent on.
    for (id, head) in ids.iter().zip(heads.iter().flatten()) {
        let ok = head.starts_with("HTTP/1.1 200");
        assert!(if ok { times(&server, id) > 0 } else { head.starts_with("HTTP/1.1 429") }, "{id}: {head}");
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// Clients rest until their connections end, write a request in that moment, and send it once more on a new connection.
/// Guards against one that is lost the second time, or runs twice. Who finds the listener closed goes elsewhere.
#[test]
fn a_request_that_is_sent_again_at_the_end_is_served_once() {
    let (server, mut node) = short();
    let ids: Vec<String> = (0..8).map(|n| format!("again-{n}")).collect();
    let mut resting: Vec<TcpStream> = ids.iter().map(|id| kept(&node, &format!("before-{id}"))).collect();
    node.signal("TERM");
    for client in &mut resting {
        assert_eq!(answer(client), None, "closed between requests");
    }
    let again: Vec<_> = stalled(&node, || {
        let send_twice = |(client, id): (&mut TcpStream, &String)| {
            let _ = client.write_all(named(id).as_bytes());
            let mut client = TcpStream::connect(node.addr).ok()?;
            client.write_all(named(id).as_bytes()).ok().map(|()| client)
        };
        resting.iter_mut().zip(&ids).map(send_twice).collect()
    });
    for (client, id) in again.into_iter().zip(&ids) {
        let sent = usize::from(client.is_some());
        let served = usize::from(client.is_some_and(|mut client| served(&mut client)));
        assert_eq!((served, times(&server, id)), (sent, sent), "{id}");
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// Clients go on sending on their keep-alive connections until these end, with a stall among it. Guards against a
/// request that is sent on to a server and not answered: its client may send it again, and it runs twice.
#[test]
fn every_request_up_to_the_end_is_answered_or_not_sent_on() {
    let (server, mut node) = short();
    let sending: Vec<_> = (0..8)
        .map(|c| {
            let mut client = kept(&node, &format!("first-{c}"));
            std::thread::spawn(move || {
                // How many were answered, and the one that was not, if the connection ended so.
                (0..).find_map(|n| {
                    let id = format!("{c}-{n}");
                    let written = client.write_all(named(&id).as_bytes()).is_ok();
                    let Some(head) = answer(&mut client).filter(|_| written) else {
                        return Some((n, Some(id)));
                    };
                    head.to_lowercase().contains("connection: close").then_some((n + 1, None))
                })
            })
        })
        .collect();
    wait_for("traffic", || server.seen().len() > 100);
    node.signal("TERM");
    node.wait_log("shutting down");
    stalled(&node, || ());
    for client in sending {
        let (answered, unanswered) = client.join().expect("whole answers").expect("an end");
        assert!(answered > 0);
        assert_eq!(unanswered.map_or(0, |id| times(&server, &id)), 0, "sent on and not answered");
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// The program, when the test has started it by itself; it ends with the test.
struct Started(Child);

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Hands a configuration to the program once it has opened the pipe to read it (an open with O_NONBLOCK fails before);
/// does something else first.
fn tell(pipe: &Path, config: &str, before: impl FnOnce()) {
    let mut file = None;
    wait_for("the program to read its configuration", || {
        file = OpenOptions::new().write(true).custom_flags(0o4000).open(pipe).ok();
        file.is_some()
    });
    before();
    file.expect("a pipe with a reader").write_all(config.as_bytes()).expect("write");
}

/// SIGHUP comes while the program still reads its first configuration, and the second names another discovery. Guards
/// against a program that ends by it, forgets it, watches twice, or hears both.
#[test]
fn a_hangup_before_the_first_watch_moves_the_watch() {
    // The configuration of all tests, as a start that is refused sees it.
    let text = RefCell::new(String::new());
    Node::refused(|config| text.replace(config));
    let config = |at: &Discovery| text.borrow().replace("127.0.0.1:1\"", &format!("{}\"", at.addr));
    let server = Stub::new(|_, stream| write_ok(stream, "two"));
    let elsewhere = Stub::new(|_, stream| write_ok(stream, "one"));
    let one = Discovery::new(line(1, true, &[("s-1", elsewhere.addr, "active")]));
    let two = Discovery::new(line(1, true, &[("s-2", server.addr, "active")]));
    let dir = std::env::temp_dir().join(format!("limiter-ending-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    let (pipe, log) = (dir.join("config"), dir.join("log"));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo").success());
    let logged = |what: &str| std::fs::read_to_string(&log).expect("a log").contains(what);
    let mut command = Command::new(env!("CARGO_BIN_EXE_limiter"));
    command.env_remove("ROUTER_NAME").env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
    command.env("ROUTER_CONFIG", &pipe).stderr(File::create(&log).expect("a log"));
    let mut program = Started(command.spawn().expect("the program starts"));
    let hangup = ["-s", "HUP", &program.0.id().to_string()];
    tell(&pipe, &config(&one), || {
        assert!(Command::new("kill").args(hangup).status().expect("kill").success());
    });
    wait_for("the first configuration to be read", || logged("serves on"));
    tell(&pipe, &config(&two), || ());
    wait_for("the new watch's list", || logged("server s-2"));
    let later = line(9, true, &[("s-9", elsewhere.addr, "active")]);
    one.release(&later);
    one.watches().first().iter().for_each(|_| one.push(&later));
    wait_for("the old watch to end", || one.calls() == 0 || logged("is no longer watched"));
    two.push(&line(2, false, &[("s-3", server.addr, "active")]));
    wait_for("the new watch's next list", || logged("server s-3"));
    let log = std::fs::read_to_string(&log).expect("a log");
    let at = log.lines().find_map(|l| l.split_once("serves on ")).expect("an address").1;
    let client = &mut TcpStream::connect(at.trim()).expect("connect");
    assert_eq!(exchange(client, &named("hangup")).body, "two");
    // A call that is answered late, on a slow machine, is made again.
    assert!(two.calls() == 1 || log.contains("watching again"), "{log}");
    assert!(!log.contains("s-9"), "the old one is heard: {log}");
    assert!(program.0.try_wait().expect("a child").is_none(), "{log}");
    std::fs::remove_dir_all(&dir).expect("the directory goes");
}
