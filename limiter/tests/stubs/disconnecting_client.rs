//! Clients that leave: what they ask, when they go, and what came to the servers.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::stubs::*;

/// What the client does before the moment that would send its request on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Client {
    /// Stays: shows that the request is sent on then.
    Stays,
    /// Leaves, and the limiter has noticed.
    Noticed,
    /// Leaves while the limiter is stopped: it finds that and what follows at once, but more than 0.1 s later.
    Unseen,
}
pub use Client::*;

/// A class that is held for as long as it takes, and a plan whose requests are refused before they are sent on.
pub fn patient(config: String) -> String {
    let refused = r#""TiersOfService":[{"Name":"refused","Rate":0.001,"StoreSize":0.001},"#;
    config.replace(r#""AimMs":1000"#, r#""AimMs":600000"#).replace(r#""TiersOfService":["#, refused)
}

pub fn request(id: &str) -> String {
    get("look", "").replace("Left: 3.0", "Left: 60").replace("c-1", id)
}

pub fn send(node: &Node, text: &str) -> TcpStream {
    let mut client = TcpStream::connect(node.addr).expect("connect");
    client.write_all(text.as_bytes()).expect("write");
    client
}

/// Whether the first request is open: only then is another one of its id turned away for it.
pub fn is_open(node: &Node) -> bool {
    ask(node, &request("c-1").replace("basic", "refused")).status == 409
}

/// Has the client leave before something else happens, or stay; then this is its answer's status.
pub fn cross(node: &Node, mut client: TcpStream, how: Client, then: impl FnOnce()) -> Option<u16> {
    if how == Stays {
        then();
        return Some(read_answer(&mut client).status);
    }
    if how == Unseen {
        node.signal("STOP");
    }
    drop(client);
    if how == Noticed {
        wait_for("the end to be noticed", || !is_open(node));
    }
    then();
    if how == Unseen {
        // No wait for anything: from here on nothing may begin.
        std::thread::sleep(Duration::from_millis(200));
        node.signal("CONT");
    }
    None
}

/// Servers that answer alike, the program before them, and a client whose request one of them has.
pub fn with_an_attempt(
    servers: usize,
    answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    text: &str,
    alter: impl Fn(String) -> String,
) -> (Vec<Stub>, Node, TcpStream) {
    let answer = Arc::new(answer);
    let alike = |_| {
        let answer = answer.clone();
        Stub::new(move |seen, stream| answer(seen, stream))
    };
    let stubs: Vec<Stub> = (0..servers).map(alike).collect();
    let named: Vec<_> = stubs.iter().zip(["s-1", "s-2"]).map(|(s, id)| (id, s, "active")).collect();
    let node = Node::with(&named, alter);
    let client = send(&node, text);
    wait_for("the attempt", || stubs.iter().map(|s| s.seen().len()).sum::<usize>() == 1);
    (stubs, node, client)
}

/// Ends the program and tells the ids of all requests that came to the servers until then.
pub fn all_sent(mut node: Node, servers: &[Stub]) -> String {
    node.signal("TERM");
    assert_eq!(node.exit_code(), Some(0));
    let mut sent = Vec::new();
    for server in servers {
        // Connections are accepted in their order: with this one all of them have been read.
        let mut last = TcpStream::connect(server.addr).expect("connect");
        last.write_all(request("c-last").as_bytes()).expect("write");
        wait_for("the last one", || server.seen().iter().any(|s| id_of(s) == "c-last"));
        drop(last);
        wait_for("all to be read", || server.closed_by_peer() == server.connections());
        sent.extend(server.seen().iter().map(id_of).filter(|id| id != "c-last"));
    }
    sent.sort();
    sent.join(" ")
}

pub fn id_of(message: &Message) -> String {
    message.header("x-correlation-id").unwrap_or_default()
}
