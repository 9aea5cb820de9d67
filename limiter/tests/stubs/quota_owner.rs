//! A quota owner: a peer that the program asks for a customer's units.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use crate::leave::{patient, request};
use crate::stubs::*;

/// A member of a fleet of four, where peers reach it, and the socket of the one that it asks first.
pub fn member(server: &Stub, plan: &str) -> (Node, SocketAddr, UdpSocket) {
    let sockets: Vec<UdpSocket> = (0..4).map(|_| UdpSocket::bind("127.0.0.1:0").expect("bind")).collect();
    let at: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().expect("address")).collect();
    let all: Vec<String> = at.iter().map(|a| format!("\"{a}\"")).collect();
    let (own, all) = (&all[0], all.join(","));
    let peers = format!(r#""sockets":1024}},"peer_listen":{own},"peers":[{all}],"unread":{{"x":1"#);
    // The others are closed: they are silent, and the first address is free for the member.
    let owner = sockets.into_iter().nth(1).expect("four");
    let node = Node::with(&[("s-1", server, "active")], |c| {
        let c = c.replace(r#""sockets":1024"#, &peers).replace(r#""Balancers":1"#, r#""Balancers":4"#);
        patient(c).replace(r#""Rate":0,"StoreSize":0"#, plan)
    });
    (node, at[0], owner)
}

/// A request of a customer whose quota owners are the limiters 1, 2 and 3, asked in this order.
pub fn foreign(id: &str, customer: &str) -> String {
    request(id).replace("spread=1", "spread=4").replace("00000000b4d65521", customer)
}

/// The next message's first line: its kind is the first byte.
pub fn receive(owner: &UdpSocket) -> Option<Vec<u8>> {
    let mut buffer = [0; 256];
    owner.set_read_timeout(Some(Duration::from_millis(500))).expect("time-out");
    owner.recv(&mut buffer).ok().filter(|length| *length > 8).map(|length| buffer[..length].to_vec())
}

/// The grant for the request that `asked` asks for, and behind it a question to this limiter, whose answer shows that
/// the grant has been read. Laid out as `src/message.rs` says.
pub fn grant(asked: &[u8]) -> Vec<u8> {
    let (born, id, customer_and_plan) = (&asked[3..7], &asked[9..13], &asked[13..22]);
    let [none, one] = [0f32.to_be_bytes(), 1f32.to_be_bytes()];
    let word = [&[2][..], id, customer_and_plan, born, &none, &one].concat();
    let question = [&[1, 0, 0, 0, 9][..], &[0; 8], &[1], &[0, 0], &[0, 1], &one, &none].concat();
    let mut body = [&[0xfd, 0, 0][..], &[0; 4], &[255], &word, &question].concat();
    let counted = (1u32..).zip(&body).filter(|(i, _)| *i != 2 && *i != 3);
    let sum = counted.map(|(i, b)| u32::from(*b) * (2 * i + 1)).sum::<u32>() % 65_521;
    body[1..3].copy_from_slice(&(sum as u16).to_be_bytes());
    body
}
