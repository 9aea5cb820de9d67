//! Loopback addresses of all components of a run. Each process uses its own network, so that several runs can
//! share a host.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// The addresses of one run.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    network: u8,
}

/// Number of discovery agents for each limiter. A configuration reload switches a limiter to the other agent.
pub const AGENTS_PER_LIMITER: usize = 2;
/// Number of addresses in a block. The block is the third byte of an address.
const ADDRESSES_PER_BLOCK: usize = 250;

impl Addresses {
    /// Returns the addresses for this process. The second byte of each is derived from the process id.
    pub fn for_process() -> Addresses {
        Addresses { network: 1 + (std::process::id() % 250) as u8 }
    }

    fn address(self, block: usize, number: usize, port: u16) -> SocketAddr {
        let block = block + number / ADDRESSES_PER_BLOCK;
        let host = 1 + number % ADDRESSES_PER_BLOCK;
        SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(127, self.network, block as u8, host as u8), port))
    }

    /// Returns the address on which a limiter accepts clients.
    pub fn limiter(self, limiter: usize) -> SocketAddr {
        self.address(1, limiter, 3000)
    }

    /// Returns the address on which a limiter receives gossip.
    pub fn gossip(self, limiter: usize) -> SocketAddr {
        self.address(1, limiter, 7946)
    }

    /// Returns the address to which peers send gossip for a limiter: the simulated network listens on it and
    /// forwards the gossip.
    pub fn gossip_proxy(self, limiter: usize) -> SocketAddr {
        self.address(2, limiter, 7946)
    }

    /// Returns the address of one of a limiter's discovery agents.
    pub fn discovery(self, limiter: usize, agent: usize) -> SocketAddr {
        self.address(3 + agent, limiter, 8500)
    }

    /// Returns one of the server addresses.
    pub fn server(self, index: usize) -> SocketAddr {
        self.address(10, index, 3000)
    }
}
