//! Non-blocking UDP socket for packets and notices.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use snafu::{ResultExt, Snafu};
use tokio::net::UdpSocket;

use crate::observe::counters::{Counters, Event};

/// Maximum length of a received datagram: a header and 1,200 bytes of data, with room for notices.
pub const MAX_DATAGRAM_LEN: usize = 2_048;
/// Maximum number of datagrams read in a row before the event loop handles other events.
pub const MAX_BATCH: usize = 64;

/// A UDP socket that could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
pub struct BindError {
    /// The address.
    address: SocketAddrV4,
    /// The underlying error.
    source: io::Error,
}

/// A UDP socket that counts failed sends.
#[derive(Debug)]
pub struct PacketSocket {
    socket: UdpSocket,
    counters: Counters,
}

impl PacketSocket {
    /// Binds a socket to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`BindError`] when the address cannot be bound.
    pub async fn bind(address: SocketAddrV4, counters: Counters) -> Result<Self, BindError> {
        let socket = UdpSocket::bind(address)
            .await
            .context(BindSnafu { address })?;
        Ok(Self { socket, counters })
    }

    /// Waits until a datagram can be read.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads a datagram without waiting and returns its length and sender; `None` if there is none.
    pub fn receive(&self, buffer: &mut [u8]) -> Option<(usize, SocketAddrV4)> {
        loop {
            match self.socket.try_recv_from(buffer) {
                Ok((len, SocketAddr::V4(from))) => return Some((len, from)),
                Ok(_) => {}
                // An ICMP error for an earlier datagram, sent to a closed port. It does not affect
                // this socket.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram without waiting. If the send buffer is full or the send fails, the datagram
    /// is dropped and counted, like packet loss on the network.
    pub fn send(&self, datagram: &[u8], to: SocketAddrV4) {
        let sent = self.socket.try_send_to(datagram, SocketAddr::V4(to));
        if sent.is_err() {
            self.counters.count(Event::SendFailed);
        }
    }
}
