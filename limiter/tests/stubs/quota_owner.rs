//! A stub of a quota owner: a peer from which the limiter under test requests units of a customer.
//!
//! Messages have the layout of `limiter-core/src/gossip/codec.rs`: a header (magic number, checksum,
//! incarnation, latency), then lines, each of which begins with its kind. Numbers are big endian.

use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::time::Duration;

use super::{
    allow_long_pending_requests, request_with_long_timeout, retry_on_interrupt, LimiterProcess, StubServer,
    DEFAULT_CUSTOMER,
};

/// A customer whose quota is owned by the limiters 1, 2 and 3 of a fleet of four. A member sends its quota
/// requests to the owners in this order.
pub const CUSTOMER_OF_STUB_OWNER: &str = "00000000b4d65522";

/// Number of limiters in the fleet, including the stub.
const NUM_LIMITERS: usize = 4;
/// Position of the limiter under test among the limiters.
const MEMBER_POSITION: usize = 0;
/// Position of the stub among the limiters.
const OWNER_POSITION: usize = 1;
/// How long [`StubQuotaOwner::receive`] waits for a message.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

const MAGIC: u8 = 0xfd;
const HEADER_BYTES: usize = 8;
const MAX_MESSAGE_BYTES: usize = 256;
/// Modulus of the checksum: the largest prime below 2^16.
const CHECKSUM_MODULUS: u32 = 65_521;
/// Value of the latency byte if there is no latency.
const NO_LATENCY: u8 = 255;

const KIND_QUOTA_REQUEST: u8 = 1;
const KIND_GRANTED: u8 = 2;
const KIND_NOT_GRANTED: u8 = 3;

/// Position of the checksum in a message.
const CHECKSUM_RANGE: Range<usize> = 1..3;
/// Position of the sender's incarnation in a message.
const INCARNATION_RANGE: Range<usize> = 3..7;
/// Position of the request id in a message whose first line is a quota request.
const REQUEST_ID_RANGE: Range<usize> = 9..13;
/// Position of the customer (8 bytes) and the plan (1 byte) in a message whose first line is a quota request.
const CUSTOMER_AND_PLAN_RANGE: Range<usize> = 13..22;

/// A gossip message that contains at least one line.
pub struct GossipMessage(Vec<u8>);

impl GossipMessage {
    fn first_kind(&self) -> u8 {
        self.0[HEADER_BYTES]
    }

    /// Returns whether the first line is the reply to a quota request, granted or not.
    pub fn is_grant_reply(&self) -> bool {
        [KIND_GRANTED, KIND_NOT_GRANTED].contains(&self.first_kind())
    }
}

/// The quota owner to which the limiter under test sends its first quota request for
/// [`CUSTOMER_OF_STUB_OWNER`].
pub struct StubQuotaOwner {
    socket: UdpSocket,
    /// Gossip address of the limiter under test.
    member: SocketAddr,
}

/// A limiter that is a member of a fleet of four, and the stub of the quota owner to which the limiter sends
/// its first quota request. The other two limiters do not exist.
pub struct MemberWithQuotaOwner {
    /// The limiter. Its configuration is that of [`allow_long_pending_requests`].
    pub limiter: LimiterProcess,
    /// The stub of the quota owner.
    pub quota_owner: StubQuotaOwner,
}

impl MemberWithQuotaOwner {
    /// Starts the limiter in front of one server, and the stub. `quota` is the quota of the plan `basic`; see
    /// [`with_quota`](super::Configuration::with_quota). Returns when the limiter is ready.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound, or the limiter is not ready within [`super::WAIT_TIMEOUT`].
    pub fn start(server: &StubServer, quota: &str) -> MemberWithQuotaOwner {
        let mut sockets: Vec<UdpSocket> = Vec::new();
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for _ in 0..NUM_LIMITERS {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
            addresses.push(socket.local_addr().expect("a local address"));
            sockets.push(socket);
        }
        let socket = sockets.swap_remove(OWNER_POSITION);
        // Closing the other sockets frees the address of the limiter under test. The other two peers send
        // nothing.
        drop(sockets);
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).expect("a read timeout");
        let limiter = LimiterProcess::with_server(server, |configuration| {
            let configuration = configuration.with_peers(&addresses).with_quota(quota);
            allow_long_pending_requests(configuration)
        });
        let quota_owner = StubQuotaOwner { socket, member: addresses[MEMBER_POSITION] };
        MemberWithQuotaOwner { limiter, quota_owner }
    }
}

/// Returns a request of a customer that all four limiters of the fleet serve. Its client waits 60 s.
pub fn request_of_fleet_customer(id: &str, customer: &str) -> String {
    request_with_long_timeout(id).replace("spread=1", "spread=4").replace(DEFAULT_CUSTOMER, customer)
}

impl StubQuotaOwner {
    /// Waits for a message, for 0.5 s at most. Returns `None` if no message arrives, or if the message
    /// contains no line.
    pub fn receive(&self) -> Option<GossipMessage> {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        let length = retry_on_interrupt(|| self.socket.recv(&mut buffer)).ok()?;
        if length > HEADER_BYTES {
            Some(GossipMessage(buffer[..length].to_vec()))
        } else {
            None
        }
    }

    /// Waits for a quota request, for 0.5 s at most, and returns it.
    ///
    /// # Panics
    ///
    /// Panics if no message arrives, or if the first line of the message is not a quota request.
    pub fn receive_quota_request(&self) -> GossipMessage {
        let message = self.receive().expect("a message");
        assert_eq!(message.first_kind(), KIND_QUOTA_REQUEST, "the message must be a quota request");
        message
    }

    /// Sends the grant for a quota request and, in the same message, a quota request to the member. The
    /// member's reply to this request shows that the member has read the grant.
    ///
    /// # Panics
    ///
    /// Panics if the message cannot be sent.
    pub fn send_grant(&self, quota_request: &GossipMessage) {
        let message = encode_grant_and_quota_request(&quota_request.0);
        self.socket.send_to(&message, self.member).expect("a sent message");
    }
}

fn encode_grant_and_quota_request(quota_request: &[u8]) -> Vec<u8> {
    let mut message = vec![MAGIC, 0, 0];
    let incarnation = 0_u32;
    message.extend(incarnation.to_be_bytes());
    message.push(NO_LATENCY);
    append_grant(&mut message, quota_request);
    append_quota_request(&mut message);
    let checksum = checksum(&message).to_be_bytes();
    message[CHECKSUM_RANGE].copy_from_slice(&checksum);
    message
}

/// Appends the grant for a quota request of the member.
fn append_grant(message: &mut Vec<u8>, quota_request: &[u8]) {
    let demand_ratio = 0_f32;
    let tokens_left = 1_f32;
    message.push(KIND_GRANTED);
    message.extend(&quota_request[REQUEST_ID_RANGE]);
    message.extend(&quota_request[CUSTOMER_AND_PLAN_RANGE]);
    message.extend(&quota_request[INCARNATION_RANGE]);
    message.extend(demand_ratio.to_be_bytes());
    message.extend(tokens_left.to_be_bytes());
}

/// Appends a request for one unit of a customer whose only member is the limiter under test.
fn append_quota_request(message: &mut Vec<u8>) {
    let request_id = 9_u32;
    let customer = 0_u64;
    // Plan 0 is the rejecting plan, which precedes the plan `basic`.
    let plan = 1_u8;
    let first_member = 0_u16;
    let member_count = 1_u16;
    let units = 1_f32;
    let unreported_units = 0_f32;
    message.push(KIND_QUOTA_REQUEST);
    message.extend(request_id.to_be_bytes());
    message.extend(customer.to_be_bytes());
    message.push(plan);
    message.extend(first_member.to_be_bytes());
    message.extend(member_count.to_be_bytes());
    message.extend(units.to_be_bytes());
    message.extend(unreported_units.to_be_bytes());
}

/// Returns the sum of all bytes except those of the checksum, each multiplied by `2 * position + 3`, modulo
/// [`CHECKSUM_MODULUS`].
fn checksum(message: &[u8]) -> u16 {
    let mut sum: u32 = 0;
    for (position, byte) in (0..).zip(message) {
        let is_part_of_checksum = CHECKSUM_RANGE.contains(&(position as usize));
        if !is_part_of_checksum {
            sum += u32::from(*byte) * (2 * position + 3);
        }
    }
    (sum % CHECKSUM_MODULUS) as u16
}
