//! A stub of a quota owner: a peer that the program asks for the units of a customer.

use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::time::Duration;

use super::{request_with_long_timeout, retry_on_interrupt, LimiterProcess, StubServer, DEFAULT_CUSTOMER};

/// A customer whose quota owners are the limiters 1, 2 and 3 of a fleet of four, asked in this order.
pub const CUSTOMER_OF_STUB_OWNER: &str = "00000000b4d65522";

/// Layout of a gossip message, as in `limiter-core/src/gossip/codec.rs`: a header, then lines, each begun by its kind.
const HEADER_BYTES: usize = 8;
const MAX_MESSAGE_BYTES: usize = 256;
const KIND_QUOTA_REQUEST: u8 = 1;
const KIND_GRANTED: u8 = 2;
const KIND_NOT_GRANTED: u8 = 3;

/// A gossip message with a line at least.
pub struct GossipMessage(Vec<u8>);

impl GossipMessage {
    fn first_kind(&self) -> u8 {
        self.0[HEADER_BYTES]
    }

    pub fn is_grant_reply(&self) -> bool {
        [KIND_GRANTED, KIND_NOT_GRANTED].contains(&self.first_kind())
    }
}

/// The limiter that the program asks first.
pub struct StubQuotaOwner {
    socket: UdpSocket,
    member: SocketAddr,
}

/// Starts the program as a member of a fleet of four where only the quota owner that it asks first is there; the
/// others are silent. `quota` is that of the plan of all requests.
pub fn start_with_quota_owner(server: &StubServer, quota: &str) -> (LimiterProcess, StubQuotaOwner) {
    let sockets: Vec<UdpSocket> = (0..4).map(|_| UdpSocket::bind("127.0.0.1:0").expect("bind")).collect();
    let addresses: Vec<SocketAddr> =
        sockets.iter().map(|socket| socket.local_addr().expect("address")).collect();
    // The others are closed: they are silent, and the first address is free for the member.
    let socket = sockets.into_iter().nth(1).expect("four");
    socket.set_read_timeout(Some(Duration::from_millis(500))).expect("time-out");
    let limiter = LimiterProcess::with_server(server, |configuration| {
        let configuration = configuration.with_peers(&addresses).with_quota(quota);
        configuration.with_long_latency_objective().with_rejecting_plan()
    });
    (limiter, StubQuotaOwner { socket, member: addresses[0] })
}

/// A request of a customer that all four limiters serve.
pub fn request_of_fleet_customer(id: &str, customer: &str) -> String {
    request_with_long_timeout(id).replace("spread=1", "spread=4").replace(DEFAULT_CUSTOMER, customer)
}

impl StubQuotaOwner {
    /// The next message, if one comes soon.
    pub fn receive(&self) -> Option<GossipMessage> {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        let length = retry_on_interrupt(|| self.socket.recv(&mut buffer)).ok()?;
        (length > HEADER_BYTES).then(|| GossipMessage(buffer[..length].to_vec()))
    }

    /// The next message, which must be a quota request.
    pub fn receive_quota_request(&self) -> GossipMessage {
        let is_quota_request = |message: &GossipMessage| message.first_kind() == KIND_QUOTA_REQUEST;
        self.receive().filter(is_quota_request).expect("a quota request")
    }

    /// Sends the grant for a quota request, and behind it a quota request to the member, whose reply shows that the
    /// grant has been read.
    pub fn send_grant(&self, quota_request: &GossipMessage) {
        assert!(self.socket.send_to(&grant(&quota_request.0), self.member).is_ok());
    }
}

/// Where the sender's incarnation stands in a message.
const INCARNATION: Range<usize> = 3..7;
/// Where the request's id stands in a message that is one quota request.
const REQUEST_ID: Range<usize> = 9..13;
/// Where the customer and the plan stand in it.
const CUSTOMER_AND_PLAN: Range<usize> = 13..22;
/// Modulus of the checksum: the largest prime below 2^16.
const CHECKSUM_MODULUS: u32 = 65_521;

fn grant(quota_request: &[u8]) -> Vec<u8> {
    let (member_incarnation, id) = (&quota_request[INCARNATION], &quota_request[REQUEST_ID]);
    let customer_and_plan = &quota_request[CUSTOMER_AND_PLAN];
    let [no_units, one_unit] = [0f32.to_be_bytes(), 1f32.to_be_bytes()];
    let grant =
        [&[KIND_GRANTED][..], id, customer_and_plan, member_incarnation, &no_units, &one_unit].concat();
    let (own_id, customer, plan, members) = ([0, 0, 0, 9], [0; 8], [1], [0, 0, 0, 1]);
    let own_request =
        [&[KIND_QUOTA_REQUEST][..], &own_id, &customer, &plan, &members, &one_unit, &no_units].concat();
    let (magic_and_checksum, own_incarnation, no_latency) = ([0xfd, 0, 0], [0; 4], [255]);
    let mut body = [&magic_and_checksum[..], &own_incarnation, &no_latency, &grant, &own_request].concat();
    let checksum = checksum(&body).to_be_bytes();
    body[1..3].copy_from_slice(&checksum);
    body
}

/// Sum over all bytes but the checksum's own, each times twice its one-based position plus one, modulo the largest
/// prime below 2^16.
fn checksum(body: &[u8]) -> u16 {
    let counted = (1u32..).zip(body).filter(|(position, _)| ![2, 3].contains(position));
    let sum: u32 = counted.map(|(position, byte)| u32::from(*byte) * (2 * position + 1)).sum();
    (sum % CHECKSUM_MODULUS) as u16
}
