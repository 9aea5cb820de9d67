//! The simulated network between limiters, which delays and drops gossip messages and partitions limiters.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::addresses::Addresses;
use crate::deployment::Deployment;
use crate::record::SharedRecord;

/// Size limit of a limiter's datagrams in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The simulated network between the limiters.
pub struct GossipNetwork {
    /// Sockets that receive the gossip for each limiter, and send the gossip of that limiter to its peers.
    sockets: Vec<UdpSocket>,
    is_partitioned: Vec<AtomicBool>,
    deployment: Deployment,
    addresses: Addresses,
    record: Arc<SharedRecord>,
}

impl GossipNetwork {
    /// Starts the network: binds all sockets and forwards gossip.
    ///
    /// # Errors
    /// An address is not available.
    pub async fn start(
        deployment: &Deployment,
        addresses: Addresses,
        record: Arc<SharedRecord>,
        seed: u64,
    ) -> std::io::Result<Arc<GossipNetwork>> {
        let mut sockets = Vec::new();
        let mut is_partitioned = Vec::new();
        for limiter in 0..deployment.limiters {
            sockets.push(UdpSocket::bind(addresses.gossip_proxy(limiter)).await?);
            is_partitioned.push(AtomicBool::new(false));
        }
        let deployment = deployment.clone();
        let network = Arc::new(GossipNetwork { sockets, is_partitioned, deployment, addresses, record });
        for receiver in 0..network.sockets.len() {
            let rng = SmallRng::seed_from_u64(seed ^ receiver as u64);
            tokio::spawn(network.clone().forward_to(receiver, rng));
        }
        Ok(network)
    }

    /// Partitions a limiter from its peers, or ends the partition.
    pub fn set_partitioned(&self, limiter: usize, is_partitioned: bool) {
        self.is_partitioned[limiter].store(is_partitioned, Ordering::SeqCst);
    }

    fn is_partitioned(&self, limiter: usize) -> bool {
        self.is_partitioned[limiter].load(Ordering::SeqCst)
    }

    /// Forwards the gossip for one limiter until the runtime shuts down.
    async fn forward_to(self: Arc<Self>, receiver: usize, mut rng: SmallRng) {
        let num_limiters = self.sockets.len();
        let senders: Vec<SocketAddr> =
            (0..num_limiters).map(|limiter| self.addresses.gossip(limiter)).collect();
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = self.sockets[receiver].recv_from(&mut buffer).await else { continue };
            let Some(sender) = senders.iter().position(|address| *address == source) else { continue };
            self.check_length(sender, length);
            let is_partitioned = self.is_partitioned(sender) || self.is_partitioned(receiver);
            if is_partitioned || rng.random_bool(self.deployment.gossip_loss) {
                continue;
            }
            let delay = self.deployment.gossip_delay.mul_f64(rng.random());
            let network = self.clone();
            let datagram = buffer[..length].to_vec();
            tokio::spawn(async move {
                sleep(delay).await;
                let target = network.addresses.gossip(receiver);
                let _ = network.sockets[sender].send_to(&datagram, target).await;
            });
        }
    }

    fn check_length(&self, sender: usize, length: usize) {
        if length > MAX_DATAGRAM_BYTES {
            let fault = format!("limiter {sender}: sent a gossip message of at least {length} bytes");
            self.record.lock().process_faults.push(fault);
        }
    }
}
