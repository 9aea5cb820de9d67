//! Gossip datagrams between limiters.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limiter_core::Event;

use crate::engine::{Engine, GossipTransport};
use crate::net::DatagramSocket;

/// Longest datagram that is sent or accepted, in bytes. Gossip messages of the core are not longer.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after an error of the socket, so that a persistent error does not occupy the processor.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Sends gossip to the other limiters.
pub struct GossipSender {
    /// `None` if the configuration has no address for gossip.
    socket: Option<Rc<DatagramSocket>>,
    /// Addresses of the limiters by position.
    peers: Vec<SocketAddr>,
}

impl GossipSender {
    /// Creates a sender that sends through `socket`, or that discards all messages if there is no socket.
    /// `peers` are the addresses of the limiters by position.
    pub fn new(socket: Option<Rc<DatagramSocket>>, peers: Vec<SocketAddr>) -> GossipSender {
        GossipSender { socket, peers }
    }
}

impl GossipTransport for GossipSender {
    /// Sends a datagram. The datagram is dropped if the socket's buffer is full, because any datagram may be
    /// lost in transit as well.
    fn send(&self, to: u32, body: &[u8]) {
        let Some(socket) = &self.socket else { return };
        let Some(address) = self.peers.get(to as usize) else { return };
        if body.len() <= MAX_DATAGRAM_BYTES {
            let _ = socket.try_send_to(body, *address);
        }
    }
}

/// Passes the datagrams of peers to the core. Ignores unknown senders and oversized datagrams. Never returns.
///
/// Cancelling loses the datagrams that have not been received yet.
pub async fn receive(engine: Rc<Engine>, socket: Rc<DatagramSocket>) {
    // One byte more than the longest datagram, so that an oversized datagram is detected.
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.receive_from(&mut buffer).await {
            Ok(received) if received.length <= MAX_DATAGRAM_BYTES => {
                if let Some(from) = position_of(received.sender, &engine.config().peers) {
                    engine.metrics().gossip_messages_received.inc();
                    let body = buffer[..received.length].to_vec();
                    engine.handle_event(Event::GossipReceived { from, body });
                }
            }
            Ok(_) => {}
            // An unreachable peer makes the next receive fail. This loses no datagram.
            Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
        }
    }
}

/// Returns the position of the limiter that has this address.
fn position_of(address: SocketAddr, peers: &[SocketAddr]) -> Option<u32> {
    let position = peers.iter().position(|peer| *peer == address)?;
    u32::try_from(position).ok()
}
