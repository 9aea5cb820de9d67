//! A UDP socket.

use std::io;
use std::net::SocketAddr;

use tokio::net::UdpSocket;

use super::retry::retry_on_interrupt;

/// A UDP socket.
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Creates a socket and binds it to an address.
    ///
    /// # Errors
    /// Those of `socket(2)` and `bind(2)`.
    pub fn bind(address: SocketAddr) -> io::Result<DatagramSocket> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(DatagramSocket { socket: UdpSocket::from_std(socket)? })
    }

    /// Receives the next datagram, and returns its length and sender. The part that does not fit into the
    /// buffer is dropped. Cancelling loses no datagram.
    ///
    /// # Errors
    /// Those of `recvfrom(2)`, except for interruptions.
    pub async fn receive_from(&self, buffer: &mut [u8]) -> io::Result<ReceivedDatagram> {
        loop {
            match self.socket.recv_from(buffer).await {
                Ok((length, sender)) => return Ok(ReceivedDatagram { length, sender }),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends a datagram without waiting.
    ///
    /// # Errors
    /// `WouldBlock` if the send buffer of the socket has no space for the datagram; otherwise those of
    /// `sendto(2)`, except for interruptions.
    pub fn try_send_to(&self, data: &[u8], to: SocketAddr) -> io::Result<()> {
        retry_on_interrupt(|| self.socket.try_send_to(data, to))?;
        Ok(())
    }
}

/// A datagram whose data is in the buffer that was passed to [`DatagramSocket::receive_from`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedDatagram {
    /// Number of bytes that were written to the buffer.
    pub length: usize,
    /// Address of the sender.
    pub sender: SocketAddr,
}
