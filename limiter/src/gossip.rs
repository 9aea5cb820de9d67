//! Gossip datagrams between limiters.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limiter_core::Event;

use crate::engine::{Engine, GossipTransport};
use crate::net::DatagramSocket;

/// Longest datagram that is sent or accepted; at least the longest message of the core.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Pause after an error of the socket, so that one that persists does not take all of the processor's time.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Sends gossip to the other limiters.
pub struct GossipSender {
    socket: Option<Rc<DatagramSocket>>,
    peers: Vec<SocketAddr>,
}

impl GossipSender {
    /// Sends through `socket`, or nothing without one; `peers` are the limiters' addresses by position.
    pub fn new(socket: Option<Rc<DatagramSocket>>, peers: Vec<SocketAddr>) -> GossipSender {
        GossipSender { socket, peers }
    }
}

impl GossipTransport for GossipSender {
    /// A datagram that finds no room in the socket's buffer is lost, as any may be.
    fn send(&self, to: u32, body: &[u8]) {
        let address = self.peers.get(to as usize);
        if let (Some(socket), Some(address), true) = (&self.socket, address, body.len() <= MAX_DATAGRAM_BYTES)
        {
            let _ = socket.try_send_to(body, *address);
        }
    }
}

/// Passes datagrams of peers to the core. Never returns; ignores unknown senders and oversized datagrams. Cancelling
/// loses none that was passed on.
pub async fn receive(engine: Rc<Engine>, socket: Rc<DatagramSocket>) {
    let mut buffer = [0u8; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.receive_from(&mut buffer).await {
            Ok((length, sender)) if length <= MAX_DATAGRAM_BYTES => {
                if let Some(from) = position_of(sender, &engine.config().peers) {
                    engine.metrics().gossip_messages_received.inc();
                    engine.handle_event(Event::GossipReceived { from, body: buffer[..length].to_vec() });
                }
            }
            Ok(_) => {}
            // An unreachable peer shows up as an error of the next receive: nothing is lost by going on.
            Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
        }
    }
}

fn position_of(sender: SocketAddr, peers: &[SocketAddr]) -> Option<u32> {
    let position = peers.iter().position(|peer| *peer == sender)?;
    u32::try_from(position).ok()
}
